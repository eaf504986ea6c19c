package drumdeal;

import drumdeal.Policy.Availability;
import drumdeal.Policy.Event;
import drumdeal.Policy.KeyScope;
import drumdeal.Policy.LimitReport;
import drumdeal.Policy.Idempotency;
import drumdeal.Policy.RequestClass;
import drumdeal.Policy.Result;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;

/**
 * A relay for tests. It reports events to a decision module on a simulated clock and records the actions that the
 * module takes. The clock moves only when a test moves it.
 */
final class SimulatedRelay implements Policy.Actions {
    /** In microseconds, as all times of the decision module. */
    static final long MILLISECOND = 1_000;
    /** In microseconds. */
    static final long SECOND = 1_000_000;

    /**
     * An attempt that the module started.
     *
     * @param sentAt when, in microseconds
     * @param id id of the request
     * @param attempt index among the attempts that this relay made for the request, from 0
     * @param route name of the route
     * @param timeout in microseconds; 0 means until the request's deadline
     */
    record SentAttempt(long sentAt, long id, int attempt, String route, long timeout) { }

    /** All attempts, in the order sent. */
    final List<SentAttempt> sent = new ArrayList<>();
    /** Attempts in flight, in the order sent. */
    final List<SentAttempt> attemptsInFlight = new ArrayList<>();
    /** For each attempt, in the order sent, the time before which it has to be sent; Long.MAX_VALUE means no limit. */
    final List<Long> latestSendTimes = new ArrayList<>();
    /** Ids of the requests that the module rejected. */
    final List<Long> rejected = new ArrayList<>();
    /** Ids of the requests that the module failed. */
    final List<Long> failed = new ArrayList<>();
    /** Request ids of the attempts that the module cancelled; they stay in flight until a test ends them. */
    final List<Long> cancelled = new ArrayList<>();
    final List<String> probedRoutes = new ArrayList<>();
    /** Times at which the module subscribed to changes of the route list. */
    final List<Long> subscribedAt = new ArrayList<>();
    /** Notes to other relays, as "receiver:payload" with the payload in hexadecimal digits. */
    final List<String> sentNotes = new ArrayList<>();
    /** Lines that the module logged, each cut off before its first parenthesis, which contains figures. */
    final List<String> logLines = new ArrayList<>();
    /** How often the module requested the complete route list. */
    int listFetchCount;
    /** Pending timers, each with the time when it is due and its number. */
    private final List<long[]> timers = new ArrayList<>();
    private final Policy policy;
    /** Number of attempts by request id. */
    private final Map<Long, Integer> attemptCounts = new HashMap<>();
    /** Current time in microseconds. */
    long now;

    SimulatedRelay(Policy.Settings settings) {
        policy = new DeliveryPolicy(settings);
    }

    /** The decision module of this relay. */
    Policy module() {
        return policy;
    }

    /**
     * Settings of the first of two relays, in zone "east", with ten call slots and at most 100 open requests.
     *
     * <p>Request classes: "safe" is repeatable, "keyed" is repeatable by key in one zone for 6 s, "once" must not be
     * repeated, "ordered" is repeatable and delivered in the order of keys, and "quick" is repeatable with nine times
     * the value and the shorter goal of 0.5 s. All have 20 s to their deadline.
     *
     * <p>Kinds of destination: the routes of "plain" share one limit and get one request per call, those of "bulk"
     * share one limit and get up to four, and each route of "apart" has a limit of its own.
     *
     * <p>Rules: a destination collapses if it gets more than twice its capacity within two seconds. After an outage it
     * has 20 % of its capacity and warms up within ten seconds. A draining route may get attempts for one second, and
     * a request may have six attempts. A key of an ordered class pauses for three seconds.
     */
    static Policy.Settings settings() {
        return settings(10, 100);
    }

    /** As {@link #settings()}, with other limits on calls in flight and on open requests. */
    static Policy.Settings settings(int callSlots, int maxOpenRequests) {
        return settings(callSlots, maxOpenRequests, false);
    }

    /** As above; with {@code mustSubscribe} the module has to subscribe to changes of the route list. */
    static Policy.Settings settings(int callSlots, int maxOpenRequests, boolean mustSubscribe) {
        return settings(7, 2, callSlots, maxOpenRequests, mustSubscribe, false);
    }

    /** As {@link #settings()}, for one relay of a fleet; {@code seed} determines its random decisions. */
    static Policy.Settings fleetSettings(int fleetSize, long seed) {
        return settings(seed, fleetSize, 10, 100, false, false);
    }

    /** As {@link #settings()}, for the first relay of a fleet whose relays may send notes to one another. */
    static Policy.Settings settingsWithPeers(int fleetSize) {
        return settings(7, fleetSize, 10, 100, false, true);
    }

