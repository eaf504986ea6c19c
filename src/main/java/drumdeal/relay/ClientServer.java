package drumdeal.relay;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioChannelOption;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Listens for clients, and limits the number of their connections and the memory that incomplete requests take. Runs on
 * the event loop.
 */
final class ClientServer {
    /** The id of a message, set by its client; the same id means the same message. */
    static final String CALL_ID_HEADER = "X-Call-Id";
    /** The key by which hosts recognise a repeated message; optional. */
    static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";
    /** The time left for a message, in milliseconds. */
    static final String BUDGET_HEADER = "X-Budget-Ms";
    /** A host's report of its load. */
    static final String LOAD_REPORT_HEADER = "X-Load-Report";
    private static final int MAX_LISTEN_BACKLOG = 1024;
    /** The time over which idle connections are closed when the relay drains. */
    private static final long IDLE_CLOSE_SPREAD_MILLIS = 1000;
    /** While another process uses descriptors, at least a quarter of the configured connections stay allowed. */
    private static final int MIN_CONNECTIONS_DIVISOR = 4;

    private final Engine engine;
    private final Clock clock;
    private final EventLoopMonitor loopMonitor;
    private final int configuredMaxConnections;
    /** The configured limit, less what is reserved for another process. */
    private int maxConnections;
    private final Set<ClientConnection> connections = new HashSet<>();
    /** Connections without a complete request, the one whose last byte arrived longest ago first. */
    private final Set<ClientConnection> connectionsAwaitingRequest = new LinkedHashSet<>();
    /** Connections without a byte since their last response, the one idle for longest first. */
    private final Set<ClientConnection> idleConnections = new LinkedHashSet<>();
    private final InputBudget inputBudget = new InputBudget();
    /** Null until {@link #listen} is called. */
    private ClientServerChannel serverChannel;
    /** Earliest arrival of connections that the last pass may have left unaccepted; MAX_VALUE if it left none. */
    private long unacceptedSince = Long.MAX_VALUE;
    private boolean markedUnready;
    private boolean draining;
    /** When a client last connected or disconnected, or an idle connection was shut down. */
    private long lastConnectionChangeNanos = System.nanoTime();

    ClientServer(Engine engine, Clock clock, EventLoopMonitor loopMonitor, int connectionLimit) {
        this.engine = engine;
        this.clock = clock;
        this.loopMonitor = loopMonitor;
        configuredMaxConnections = connectionLimit;
        this.maxConnections = connectionLimit;
    }

