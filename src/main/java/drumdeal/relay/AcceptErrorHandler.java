package drumdeal.relay;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.concurrent.TimeUnit;

/**
 * Pauses accepting after an error of the server channel. A lack of descriptors or memory is over soon, but would end
 * the event loop if no handler took the exception: Netty then logs it, and logging opens files. Clients that connect
 * meanwhile wait until accepting resumes.
 */
class AcceptErrorHandler extends ChannelInboundHandlerAdapter {
    private static final long ACCEPT_PAUSE_MILLIS = 50;

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        Log.write("can't accept connections, accepting is paused: " + cause);
        ctx.channel().config().setAutoRead(false);
        ctx.executor().schedule(() -> ctx.channel().config().setAutoRead(true), ACCEPT_PAUSE_MILLIS,
                TimeUnit.MILLISECONDS);
    }
}
