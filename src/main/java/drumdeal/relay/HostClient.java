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
 * HTTP client for the hosts. It keeps connections alive, sends each call once on one connection, without
 * retries, and reports the result of each attempt and probe. Everything runs on one event loop. Unless stated
 * otherwise, times are in microseconds on the relay's {@link Clock} and durations in microseconds.
 */
final class HostClient {
    private static final long PROBE_TIMEOUT_MICROS = 1_500_000;
    private static final long MICROS_PER_SECOND = 1_000_000;
    /** Hosts do not accept calls with larger bodies. */
    private static final int MAX_BODY_BYTES = 64 << 10;
    /** How long a host counts as being at its connection limit after it rejected a new connection. */
    private static final long CONNECTION_LIMIT_HOLD_MICROS = 10 * MICROS_PER_SECOND;
    /**
     * How long a connection is kept idle while hosts of its kind are at their connection limit: long enough for
     * the next call, if one is already waiting.
     */
    private static final long LIMITED_IDLE_TIMEOUT_MICROS = 25_000;

    /** Records attempts before they are sent, and receives the results of attempts and probes. */
    interface ResultListener {
        /**
         * An attempt has a connection and is about to be sent. False if it must not be sent, as its message is over or
         * the attempt can't be recorded.
         */
        boolean recordAttempt(Message.Attempt attempt);

        /**
         * An attempt ended. {@code messageFinished} is true if its message needs neither another attempt nor a notice.
         * {@code retryAfter} is the delay that the host asked for before the next call, 0 if none.
         */
        void attemptEnded(Message.Attempt attempt, Result result, boolean messageFinished, long retryAfter,
                LimitReport limitReport);

        /**
         * A probe ended. {@code retryAfter} is the delay that the host asked for before the next call, 0 if none.
         * {@code elapsed} is the time since the probe was started.
         */
        void probeEnded(String route, Result result, long retryAfter, long elapsed, LimitReport limitReport);

        /** The request of a call was written completely; {@code messages} is 0 for a probe. */
        void callWritten(int messages);
    }

    /**
     * An attempt to send. {@code timeoutMicros} is how long to wait for the response, counted from the start of the
     * call. The attempt must not be sent at {@code sendDeadline} or later.
     */
    record OutgoingAttempt(Message.Attempt attempt, long timeoutMicros, long sendDeadline) { }

    /**
     * The time before which no call may be sent, as requested by hosts. All hosts of a destination share one
     * object; a host whose kind has limits per route has its own.
     */
    private static final class RetryAfter {
        long blockedUntil;
    }

    /** A listed host with its connections and the calls that wait for one. */
    static final class Host {
        private Target target;
        private final RetryAfter retryAfter;
        /** The most messages in one call to this host. */
        private final int maxBatchSize;
        /** The connection used last is at the end. */
        private final ArrayDeque<HostConnection> idleConnections = new ArrayDeque<>();
        /** Calls that wait for a connection, oldest first. */
        private final Set<HostCall> queue = new LinkedHashSet<>();
        private int pendingConnects;
        /** Number of connections, those being established included. */
        private int connectionCount;
        /** Until this time the host counts as being at its connection limit. */
        private long connectionLimitedUntil;
        /**
         * Incremented whenever the idle connections are closed. A connection that is in its reuse delay at that time
         * detects the change and is closed too.
         */
        private int idleGeneration;

        private Host(Target target, RetryAfter retryAfter, int maxBatchSize) {
            this.target = target;
            this.retryAfter = retryAfter;
            this.maxBatchSize = maxBatchSize;
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

        /**
         * True if another list entry has the same address, destination and kind. The connections and the retry-after
         * time then remain valid.
         */
        private boolean isSameEndpoint(Target other) {
            return target.address().equals(other.address())
                    && target.listed().destination() == other.listed().destination()
                    && target.listed().kind().equals(other.listed().kind());
        }

        /** Host and port for the HTTP {@code Host} header. */
        String authority() {
            return target.address().getHostString() + ":" + target.address().getPort();
        }
    }

