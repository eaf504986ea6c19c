package drumdeal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import drumdeal.Policy.Availability;
import drumdeal.Policy.Event;
import drumdeal.Policy.LimitReport;
import drumdeal.Policy.Idempotency;
import drumdeal.Policy.RequestClass;
import drumdeal.Policy.Result;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Plays legal events in awkward order and checks the rules on every action. */
class RandomEventsTest {
    /** Results that prove that nothing ran, as the rules name them. */
    private static final Set<Result> RESULTS_WITHOUT_EFFECT =
            Set.of(Result.FULL, Result.CONNECT_FAILED, Result.NOT_SENT);
    private static final long MILLISECOND = SimulatedRelay.MILLISECOND;
    private static final long SECOND = SimulatedRelay.SECOND;
    private static final Result[] WEIGHTED_RESULTS = {Result.OK, Result.OK, Result.OK, Result.OK, Result.ERROR, Result.FULL,
        Result.CONNECT_FAILED, Result.RESET, Result.TIMEOUT, Result.NOT_SENT};

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void keepsEveryRule(long seed) {
        RuleChecker checker = new RuleChecker(seed);
        for (int i = 0; i < 4_000; i++) {
            checker.step();
        }
        checker.runToCompletion();
        assertTrue(checker.answeredCount > 500, "answered " + checker.answeredCount);
        assertEquals(checker.requestsById.size(), checker.answeredCount);
    }

    private static final class TrackedRequest {
        RequestClass requestClass;
        int destination;
        String key;
        long deadline;
        boolean ended;
        final List<TrackedAttempt> attempts = new ArrayList<>();
    }

    private static final class TrackedAttempt {
        String route;
        long sentAt;
        long timeoutAt;
        Result result;
    }

    /** The world of one module; it holds each action against the rules. */
    private static final class RuleChecker implements Policy.Actions {
        final Policy.Settings settings = SimulatedRelay.settings(8, 60);
        final Policy policy = new DeliveryPolicy(settings);
        final Random random;
        final Map<Long, TrackedRequest> requestsById = new HashMap<>();
        final List<long[]> attemptsInFlight = new ArrayList<>();
        final List<long[]> timers = new ArrayList<>();
        final Map<String, Policy.ListedRoute> listedRoutes = new HashMap<>();
        final Map<String, Long> unlistedAt = new HashMap<>();
        final Map<String, Long> groupBlockedUntil = new HashMap<>();
        final Map<String, Long> keyBlockedUntil = new HashMap<>();
        final List<Event> pendingEvents = new ArrayList<>();
        long now = 5 * SECOND;
        long nextId;
        int answeredCount;

        RuleChecker(long seed) {
            random = new Random(seed);
            for (int i = 0; i < 9; i++) {
                int destination = i / 3;
                String kind = settings.kinds().get(destination).name();
                putRoute(SimulatedRelay.route("r" + i, destination, kind, i % 2 == 0 ? "east" : "west"));
            }
            pendingEvents.add(new Policy.RouteListUpdate(Policy.RouteListUpdateType.CACHED, 1, List.copyOf(listedRoutes.values())));
            runRound();
        }

        void putRoute(Policy.ListedRoute entry) {
            listedRoutes.put(entry.route(), entry);
            if (entry.availability() == Availability.LISTED) {
                unlistedAt.remove(entry.route());
            } else {
                unlistedAt.putIfAbsent(entry.route(), now);
            }
        }

        void step() {
            now += random.nextInt(60) * MILLISECOND;
            if (random.nextInt(3) > 0) {
                acceptRequest();
            }
            timeOutExpiredAttempts();
            for (int i = random.nextInt(4); i > 0 && !attemptsInFlight.isEmpty(); i--) {
                completeAttempt(attemptsInFlight.remove(random.nextInt(attemptsInFlight.size())), WEIGHTED_RESULTS[random.nextInt(WEIGHTED_RESULTS.length)]);
            }
            if (random.nextInt(200) == 0) {
                changeList();
            }
            runRound();
        }

        void acceptRequest() {
            TrackedRequest track = new TrackedRequest();
            track.requestClass = settings.classes().get(random.nextInt(4));
            track.destination = random.nextInt(4);
            track.key = track.requestClass.orderedByKey() ? "k" + random.nextInt(5) : null;
            track.deadline = now + track.requestClass.timeLimitMicros() / (1 + random.nextInt(4));
            requestsById.put(nextId, track);
            pendingEvents.add(new Policy.RequestAccepted(nextId++, track.requestClass.name(), null, track.key, track.deadline,
                    track.destination));
        }

        void changeList() {
            String name = "r" + random.nextInt(9);
            Policy.ListedRoute old = listedRoutes.get(name);
            Availability next = Availability.values()[random.nextInt(3)];
            putRoute(new Policy.ListedRoute(name, old.destination(), old.kind(), old.zone(), next, 0));
            pendingEvents.add(new Policy.RouteListUpdate(Policy.RouteListUpdateType.CHANGES, 2, List.of(listedRoutes.get(name))));
        }

        void timeOutExpiredAttempts() {
            for (long[] attempt : List.copyOf(attemptsInFlight)) {
                if (requestsById.get(attempt[0]).attempts.get((int) attempt[1]).timeoutAt <= now) {
                    attemptsInFlight.remove(attempt);
                    completeAttempt(attempt, Result.TIMEOUT);
                }
            }
        }

