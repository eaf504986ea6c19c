package drumdeal.relay;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpResponseDecoder;

/** Decodes HTTP responses and tells whether more has been received than belongs to them. */
class ResponseDecoder extends HttpResponseDecoder {
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
