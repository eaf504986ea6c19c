package drumdeal.relay;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * HTTP server for operators, at an address of its own. It answers one request on each connection:
 * {@code GET /healthcheck} with 200 or 503, {@code GET /stats} with figures as JSON, and {@code POST /healthcheck/fail}
 * and {@code /healthcheck/ok}, which start and stop draining. All requests are handled on one event loop.
 */
final class AdminServer {
    /** Limit of open connections; {@link Config} reserves as many descriptors for them. */
    static final int MAX_CONNECTIONS = 24;
    private static final int MAX_REQUEST_BYTES = 4096;
    /** Most bytes read on a connection, which carries one request with its head. */
    private static final int MAX_CONNECTION_BYTES = 16 << 10;
    /** A connection is closed this long after it was accepted, whatever it has sent. */
    private static final long CONNECTION_TIMEOUT_MILLIS = 2000;

    /** The relay's functions that operators may use. */
    interface Controls {
        /** Whether the relay listens for clients, has a host list and is not draining. */
        boolean isAcceptingClients();

        /** All figures as a JSON object. */
        String statsJson();

        /** Announces that the relay is not ready and, after a delay, closes clients' connections once they are idle. */
        void startDraining();

        /** Reverts {@link #startDraining}; no effect once this process is ending or handing over. */
        void stopDraining();
    }

    private final Controls controls;
    /** Open connections, oldest first. */
    private final Set<Channel> connections = new LinkedHashSet<>();

    AdminServer(Controls controls) {
        this.controls = controls;
    }

    /** Listens for operators at an address; the future completes once it is bound. */
    ChannelFuture listen(EventLoop loop, InetSocketAddress address) {
        return new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true).handler(new AcceptErrorHandler())
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel connection) {
                        connection.pipeline().addLast(new InputLimiter(), InboundCopyHandler.INSTANCE,
                                new HttpServerCodec(), new HttpObjectAggregator(MAX_REQUEST_BYTES), new RequestHandler());
                    }
                }).bind(address);
    }

    /** Closes a connection on which more is sent than one request: each further one may cost a response. */
    private static final class InputLimiter extends ChannelInboundHandlerAdapter {
        private int receivedBytes;

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            receivedBytes += ((ByteBuf) message).readableBytes();
            if (receivedBytes > MAX_CONNECTION_BYTES) {
                ReferenceCountUtil.release(message);
                ctx.close();
            } else {
                ctx.fireChannelRead(message);
            }
        }
    }

    /** Handles one connection. */
    private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private Future<?> timeoutTimer;
        private boolean answered;

        /**
         * Closes the oldest connection if the limit is reached. Otherwise connections on which nothing is sent could
         * keep operators out.
         */
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            if (connections.size() >= MAX_CONNECTIONS) {
                Channel oldest = connections.iterator().next();
                connections.remove(oldest);
                oldest.close();
            }
            connections.add(ctx.channel());
            timeoutTimer = ctx.executor().schedule(() -> ctx.close(), CONNECTION_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            timeoutTimer.cancel(false);
            connections.remove(ctx.channel());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            if (!answered) {
                answered = true;
                FullHttpResponse response = handleRequest(request);
                HttpUtil.setContentLength(response, response.content().readableBytes());
                response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
                ctx.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
            }
        }
    }

    private FullHttpResponse handleRequest(FullHttpRequest request) {
        if (request.decoderResult().isFailure()) {
            return emptyResponse(HttpResponseStatus.BAD_REQUEST);
        }
        HttpMethod method = switch (request.uri()) {
            case "/healthcheck", "/stats" -> HttpMethod.GET;
            case "/healthcheck/fail", "/healthcheck/ok" -> HttpMethod.POST;
            default -> null;
        };
        if (method == null) {
            return emptyResponse(HttpResponseStatus.NOT_FOUND);
        }
        if (!method.equals(request.method())) {
            return emptyResponse(HttpResponseStatus.METHOD_NOT_ALLOWED);
        }
        switch (request.uri()) {
            case "/stats" -> {
                return statsResponse();
            }
            case "/healthcheck/fail" -> controls.startDraining();
            case "/healthcheck/ok" -> controls.stopDraining();
            default -> {
                return emptyResponse(controls.isAcceptingClients() ? HttpResponseStatus.OK
                        : HttpResponseStatus.SERVICE_UNAVAILABLE);
            }
        }
        return emptyResponse(HttpResponseStatus.OK);
    }

    private FullHttpResponse statsResponse() {
        ByteBuf body = Unpooled.copiedBuffer(controls.statsJson(), StandardCharsets.UTF_8);
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, body);
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
        return response;
    }

    private static FullHttpResponse emptyResponse(HttpResponseStatus status) {
        return new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
    }
}
