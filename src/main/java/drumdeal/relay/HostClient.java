package drumdeal.relay;

import drumdeal.Policy;
import drumdeal.Policy.LimitReport;
import drumdeal.Policy.RouteListUpdateType;
import drumdeal.Policy.Result;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.Future;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Calls hosts over kept connections and tells what became of each attempt. It resends nothing: a call goes
 * out once, on one connection.
 */
final class HostClient {
    private static final long PROBE_TIMEOUT_MICROS = 1_500_000;
    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final int MAX_BODY_BYTES = 64 << 10;
    /** How long a host's connections count as scarce after it has turned a new one away. */
    private static final long CONNECTION_LIMIT_HOLD_MICROS = 10 * MICROS_PER_SECOND;
    /** Long enough for the next call that waits already. */
    private static final long LIMITED_IDLE_TIMEOUT_MICROS = 25_000;

    /** Takes in what became of attempts and probes. */
    interface ResultListener {
        /** An attempt ended; {@code over} means that nothing more is owed for its message. */
        void attemptEnded(Message.Attempt attempt, Result result, boolean over, long wait, LimitReport report);

        void probeEnded(String route, Result result, long wait, long elapsed, LimitReport report);

        /** A call with so many messages has left whole. */
        void callWritten(int messages);
    }

    /** An attempt to send, how long its answer is waited for, and until when it may leave. */
    record OutgoingAttempt(Message.Attempt attempt, long timeout, long sendDeadline) { }

    /** Until when a destination, or a route apart, has told this relay to wait. */
    private static final class RetryAfter {
        long until;
    }

    /** A listed host with its connections. */
    static final class Host {
        private Target target;
        private final RetryAfter retryAfter;
        private final int maxBatchSize;
        private final ArrayDeque<HostConnection> idleConnections = new ArrayDeque<>();
        /** Calls that wait for a connection, oldest first. */
        private final Set<HostCall> queue = new LinkedHashSet<>();
        private int pendingConnects;
        /** Connections there are, those that are being made too. */
        private int connectionCount;
        /** Until when its connections count as scarce. */
        private long connectionLimitedUntil;
        /** How often its kept connections were found not worth trusting. */
        private int idleGeneration;

        private Host(Target target, RetryAfter wait, int batch) {
            this.target = target;
            this.retryAfter = wait;
            this.maxBatchSize = batch;
        }

        int idleGeneration() {
            return idleGeneration;
        }

        String route() {
            return target.listed().route();
        }

        private String kind() {
            return target.listed().kind();
        }

        private boolean isListed() {
            return target.listed().availability() == Policy.Availability.LISTED;
        }

        /** True where another entry speaks of the same place, so that connections and waits go on. */
        private boolean isSameEndpoint(Target other) {
            return target.address().equals(other.address())
                    && target.listed().destination() == other.listed().destination()
                    && target.listed().kind().equals(other.listed().kind());
        }

        String authority() {
            return target.address().getHostString() + ":" + target.address().getPort();
        }
    }

    private final EventLoop loop;
    private final Clock clock;
    private final ResultListener resultListener;
    private final Bootstrap bootstrap;
    private boolean usesLoadReports;
    /** The longest that a connection is kept idle. */
    private long maxIdleMicros;
    private final IdleTimeout idleTimeout;
    private final int configuredMaxConnections;
    private int maxConnections;
    private boolean keepAliveDisabled;
    private final Map<String, Policy.DestinationKind> kinds = new HashMap<>();
    private int fleetSize;
    /** Until when connections to hosts of a kind are let go for others. */
    private final Map<String, Long> connectionLimitedUntilByKind = new HashMap<>();
    private final Map<String, Host> hosts = new HashMap<>();
    private final Map<Integer, RetryAfter> retryAfterByDestination = new HashMap<>();
    /** Idle connections of all hosts, the one that has stood longest first. */
    private final Set<HostConnection> idleConnections = new LinkedHashSet<>();
    private final Map<Message.Attempt, HostCall> callsByAttempt = new HashMap<>();
    private final Set<HostConnection> connections = new HashSet<>();
    /** Hosts whose calls wait until another connection has closed, as there may be no more. */
    private final Set<Host> hostsAwaitingDescriptors = new LinkedHashSet<>();

