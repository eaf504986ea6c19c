package drumdeal.relay;

import drumdeal.Policy;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.util.ArrayDeque;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/**
 * One client connection: reads requests, answers them in order, and closes the connection of a client that does not
 * complete its request in time. Runs on the event loop.
 */
final class ClientConnection extends SimpleChannelInboundHandler<HttpObject> implements Message.ClientReply {
    /** Limit of complete requests that wait to be handled. */
    private static final int MAX_PIPELINED_REQUESTS = 8;
    /** How long a client may take to send a request: the first from connecting, later ones from their first byte. */
    private static final long REQUEST_TIMEOUT_MILLIS = 2500;
    private static final long IDLE_TIMEOUT_MILLIS = 10_000;
    /** How long the connection is still read after output was shut down. */
    private static final long LINGER_TIMEOUT_MILLIS = 2000;
    private static final double MICROS_PER_SECOND = 1e6;

    private final ClientServer server;
    private final Engine engine;
    private final Clock clock;
    /** Complete requests that are not handled yet. */
    private final ArrayDeque<ClientRequest> pipelined = new ArrayDeque<>();
    /** The memory that the connection's input takes. */
    private final InputBudget.Share inputShare;
    private final ClientRequestDecoder decoder;
    private ChannelHandlerContext context;
    private long openedAt;
    /** The earliest time at which the client can have connected. */
    private long earliestConnectionArrival;
    /** Earliest arrival of bytes left unread while too many requests were pipelined; MAX_VALUE if none are. */
    private long readPausedSince = Long.MAX_VALUE;
    private long earliestArrivalOfLastBytes;
    /** True while no byte of the next request has been read. */
    private boolean idle = true;
    private boolean hasServedRequest;
    /** Whether the connection stays open after the response to the current request. */
    private boolean keepAlive;
    /** The request whose body is being received; null between requests. */
    private ClientRequest partialRequest;
    private boolean handlingPipelined;
    /** True from handling a request until its response is written. */
    private boolean responsePending;
    /** Status of the last response if a request is rejected before its end was read; null otherwise. */
    private HttpResponseStatus rejectionStatus;
    /** True from writing the last response, or from shutting down an idle connection. */
    private boolean closing;
    /** The accepted message whose response is pending; null otherwise. */
    private Message pendingMessage;
    private Future<?> timer;
    /** Null until the connection is open. */
    private UnsentResponses responses;

    ClientConnection(ClientServer server, Engine engine, Clock clock) {
        this.server = server;
        this.engine = engine;
        this.clock = clock;
        inputShare = server.openInputShare();
        decoder = new ClientRequestDecoder(() -> pipelined.size() < MAX_PIPELINED_REQUESTS && !responses.isFull(),
                inputShare);
    }

    /** The handlers of the channel's pipeline, in order. */
    ChannelHandler[] handlers() {
        return new ChannelHandler[] {new InboundByteHandler(), InboundCopyHandler.INSTANCE, decoder,
            new HttpResponseEncoder(), this};
    }

    boolean isResponsePending() {
        return responsePending;
    }

    /** True if no further response will be sent. */
    boolean isClosing() {
        return closing;
    }

    /** Closes the connection after a delay unless a request arrives first. */
    void scheduleIdleClose(long millis) {
        startTimer(millis, this::closeIfIdle);
    }

    /**
     * Closes an idle connection. Reads first, as a request may have arrived since this pass of the loop read. Shuts
     * down output only: a client whose request is on its way would otherwise see a reset instead of an orderly end of
     * the connection.
     */
    private void closeIfIdle() {
        readNow();
        if (closing) {
            close();
        } else if (idle) {
            closing = true;
            server.noteConnectionChange();
            startLingeringClose();
        }
    }

    /** Rejects a request that is not complete yet and closes an idle connection; a complete request is answered. */
    void rejectIncompleteRequest() {
        if (!closing && idle) {
            closeIfIdle();
        } else if (!closing && !responsePending) {
            rejectAndClose(HttpResponseStatus.SERVICE_UNAVAILABLE);
        }
    }

