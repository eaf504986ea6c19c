package drumdeal.relay;

import drumdeal.Policy;
import io.netty.buffer.ByteBuf;
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
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/** One client's connection: reads its requests, answers them in order, and gives up a client that stalls. */
final class ClientConnection extends SimpleChannelInboundHandler<HttpObject> implements Message.ClientReply {
    private static final int MAX_PIPELINED_REQUESTS = 8;
    /** For a first request from connecting, for later ones from their first byte. */
    private static final long REQUEST_TIMEOUT_MILLIS = 2500;
    private static final long IDLE_TIMEOUT_MILLIS = 10_000;
    private static final long LINGER_TIMEOUT_MILLIS = 2000;

    private final ClientServer server;
    private final Engine engine;
    private final Clock clock;
    private final ArrayDeque<ClientRequest> pipelined = new ArrayDeque<>();
    private final BoundedRequestDecoder decoder = new BoundedRequestDecoder();
    /** Bytes that were read wait until requests before them have their answers. */
    private boolean hasUndecodedBytes;
    private ChannelHandlerContext context;
    private long openedAt;
    private long earliestConnectionArrival;
    /** Since when bytes may have waited that were not read while too many requests were pipelined. */
    private long readPausedSince = Long.MAX_VALUE;
    private long earliestArrivalOfLastBytes;
    private boolean idle = true;
    private boolean hasServedRequest;
    private boolean keepAlive;
    private ClientRequest partialRequest;
    private boolean handlingPipelined;
    private boolean responsePending;
    /** The last request that is heeded can't be read on; its refusal is the last answer. */
    private HttpResponseStatus rejectionStatus;
    private boolean closing;
    private int bufferedBytes;
    private Message pendingMessage;
    private Future<?> timer;

    ClientConnection(ClientServer server, Engine engine, Clock clock) {
        this.server = server;
        this.engine = engine;
        this.clock = clock;
    }

    /** What the channel's pipeline is made of. */
    ChannelHandler[] handlers() {
        return new ChannelHandler[] {new InboundByteHandler(), decoder, new HttpResponseEncoder(), this};
    }

    boolean isResponsePending() {
        return responsePending;
    }

    /** True where the last answer has been written. */
    boolean isClosing() {
        return closing;
    }

    /** Closes in a while, unless a request comes first. */
    void scheduleIdleClose(long millis) {
        startTimer(millis, this::closeIfIdle);
    }

    /**
     * Ends a connection that rests. Guards against a request that has come since this pass has read, and, by an end to
     * sending alone, against one that is on its way: its client would see a reset, and has the right to an end.
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

    /** Waits no longer for the rest of a request, or for one to come; one that is whole is answered. */
    void rejectIncompleteRequest() {
        if (!closing && idle) {
            closeIfIdle();
        } else if (!closing && !responsePending) {
            rejectAndClose(HttpResponseStatus.SERVICE_UNAVAILABLE);
        }
    }

    /** Reads what has come so far, without waiting for the loop's next pass. */
    void readNow() {
        ((AbstractNioChannel) context.channel()).unsafe().read();
    }

    void close() {
        context.close();
    }

    /** Notices the first byte of a request, and lets go by what comes after the last one that is heeded. */
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

    /** The earliest time at which the bytes that are read now can have come. */
    private long earliestByteArrival() {
        long since = Math.min(readPausedSince, server.earliestByteArrival());
        // Guards against bytes that came with the connection and waited, with it, to be accepted.
        return since <= openedAt ? Math.min(since, earliestConnectionArrival) : since;
    }

    /** Takes bytes apart only as far as there is room for requests; the others wait as they came. */
    private final class BoundedRequestDecoder extends HttpRequestDecoder {
        @Override
        protected void decode(ChannelHandlerContext ctx, ByteBuf bytes, List<Object> out) throws Exception {
            if (pipelined.size() < MAX_PIPELINED_REQUESTS) {
                super.decode(ctx, bytes, out);
            } else {
                hasUndecodedBytes = true;
            }
        }

