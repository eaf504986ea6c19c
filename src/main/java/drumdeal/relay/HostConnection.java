package drumdeal.relay;

import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import java.util.function.Consumer;

/**
 * One connection to a host. It carries one call at a time and is reused only after a complete response without
 * further bytes behind it. Times are in microseconds on the relay's {@link Clock}, durations in microseconds.
 */
final class HostConnection extends SimpleChannelInboundHandler<HttpObject> {
    /** Time limit for a response, from its first bytes. Hosts write one at once; one that takes longer never ends. */
    private static final long MAX_RESPONSE_MICROS = 500_000;

    private final HostClient client;
    private final HostClient.Host host;
    private final EarlyStatusDecoder decoder = new EarlyStatusDecoder();
    private ChannelHandlerContext context;
    /** The call in progress; null if there is none. */
    private HostCall call;
    /** True if the host keeps the connection open after the last response. */
    private boolean reusable;
    /** True while a 1xx response is read, which is not the response to the call. */
    private boolean readingInformational;
    /** True from the end of a response until everything that was read with it has been checked. */
    private boolean responseComplete;
    /** When the last complete response was received; 0 before the first one. */
    private long idleSince;
    /** How long the connection was idle before the last call was sent; 0 for its first call. */
    private long idleBeforeCall;
    /** Limits the time of a response, delays the reuse, or ends the idle time; null if none of these applies. */
    private Future<?> timer;
    /** Number of calls sent on this connection. */
    private int callCount;

    HostConnection(HostClient client, HostClient.Host host) {
        this.client = client;
        this.host = host;
    }

    HostClient.Host host() {
        return host;
    }

    /** The handlers for the channel's pipeline, in order. */
    ChannelHandler[] handlers() {
        return new ChannelHandler[] {new HttpRequestEncoder(), InboundCopyHandler.INSTANCE, decoder, this};
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    /** Sends a call. The host may have run it only once its last byte was written. */
    void send(HostCall next) {
        stopTimer();
        idleBeforeCall = idleTime();
        callCount++;
        call = next;
        reusable = false;
        decoder.expectResponse();
        next.assignConnection(this);
        context.writeAndFlush(next.buildRequest()).addListener(written -> {
            if (written.isSuccess()) {
                next.markSent();
            } else {
                context.close();
            }
        });
    }

    /** How long the connection has been idle; 0 before its first response. */
    long idleTime() {
        return idleSince == 0 ? 0 : client.nowMicros() - idleSince;
    }

    /** When the last complete response was received; 0 before the first one. */
    long idleSince() {
        return idleSince;
    }

    /**
     * True if the host closes the connection after its response to the first call, as it does to reject a connection.
     */
    boolean isClosedAfterFirstResponse() {
        return callCount == 1 && !reusable;
    }

    /** How the connection was used before its current call, for the log. */
    String history() {
        return callCount == 1 ? "first call on its connection" : "call " + callCount + " on its connection after "
                + idleBeforeCall / 1000 + " ms idle";
    }

    /** Closes the connection unless a call is sent on it within this time. */
    void closeAfter(long micros) {
        startTimer(micros, this::close);
    }

    private void startTimer(long micros, Runnable task) {
        stopTimer();
        timer = client.schedule(micros, task);
    }

    private void stopTimer() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
    }

    /**
     * Closes the connection and removes it from the idle ones at once: it could otherwise be used for another call
     * before the event loop reports that it is closed.
     */
    void close() {
        client.removeIdle(this);
        context.close();
    }

    /** False if the host has closed the connection meanwhile: a call on it would end as one that may have run. */
    boolean isUsable() {
        readNow();
        return context.channel().isActive();
    }

    /** Reads what has been received so far, without waiting for the event loop's next pass. */
    void readNow() {
        if (context.channel().isActive()) {
            ((AbstractNioChannel) context.channel()).unsafe().read();
        }
    }

    /** Closes the connection after the relay has abandoned its call: no result of the call is reported any more. */
    void abandonCall() {
        call = null;
        close();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
        // No call is in progress: an unexpected response can't be distinguished from the next one.
        if (call == null) {
            ctx.close();
            return;
        }
        // A response to a request that was not written completely: the host has not run the call.
        if (!call.isSent()) {
            endCallAndClose(HostCall::connectionLost);
            return;
        }
        if (message.decoderResult().isFailure()) {
            endCallAndClose(this::endInvalidResponse);
            return;
        }
        if (message instanceof HttpResponse response) {
            readingInformational = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
            if (!isFramingValid(response)) {
                endCallAndClose(this::endInvalidResponse);
                return;
            }
            if (!readingInformational) {
                reusable = HttpUtil.isKeepAlive(response);
                call.receiveHead(response);
            }
        }
        if (message instanceof HttpContent content && !readingInformational) {
            if (!call.receiveBody(content.content())) {
                endCallAndClose(this::endInvalidResponse);
            } else if (content instanceof LastHttpContent) {
                HostCall completedCall = call;
                call = null;
                responseComplete = true;
                idleSince = client.nowMicros();
                client.idleConnectionSurvived(idleBeforeCall);
                completedCall.complete();
            }
        }
    }

    /** False for a response whose end is ambiguous, since it has two lengths, and for one that switches protocols. */
    private static boolean isFramingValid(HttpResponse response) {
        return !response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)
                && !(response.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)
                && response.headers().contains(HttpHeaderNames.CONTENT_LENGTH));
    }

    /** Ends a call whose response is malformed; only the status counts, if it could be read. */
    private void endInvalidResponse(HostCall endedCall) {
        endedCall.endInvalidResponse(decoder.status());
    }

    /** Ends the current call, if there is one, in the given way and closes the connection. */
    private void endCallAndClose(Consumer<HostCall> ending) {
        HostCall endedCall = call;
        call = null;
        if (endedCall != null) {
            ending.accept(endedCall);
        }
        context.close();
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (responseComplete) {
            responseComplete = false;
            // Bytes that follow the response would be read as the start of the next one.
            if (reusable && !decoder.hasLeftover()) {
                int generation = host.idleGeneration();
                startTimer(ResponseDecoder.REUSE_DELAY_MICROS, () -> release(generation));
            } else {
                ctx.close();
            }
        } else if (call == null && decoder.hasLeftover()) {
            // The start of an unexpected line: the next response would be read as the rest of it.
            close();
        } else if (call != null && decoder.status() == EarlyStatusDecoder.UNREADABLE) {
            endCallAndClose(this::endInvalidResponse);
        } else if (call != null && decoder.hasBegun()) {
            if (timer == null) {
                startTimer(MAX_RESPONSE_MICROS, () -> endCallAndClose(this::endInvalidResponse));
            }
            call.receiveStatusLine(decoder.status());
        }
    }

    /**
     * Makes the connection available for another call. It is closed if the host's idle connections were closed during
     * the reuse delay: it may be dead like them.
     */
    private void release(int generation) {
        if (generation != host.idleGeneration()) {
            context.close();
        } else if (context.channel().isActive()) {
            client.release(this);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        stopTimer();
        client.removeIdle(this);
        if (call != null && call.hasPendingAttempts() && !decoder.hasBegun()) {
            client.idleConnectionBroke(idleBeforeCall);
        }
        endCallAndClose(HostCall::connectionLost);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}
