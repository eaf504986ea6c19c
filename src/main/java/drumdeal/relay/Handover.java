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
    private static final String SOCKET_NAME = "handover.sock";
    private static final int MAX_FRAME_BYTES = 16 << 20;

    /** What a frame says; each is followed by what the comment names. */
    enum FrameType {
        /** The newer asks to take over: version. */
        TAKEOVER_REQUEST,
        /** The older has stopped deciding: its {@link HandoverSnapshot}. */
        SNAPSHOT,
        /** The newer listens for clients. */
        LISTENING,
        /** The older passes a message on: its number there, the journal's records of it. */
        MESSAGE,
        /** The newer has it in its journal: the number. */
        MESSAGE_STORED,
        /** The older has let go of it: the number. */
        MESSAGE_RELEASED,
        /** A call of the older has ended: route, result, wait, time taken, calls still out. */
        OUTCOME
    }

    /** What follows a frame's word. */
    interface PayloadWriter {
        void write(DataOutputStream out) throws IOException;
    }

    /** Takes in frames. */
    interface FrameHandler {
        void onFrame(FrameType word, DataInputStream in) throws IOException;
    }

    private Handover() { }

    static Path socketPath(Path part) {
        return part.resolve(SOCKET_NAME);
    }

    static UnixDomainSocketAddress socketAddress(Path part) {
        return UnixDomainSocketAddress.of(socketPath(part));
    }

    /** Reads frames from a channel; one that can't be read ends it. */
    static void attachFrameHandler(Channel channel, FrameHandler reader) {
        channel.pipeline().addLast(new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, Integer.BYTES, 0, Integer.BYTES),
                new LengthFieldPrepender(Integer.BYTES), new SimpleChannelInboundHandler<ByteBuf>() {
                    @Override
                    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) throws IOException {
                        DataInputStream in = new DataInputStream(new ByteArrayInputStream(ByteBufUtil.getBytes(frame)));
                        int word = in.readByte();
                        if (word < 0 || word >= FrameType.values().length) {
                            throw new IOException("unknown word " + word);
                        }
                        reader.onFrame(FrameType.values()[word], in);
                    }

                    @Override
                    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                        Log.write("handover: " + cause);
                        ctx.close();
                    }
                });
    }

    static void send(Channel channel, FrameType word, PayloadWriter payload) {
        channel.writeAndFlush(Unpooled.wrappedBuffer(toBytes(out -> {
            out.writeByte(word.ordinal());
            payload.write(out);
        })));
    }

    static byte[] toBytes(PayloadWriter payload) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            payload.write(out);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }
}