    /** Reads what has arrived so far, without waiting for the loop's next pass. */
    void readNow() {
        ((AbstractNioChannel) context.channel()).unsafe().read();
    }

    void close() {
        context.close();
    }

    /** Notes when bytes arrive, before they are decoded, and discards those after the last request to be handled. */
    private final class InboundByteHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object bytes) {
            if (rejectionStatus != null || closing) {
                ReferenceCountUtil.release(bytes);
                return;
            }
            earliestArrivalOfLastBytes = earliestByteArrival();
            if (!responsePending) {
                server.onBytesReceived(ClientConnection.this);
            }
            if (idle) {
                idle = false;
                if (hasServedRequest) {
                    startTimer(REQUEST_TIMEOUT_MILLIS, ClientConnection.this::onRequestTimeout);
                }
            }
            ctx.fireChannelRead(bytes);
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            if (ctx.channel().config().isAutoRead()) {
                readPausedSince = Long.MAX_VALUE;
            }
            ctx.fireChannelReadComplete();
        }
    }

    /** The earliest time at which the bytes that are read now can have arrived. */
    private long earliestByteArrival() {
        long earliest = Math.min(readPausedSince, server.earliestByteArrival());
        // Bytes sent right after connecting have waited as long as the connection has waited to be accepted.
        return earliest <= openedAt ? Math.min(earliest, earliestConnectionArrival) : earliest;
    }

    /** Starts the connection's only timer; a running one is cancelled. */
    private void startTimer(long millis, Runnable task) {
        stopTimer();
        timer = context.executor().schedule(task, millis, TimeUnit.MILLISECONDS);
    }

    private void stopTimer() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        context = ctx;
        responses = new UnsentResponses(ctx, this::resumeAfterWrites,
                () -> engine.countTurnedAway("responses not read"));
        openedAt = clock.micros();
        earliestConnectionArrival = server.earliestConnectionArrival();
        startTimer(REQUEST_TIMEOUT_MILLIS, this::onRequestTimeout);
        server.onConnectionOpened(this);
    }

    /** Closes the connection of a client that has sent nothing, and rejects a request that is not complete in time. */
    private void onRequestTimeout() {
        timer = null;
        // The last byte of the request may have arrived since this pass of the loop read.
        readNow();
        if (timer != null || closing) {
            return;
        }
        if (idle) {
            close();
        } else if (!responsePending && !hasUnhandledRequests()) {
            rejectAndClose(HttpResponseStatus.REQUEST_TIMEOUT);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        stopTimer();
        responses.stop();
        pipelined.clear();
        partialRequest = null;
        server.onConnectionClosed(this);
        inputShare.release();
        withdraw();
    }

    /**
     * Withdraws the message of a client that disconnected before its response. It must not be delivered: the client no
     * longer waits for it and may submit it again under another id.
     */
    private void withdraw() {
        if (pendingMessage != null) {
            engine.withdraw(pendingMessage);
            pendingMessage = null;
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof Error) {
            Log.write("closing the connection of a client: " + cause);
        }
        ctx.close();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
        if (rejectionStatus != null || closing) {
            return;
        }
        if (part.decoderResult().cause() instanceof ClientRequestDecoder.InputMemoryException) {
            rejectForLackOfMemory();
            return;
        }
        if (part instanceof HttpRequest head) {
            // The request counts them from here on.
            inputShare.removeFields();
            ClientRequest request = new ClientRequest(head, inputShare);
            HttpResponseStatus status = request.rejectionStatus();
            if (status != null) {
                rejectAndClose(status);
                return;
            }
            if (!request.tryReserveHead()) {
                rejectForLackOfMemory();
                return;
            }
            partialRequest = request;
            if (HttpUtil.is100ContinueExpected(head) && !responsePending && pipelined.isEmpty()) {
                responses.write(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE,
                        Unpooled.EMPTY_BUFFER));
                responses.flush();
            }
        }
        if (part instanceof HttpContent content && partialRequest != null) {
            readBody(content);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        handlePipelined();
        countUndecodedBytes();
        ctx.fireChannelReadComplete();
    }

    private void countUndecodedBytes() {
        if (!inputShare.trySetUndecodedBytes(decoder.undecodedBytes()) && rejectionStatus == null && !closing) {
            rejectForLackOfMemory();
        }
    }

    private void readBody(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            rejectAndClose(HttpResponseStatus.BAD_REQUEST);
        } else if (!partialRequest.fits(content.content())) {
            rejectAndClose(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
        } else if (!partialRequest.tryAppendBody(content.content())) {
            rejectForLackOfMemory();
        } else if (content instanceof LastHttpContent) {
            inputShare.removeFields();
            partialRequest.setEarliestArrival(earliestArrivalOfLastBytes);
            pipelined.add(partialRequest);
            partialRequest = null;
            server.onRequestComplete(this);
            updateAutoRead();
        }
    }

    /**
     * Stops reading while too many requests are pipelined, or the client does not take its responses: a client that
     * sends hundreds at once has to wait.
     */
    private void updateAutoRead() {
        boolean full = decoder.isPaused() || pipelined.size() >= MAX_PIPELINED_REQUESTS || responses.isFull();
        if (full) {
            readPausedSince = Math.min(readPausedSince, server.earliestByteArrival());
        }
        context.channel().config().setAutoRead(!full);
    }

    /** Decodes the bytes held back. Runs as a task of its own, so that other connections are served in between. */
    private void resumeDecoding() {
        if (responses.isFull()) {
            responses.awaitSpace();
        } else if (decoder.isPaused() && !closing && pipelined.size() < MAX_PIPELINED_REQUESTS) {
            try {
                decoder.resume();
            } catch (Exception e) {
                exceptionCaught(context, e);
            }
            updateAutoRead();
            handlePipelined();
            countUndecodedBytes();
        }
    }

    /** True if a complete request is not handled yet, or undecoded bytes may hold one. */
    private boolean hasUnhandledRequests() {
        return decoder.isPaused() || !pipelined.isEmpty();
    }

    /** Rejects a request without reading the rest of it. Earlier requests are answered first, later ones ignored. */
    private void rejectAndClose(HttpResponseStatus status) {
        if (partialRequest != null) {
            partialRequest.releaseMemory();
            partialRequest = null;
        }
        rejectionStatus = status;
        inputShare.removeFields();
        decoder.discardInput();
        handlePipelined();
    }

    /** Rejects a request because the input of all connections together takes too much memory. */
    private void rejectForLackOfMemory() {
        engine.countTurnedAway("input memory");
        rejectAndClose(HttpResponseStatus.SERVICE_UNAVAILABLE);
    }

    /**
     * Handles decoded requests until one has to wait for its response. The bytes held back are decoded in a later task:
     * otherwise all other clients and all due timers would wait for a client that sends hundreds of requests at once.
     */
    private void handlePipelined() {
        if (handlingPipelined || closing || !hasUnhandledRequests() && rejectionStatus == null) {
            return;
        }
        handlingPipelined = true;
        while (!responsePending && !closing && !pipelined.isEmpty() && !responses.isFull()) {
            ClientRequest request = pipelined.poll();
            handleRequest(request);
            request.releaseMemory();
        }
        if (rejectionStatus != null && !responsePending && !closing && pipelined.isEmpty()) {
            keepAlive = false;
            sendResponse(rejectionStatus, 0);
        }
        handlingPipelined = false;
        if (decoder.isPaused() && !responsePending) {
            context.executor().schedule(this::resumeDecoding, 0, TimeUnit.MILLISECONDS);
        }
        responses.flush();
        if (responses.isFull()) {
            responses.awaitSpace();
        }
        if (!closing) {
            updateAutoRead();
        }
    }

    /** Goes on with the requests that waited until the client's system took responses. */
    private void resumeAfterWrites() {
        if (!closing && context.channel().isActive()) {
            updateAutoRead();
            handlePipelined();
        }
    }

    private void handleRequest(ClientRequest request) {
        responsePending = true;
        HttpRequest head = request.head();
        keepAlive = HttpUtil.isKeepAlive(head);
        if (head.uri().equals("/api")) {
            if (head.method().equals(HttpMethod.POST)) {
                acceptMessage(request);
            } else {
                sendResponse(HttpResponseStatus.METHOD_NOT_ALLOWED, 0);
            }
        } else if (head.uri().equals("/-/ready")) {
            sendResponse(engine.isReady() && server.isMarkedReady() ? HttpResponseStatus.OK
                    : HttpResponseStatus.SERVICE_UNAVAILABLE, 0);
        } else {
            sendResponse(HttpResponseStatus.NOT_FOUND, 0);
        }
    }

    private void acceptMessage(ClientRequest request) {
        Message.Content content = request.parseContent();
        Policy.RequestTerms terms = content == null ? null : engine.termsFor(content);
        if (terms == null) {
            sendResponse(HttpResponseStatus.BAD_REQUEST, 0);
        } else {
            pendingMessage = engine.acceptMessage(content, terms, server.earliestByteArrival(), this);
        }
    }

    @Override
    public void sendAccepted() {
        sendResponse(HttpResponseStatus.ACCEPTED, 0);
    }

    @Override
    public void sendRejected(long retryAfterMicros) {
        sendResponse(HttpResponseStatus.SERVICE_UNAVAILABLE, retryAfterMicros);
    }

    @Override
    public void sendFailed() {
        sendResponse(HttpResponseStatus.INTERNAL_SERVER_ERROR, 0);
    }

    @Override
    public boolean hasClientLeft() {
        readNow();
        return !context.channel().isActive();
    }

    private void sendResponse(HttpResponseStatus status, long retryAfterMicros) {
        FullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
        HttpUtil.setContentLength(response, 0);
        closing = !keepAlive || server.isDraining() && !hasUnhandledRequests();
        boolean lastResponse = closing;
        if (lastResponse) {
            server.onRequestComplete(this);
            decoder.discardInput();
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        if (retryAfterMicros > 0) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER,
                    String.format(Locale.ROOT, "%.3f", retryAfterMicros / MICROS_PER_SECOND));
        }
        Message answeredMessage = pendingMessage;
        pendingMessage = null;
        responsePending = false;
        responses.write(response).addListener(future -> {
            if (!future.isSuccess() && answeredMessage != null) {
                engine.withdraw(answeredMessage);
            }
            if (!future.isSuccess()) {
                context.close();
            } else if (lastResponse) {
                startLingeringClose();
            }
        });
        if (!lastResponse) {
            afterResponse();
        }
        // handlePipelined() flushes the responses of one pass together.
        if (!handlingPipelined) {
            responses.flush();
        }
    }

    private void afterResponse() {
        stopTimer();
        hasServedRequest = true;
        idle = !hasUnhandledRequests() && partialRequest == null && rejectionStatus == null;
        if (idle) {
            server.onConnectionIdle(this);
            startTimer(IDLE_TIMEOUT_MILLIS, this::closeIfIdle);
        } else if (partialRequest != null) {
            server.onBytesReceived(this);
            startTimer(REQUEST_TIMEOUT_MILLIS, this::onRequestTimeout);
        }
        handlePipelined();
    }

    /**
     * Shuts down output and goes on reading for a while. Closing the socket with unread bytes would send a reset, and
     * the client could then lose the response.
     */
    private void startLingeringClose() {
        if (!context.channel().isActive()) {
            return;
        }
        ((DuplexChannel) context.channel()).shutdownOutput();
        context.channel().config().setAutoRead(true);
        startTimer(LINGER_TIMEOUT_MILLIS, this::close);
    }
}