    /** Listens for clients at an address. */
    ChannelFuture listen(EventLoop loop, InetSocketAddress address) {
        ChannelFuture bindFuture = new ServerBootstrap().group(loop).channelFactory(ClientServerChannel::new)
                .option(ChannelOption.SO_BACKLOG, MAX_LISTEN_BACKLOG).option(ChannelOption.SO_REUSEADDR, true)
                // Lets the next version of the relay listen before this one has ended.
                .option(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true)
                .handler(new AcceptTracker()).childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        ch.pipeline().addLast(new ClientConnection(ClientServer.this, engine, clock).handlers());
                    }
                }).bind(address);
        serverChannel = (ClientServerChannel) bindFuture.channel();
        return bindFuture;
    }

    /**
     * Notes since when connections may have waited to be accepted. A pass of the loop accepts a limited number, so
     * others may wait for several passes.
     */
    private final class AcceptTracker extends AcceptErrorHandler {
        private int acceptedInPass;
        /** The earliest arrival of the connections that the last pass accepted or left. */
        private long earliestArrivalInPass;

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object child) {
            acceptedInPass++;
            ctx.fireChannelRead(child);
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            boolean acceptedAll = acceptedInPass < ctx.channel().metadata().defaultMaxMessagesPerRead();
            earliestArrivalInPass = earliestConnectionArrival();
            unacceptedSince = acceptedAll ? Long.MAX_VALUE : earliestArrivalInPass;
            acceptedInPass = 0;
            ctx.fireChannelReadComplete();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // The pass ended early and may have left connections, even if it accepted few.
            unacceptedSince = earliestArrivalInPass;
            super.exceptionCaught(ctx, cause);
        }
    }

    /** The earliest time at which a connection that is accepted now can have been made. */
    long earliestConnectionArrival() {
        return Math.min(unacceptedSince, loopMonitor.earliestArrival());
    }

    /** The earliest time at which bytes that are read now can have arrived. */
    long earliestByteArrival() {
        return loopMonitor.earliestArrival();
    }

    /** Reports the relay as not ready from now on, so that clients use others. New clients are still served. */
    void markUnready() {
        markedUnready = true;
    }

    /** Takes back {@link #markUnready} and {@link #drain}. */
    void markReady() {
        markedUnready = false;
        draining = false;
    }

    /** True unless the relay is marked unready or drains, by operators or for a planned end of the process. */
    boolean isMarkedReady() {
        return !markedUnready && !draining;
    }

    /**
     * Closes connections once they are idle, those that are idle now one after another. A request that a client has
     * begun to send is still answered. A connection without any byte yet stays open: it is new, and its client is about
     * to send a request.
     */
    void drain() {
        if (draining) {
            return;
        }
        draining = true;
        // Spread over time, so that fewer requests arrive just as their connection closes. A request that arrives
        // before that is answered, with "Connection: close". The connections idle for longest close first: they are
        // used least.
        int position = 0;
        for (ClientConnection connection : idleConnections) {
            connection.scheduleIdleClose(IDLE_CLOSE_SPREAD_MILLIS * ++position / idleConnections.size());
        }
    }

    boolean isDraining() {
        return draining;
    }

    /** True if no connection that is accepted is left on which a response may still be sent. */
    private boolean hasNoActiveClients() {
        return connections.stream().allMatch(ClientConnection::isClosing);
    }

    /** As above, and for {@code millis} no client has connected or disconnected and no idle one was shut down. */
    boolean hasNoActiveClients(long millis) {
        return hasNoActiveClients()
                && System.nanoTime() - lastConnectionChangeNanos >= TimeUnit.MILLISECONDS.toNanos(millis);
    }

    /** True while a complete request has no response yet. */
    boolean hasPendingResponses() {
        return connections.stream().anyMatch(ClientConnection::isResponsePending);
    }

    /** Stops listening once all waiting connections are accepted: those still waiting would be reset. */
    void stopListening() {
        if (hasStoppedListening()) {
            return;
        }
        // A channel that is not bound yet has nothing to accept.
        if (serverChannel.isActive()) {
            unacceptedSince = earliestConnectionArrival();
            serverChannel.acceptAllAndClose();
        } else {
            serverChannel.close();
        }
    }

    /** True if no client can connect, now or later, and all that have connected are accepted. */
    boolean hasStoppedListening() {
        return serverChannel == null || !serverChannel.isOpen();
    }

    /** True if no client can connect any more, and no connection is left on which a response may still be sent. */
    boolean hasServedAllClients() {
        return hasStoppedListening() && hasNoActiveClients();
    }

    /** Reads what clients have sent so far, without waiting for the loop's next pass. */
    void readNow() {
        List.copyOf(connections).stream().filter(connection -> !connection.isClosing())
                .forEach(ClientConnection::readNow);
    }

    /**
     * Rejects requests that are not complete and closes idle connections. The process is about to end, and bytes that
     * arrive after that are answered with a reset.
     */
    void rejectIncompleteRequests() {
        List.copyOf(connections).forEach(ClientConnection::rejectIncompleteRequest);
    }

    /** Lowers the limit of connections by the number of descriptors that another process uses; 0 restores it. */
    void reserveDescriptors(int descriptors) {
        maxConnections = Math.max(1, Math.max(configuredMaxConnections / MIN_CONNECTIONS_DIVISOR,
                configuredMaxConnections - descriptors));
    }

    int connectionCount() {
        return connections.size();
    }

    /**
     * Adds a connection. At the limit, the connection that has made no progress for longest is closed, so that clients
     * can't take every descriptor.
     */
    void onConnectionOpened(ClientConnection connection) {
        if (connections.size() >= maxConnections) {
            ClientConnection leastActive = findLeastActive(connection);
            // Removed at once: its close is reported later, and more connections that are accepted in the same pass
            // would exceed the limit.
            onConnectionClosed(leastActive);
            leastActive.close();
            if (leastActive == connection) {
                return;
            }
        }
        connections.add(connection);
        connectionsAwaitingRequest.add(connection);
        lastConnectionChangeNanos = System.nanoTime();
    }

    /**
     * The connection that has waited for the rest of its request for longest, else the one idle for longest, else
     * {@code newest}.
     */
    private ClientConnection findLeastActive(ClientConnection newest) {
        for (ClientConnection oldest : List.copyOf(connectionsAwaitingRequest)) {
            // The last byte of its request may have arrived and not been read yet.
            oldest.readNow();
            if (!connectionsAwaitingRequest.isEmpty() && connectionsAwaitingRequest.iterator().next() == oldest) {
                return oldest;
            }
        }
        for (ClientConnection oldest : List.copyOf(idleConnections)) {
            oldest.readNow();
            if (!idleConnections.isEmpty() && idleConnections.iterator().next() == oldest) {
                return oldest;
            }
        }
        return newest;
    }

    /** Bytes of a request that is not complete yet have arrived. */
    void onBytesReceived(ClientConnection connection) {
        idleConnections.remove(connection);
        connectionsAwaitingRequest.remove(connection);
        connectionsAwaitingRequest.add(connection);
    }

    /** A request is complete, or the rest of it will be ignored. */
    void onRequestComplete(ClientConnection connection) {
        connectionsAwaitingRequest.remove(connection);
    }

    /** An idle connection was shut down; its client may connect again. */
    void noteConnectionChange() {
        lastConnectionChangeNanos = System.nanoTime();
    }

    /** A connection has sent its response, and no byte of a next request has arrived. */
    void onConnectionIdle(ClientConnection connection) {
        idleConnections.add(connection);
    }

    /** Forgets a connection; no effect if it is already forgotten. */
    void onConnectionClosed(ClientConnection connection) {
        lastConnectionChangeNanos = connections.remove(connection) ? System.nanoTime() : lastConnectionChangeNanos;
        connectionsAwaitingRequest.remove(connection);
        idleConnections.remove(connection);
    }

    /** A share, for a new connection, of the memory that the input of all connections may take. */
    InputBudget.Share openInputShare() {
        return inputBudget.openShare();
    }
}
