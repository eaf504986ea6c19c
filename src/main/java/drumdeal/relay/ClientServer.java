package drumdeal.relay;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Listens for clients and keeps their connections, and what they have half sent, within bounds. */
final class ClientServer {
    static final String CALL_ID_HEADER = "X-Call-Id";
    static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";
    static final String BUDGET_HEADER = "X-Budget-Ms";
    static final String LOAD_REPORT_HEADER = "X-Load-Report";
    private static final int MAX_LISTEN_BACKLOG = 1024;
    /** How long it takes to close the connections that are idle when clients are to leave. */
    private static final long IDLE_CLOSE_SPREAD_MILLIS = 1000;
    private static final int MAX_BUFFERED_BYTES = 4 << 20;
    private static final int MAX_SMALL_REQUEST_BYTES = 4 << 10;

    private final Engine engine;
    private final Clock clock;
    private final EventLoopMonitor loopMonitor;
    private final int configuredMaxConnections;
    private int maxConnections;
    private final Set<ClientConnection> connections = new HashSet<>();
    /** Connections without a whole request, by their last byte, and those idle since an answer; oldest first. */
    private final Set<ClientConnection> connectionsAwaitingRequest = new LinkedHashSet<>();
    private final Set<ClientConnection> idleConnections = new LinkedHashSet<>();
    private Channel serverChannel;
    /** Since when connections may have waited to be accepted that the last pass left behind. */
    private long unacceptedSince = Long.MAX_VALUE;
    private int bufferedBytes;
    private boolean markedUnready;
    private boolean draining;
    /** When a client last came or went. */
    private long lastConnectionChangeNanos = System.nanoTime();

    ClientServer(Engine engine, Clock clock, EventLoopMonitor loopMonitor, int mostConnections) {
        this.engine = engine;
        this.clock = clock;
        this.loopMonitor = loopMonitor;
        configuredMaxConnections = mostConnections;
        this.maxConnections = mostConnections;
    }

