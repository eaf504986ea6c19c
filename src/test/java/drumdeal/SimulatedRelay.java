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

/** A relay of tests: plays rounds to a module and keeps what it asks for. */
final class SimulatedRelay implements Policy.Actions {
    static final long MILLISECOND = 1_000;
    static final long SECOND = 1_000_000;

    record SentAttempt(long sentAt, long id, int attempt, String route, long timeout) { }

    final List<SentAttempt> sent = new ArrayList<>();
    final List<SentAttempt> unanswered = new ArrayList<>();
    /** Until when each attempt sent may leave. */
    final List<Long> latestSendTimes = new ArrayList<>();
    final List<Long> refused = new ArrayList<>();
    final List<Long> failed = new ArrayList<>();
    final List<Long> cancelled = new ArrayList<>();
    final List<String> probedRoutes = new ArrayList<>();
    final List<Long> subscribedAt = new ArrayList<>();
    final List<String> sentNotes = new ArrayList<>();
    final List<String> logLines = new ArrayList<>();
    int listFetchCount;
    private final List<long[]> timers = new ArrayList<>();
    private final Policy policy;
    private final Map<Long, Integer> attemptCounts = new HashMap<>();
    long now;

    SimulatedRelay(Policy.Settings settings) {
        policy = new DeliveryPolicy(settings);
    }

    Policy module() {
        return policy;
    }

    /** Two kinds: shared limits in batches of four ("plain" carries one), and routes apart. */
    static Policy.Settings settings() {
        return settings(10, 100);
    }

    static Policy.Settings settings(int slots, int maxOpen) {
        return settings(slots, maxOpen, false);
    }

    static Policy.Settings settings(int slots, int maxOpen, boolean mustSubscribe) {
        return settings(7, 2, slots, maxOpen, mustSubscribe, false);
    }

    /** One of a fleet of relays. */
    static Policy.Settings fleetSettings(int size, long seed) {
        return settings(seed, size, 10, 100, false, false);
    }

    /** The first of a fleet whose relays may send notes. */
    static Policy.Settings settingsWithPeers(int size) {
        return settings(7, size, 10, 100, false, true);
    }

    private static Policy.Settings settings(long seed, int fleet, int slots, int maxOpen,
            boolean mustSubscribe, boolean peers) {
        return new Policy.Settings(seed, 0, fleet, "east",
                List.of(requestClass("safe", Idempotency.REPEATABLE, false), requestClass("keyed", Idempotency.BY_KEY, false),
                        requestClass("once", Idempotency.ONCE, false), requestClass("ordered", Idempotency.REPEATABLE, true),
                        new RequestClass("quick", Idempotency.REPEATABLE, KeyScope.ALL, 0, SECOND / 2, 20 * SECOND, 9, 0, false)),
                List.of(), List.of(new Policy.DestinationKind("plain", false, 1), new Policy.DestinationKind("apart", true, 1),
                        new Policy.DestinationKind("bulk", false, 4)),
                List.of(new Policy.Zone("east", 0), new Policy.Zone("west", 0)),
                new Policy.Limits(slots, maxOpen, 6, true, true, peers, false, false, SECOND),
                new Policy.ServiceRules(20 * MILLISECOND, SECOND, 2, 2 * SECOND, 0.2, 10 * SECOND, 10 * SECOND, 3 * SECOND),
                1, false, mustSubscribe, Policy.RateHint.NONE, 0);
    }

    private static RequestClass requestClass(String name, Idempotency repeat, boolean inOrder) {
        return new RequestClass(name, repeat, KeyScope.ZONE, 6 * SECOND, 2 * SECOND, 20 * SECOND, 1, 0.5, inOrder);
    }

    static Policy.ListedRoute route(String name, int destination, String kind, String zone) {
        return new Policy.ListedRoute(name, destination, kind, zone, Availability.LISTED, 0);
    }

    SimulatedRelay receiveFullList(Policy.ListedRoute... entries) {
        return runRound(new Policy.RouteListUpdate(Policy.RouteListUpdateType.FULL, 1, List.of(entries)));
    }

    SimulatedRelay receiveListChanges(Policy.ListedRoute... entries) {
        return runRound(new Policy.RouteListUpdate(Policy.RouteListUpdateType.CHANGES, 2, List.of(entries)));
    }

    SimulatedRelay accept(long id, String type, int destination) {
        return accept(id, type, destination, null);
    }

    SimulatedRelay accept(long id, String type, int destination, String key) {
        return runRound(new Policy.RequestAccepted(id, type, null, key, now + 20 * SECOND, destination));
    }

    SimulatedRelay runRound(Event... events) {
        policy.onRound(now, List.of(events), this);
        return this;
    }

    /** Lets time pass, playing timers as they fall due. */
    SimulatedRelay advance(long span) {
        long end = now + span;
        while (true) {
            long[] next = timers.stream().min((a, b) -> Long.compare(a[0], b[0])).orElse(null);
            if (next == null || next[0] > end) {
                now = end;
                return this;
            }
            timers.remove(next);
            now = Math.max(now, next[0]);
            runRound(new Policy.TimerFired(next[1]));
        }
    }

    SimulatedRelay answer(long id, Result result) {
        return answer(id, result, 0);
    }

    /** Answers the oldest attempt of a request that is out. */
    SimulatedRelay answer(long id, Result result, long toldWait) {
        SentAttempt attempt = unanswered.stream().filter(s -> s.id() == id).findFirst().orElseThrow();
        unanswered.remove(attempt);
        return runRound(new Policy.AttemptEnded(id, attempt.attempt(), attempt.route(), result, result == Result.OK,
                toldWait, now - attempt.sentAt(), LimitReport.NONE));
    }

    long countSends(long id) {
        return sent.stream().filter(s -> s.id() == id).count();
    }

    @Override
    public void startAttempt(long id, String route, long timeout) {
        SentAttempt attempt = new SentAttempt(now, id, attemptCounts.merge(id, 1, Integer::sum) - 1, route, timeout);
        sent.add(attempt);
        unanswered.add(attempt);
    }

    @Override
    public void startAttempt(long id, String route, long timeout, long until) {
        latestSendTimes.add(until);
        startAttempt(id, route, timeout);
    }

    @Override
    public void cancelAttempt(long id, int attempt) {
        cancelled.add(id);
    }

    @Override
    public void rejectRequest(long id, long retryIn) {
        refused.add(id);
    }

    @Override
    public void failRequest(long id) {
        failed.add(id);
    }

    @Override
    public void setTimer(long name, long delay) {
        timers.add(new long[] {now + Math.max(1, delay), name});
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
        logLines.add(text.replaceFirst(" \\(.*", "")); // without the figures
    }
}
