package drumdeal.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/**
 * HTTP client for discovery's agent: one connection that is kept alive and carries one request at a time. Everything
 * runs on one event loop.
 */
final class AgentClient implements Discovery.Agent {
    /** In place of an HTTP status: no complete response arrived in time. */
    static final int TIMED_OUT = -1;
    /** In place of an HTTP status: the connection failed or ended before the response was complete. */
    static final int CONNECTION_LOST = 0;
    private static final int MAX_RESPONSE_BYTES = 2 << 20;
    private static final int CONNECT_TIMEOUT_MILLIS = 1000;
    /**
     * The agent may close an idle connection just as a request is sent on it. If a reused connection ends within this
     * time after a request, this is assumed to have happened, and the request is sent again on a new connection.
     */
    private static final long CLOSE_RACE_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    /** Receives the outcome of a request. */
    interface ResponseHandler {
        /** {@code status} is the HTTP status, {@link #CONNECTION_LOST} or {@link #TIMED_OUT}. */
        void handle(int status, String body);
    }

    /** A complete response; {@code connectionReusable} is false if its connection can't carry another request. */
    private record Response(int status, String body, boolean connectionReusable) { }

    private final EventLoop loop;
    private final Bootstrap bootstrap;
    private InetSocketAddress agentAddress;
    /** The current connection, possibly not established yet; null if there is none. */
    private Channel channel;
    /** Handler of the request in flight; null if there is none. */
    private ResponseHandler pendingHandler;
    private Future<?> timeoutTimer;
    /** Method, path and body of the last request. */
    private HttpMethod method;
    private String path;
    private String body;
    /** If the reused connection ends before this time, the request is sent again. */
    private long resendUntilNanos;
    /** True if the request was sent on a connection that earlier requests used. */
    private boolean connectionReused;
    /** True while a request is written to the current connection and its response has not arrived. */
    private boolean awaitingResponse;
    /** The current connection must not be reused before this time. */
    private long reusableAtNanos;

    AgentClient(EventLoop loop, InetSocketAddress agentAddress) {
        this.loop = loop;
        this.agentAddress = agentAddress;
        bootstrap = new Bootstrap().group(loop).channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        ResponseDecoder decoder = new ResponseDecoder();
                        ch.pipeline().addLast(new HttpRequestEncoder(), InboundCopyHandler.INSTANCE, decoder,
                                new HttpObjectAggregator(MAX_RESPONSE_BYTES), new ResponseReader(decoder));
                    }
                });
    }

    /** Sends a request. The handler is called once, later, with the response or with the reason why there is none. */
    @Override
    public void request(HttpMethod method, String path, String body, long timeoutMillis, ResponseHandler handler) {
        if (pendingHandler != null) {
            throw new IllegalStateException("a request is in flight already");
        }
        pendingHandler = handler;
        timeoutTimer = loop.schedule(this::timeOut, timeoutMillis, TimeUnit.MILLISECONDS);
        this.method = method;
        this.path = path;
        this.body = body;
        connectionReused = channel != null && channel.isActive();
        if (connectionReused) {
            resendUntilNanos = System.nanoTime() + CLOSE_RACE_NANOS;
            Channel reusedChannel = channel;
            loop.schedule(() -> writeRequest(reusedChannel), Math.max(0, reusableAtNanos - System.nanoTime()),
                    TimeUnit.NANOSECONDS);
        } else {
            connect();
        }
    }

    /** Writes the pending request unless its connection has been replaced or has ended. */
    private void writeRequest(Channel target) {
        if (target == channel && target.isActive() && pendingHandler != null && !awaitingResponse) {
            awaitingResponse = true;
            target.writeAndFlush(buildRequest());
        }
    }

    /** Builds the HTTP request to send or to resend. */
    private FullHttpRequest buildRequest() {
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, path,
                Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
        request.headers().set(HttpHeaderNames.HOST, agentAddress.getHostString() + ":" + agentAddress.getPort());
        HttpUtil.setContentLength(request, request.content().readableBytes());
        return request;
    }

    private void connect() {
        ChannelFuture connectFuture = bootstrap.connect(agentAddress);
        channel = connectFuture.channel();
        awaitingResponse = false;
        connectFuture.addListener(connected -> {
            if (connected.isSuccess()) {
                writeRequest(connectFuture.channel());
            } else {
                connectionLost(connectFuture.channel());
            }
        });
    }

    /** Uses another address from now on; a request in flight ends as one whose connection ended. */
    @Override
    public void moveTo(InetSocketAddress address) {
        agentAddress = address;
        Channel previous = channel;
        channel = null;
        if (previous != null) {
            previous.close();
        }
        finish(CONNECTION_LOST, "");
    }

    /** Resends or ends the request in flight. The end of an earlier connection is ignored. */
    private void connectionLost(Channel closedChannel) {
        if (closedChannel != channel) {
            return;
        }
        channel = null;
        // Resending is safe: a list may be requested twice, and a notice may be sent twice.
        boolean resend = pendingHandler != null && connectionReused && System.nanoTime() < resendUntilNanos;
        connectionReused = false;
        if (resend) {
            connect();
        } else {
            finish(CONNECTION_LOST, "");
        }
    }

    /** Ends the request and closes its connection: a late response must not be used for the next request. */
    private void timeOut() {
        Channel timedOutChannel = channel;
        channel = null;
        timedOutChannel.close();
        finish(TIMED_OUT, "");
    }

    /** Reports the outcome of the request in flight, if there is one. */
    private void finish(int status, String responseBody) {
        if (pendingHandler != null) {
            ResponseHandler handler = pendingHandler;
            pendingHandler = null;
            timeoutTimer.cancel(false);
            handler.handle(status, responseBody);
        }
    }

    /**
     * Passes responses on the current connection to the handler. A connection that brings more than the response to its
     * request is closed: what follows could be taken for a later response.
     */
    private final class ResponseReader extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final ResponseDecoder decoder;
        /** The response read in this pass; null if there is none. */
        private Response response;
        private boolean surplusReceived;

        ResponseReader(ResponseDecoder decoder) {
            this.decoder = decoder;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse received) {
            if (ctx.channel() != channel) {
                return;
            }
            if (!awaitingResponse || response != null) {
                surplusReceived = true;
                return;
            }
            response = new Response(received.status().code(), received.content().toString(StandardCharsets.UTF_8),
                    HttpUtil.isKeepAlive(received) && received.decoderResult().isSuccess());
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            if (ctx.channel() != channel) {
                return;
            }
            Response complete = response;
            response = null;
            boolean requestEnded = complete != null || !awaitingResponse;
            boolean surplus = surplusReceived || requestEnded && decoder.hasLeftover();
            if (complete != null) {
                awaitingResponse = false;
                reusableAtNanos = System.nanoTime()
                        + TimeUnit.MICROSECONDS.toNanos(ResponseDecoder.REUSE_DELAY_MICROS);
                if (surplus || !complete.connectionReusable()) {
                    channel = null;
                    ctx.close();
                }
                finish(complete.status(), complete.body());
            } else if (surplus) {
                connectionLost(ctx.channel());
                ctx.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            connectionLost(ctx.channel());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
