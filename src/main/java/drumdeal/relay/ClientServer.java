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
    static final String CALL_ID = "X-Call-Id";
    static final String KEY = "Idempotency-Key";
    static final String BUDGET = "X-Budget-Ms";
    static final String LOAD_REPORT = "X-Load-Report";
    private static final int BACKLOG = 1024;
    /** How long it takes to close the connections that are idle when clients are to leave. */
    private static final long CLOSING_MS = 1000;
    private static final int MOST_BUFFERED = 4 << 20;
    private static final int ALWAYS_BUFFERED = 4 << 10;

    private final Engine engine;
    private final Clock clock;
    private final EventLoopMonitor loopMonitor;
    private final int mostEver;
    private int mostConnections;
    private final Set<ClientConnection> connections = new HashSet<>();
    /** Connections without a whole request, by their last byte, and those idle since an answer; oldest first. */
    private final Set<ClientConnection> unfinished = new LinkedHashSet<>();
    private final Set<ClientConnection> idle = new LinkedHashSet<>();
    private Channel listener;
    /** Since when connections may have waited to be accepted that the last pass left behind. */
    private long leftSince = Long.MAX_VALUE;
    private int buffered;
    private boolean away;
    private boolean draining;
    /** When a client last came or went. */
    private long lastMoveAt = System.nanoTime();

    ClientServer(Engine engine, Clock clock, EventLoopMonitor loopMonitor, int mostConnections) {
        this.engine = engine;
        this.clock = clock;
        this.loopMonitor = loopMonitor;
        mostEver = mostConnections;
        this.mostConnections = mostConnections;
    }

    /** Listens for clients at an address. */
    ChannelFuture listen(EventLoop loop, InetSocketAddress address) {
        ChannelFuture bound = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG).option(ChannelOption.SO_REUSEADDR, true)
                // Lets the next version of the relay listen before this one has left.
                .option(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true)
                .handler(new Backlog()).childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        ch.pipeline().addLast(new ClientConnection(ClientServer.this, engine, clock).handlers());
                    }
                }).bind(address);
        listener = bound.channel();
        return bound;
    }

    /** Guards against connections that wait for several passes, as one accepts only so many. */
    private final class Backlog extends AcceptGuard {
        private int accepted;
        private long since;

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object child) {
            accepted++;
            ctx.fireChannelRead(child);
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            boolean all = accepted < ctx.channel().metadata().defaultMaxMessagesPerRead();
            since = acceptableSince();
            leftSince = all ? Long.MAX_VALUE : since;
            accepted = 0;
            ctx.fireChannelReadComplete();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            leftSince = since;
            super.exceptionCaught(ctx, cause);
        }
    }

    /** The earliest time at which a connection that is accepted now can have come. */
    long acceptableSince() {
        return Math.min(leftSince, loopMonitor.unreadSince());
    }

    /** The earliest time at which bytes that are read now can have come. */
    long unreadSince() {
        return loopMonitor.unreadSince();
    }

    /** Says from now on that clients had better go elsewhere; those that come are served as before. */
    void sendAway() {
        away = true;
    }

    /** Takes clients again, whatever was said before. */
    void welcome() {
        away = false;
        draining = false;
    }

    /** True while this relay takes clients, so far as it is up to the operators. */
    boolean isWelcoming() {
        return !away && !draining;
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
        for (ClientConnection connection : idle) {
            connection.closeIn(CLOSING_MS * ++place / idle.size());
        }
    }

    boolean isDraining() {
        return draining;
    }

    /** True where no client has a connection on which an answer may yet come. */
    boolean isDeserted() {
        return connections.stream().allMatch(ClientConnection::isEnding);
    }

    /** True where that has been so for a while, and nobody has come or gone in it. */
    boolean isDeserted(long millis) {
        return isDeserted() && System.nanoTime() - lastMoveAt >= TimeUnit.MILLISECONDS.toNanos(millis);
    }

    /** True while a request that was read whole has no answer yet. */
    boolean isAnswering() {
        return connections.stream().anyMatch(ClientConnection::isAnswering);
    }

    /** Stops listening once all that has come is accepted: what still waited would be reset. */
    void stopListening() {
        if (hasStoppedListening()) {
            return;
        }
        // Guards against a listener that has no address yet.
        if (!listener.isActive()) {
            listener.close();
            return;
        }
        ((AbstractNioChannel) listener).unsafe().read();
        if (leftSince == Long.MAX_VALUE) {
            listener.close();
        } else {
            listener.eventLoop().execute(this::stopListening);
        }
    }

    /** True where nobody can come any more, and all who have are among the connections. */
    boolean hasStoppedListening() {
        return listener == null || !listener.isOpen();
    }

    /** Reads what clients have sent so far, without waiting for the loop's next pass. */
    void readNow() {
        List.copyOf(connections).stream().filter(connection -> !connection.isEnding())
                .forEach(ClientConnection::readNow);
    }

    /** Refuses what is not whole yet, and ends what rests: the process leaves, and what would come meets a reset. */
    void turnAway() {
        List.copyOf(connections).forEach(ClientConnection::turnAway);
    }

    /** So many descriptors are another process's for now; 0 where none are. */
    void yield(int descriptors) {
        mostConnections = Math.max(1, Math.max(mostEver / 4, mostEver - descriptors));
    }

    int connections() {
        return connections.size();
    }

    /** Guards against clients that take every descriptor: those go first that have got on with nothing for longest. */
    void opened(ClientConnection connection) {
        if (connections.size() >= mostConnections) {
            ClientConnection first = stalled(connection);
            // Guards against a house that fills further: its end is told later, and others come in the same pass.
            closed(first);
            first.close();
            if (first == connection) {
                return;
            }
        }
        connections.add(connection);
        unfinished.add(connection);
        lastMoveAt = System.nanoTime();
    }

    private ClientConnection stalled(ClientConnection newest) {
        for (ClientConnection first : List.copyOf(unfinished)) {
            // Guards against ending a client whose last byte has come and is not read yet.
            first.readNow();
            if (!unfinished.isEmpty() && unfinished.iterator().next() == first) {
                return first;
            }
        }
        for (ClientConnection first : List.copyOf(idle)) {
            first.readNow();
            if (!idle.isEmpty() && idle.iterator().next() == first) {
                return first;
            }
        }
        return newest;
    }

    /** Bytes have come that make no whole request yet. */
    void progressed(ClientConnection connection) {
        idle.remove(connection);
        unfinished.remove(connection);
        unfinished.add(connection);
    }

    /** A request is whole, or nothing more of it is heeded. */
    void completed(ClientConnection connection) {
        unfinished.remove(connection);
    }

    /** A client has been told to go, and may come again. */
    void moved() {
        lastMoveAt = System.nanoTime();
    }

    void fellIdle(ClientConnection connection) {
        idle.add(connection);
    }

    void closed(ClientConnection connection) {
        lastMoveAt = connections.remove(connection) ? System.nanoTime() : lastMoveAt;
        unfinished.remove(connection);
        idle.remove(connection);
    }

    /**
     * Counts bytes that connections hold for requests; false where there is no room for more. Small requests
     * always have room.
     */
    boolean buffer(int bytes, int request) {
        if (buffered + bytes > MOST_BUFFERED && request > ALWAYS_BUFFERED) {
            return false;
        }
        buffered += bytes;
        return true;
    }

    void unbuffer(int bytes) {
        buffered -= bytes;
    }
}