    private static Policy.Settings settings(long seed, int fleetSize, int callSlots, int maxOpenRequests,
            boolean mustSubscribe, boolean mayNotifyPeers) {
        return new Policy.Settings(seed, 0, fleetSize, "east",
                List.of(requestClass("safe", Idempotency.REPEATABLE, false),
                        requestClass("keyed", Idempotency.BY_KEY, false),
                        requestClass("once", Idempotency.ONCE, false),
                        requestClass("ordered", Idempotency.REPEATABLE, true),
                        new RequestClass("quick", Idempotency.REPEATABLE, KeyScope.ALL, 0, SECOND / 2, 20 * SECOND, 9,
                                0, false)),
                List.of(),
                List.of(new Policy.DestinationKind("plain", false, 1), new Policy.DestinationKind("apart", true, 1),
                        new Policy.DestinationKind("bulk", false, 4)),
                List.of(new Policy.Zone("east", 0), new Policy.Zone("west", 0)),
                new Policy.Limits(callSlots, maxOpenRequests, 6, true, true, mayNotifyPeers, false, false, SECOND),
                new Policy.ServiceRules(20 * MILLISECOND, SECOND, 2, 2 * SECOND, 0.2, 10 * SECOND, 10 * SECOND,
                        3 * SECOND),
                1, false, mustSubscribe, Policy.RateHint.NONE, 0);
    }

    private static RequestClass requestClass(String name, Idempotency idempotency, boolean orderedByKey) {
        return new RequestClass(name, idempotency, KeyScope.ZONE, 6 * SECOND, 2 * SECOND, 20 * SECOND, 1, 0.5,
                orderedByKey);
    }

    /** A route in service without a listed rate. */
    static Policy.ListedRoute route(String name, int destination, String kind, String zone) {
        return new Policy.ListedRoute(name, destination, kind, zone, Availability.LISTED, 0);
    }

    /** Reports a route list that replaces the previous one. */
    SimulatedRelay receiveFullList(Policy.ListedRoute... entries) {
        return runRound(new Policy.RouteListUpdate(Policy.RouteListUpdateType.FULL, 1, List.of(entries)));
    }

    /** Reports changes of the route list. */
    SimulatedRelay receiveListChanges(Policy.ListedRoute... entries) {
        return runRound(new Policy.RouteListUpdate(Policy.RouteListUpdateType.CHANGES, 2, List.of(entries)));
    }

    /** Reports a new request, without a key and with 20 s to its deadline. */
    SimulatedRelay accept(long id, String requestClassName, int destination) {
        return accept(id, requestClassName, destination, null);
    }

    /** Reports a new request with 20 s to its deadline. */
    SimulatedRelay accept(long id, String requestClassName, int destination, String key) {
        return runRound(new Policy.RequestAccepted(id, requestClassName, null, key, now + 20 * SECOND, destination));
    }

    /** Reports events to the module in one round at the current time. */
    SimulatedRelay runRound(Event... events) {
        policy.onRound(now, List.of(events), this);
        return this;
    }

    /** Moves the clock forward by {@code micros}; each timer fires in a round of its own when it is due. */
    SimulatedRelay advance(long micros) {
        long end = now + micros;
        while (true) {
            long[] nextTimer = timers.stream().min((a, b) -> Long.compare(a[0], b[0])).orElse(null);
            if (nextTimer == null || nextTimer[0] > end) {
                now = end;
                return this;
            }
            timers.remove(nextTimer);
            now = Math.max(now, nextTimer[0]);
            runRound(new Policy.TimerFired(nextTimer[1]));
        }
    }

    /** Ends the oldest attempt in flight of a request with a result, without a retry-after time. */
    SimulatedRelay endAttempt(long id, Result result) {
        return endAttempt(id, result, 0);
    }

    /**
     * Ends the oldest attempt in flight of a request with a result.
     *
     * @param retryAfter retry-after time of the answer in microseconds; 0 for none
     */
    SimulatedRelay endAttempt(long id, Result result, long retryAfter) {
        SentAttempt attempt = attemptsInFlight.stream().filter(s -> s.id() == id).findFirst().orElseThrow();
        attemptsInFlight.remove(attempt);
        return runRound(new Policy.AttemptEnded(id, attempt.attempt(), attempt.route(), result, result == Result.OK,
                retryAfter, now - attempt.sentAt(), LimitReport.NONE));
    }

    /** Number of attempts of a request. */
    long countSends(long id) {
        return sent.stream().filter(s -> s.id() == id).count();
    }

    @Override
    public void startAttempt(long id, String route, long timeout) {
        SentAttempt attempt = new SentAttempt(now, id, attemptCounts.merge(id, 1, Integer::sum) - 1, route, timeout);
        sent.add(attempt);
        attemptsInFlight.add(attempt);
    }

    @Override
    public void startAttempt(long id, String route, long timeout, long latestSendTime) {
        latestSendTimes.add(latestSendTime);
        startAttempt(id, route, timeout);
    }

    @Override
    public void cancelAttempt(long id, int attempt) {
        cancelled.add(id);
    }

    @Override
    public void rejectRequest(long id, long retryIn) {
        rejected.add(id);
    }

    @Override
    public void failRequest(long id) {
        failed.add(id);
    }

    @Override
    public void setTimer(long timer, long delay) {
        timers.add(new long[] {now + Math.max(1, delay), timer});
    }

    @Override
    public void sendProbe(String route) {
        probedRoutes.add(route);
    }

    @Override
    public void closeIdleConnections(String route) { }

    @Override
    public void sendPeerNote(int relay, byte[] bytes) {
        sentNotes.add(relay + ":" + HexFormat.of().formatHex(bytes));
    }

    @Override
    public void setRouteListSubscription(boolean on) {
        subscribedAt.add(now);
    }

    @Override
    public void fetchRouteList() {
        listFetchCount++;
    }

    @Override
    public void log(String text) {
        logLines.add(text.replaceFirst(" \\(.*", ""));
    }
}
