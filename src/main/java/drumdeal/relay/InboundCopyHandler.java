package drumdeal.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * First handler of every pipeline that decodes input: passes on a heap copy of what was read and frees the receive
 * buffer at once. A receive buffer is direct memory and far larger than most of what it receives. A decoder would keep
 * the whole of it for a few bytes of an incomplete message. Once all direct memory is taken, each read of any
 * connection waits for half a second on the event loop and then fails.
 *
 * <p>It also sets the channel's allocator, so that a decoder's buffer is on the heap also after it has grown.
 */
@ChannelHandler.Sharable
final class InboundCopyHandler extends ChannelInboundHandlerAdapter {
    static final InboundCopyHandler INSTANCE = new InboundCopyHandler();
    /** Allocates all buffers but those for a single read on the heap. */
    private static final ByteBufAllocator HEAP_ALLOCATOR = new UnpooledByteBufAllocator(false);
    /** Unused capacity that a decoder's buffer may keep. */
    private static final int MAX_UNUSED_BYTES = 256;

    private InboundCopyHandler() { }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        ctx.channel().config().setAllocator(HEAP_ALLOCATOR);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        ByteBuf received = (ByteBuf) message;
        ByteBuf copy;
        try {
            copy = Unpooled.copiedBuffer(received);
        } finally {
            received.release();
        }
        ctx.fireChannelRead(copy);
    }

    /** Frees the memory of bytes that a decoder has consumed; no effect while a part of its buffer is in use. */
    static void trim(ByteBuf decoderBuffer) {
        int unusedBytes = decoderBuffer.capacity() - decoderBuffer.readableBytes();
        if (unusedBytes > MAX_UNUSED_BYTES && decoderBuffer.refCnt() == 1) {
            decoderBuffer.discardReadBytes();
            decoderBuffer.capacity(decoderBuffer.readableBytes());
        }
    }
}