    /** Listens for clients at an address. */
    ChannelFuture listen(EventLoop loop, InetSocketAddress address) {
        ChannelFuture bound = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, MAX_LISTEN_BACKLOG).option(ChannelOption.SO_REUSEADDR, true)
                // Lets the next version of the relay listen before this one has left.
                .option(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true)
                .handler(new AcceptTracker()).childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        ch.pipeline().addLast(new ClientConnection(ClientServer.this, engine, clock).handlers());
                    }
                }).bind(address);
        serverChannel = bound.channel();
        return bound;
    }

    /** Guards against connections that wait for several passes, as one accepts only so many. */
    private final class AcceptTracker extends AcceptErrorHandler {
        private int acceptedInPass;
        private long earliestArrivalInPass;

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object child) {
            acceptedInPass++;
            ctx.fireChannelRead(child);
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            boolean all = acceptedInPass < ctx.channel().metadata().defaultMaxMessagesPerRead();
            earliestArrivalInPass = earliestConnectionArrival();
            unacceptedSince = all ? Long.MAX_VALUE : earliestArrivalInPass;
            acceptedInPass = 0;
            ctx.fireChannelReadComplete();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            unacceptedSince = earliestArrivalInPass;
            super.exceptionCaught(ctx, cause);
        }
    }

    /** The earliest time at which a connection that is accepted now can have come. */
    long earliestConnectionArrival() {
        return Math.min(unacceptedSince, loopMonitor.earliestArrival());
    }

    /** The earliest time at which bytes that are read now can have come. */
    long earliestByteArrival() {
        return loopMonitor.earliestArrival();
    }

    /** Says from now on that clients had better go elsewhere; those that come are served as before. */
    void markUnready() {
        markedUnready = true;
    }

    /** Takes clients again, whatever was said before. */
    void markReady() {
        markedUnready = false;
        draining = false;
    }

    /** True while this relay takes clients, so far as it is up to the operators. */
    boolean isMarkedReady() {
        return !markedUnready && !draining;
    }

    /**
     * Closes connections as they fall idle, one after another; whatever a client has begun to send is still answered.
     * One that has sent nothing yet has come just now and is about to.
     */
    void drain() {
        if (draining) {
            return;
        }
        draining = true;
        // Guards against requests that cross the end of their connection: those that come get an answer that says so,
        // and what rests longest, and is used least, closes first.
        int place = 0;
        for (ClientConnection connection : idleConnections) {
            connection.scheduleIdleClose(IDLE_CLOSE_SPREAD_MILLIS * ++place / idleConnections.size());
        }
    }

    boolean isDraining() {
        return draining;
    }

    /** True where no client has a connection on which an answer may yet come. */
    boolean hasNoActiveClients() {
        return connections.stream().allMatch(ClientConnection::isClosing);
    }

    /** True where that has been so for a while, and nobody has come or gone in it. */
    boolean hasNoActiveClients(long millis) {
        return hasNoActiveClients() && System.nanoTime() - lastConnectionChangeNanos >= TimeUnit.MILLISECONDS.toNanos(millis);
    }

    /** True while a request that was read whole has no answer yet. */
    boolean hasPendingResponses() {
        return connections.stream().anyMatch(ClientConnection::isResponsePending);
    }

    /** Stops listening once all that has come is accepted: what still waited would be reset. */
    void stopListening() {
        if (hasStoppedListening()) {
            return;
        }
        // Guards against a listener that has no address yet.
        if (!serverChannel.isActive()) {
            serverChannel.close();
            return;
        }
        ((AbstractNioChannel) serverChannel).unsafe().read();
        if (unacceptedSince == Long.MAX_VALUE) {
            serverChannel.close();
        } else {
            serverChannel.eventLoop().execute(this::stopListening);
        }
    }

    /** True where nobody can come any more, and all who have are among the connections. */
    boolean hasStoppedListening() {
        return serverChannel == null || !serverChannel.isOpen();
    }

    /** Reads what clients have sent so far, without waiting for the loop's next pass. */
    void readNow() {
        List.copyOf(connections).stream().filter(connection -> !connection.isClosing())
                .forEach(ClientConnection::readNow);
    }

    /** Refuses what is not whole yet, and ends what rests: the process leaves, and what would come meets a reset. */
    void rejectIncompleteRequests() {
        List.copyOf(connections).forEach(ClientConnection::rejectIncompleteRequest);
    }

    /** So many descriptors are another process's for now; 0 where none are. */
    void reserveDescriptors(int descriptors) {
        maxConnections = Math.max(1, Math.max(configuredMaxConnections / 4, configuredMaxConnections - descriptors));
    }

    int connectionCount() {
        return connections.size();
    }

    /** Guards against clients that take every descriptor: those go first that have got on with nothing for longest. */
    void onConnectionOpened(ClientConnection connection) {
        if (connections.size() >= maxConnections) {
            ClientConnection first = findLeastActive(connection);
            // Guards against a house that fills further: its end is told later, and others come in the same pass.
            onConnectionClosed(first);
            first.close();
            if (first == connection) {
                return;
            }
        }
        connections.add(connection);
        connectionsAwaitingRequest.add(connection);
        lastConnectionChangeNanos = System.nanoTime();
    }

    private ClientConnection findLeastActive(ClientConnection newest) {
        for (ClientConnection first : List.copyOf(connectionsAwaitingRequest)) {
            // Guards against ending a client whose last byte has come and is not read yet.
            first.readNow();
            if (!connectionsAwaitingRequest.isEmpty() && connectionsAwaitingRequest.iterator().next() == first) {
                return first;
            }
        }
        for (ClientConnection first : List.copyOf(idleConnections)) {
            first.readNow();
            if (!idleConnections.isEmpty() && idleConnections.iterator().next() == first) {
                return first;
            }
        }
        return newest;
    }

    /** Bytes have come that make no whole request yet. */
    void onBytesReceived(ClientConnection connection) {
        idleConnections.remove(connection);
        connectionsAwaitingRequest.remove(connection);
        connectionsAwaitingRequest.add(connection);
    }

    /** A request is whole, or nothing more of it is heeded. */
    void onRequestComplete(ClientConnection connection) {
        connectionsAwaitingRequest.remove(connection);
    }

    /** A client has been told to go, and may come again. */
    void noteConnectionChange() {
        lastConnectionChangeNanos = System.nanoTime();
    }

    void onConnectionIdle(ClientConnection connection) {
        idleConnections.add(connection);
    }

    void onConnectionClosed(ClientConnection connection) {
        lastConnectionChangeNanos = connections.remove(connection) ? System.nanoTime() : lastConnectionChangeNanos;
        connectionsAwaitingRequest.remove(connection);
        idleConnections.remove(connection);
    }

    /**
     * Counts bytes that connections hold for requests; false where there is no room for more. Small requests
     * always have room.
     */
    boolean tryReserveBuffer(int bytes, int request) {
        if (bufferedBytes + bytes > MAX_BUFFERED_BYTES && request > MAX_SMALL_REQUEST_BYTES) {
            return false;
        }
        bufferedBytes += bytes;
        return true;
    }

    void releaseBuffer(int bytes) {
        bufferedBytes -= bytes;
    }
}