    HostClient(EventLoop loop, Clock clock, Config config, ResultListener results) {
        this.loop = loop;
        this.clock = clock;
        this.resultListener = results;
        configuredMaxConnections = config.maxHostConnections();
        maxConnections = configuredMaxConnections;
        bootstrap = new Bootstrap().group(loop).channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true);
        applySettings(config);
        idleTimeout = new IdleTimeout(maxIdleMicros, clock.micros());
    }

    /** Goes by other settings from now on. */
    void applySettings(Config config) {
        usesLoadReports = config.usesLoadReports();
        // Guards against a call on a connection that the host is just closing: it would end as a reset.
        maxIdleMicros = Math.max(config.connectionIdleTimeoutMicros() / 2, config.connectionIdleTimeoutMicros() - MICROS_PER_SECOND);
        kinds.clear();
        config.settings().kinds().forEach(kind -> kinds.put(kind.name(), kind));
        fleetSize = config.settings().fleetSize();
        long connectTimeout = config.settings().limits().connectTimeoutMicros();
        bootstrap.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, connectTimeout / 1000));
    }

    /** Takes in a list of hosts; what drains or is gone is sent nothing new from now on. */
    void updateTargets(RouteListUpdateType kind, List<Target> targets) {
        Set<String> named = new HashSet<>();
        for (Target target : targets) {
            named.add(target.listed().route());
            updateHost(target);
        }
        if (kind != RouteListUpdateType.CHANGES) {
            hosts.values().stream().filter(host -> !named.contains(host.route())).toList()
                    .forEach(this::remove);
        }
    }

    private void updateHost(Target target) {
        Host old = hosts.get(target.listed().route());
        boolean removed = target.listed().availability() == Policy.Availability.REMOVED;
        if (old != null && !removed && old.isSameEndpoint(target)) {
            old.target = target;
            if (!old.isListed()) {
                stopSending(old);
            }
            return;
        }
        if (old != null) {
            remove(old);
        }
        if (!removed) {
            Policy.DestinationKind kind = kinds.get(target.listed().kind());
            boolean apart = kind != null && kind.hasPerRouteLimits();
            RetryAfter wait = apart ? old == null ? new RetryAfter() : old.retryAfter
                    : retryAfterByDestination.computeIfAbsent(target.listed().destination(), d -> new RetryAfter());
            hosts.put(target.listed().route(), new Host(target, wait, kind == null ? 1 : kind.maxBatchSize()));
        }
    }

    private void remove(Host host) {
        hosts.remove(host.route());
        stopSending(host);
    }

    /** Guards against a first byte after the grace: what still waits for a connection never leaves. */
    private void stopSending(Host host) {
        List.copyOf(host.queue).forEach(call -> {
            host.queue.remove(call);
            call.end(Result.NOT_SENT);
        });
        closeIdle(host);
    }

    /** Sends what one round has for one route, in as few calls as its kind allows. */
    void send(String route, List<OutgoingAttempt> outgoing) {
        Host host = hosts.get(route);
        if (host == null || !host.isListed()) {
            outgoing.forEach(o -> resultListener.attemptEnded(o.attempt(), Result.NOT_SENT, false, 0, LimitReport.NONE));
            return;
        }
        List<OutgoingAttempt> batch = new ArrayList<>();
        int bytes = 0;
        for (OutgoingAttempt next : outgoing) {
            int size = HostCall.encodedSize(next.attempt().message);
            // Guards against a call with a larger body than a host takes.
            if (!batch.isEmpty() && (batch.size() >= host.maxBatchSize || bytes + size > MAX_BODY_BYTES)) {
                startBatch(host, batch);
                batch = new ArrayList<>();
                bytes = 0;
            }
            batch.add(next);
            bytes += size;
        }
        startBatch(host, batch);
    }

    private void startBatch(Host host, List<OutgoingAttempt> batch) {
        HostCall call = new HostCall(this, host, batch);
        batch.forEach(o -> callsByAttempt.put(o.attempt(), call));
        start(call);
    }

    void probe(String route) {
        Host host = hosts.get(route);
        if (host == null || !host.isListed()) {
            resultListener.probeEnded(route, Result.NOT_SENT, 0, 0, LimitReport.NONE);
            return;
        }
        start(new HostCall(this, host, usesLoadReports ? "/-/load" : "/-/healthy", PROBE_TIMEOUT_MICROS));
    }

    void closeIdle(String route) {
        Host host = hosts.get(route);
        if (host != null) {
            closeIdle(host);
        }
    }

    /**
     * Guards, after a call that broke or fell silent, against the next one on a connection that died with it:
     * that call would end as a reset, where a new connection that fails proves that it never ran.
     */
    void closeIdle(Host host) {
        closeIdle(host, Long.MAX_VALUE);
    }

    /** As above, but for connections that have answered since a time: they did not die with what was sent then. */
    void closeIdle(Host host, long provenSince) {
        host.idleGeneration++;
        List.copyOf(host.idleConnections).stream().filter(connection -> connection.idleSince() < provenSince)
                .forEach(HostConnection::close);
    }

    private void start(HostCall call) {
        Host host = call.host();
        for (HostConnection last = host.idleConnections.pollLast(); last != null; last = host.idleConnections.pollLast()) {
            idleConnections.remove(last);
            if (last.isUsable()) {
                dispatch(last, call);
                return;
            }
        }
        host.queue.add(call);
        connect(host);
    }

    private void connect(Host host) {
        // Guards against connections beyond those that the host takes: they are turned away, and their calls with them.
        if (isConnectionLimited(host) && host.connectionCount > 0) {
            return;
        }
        if (connections.size() >= maxConnections && !idleConnections.isEmpty()) {
            idleConnections.iterator().next().close();
        }
        // Guards against more descriptors than there are, where nothing is idle: the calls wait.
        if (connections.size() >= maxConnections) {
            hostsAwaitingDescriptors.add(host);
            return;
        }
        host.pendingConnects++;
        host.connectionCount++;
        HostConnection connection = new HostConnection(this, host);
        ChannelFuture future = bootstrap.clone().handler(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel ch) {
                ch.pipeline().addLast(connection.handlers());
            }
        }).connect(host.target.address());
        connections.add(connection);
        future.channel().closeFuture().addListener(closed -> connectionClosed(connection));
        future.addListener(connected -> {
            if (connected.isSuccess()) {
                host.pendingConnects--;
                release(connection);
            } else {
                // Guards against a socket that could not even be opened: its failure is told on another thread.
                loop.execute(() -> connectFailed(connection));
            }
        });
    }

    private void connectFailed(HostConnection connection) {
        Host host = connection.host();
        host.pendingConnects--;
        if (host.queue.size() > host.pendingConnects) {
            HostCall oldest = host.queue.iterator().next();
            host.queue.remove(oldest);
            oldest.end(Result.CONNECT_FAILED);
        }
        connectionClosed(connection);
    }

    /** One connection less: those that wait for room come next. */
    private void connectionClosed(HostConnection connection) {
        if (connections.remove(connection)) {
            Host own = connection.host();
            own.connectionCount--;
            if (!own.queue.isEmpty() && own.connectionCount == 0) {
                connect(own);
            }
            for (Host host : List.copyOf(hostsAwaitingDescriptors)) {
                hostsAwaitingDescriptors.remove(host);
                for (int missing = host.queue.size() - host.pendingConnects; missing > 0; missing--) {
                    connect(host);
                }
            }
        }
    }

    /** A connection can carry a call: one that waits for it, or a later one. */
    void release(HostConnection connection) {
        Host host = connection.host();
        if (!host.queue.isEmpty()) {
            HostCall call = host.queue.iterator().next();
            host.queue.remove(call);
            dispatch(connection, call);
        } else if (keepAliveDisabled || hosts.get(host.route()) != host || !host.isListed() || !hostsAwaitingDescriptors.isEmpty()) {
            connection.close();
        } else {
            host.idleConnections.addLast(connection);
            idleConnections.add(connection);
            connection.closeAfter(isKindConnectionLimited(host) ? Math.min(LIMITED_IDLE_TIMEOUT_MICROS, currentIdleTimeout()) : currentIdleTimeout());
        }
    }

    /**
     * A host has as many connections as it takes. Guards against relays that keep theirs idle, and never learn of it,
     * while others are turned away again and again: where they are scarce, each is let go once no call waits for it.
     * How many a host takes goes by its kind, and a host that is full tells one relay of the whole fleet: so one
     * speaks for all of its kind, and for as long as it takes until each relay has been told once. It harms where a
     * kind's hosts are crowded for once: calls to them go on new connections for a while.
     */
    void connectionRejected(Host host) {
        long now = clock.micros();
        host.connectionLimitedUntil = now + CONNECTION_LIMIT_HOLD_MICROS;
        if (connectionLimitedUntilByKind.put(host.kind(), now + CONNECTION_LIMIT_HOLD_MICROS * fleetSize) == null) {
            Log.write("connections to hosts of kind " + host.kind() + " are scarce and let go for others");
        }
        idleConnections.stream().filter(connection -> connection.host().kind().equals(host.kind()))
                .forEach(connection -> connection.closeAfter(LIMITED_IDLE_TIMEOUT_MICROS));
    }

    private boolean isKindConnectionLimited(Host host) {
        return clock.micros() < connectionLimitedUntilByKind.getOrDefault(host.kind(), 0L);
    }

    private boolean isConnectionLimited(Host host) {
        return clock.micros() < host.connectionLimitedUntil;
    }

    private long currentIdleTimeout() {
        return idleTimeout.currentTimeout(maxIdleMicros, clock.micros());
    }

    /** A call was answered whose connection had rested before. */
    void idleConnectionSurvived(long rest) {
        idleTimeout.survived(rest, clock.micros());
    }

    /** A connection broke under its call, after a rest. */
    void idleConnectionBroke(long rest) {
        if (idleTimeout.broke(rest, maxIdleMicros, clock.micros())) {
            long kept = currentIdleTimeout();
            Log.write("a connection broke after " + rest / 1000 + " ms idle, they are kept for " + kept / 1000 + " ms");
            idleConnections.stream().filter(connection -> connection.idleTime() > kept).toList().forEach(HostConnection::close);
        }
    }

    /** Forgets a connection that has closed. */
    void removeIdle(HostConnection connection) {
        connection.host().idleConnections.remove(connection);
        idleConnections.remove(connection);
    }

    private void dispatch(HostConnection connection, HostCall call) {
        // Guards against a call that was connecting while its destination told this relay to wait, or its time passed.
        if (clock.micros() < call.host().retryAfter.until || clock.micros() >= call.sendDeadline()) {
            call.end(Result.NOT_SENT);
            release(connection);
        } else {
            connection.send(call);
        }
    }

    /** Drops a call that was given up before it had a connection; the result says whether the host is to blame. */
    Result unqueue(HostCall call) {
        Host host = call.host();
        host.queue.remove(call);
        return host.pendingConnects > 0 ? Result.CONNECT_FAILED : Result.NOT_SENT;
    }

    void applyRetryAfter(Host host, long span) {
        host.retryAfter.until = Math.max(host.retryAfter.until, clock.micros() + span);
    }

    /** Gives up one attempt. */
    void cancel(Message.Attempt attempt) {
        HostCall call = callsByAttempt.get(attempt);
        if (call != null) {
            call.abandonAttempt(attempt, Result.CANCELLED);
        }
    }

    void attemptEnded(Message.Attempt attempt, Result result, boolean over, long wait, LimitReport report) {
        callsByAttempt.remove(attempt);
        resultListener.attemptEnded(attempt, result, over, wait, report);
    }

    void probeEnded(HostCall call, Result result, long wait, LimitReport report) {
        resultListener.probeEnded(call.host().route(), result, wait, clock.micros() - call.startedAt(), report);
    }

    void callWritten(int messages) {
        resultListener.callWritten(messages);
    }

    /** Keeps no connection from now on: another process of this relay has its own. */
    void disableKeepAlive() {
        keepAliveDisabled = true;
        List.copyOf(idleConnections).forEach(HostConnection::close);
    }

    /** So many descriptors are another process's for now; 0 where none are. */
    void reserveDescriptors(int descriptors) {
        maxConnections = Math.max(1, Math.max(configuredMaxConnections / 4, configuredMaxConnections - descriptors));
    }

    /** A wait that another process of this relay was told. */
    void applyRetryAfter(String route, long span) {
        Host host = hosts.get(route);
        if (host != null) {
            applyRetryAfter(host, span);
        }
    }

    List<Target> targets() {
        return hosts.values().stream().map(host -> host.target).toList();
    }

    /** How many calls are out; several messages may share one. */
    int callsInFlight() {
        return (int) callsByAttempt.values().stream().distinct().count();
    }

    int connections() {
        return connections.size();
    }

    /** How many endpoints are in the list, those that drain too. */
    int hostCount() {
        return hosts.size();
    }

    /** How the connections stand, for staff. */
    String connectionSummary() {
        int queued = hosts.values().stream().mapToInt(host -> host.queue.size()).sum();
        return "connections " + connections.size() + " of " + maxConnections + " (" + idleConnections.size() + " idle), "
                + queued + " calls without one, " + hostsAwaitingDescriptors.size() + " hosts crowded out";
    }

    long now() {
        return clock.micros();
    }

    Future<?> schedule(long micros, Runnable task) {
        return loop.schedule(task, micros, TimeUnit.MICROSECONDS);
    }
}