        /** Guards against two lengths, of which only one can be true: both stay, for the reader to see. */
        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage request) { }
    }

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
        openedAt = clock.micros();
        earliestConnectionArrival = server.earliestConnectionArrival();
        startTimer(REQUEST_TIMEOUT_MILLIS, this::onRequestTimeout);
        server.onConnectionOpened(this);
    }

    /** Guards against clients that connect and say nothing, or begin a request and never end it. */
    private void onRequestTimeout() {
        timer = null;
        // Guards against refusing a request whose last byte has come since this pass has read.
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
        pipelined.clear();
        partialRequest = null;
        server.onConnectionClosed(this);
        server.releaseBuffer(bufferedBytes);
        bufferedBytes = 0;
        withdraw();
    }

    /** Guards against delivering what its client gave up and may hand in again under another id. */
    private void withdraw() {
        if (pendingMessage != null) {
            engine.withdraw(pendingMessage);
            pendingMessage = null;
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
        if (rejectionStatus != null || closing) {
            return;
        }
        if (part instanceof HttpRequest head) {
            partialRequest = new ClientRequest(head);
            HttpResponseStatus why = partialRequest.rejectionStatus();
            if (why != null) {
                rejectAndClose(why);
                return;
            }
            if (HttpUtil.is100ContinueExpected(head) && !responsePending && pipelined.isEmpty()) {
                ctx.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
                        HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
            }
        }
        if (part instanceof HttpContent content && partialRequest != null) {
            readBody(content);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        handlePipelined();
        ctx.fireChannelReadComplete();
    }

    private void readBody(HttpContent content) {
        int bytes = content.content().readableBytes();
        if (content.decoderResult().isFailure()) {
            rejectAndClose(HttpResponseStatus.BAD_REQUEST);
        } else if (!partialRequest.appendBody(content.content())) {
            rejectAndClose(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
        } else if (!server.tryReserveBuffer(bytes, partialRequest.bodySize())) {
            // Guards against half-read bodies that together take all the memory.
            rejectAndClose(HttpResponseStatus.SERVICE_UNAVAILABLE);
        } else {
            bufferedBytes += bytes;
            if (content instanceof LastHttpContent) {
                partialRequest.setEarliestArrival(earliestArrivalOfLastBytes);
                pipelined.add(partialRequest);
                partialRequest = null;
                server.onRequestComplete(this);
                updateAutoRead();
            }
        }
    }

    /** Guards against hundreds of requests at once: what is not read yet waits with its client. */
    private void updateAutoRead() {
        boolean full = hasUndecodedBytes || pipelined.size() >= MAX_PIPELINED_REQUESTS;
        if (full) {
            readPausedSince = Math.min(readPausedSince, server.earliestByteArrival());
        }
        context.channel().config().setAutoRead(!full);
    }

    /** Takes apart what waits, in a pass of its own: others come in between. */
    private void resumeDecoding() {
        if (hasUndecodedBytes && !closing && pipelined.size() < MAX_PIPELINED_REQUESTS) {
            hasUndecodedBytes = false;
            try {
                decoder.channelRead(context.pipeline().context(decoder), Unpooled.EMPTY_BUFFER);
            } catch (Exception e) {
                exceptionCaught(context, e);
            }
            updateAutoRead();
            handlePipelined();
        }
    }

    /** True where a request that was read, or may have been, has not been handled yet. */
    private boolean hasUnhandledRequests() {
        return hasUndecodedBytes || !pipelined.isEmpty();
    }

    /** Answers, after all that came before it, a request that can't be read on; nothing after it is heeded. */
    private void rejectAndClose(HttpResponseStatus why) {
        partialRequest = null;
        rejectionStatus = why;
        handlePipelined();
    }

    /**
     * Answers what can be answered of what has been taken apart. Guards, with the next part in a pass of its own, against
     * a client that sends hundreds of requests at once: all others, and every end that is due, would wait for them.
     */
    private void handlePipelined() {
        if (handlingPipelined || closing || !hasUnhandledRequests() && rejectionStatus == null) {
            return;
        }
        handlingPipelined = true;
        while (!responsePending && !closing && !pipelined.isEmpty()) {
            ClientRequest next = pipelined.poll();
            handle(next);
            bufferedBytes -= next.bodySize();
            server.releaseBuffer(next.bodySize());
        }
        if (rejectionStatus != null && !responsePending && !closing && pipelined.isEmpty()) {
            keepAlive = false;
            sendResponse(rejectionStatus, 0);
        }
        handlingPipelined = false;
        if (hasUndecodedBytes && !responsePending) {
            context.executor().schedule(this::resumeDecoding, 0, TimeUnit.MILLISECONDS);
        } else if (!closing) {
            updateAutoRead();
        }
        context.flush();
    }

    private void handle(ClientRequest request) {
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
    public void sendRejected(long retryIn) {
        sendResponse(HttpResponseStatus.SERVICE_UNAVAILABLE, retryIn);
    }

    @Override
    public void sendFailed() {
        sendResponse(HttpResponseStatus.INTERNAL_SERVER_ERROR, 0);
    }

    private void sendResponse(HttpResponseStatus status, long retryIn) {
        FullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
        HttpUtil.setContentLength(response, 0);
        closing = !keepAlive || server.isDraining() && !hasUnhandledRequests();
        boolean last = closing;
        if (last) {
            server.onRequestComplete(this);
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        if (retryIn > 0) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", retryIn / 1e6));
        }
        Message answered = pendingMessage;
        pendingMessage = null;
        responsePending = false;
        context.write(response).addListener(written -> {
            if (!written.isSuccess() && answered != null) {
                engine.withdraw(answered);
            }
            if (!written.isSuccess()) {
                context.close();
            } else if (last) {
                startLingeringClose();
            }
        });
        if (!last) {
            afterResponse();
        }
        // Those of one pass go together.
        if (!handlingPipelined) {
            context.flush();
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

    /** Guards against an answer that a reset takes with it, as what the client still sends is not read. */
    private void startLingeringClose() {
        if (!context.channel().isActive()) {
            return;
        }
        ((DuplexChannel) context.channel()).shutdownOutput();
        context.channel().config().setAutoRead(true);
        startTimer(LINGER_TIMEOUT_MILLIS, this::close);
    }
}