    private final EventLoop loop;
    private final Clock clock;
    private final ResultListener resultListener;
    private final Bootstrap bootstrap;
    /** True if probes ask for a load report instead of a health check. */
    private boolean usesLoadReports;
    /** Upper limit of the idle time of a connection. */
    private long maxIdleMicros;
    private final IdleTimeout idleTimeout;
    private final int configuredMaxConnections;
    /** {@link #configuredMaxConnections} without the descriptors reserved for another process. */
    private int maxConnections;
    /** Set once another process of this relay has taken over: connections are closed after their calls. */
    private boolean keepAliveDisabled;
    private final Map<String, Policy.DestinationKind> kinds = new HashMap<>();
    private int fleetSize;
    /** Until these times connections to hosts of a kind are closed soon after their calls. */
    private final Map<String, Long> connectionLimitedUntilByKind = new HashMap<>();
    /** Listed hosts by route. */
    private final Map<String, Host> hosts = new HashMap<>();
    private final Map<Integer, RetryAfter> retryAfterByDestination = new HashMap<>();
    /** Idle connections of all hosts, the one that has been idle longest first. */
    private final Set<HostConnection> idleConnections = new LinkedHashSet<>();
    private final Map<Message.Attempt, HostCall> callsByAttempt = new HashMap<>();
    /** All connections, those being established included. */
    private final Set<HostConnection> connections = new HashSet<>();
    /** Hosts whose calls wait for another connection to close, because the limit on connections is reached. */
    private final Set<Host> hostsAwaitingDescriptors = new LinkedHashSet<>();

    HostClient(EventLoop loop, Clock clock, Config config, ResultListener listener) {
        this.loop = loop;
        this.clock = clock;
        this.resultListener = listener;
        configuredMaxConnections = config.maxHostConnections();
        maxConnections = configuredMaxConnections;
        bootstrap = new Bootstrap().group(loop).channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true);
        applySettings(config);
        idleTimeout = new IdleTimeout(maxIdleMicros, clock.micros());
    }

