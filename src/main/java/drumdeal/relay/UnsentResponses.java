package drumdeal.relay;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Writes the responses of one client connection and counts those that the client's system has not taken yet. Their
 * number is limited, and the connection of a client that takes none of them for a while is reset. Runs on the event
 * loop.
 */
final class UnsentResponses {
    /** With as many responses not taken, no further request is to be handled. */
    private static final int MAX_RESPONSES = 8;
    /** How long a client may take none of the responses that wait to be sent to it. */
    private static final long TIMEOUT_MILLIS = 2500;

    private final ChannelHandlerContext context;
    /** Called once requests that waited while the limit was reached may be handled. */
    private final Runnable onAllTaken;
    /** Called before the connection is reset. */
    private final Runnable onTimeout;
    private int count;
    /** Null if no response waits to be sent. */
    private Future<?> timer;
    private boolean requestsWaiting;

    UnsentResponses(ChannelHandlerContext context, Runnable onAllTaken, Runnable onTimeout) {
        this.context = context;
        this.onAllTaken = onAllTaken;
        this.onTimeout = onTimeout;
    }

    /** True while so many responses wait to be sent that another request has to wait. */
    boolean isFull() {
        return count >= MAX_RESPONSES;
    }

    /** Requests wait as the limit is reached; they may be handled once all responses are taken. */
    void awaitSpace() {
        requestsWaiting = true;
    }

    /** Writes a response without sending it yet. */
    ChannelFuture write(FullHttpResponse response) {
        count++;
        return context.write(response).addListener(written -> onTaken());
    }

    /** Sends what is written. */
    void flush() {
        context.flush();
        startTimerIfNeeded();
    }

    /** The connection is closed. */
    void stop() {
        requestsWaiting = false;
        stopTimer();
    }

    private void onTaken() {
        count--;
        if (timer != null) {
            stopTimer();
            startTimerIfNeeded();
        }
        if (requestsWaiting && count == 0) {
            requestsWaiting = false;
            // As a later task: responses are taken while others are being written.
            context.executor().schedule(onAllTaken, 0, TimeUnit.MILLISECONDS);
        }
    }

    private void startTimerIfNeeded() {
        if (count > 0 && timer == null && context.channel().isActive()) {
            timer = context.executor().schedule(this::resetConnection, TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void stopTimer() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
    }

    /** Resets the connection: an orderly end would wait in the system behind the responses that are not read. */
    private void resetConnection() {
        timer = null;
        onTimeout.run();
        context.channel().config().setOption(ChannelOption.SO_LINGER, 0);
        context.close();
    }
}
