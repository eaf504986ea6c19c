package drumdeal.relay;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpResponseDecoder;

/** Decodes HTTP responses and tells whether more has been received than belongs to them. */
class ResponseDecoder extends HttpResponseDecoder {
    /**
     * Delay before a connection is reused after a response. A duplicate of the response, or stray bytes right behind
     * it, would otherwise be taken for the response to the next request.
     */
    static final long REUSE_DELAY_MICROS = 2_000;

    /** True if bytes have been received that belong to no response decoded so far. */
    final boolean hasLeftover() {
        return actualReadableBytes() > 0;
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) throws Exception {
        InboundCopyHandler.trim(internalBuffer());
        super.channelReadComplete(ctx);
    }
}