        void completeAttempt(long[] attempt, Result result) {
            TrackedRequest track = requestsById.get(attempt[0]);
            TrackedAttempt sent = track.attempts.get((int) attempt[1]);
            sent.result = result;
            boolean closing = result == Result.OK && !track.ended;
            if (closing) {
                track.ended = true;
                answeredCount++;
            }
            long told = result == Result.FULL && random.nextBoolean() ? random.nextInt(1500) * MILLISECOND : 0;
            if (told > 0) {
                groupBlockedUntil.merge(groupOf(sent.route), now + told, Math::max);
            }
            if (track.key != null && !RESULTS_WITHOUT_EFFECT.contains(result) && result != Result.OK && result != Result.ERROR) {
                keyBlockedUntil.put(track.key, now + settings.rules().orderPauseMicros());
            }
            pendingEvents.add(new Policy.AttemptEnded(attempt[0], (int) attempt[1], sent.route, result, track.ended, told,
                    now - sent.sentAt, LimitReport.NONE));
        }

        void runRound() {
            for (long[] timer : List.copyOf(timers)) {
                if (timer[0] <= now) {
                    timers.remove(timer);
                    pendingEvents.add(new Policy.TimerFired(timer[1]));
                }
            }
            if (!pendingEvents.isEmpty()) {
                List<Event> round = List.copyOf(pendingEvents);
                pendingEvents.clear();
                policy.onRound(now, round, this);
            }
            requestsById.forEach((id, track) -> assertTrue(track.ended || now <= track.deadline + 80 * MILLISECOND,
                    "request " + id + " is overdue"));
        }

        void runToCompletion() {
            for (long end = now + 40 * SECOND; now < end; now += 5 * MILLISECOND) {
                timeOutExpiredAttempts();
                runRound();
            }
        }

        String groupOf(String route) {
            Policy.ListedRoute entry = listedRoutes.get(route);
            return entry.kind().equals("apart") ? route : "d" + entry.destination();
        }

        @Override
        public void startAttempt(long id, String route, long timeout) {
            TrackedRequest track = requestsById.get(id);
            Policy.ListedRoute entry = listedRoutes.get(route);
            assertFalse(track.ended, "sent after its end");
            assertEquals(track.destination, entry.destination());
            assertTrue(track.attempts.size() < settings.limits().maxAttempts(), "too many attempts");
            assertTrue(unlistedAt.getOrDefault(route, now) + settings.rules().drainGraceMicros() >= now, "drain");
            assertTrue(groupBlockedUntil.getOrDefault(groupOf(route), now) <= now, "wait");
            checkRepeat(track, entry);
            checkOrder(id, track);
            TrackedAttempt sent = new TrackedAttempt();
            sent.route = route;
            sent.sentAt = now;
            sent.timeoutAt = timeout == 0 ? track.deadline : Math.min(track.deadline, now + timeout);
            track.attempts.add(sent);
            attemptsInFlight.add(new long[] {id, track.attempts.size() - 1});
        }

        void checkRepeat(TrackedRequest track, Policy.ListedRoute entry) {
            for (TrackedAttempt earlier : track.attempts) {
                assertTrue(earlier.result != null, "two attempts out");
                if (RESULTS_WITHOUT_EFFECT.contains(earlier.result)) {
                    continue;
                }
                assertTrue(track.requestClass.idempotency() != Idempotency.ONCE, "once sent again");
                if (track.requestClass.idempotency() == Idempotency.BY_KEY) {
                    assertEquals(listedRoutes.get(earlier.route).zone(), entry.zone(), "outside the key's zone");
                    assertTrue(now <= earlier.sentAt + track.requestClass.dedupWindowMicros(), "outside the key's window");
                }
            }
        }

        void checkOrder(long id, TrackedRequest track) {
            if (track.key == null) {
                return;
            }
            for (Map.Entry<Long, TrackedRequest> other : requestsById.entrySet()) {
                TrackedRequest earlier = other.getValue();
                if (other.getKey() < id && track.key.equals(earlier.key)) {
                    assertTrue(earlier.ended && earlier.attempts.stream().allMatch(t -> t.result != null), "order");
                }
            }
            if (track.attempts.isEmpty()) {
                assertTrue(keyBlockedUntil.getOrDefault(track.key, now) <= now, "order pause");
            }
        }

        void endRequest(long id, boolean refusal) {
            TrackedRequest track = requestsById.get(id);
            assertFalse(track.ended, "two final answers");
            track.ended = true;
            answeredCount++;
            boolean mayHaveRun = track.attempts.stream().anyMatch(t -> t.result == null || !RESULTS_WITHOUT_EFFECT.contains(t.result));
            if (refusal && mayHaveRun) {
                assertEquals(Idempotency.REPEATABLE, track.requestClass.idempotency(), "refused though it may have run");
            }
        }

        @Override
        public void rejectRequest(long id, long retryIn) {
            endRequest(id, true);
        }

        @Override
        public void failRequest(long id) {
            endRequest(id, false);
        }

        @Override
        public void cancelAttempt(long id, int attempt) {
            for (long[] sent : List.copyOf(attemptsInFlight)) {
                if (sent[0] == id && sent[1] == attempt) {
                    attemptsInFlight.remove(sent);
                    completeAttempt(sent, Result.CANCELLED);
                }
            }
        }

        @Override
        public void setTimer(long name, long delay) {
            timers.add(new long[] {now + Math.max(1, delay), name});
        }

        @Override
        public void sendProbe(String route) {
            Result result = WEIGHTED_RESULTS[random.nextInt(WEIGHTED_RESULTS.length)];
            pendingEvents.add(new Policy.ProbeEnded(route, result, 0, MILLISECOND, LimitReport.NONE));
        }

        @Override
        public void closeIdleConnections(String route) { }

        @Override
        public void sendPeerNote(int relay, byte[] bytes) { }

        @Override
        public void setRouteListSubscription(boolean on) { }

        @Override
        public void fetchRouteList() { }

        @Override
        public void log(String text) { }
    }
}