    /** Applies new settings. The limit on connections stays as it was at the start. */
    void applySettings(Config config) {
        usesLoadReports = config.usesLoadReports();
        // Closes idle connections one second before the host does, or at half its idle timeout if that is later.
        // A call sent while the host closes the connection would end as RESET.
        maxIdleMicros = Math.max(config.connectionIdleTimeoutMicros() / 2,
                config.connectionIdleTimeoutMicros() - MICROS_PER_SECOND);
        kinds.clear();
        config.settings().kinds().forEach(kind -> kinds.put(kind.name(), kind));
        fleetSize = config.settings().fleetSize();
        long connectTimeout = config.settings().limits().connectTimeoutMicros();
        bootstrap.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, connectTimeout / 1000));
    }

    /**
     * Applies a list of hosts, or changes to it. From now on no call is sent to hosts that drain or are removed;
     * a list that is not of type {@code CHANGES} removes the hosts it does not contain.
     */
    void updateTargets(RouteListUpdateType type, List<Target> targets) {
        Set<String> routesInList = new HashSet<>();
        for (Target target : targets) {
            routesInList.add(target.listed().route());
            updateHost(target);
        }
        if (type != RouteListUpdateType.CHANGES) {
            hosts.values().stream().filter(host -> !routesInList.contains(host.route())).toList()
                    .forEach(this::remove);
        }
    }

    /** Adds, updates, replaces or removes the host of one list entry. */
    private void updateHost(Target target) {
        Host existing = hosts.get(target.listed().route());
        boolean removed = target.listed().availability() == Policy.Availability.REMOVED;
        if (existing != null && !removed && existing.isSameEndpoint(target)) {
            existing.target = target;
            if (!existing.isListed()) {
                stopSending(existing);
            }
            return;
        }
        if (existing != null) {
            remove(existing);
        }
        if (!removed) {
            Policy.DestinationKind kind = kinds.get(target.listed().kind());
            boolean hasOwnLimits = kind != null && kind.hasPerRouteLimits();
            RetryAfter retryAfter = hasOwnLimits ? existing == null ? new RetryAfter() : existing.retryAfter
                    : retryAfterByDestination.computeIfAbsent(target.listed().destination(), d -> new RetryAfter());
            hosts.put(target.listed().route(), new Host(target, retryAfter, kind == null ? 1 : kind.maxBatchSize()));
        }
    }

    private void remove(Host host) {
        hosts.remove(host.route());
        stopSending(host);
    }

    /**
     * Stops sending to a host that drains or was removed. Queued calls end as NOT_SENT: one that got its connection
     * later could reach the host after the drain grace.
     */
    private void stopSending(Host host) {
        List.copyOf(host.queue).forEach(call -> {
            host.queue.remove(call);
            call.end(Result.NOT_SENT);
        });
        closeIdle(host);
    }

    /** Sends the attempts that one round made for one route, in as few calls as the host's kind allows. */
    void send(String route, List<OutgoingAttempt> outgoing) {
        Host host = hosts.get(route);
        if (host == null || !host.isListed()) {
            outgoing.forEach(
                    o -> resultListener.attemptEnded(o.attempt(), Result.NOT_SENT, false, 0, LimitReport.NONE));
            return;
        }
        List<OutgoingAttempt> batch = new ArrayList<>();
        int batchBytes = 0;
        for (OutgoingAttempt next : outgoing) {
            int size = HostCall.encodedSize(next.attempt().message);
            if (!batch.isEmpty() && (batch.size() >= host.maxBatchSize || batchBytes + size > MAX_BODY_BYTES)) {
                startBatch(host, batch);
                batch = new ArrayList<>();
                batchBytes = 0;
            }
            batch.add(next);
            batchBytes += size;
        }
        startBatch(host, batch);
    }

    private void startBatch(Host host, List<OutgoingAttempt> batch) {
        HostCall call = new HostCall(this, host, batch);
        batch.forEach(o -> callsByAttempt.put(o.attempt(), call));
        start(call);
    }

    /** Checks a host with a request that delivers no message. The result goes to the listener. */
    void probe(String route) {
        Host host = hosts.get(route);
        if (host == null || !host.isListed()) {
            resultListener.probeEnded(route, Result.NOT_SENT, 0, 0, LimitReport.NONE);
            return;
        }
        start(new HostCall(this, host, usesLoadReports ? "/-/load" : "/-/healthy", PROBE_TIMEOUT_MICROS));
    }

    /** Closes the idle connections to a route; see {@link #closeIdle(Host)}. */
    void closeIdle(String route) {
        Host host = hosts.get(route);
        if (host != null) {
            closeIdle(host);
        }
    }

    /**
     * Closes the idle connections to a host after a call on one of its connections broke or timed out. The others
     * may be dead too. A call on a dead connection would end as RESET and might have run, whereas a failed attempt
     * to connect proves that the call never ran.
     */
    void closeIdle(Host host) {
        closeIdle(host, Long.MAX_VALUE);
    }

    /**
     * Like {@link #closeIdle(Host)}, but keeps connections that have received a response at {@code provenSince} or
     * later: they did not die together with a call that was sent at that time.
     */
    void closeIdle(Host host, long provenSince) {
        host.idleGeneration++;
        List.copyOf(host.idleConnections).stream().filter(connection -> connection.idleSince() < provenSince)
                .forEach(HostConnection::close);
    }

    /** Sends a call on an idle connection, or queues it and connects. */
    private void start(HostCall call) {
        Host host = call.host();
        for (HostConnection connection = host.idleConnections.pollLast(); connection != null;
                connection = host.idleConnections.pollLast()) {
            idleConnections.remove(connection);
            if (connection.isUsable()) {
                dispatch(connection, call);
                return;
            }
        }
        host.queue.add(call);
        connect(host);
    }

    /** Opens a connection for a queued call, unless the host or the process is at its limit. */
    private void connect(Host host) {
        // A host at its connection limit would reject another connection, and with it the call on it. The call waits
        // for one of the connections there are.
        if (isConnectionLimited(host) && host.connectionCount > 0) {
            return;
        }
        if (connections.size() >= maxConnections && !idleConnections.isEmpty()) {
            idleConnections.iterator().next().close();
        }
        // No idle connection was left to close, and the process must not exceed its descriptors: the calls wait.
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
        // A channel that could not connect is closed before its failure is reported. Only connections that were
        // established are handled as closed ones: otherwise a refused call would be connected anew before it has ended.
        future.addListener(connected -> {
            if (connected.isSuccess()) {
                future.channel().closeFuture().addListener(closed -> connectionClosed(connection));
                host.pendingConnects--;
                release(connection);
            } else {
                // If the socket could not even be opened, the failure is reported on another thread.
                loop.execute(() -> connectFailed(connection));
            }
        });
    }

    /** Ends the oldest queued call, unless the connects that are still pending suffice for all queued calls. */
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

    /** Removes a closed connection and connects for calls that waited for a connection to close. */
    private void connectionClosed(HostConnection connection) {
        if (connections.remove(connection)) {
            Host host = connection.host();
            host.connectionCount--;
            if (!host.queue.isEmpty() && host.connectionCount == 0) {
                connect(host);
            }
            for (Host waitingHost : List.copyOf(hostsAwaitingDescriptors)) {
                hostsAwaitingDescriptors.remove(waitingHost);
                for (int missing = waitingHost.queue.size() - waitingHost.pendingConnects; missing > 0; missing--) {
                    connect(waitingHost);
                }
            }
        }
    }

    /** Takes back a connection that can carry another call: sends a queued call on it, keeps it idle or closes it. */
    void release(HostConnection connection) {
        Host host = connection.host();
        if (!host.queue.isEmpty()) {
            HostCall call = host.queue.iterator().next();
            host.queue.remove(call);
            dispatch(connection, call);
        } else if (keepAliveDisabled || hosts.get(host.route()) != host || !host.isListed()
                || !hostsAwaitingDescriptors.isEmpty()) {
            connection.close();
        } else {
            host.idleConnections.addLast(connection);
            idleConnections.add(connection);
            connection.closeAfter(isKindConnectionLimited(host)
                    ? Math.min(LIMITED_IDLE_TIMEOUT_MICROS, currentIdleTimeout()) : currentIdleTimeout());
        }
    }

    /**
     * Handles the rejection of a new connection by a host that has as many connections as it accepts. Relays that
     * hold connections are never rejected themselves; if they kept idle ones, other relays would be rejected again
     * and again. So for a while each connection is closed soon after its call, unless another call waits for it.
     *
     * <p>The limit depends on the kind of the host, and a full host rejects only one relay of the fleet at a time.
     * Therefore one rejection counts for all hosts of the kind, and for as long as it takes until each relay of the
     * fleet has been rejected once. The drawback: if the hosts of a kind were full only briefly, calls to them need
     * new connections for a while.
     */
    void connectionRejected(Host host) {
        long now = clock.micros();
        host.connectionLimitedUntil = now + CONNECTION_LIMIT_HOLD_MICROS;
        if (connectionLimitedUntilByKind.put(host.kind(), now + CONNECTION_LIMIT_HOLD_MICROS * fleetSize) == null) {
            Log.write("hosts of kind " + host.kind()
                    + " reject new connections; connections to them are closed soon after use");
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

    /** A call was answered; {@code idleMicros} is how long its connection had been idle before. */
    void idleConnectionSurvived(long idleMicros) {
        idleTimeout.recordSurvival(idleMicros, clock.micros());
    }

    /** A connection broke under its call, before any response, after it had been idle for {@code idleMicros}. */
    void idleConnectionBroke(long idleMicros) {
        if (idleTimeout.recordBreak(idleMicros, maxIdleMicros, clock.micros())) {
            long timeout = currentIdleTimeout();
            Log.write("a connection broke after " + idleMicros / 1000 + " ms idle; idle connections are now kept for "
                    + timeout / 1000 + " ms");
            idleConnections.stream().filter(connection -> connection.idleTime() > timeout).toList()
                    .forEach(HostConnection::close);
        }
    }

    /** Removes a connection that is closed or about to be from the idle ones. */
    void removeIdle(HostConnection connection) {
        connection.host().idleConnections.remove(connection);
        idleConnections.remove(connection);
    }

    /** Sends a call on a connection, unless it must not be sent any more. */
    private void dispatch(HostConnection connection, HostCall call) {
        // While the call waited for a connection, its send deadline may have passed, or its destination may have asked
        // this relay to wait.
        if (clock.micros() < call.host().retryAfter.blockedUntil || clock.micros() >= call.sendDeadline()) {
            call.end(Result.NOT_SENT);
            release(connection);
        } else if (call.recordAttempts()) {
            connection.send(call);
        } else {
            release(connection);
        }
    }

    /**
     * Removes a call that was abandoned before it had a connection. The result is CONNECT_FAILED if a connect to the
     * host is pending, as the delay is then the host's fault, else NOT_SENT.
     */
    Result removeQueuedCall(HostCall call) {
        Host host = call.host();
        host.queue.remove(call);
        return host.pendingConnects > 0 ? Result.CONNECT_FAILED : Result.NOT_SENT;
    }

    /**
     * Sends nothing to the hosts of the destination until the delay has passed. If the kind of this host has limits
     * per route, the delay applies to this host alone.
     */
    void applyRetryAfter(Host host, long delay) {
        host.retryAfter.blockedUntil = Math.max(host.retryAfter.blockedUntil, clock.micros() + delay);
    }

    /** Cancels one attempt, if it is still in flight. */
    void cancel(Message.Attempt attempt) {
        HostCall call = callsByAttempt.get(attempt);
        if (call != null) {
            call.abandonAttempt(attempt, Result.CANCELLED);
        }
    }

    /** Called by {@link HostCall} for each of its attempts before it is sent; false if it must not be sent. */
    boolean recordAttempt(Message.Attempt attempt) {
        return resultListener.recordAttempt(attempt);
    }

    /** Called by {@link HostCall} when one of its attempts has ended. */
    void attemptEnded(Message.Attempt attempt, Result result, boolean messageFinished, long retryAfter,
            LimitReport limitReport) {
        callsByAttempt.remove(attempt);
        resultListener.attemptEnded(attempt, result, messageFinished, retryAfter, limitReport);
    }

    /** Called by {@link HostCall} when a probe has ended. */
    void probeEnded(HostCall call, Result result, long retryAfter, LimitReport limitReport) {
        resultListener.probeEnded(call.host().route(), result, retryAfter, clock.micros() - call.startedAt(),
                limitReport);
    }

    /** Called by {@link HostCall} when its request was written completely. */
    void callWritten(int messages) {
        resultListener.callWritten(messages);
    }

    /** Closes idle connections and keeps none from now on: another process of this relay has its own connections. */
    void disableKeepAlive() {
        keepAliveDisabled = true;
        List.copyOf(idleConnections).forEach(HostConnection::close);
    }

    /**
     * Sets how many descriptors another process of this relay uses now, 0 if there is none. At least a quarter of
     * the configured connections stays available here.
     */
    void reserveDescriptors(int descriptors) {
        maxConnections = Math.max(1, Math.max(configuredMaxConnections / 4, configuredMaxConnections - descriptors));
    }

    /** Applies a retry-after delay that a host sent to another process of this relay. */
    void applyRetryAfter(String route, long delay) {
        Host host = hosts.get(route);
        if (host != null) {
            applyRetryAfter(host, delay);
        }
    }

    /** The hosts in the list, those that drain included. */
    List<Target> targets() {
        return hosts.values().stream().map(host -> host.target).toList();
    }

    /** Number of calls that carry messages, queued ones included; several messages may share one call. */
    int callsInFlight() {
        return (int) callsByAttempt.values().stream().distinct().count();
    }

    /** Number of connections, those being established included. */
    int connectionCount() {
        return connections.size();
    }

    /** Number of hosts in the list, those that drain included. */
    int hostCount() {
        return hosts.size();
    }

    /** Connection figures for the periodic log line. */
    String connectionSummary() {
        int queued = hosts.values().stream().mapToInt(host -> host.queue.size()).sum();
        return "connections " + connections.size() + " of " + maxConnections
                + " (" + idleConnections.size() + " idle), " + queued + " calls without one, "
                + hostsAwaitingDescriptors.size() + " hosts waiting for a descriptor";
    }

    /** The current time on the relay's clock. */
    long nowMicros() {
        return clock.micros();
    }

    /** Runs a task on the event loop after a delay. */
    Future<?> schedule(long delay, Runnable task) {
        return loop.schedule(task, delay, TimeUnit.MICROSECONDS);
    }
}
