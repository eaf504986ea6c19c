package drumdeal.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.UnixDomainSocketAddress;
import java.nio.file.Path;

/**
 * How two processes of one relay talk while the newer takes over from the older: frames on a Unix socket, which lies
 * in the part of the folder that the older one owns.
 */
final class Handover {
    /** Another version of these frames is not understood; the newer process then waits for the older one's end. */
    static final int VERSION = 1;
    private static final String SOCKET = "handover.sock";
    private static final int LARGEST = 16 << 20;

    /** What a frame says; each is followed by what the comment names. */
    enum Word {
        /** The newer asks to take over: version. */
        ASK,
        /** The older has stopped deciding: its {@link Standing}. */
        STANDING,
        /** The newer listens for clients. */
        LISTENING,
        /** The older passes a message on: its number there, the journal's records of it. */
        MESSAGE,
        /** The newer has it in its journal: the number. */
        KEPT,
        /** The older has let go of it: the number. */
        YOURS,
        /** A call of the older has ended: route, result, wait, time taken, calls still out. */
        OUTCOME
    }

    /** What follows a frame's word. */
    interface Payload {
        void write(DataOutputStream out) throws IOException;
    }

    /** Takes in frames. */
    interface Reader {
        void read(Word word, DataInputStream in) throws IOException;
    }

    private Handover() { }

    static Path path(Path part) {
        return part.resolve(SOCKET);
    }

    static UnixDomainSocketAddress address(Path part) {
        return UnixDomainSocketAddress.of(path(part));
    }

    /** Reads frames from a channel; one that can't be read ends it. */
    static void attach(Channel channel, Reader reader) {
        channel.pipeline().addLast(new LengthFieldBasedFrameDecoder(LARGEST, 0, Integer.BYTES, 0, Integer.BYTES),
                new LengthFieldPrepender(Integer.BYTES), new SimpleChannelInboundHandler<ByteBuf>() {
                    @Override
                    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) throws IOException {
                        DataInputStream in = new DataInputStream(new ByteArrayInputStream(ByteBufUtil.getBytes(frame)));
                        int word = in.readByte();
                        if (word < 0 || word >= Word.values().length) {
                            throw new IOException("unknown word " + word);
                        }
                        reader.read(Word.values()[word], in);
                    }

                    @Override
                    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                        Log.line("handover: " + cause);
                        ctx.close();
                    }
                });
    }

    static void send(Channel channel, Word word, Payload payload) {
        channel.writeAndFlush(Unpooled.wrappedBuffer(bytes(out -> {
            out.writeByte(word.ordinal());
            payload.write(out);
        })));
    }

    static byte[] bytes(Payload payload) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            payload.write(out);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }
}
