package drumdeal.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;

/**
 * The protocol between two processes of one relay while the newer one takes over from the older one during an upgrade:
 * frames on a Unix socket in the older one's process folder. A frame is a length (int), a type (byte) and a payload.
 */
final class Handover {
    /**
     * Version of the protocol. The older process closes the connection if the newer one has another version. The newer
     * one then waits for the end of that process before it serves.
     */
    static final int VERSION = 1;
    private static final int MAX_FRAME_BYTES = 16 << 20;

    /**
     * Type of a frame. Types are sent by position: constants must not be reordered or removed.
     */
    enum FrameType {
        /** The newer process asks to take over. Payload: its protocol version (int). */
        TAKEOVER_REQUEST,
        /** The older process has suspended its decisions. Payload: its {@link HandoverSnapshot}. */
        SNAPSHOT,
        /** The newer process listens for clients. No payload. */
        LISTENING,
        /** The older process hands over a message. Payload: its number there (long), its journal records. */
        MESSAGE,
        /** The newer process has written a message to its journal. Payload: the message's number (long) as sent. */
        MESSAGE_STORED,
        /** The older process no longer holds a message. Payload: the message's number (long) as sent. */
        MESSAGE_RELEASED,
        /**
         * A call of the older process has ended. Payload: route and result (texts), the wait that the host asked for
         * and the time taken (longs, microseconds), the older process's calls still in flight (int).
         */
        OUTCOME
    }

    /** Writes the payload of a frame. */
    interface PayloadWriter {
        void write(DataOutputStream out) throws IOException;
    }

    /** Receives the frames of a connection. */
    interface FrameHandler {
        /** Handles one frame; {@code in} holds its payload. An exception closes the connection. */
        void onFrame(FrameType type, DataInputStream in) throws IOException;
    }

    private Handover() { }

    /** Splits what is written: the JDK copies each piece as a whole to direct memory, which is scarce. */
    private static final class WriteSplitter extends ChannelOutboundHandlerAdapter {
        @Override
        public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
            ByteBuf bytes = (ByteBuf) message;
            while (bytes.readableBytes() > StateFolder.MAX_TRANSFER_BYTES) {
                ctx.write(bytes.readRetainedSlice(StateFolder.MAX_TRANSFER_BYTES));
            }
            ctx.write(bytes, promise);
        }
    }

    /** Makes a channel send and receive frames. A frame that can't be read closes the channel. */
    static void attachFrameHandler(Channel channel, FrameHandler handler) {
        channel.pipeline().addLast(InboundCopyHandler.INSTANCE, new WriteSplitter(),
                new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, Integer.BYTES, 0, Integer.BYTES),
                new LengthFieldPrepender(Integer.BYTES), new SimpleChannelInboundHandler<ByteBuf>() {
                    @Override
                    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) throws IOException {
                        DataInputStream in = new DataInputStream(new ByteArrayInputStream(ByteBufUtil.getBytes(frame)));
                        int typeIndex = in.readByte();
                        if (typeIndex < 0 || typeIndex >= FrameType.values().length) {
                            throw new IOException("unknown frame type " + typeIndex);
                        }
                        handler.onFrame(FrameType.values()[typeIndex], in);
                    }

                    @Override
                    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                        Log.write("handover: closing the connection to the other process: " + cause);
                        ctx.close();
                    }
                });
    }

    /** Sends a frame on a channel prepared by {@link #attachFrameHandler}. */
    static void send(Channel channel, FrameType type, PayloadWriter payload) {
        channel.writeAndFlush(Unpooled.wrappedBuffer(toBytes(out -> {
            out.writeByte(type.ordinal());
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
