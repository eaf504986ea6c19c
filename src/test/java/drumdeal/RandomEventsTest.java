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

/** Reports random but valid sequences of events to the decision module and checks each of its actions. */
class RandomEventsTest {
    /** The results used here that prove that an attempt took no effect. */
    private static final Set<Result> RESULTS_WITHOUT_EFFECT =
            Set.of(Result.FULL, Result.CONNECT_FAILED, Result.NOT_SENT);
    private static final long MILLISECOND = SimulatedRelay.MILLISECOND;
    private static final long SECOND = SimulatedRelay.SECOND;
    /** Results of attempts and probes, drawn with equal probability; OK is repeated to be more frequent. */
    private static final Result[] WEIGHTED_RESULTS = {Result.OK, Result.OK, Result.OK, Result.OK, Result.ERROR,
        Result.FULL, Result.CONNECT_FAILED, Result.RESET, Result.TIMEOUT, Result.NOT_SENT};

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void moduleBreaksNoRuleOnRandomEvents(long seed) {
        RuleChecker checker = new RuleChecker(seed);
        for (int i = 0; i < 4_000; i++) {
            checker.step();
        }
        checker.runToCompletion();
        assertTrue(checker.endedCount > 500, "ended requests: " + checker.endedCount);
        assertEquals(checker.requestsById.size(), checker.endedCount);
    }

    /** A request that was reported to the module. */
    private static final class TrackedRequest {
        RequestClass requestClass;
        int destination;
        /** Key by which requests are ordered; null for a class without order. */
        String key;
        long deadline;
        /** True once the request was delivered, rejected or failed. */
        boolean ended;
        final List<TrackedAttempt> attempts = new ArrayList<>();
    }

    /** An attempt that the module started. */
    private static final class TrackedAttempt {
        String route;
        long sentAt;
        /** When the attempt ends with TIMEOUT at the latest. */
        long timeoutAt;
        /** Null while the attempt is in flight. */
        Result result;
    }

    /** Simulates everything around one decision module and checks each of the module's actions against the rules. */
    private static final class RuleChecker implements Policy.Actions {
        final Policy.Settings settings = SimulatedRelay.settings(8, 60);
        final Policy policy = new DeliveryPolicy(settings);
        final Random random;
        final Map<Long, TrackedRequest> requestsById = new HashMap<>();
        /** Each with the request id and the index of the attempt. */
        final List<long[]> attemptsInFlight = new ArrayList<>();
        /** Each with the time when it is due and its number. */
        final List<long[]> timers = new ArrayList<>();
        /** Latest entry of each route by name, also of draining and removed routes. */
        final Map<String, Policy.ListedRoute> listedRoutes = new HashMap<>();
        /** When a route that is draining or removed stopped being in service. */
        final Map<String, Long> unlistedAt = new HashMap<>();
        /** End of the longest retry-after time by limit group; see {@link #groupOf}. */
        final Map<String, Long> groupBlockedUntil = new HashMap<>();
        /** End of the pause of a key, which follows an unanswered attempt that may have taken effect. */
        final Map<String, Long> keyBlockedUntil = new HashMap<>();
        /** Events for the next round. */
        final List<Event> pendingEvents = new ArrayList<>();
        long now = 5 * SECOND;
        long nextId;
        /** Number of requests that ended. */
        int endedCount;

        /** Starts the module with a list of nine routes, three for each of the destinations 0 to 2. */
        RuleChecker(long seed) {
            random = new Random(seed);
            for (int i = 0; i < 9; i++) {
                int destination = i / 3;
                String kind = settings.kinds().get(destination).name();
                putRoute(SimulatedRelay.route("r" + i, destination, kind, i % 2 == 0 ? "east" : "west"));
            }
            pendingEvents.add(new Policy.RouteListUpdate(Policy.RouteListUpdateType.CACHED, 1,
                    List.copyOf(listedRoutes.values())));
            runRound();
        }

        /** Records the latest entry of a route. */
        void putRoute(Policy.ListedRoute entry) {
            listedRoutes.put(entry.route(), entry);
            if (entry.availability() == Availability.LISTED) {
                unlistedAt.remove(entry.route());
            } else {
                unlistedAt.putIfAbsent(entry.route(), now);
            }
        }

        /** Moves the clock by less than 60 ms and reports random events in one round. */
        void step() {
            now += random.nextInt(60) * MILLISECOND;
            if (random.nextInt(3) > 0) {
                acceptRequest();
            }
            timeOutExpiredAttempts();
            for (int i = random.nextInt(4); i > 0 && !attemptsInFlight.isEmpty(); i--) {
                completeAttempt(attemptsInFlight.remove(random.nextInt(attemptsInFlight.size())),
                        WEIGHTED_RESULTS[random.nextInt(WEIGHTED_RESULTS.length)]);
            }
            if (random.nextInt(200) == 0) {
                changeList();
            }
            runRound();
        }

        /** Reports a new request; destination 3 has no route. */
        void acceptRequest() {
            TrackedRequest request = new TrackedRequest();
            request.requestClass = settings.classes().get(random.nextInt(4));
            request.destination = random.nextInt(4);
            request.key = request.requestClass.orderedByKey() ? "k" + random.nextInt(5) : null;
            request.deadline = now + request.requestClass.timeLimitMicros() / (1 + random.nextInt(4));
            requestsById.put(nextId, request);
            pendingEvents.add(new Policy.RequestAccepted(nextId++, request.requestClass.name(), null, request.key,
                    request.deadline, request.destination));
        }

        /** Changes the availability of a random route. */
        void changeList() {
            String name = "r" + random.nextInt(9);
            Policy.ListedRoute entry = listedRoutes.get(name);
            Availability availability = Availability.values()[random.nextInt(3)];
            putRoute(new Policy.ListedRoute(name, entry.destination(), entry.kind(), entry.zone(), availability, 0));
            pendingEvents.add(new Policy.RouteListUpdate(Policy.RouteListUpdateType.CHANGES, 2,
                    List.of(listedRoutes.get(name))));
        }

        /** Ends the attempts whose timeout has passed. */
        void timeOutExpiredAttempts() {
            for (long[] idAndIndex : List.copyOf(attemptsInFlight)) {
                if (requestsById.get(idAndIndex[0]).attempts.get((int) idAndIndex[1]).timeoutAt <= now) {
                    attemptsInFlight.remove(idAndIndex);
                    completeAttempt(idAndIndex, Result.TIMEOUT);
                }
            }
        }

        /** Reports the result of the attempt with a request id and index; some refusals carry a retry-after time. */
        void completeAttempt(long[] idAndIndex, Result result) {
            TrackedRequest request = requestsById.get(idAndIndex[0]);
            TrackedAttempt attempt = request.attempts.get((int) idAndIndex[1]);
            attempt.result = result;
            boolean delivered = result == Result.OK && !request.ended;
            if (delivered) {
                request.ended = true;
                endedCount++;
            }
            long retryAfter = result == Result.FULL && random.nextBoolean() ? random.nextInt(1500) * MILLISECOND : 0;
            if (retryAfter > 0) {
                groupBlockedUntil.merge(groupOf(attempt.route), now + retryAfter, Math::max);
            }
            if (request.key != null && !RESULTS_WITHOUT_EFFECT.contains(result) && result != Result.OK
                    && result != Result.ERROR) {
                keyBlockedUntil.put(request.key, now + settings.rules().orderPauseMicros());
            }
            pendingEvents.add(new Policy.AttemptEnded(idAndIndex[0], (int) idAndIndex[1], attempt.route, result,
                    request.ended, retryAfter, now - attempt.sentAt, LimitReport.NONE));
        }

        /** Reports the pending events and due timers, then checks that no request has missed its deadline. */
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
            // The clock moves in steps of less than 60 ms, so timers fire late and requests may end after the deadline.
            requestsById.forEach((id, request) -> assertTrue(
                    request.ended || now <= request.deadline + 80 * MILLISECOND,
                    "request " + id + " has not ended by its deadline"));
        }

        /** Runs until all requests are beyond their deadlines. */
        void runToCompletion() {
            for (long end = now + 40 * SECOND; now < end; now += 5 * MILLISECOND) {
                timeOutExpiredAttempts();
                runRound();
            }
        }

        /** Name of the limit group of a route: the route if it has its own limit, otherwise its destination. */
        String groupOf(String route) {
            Policy.ListedRoute entry = listedRoutes.get(route);
            return entry.kind().equals("apart") ? route : "d" + entry.destination();
        }

        @Override
        public void startAttempt(long id, String route, long timeout) {
            TrackedRequest request = requestsById.get(id);
            Policy.ListedRoute entry = listedRoutes.get(route);
            assertFalse(request.ended, "attempt after the request ended");
            assertEquals(request.destination, entry.destination());
            assertTrue(request.attempts.size() < settings.limits().maxAttempts(), "too many attempts");
            assertTrue(unlistedAt.getOrDefault(route, now) + settings.rules().drainGraceMicros() >= now,
                    "attempt to a route after its drain grace");
            assertTrue(groupBlockedUntil.getOrDefault(groupOf(route), now) <= now,
                    "attempt before the end of the retry-after time");
            checkRepeat(request, entry);
            checkOrder(id, request);
            TrackedAttempt attempt = new TrackedAttempt();
            attempt.route = route;
            attempt.sentAt = now;
            attempt.timeoutAt = timeout == 0 ? request.deadline : Math.min(request.deadline, now + timeout);
            request.attempts.add(attempt);
            attemptsInFlight.add(new long[] {id, request.attempts.size() - 1});
        }

        /** Checks that the earlier attempts of a request allow another one to a route. */
        void checkRepeat(TrackedRequest request, Policy.ListedRoute entry) {
            for (TrackedAttempt earlier : request.attempts) {
                assertTrue(earlier.result != null, "two attempts in flight");
                if (RESULTS_WITHOUT_EFFECT.contains(earlier.result)) {
                    continue;
                }
                assertTrue(request.requestClass.idempotency() != Idempotency.ONCE,
                        "second attempt of a once request that may have taken effect");
                if (request.requestClass.idempotency() == Idempotency.BY_KEY) {
                    assertEquals(listedRoutes.get(earlier.route).zone(), entry.zone(),
                            "retry outside the zone of the key");
                    assertTrue(now <= earlier.sentAt + request.requestClass.dedupWindowMicros(),
                            "retry outside the dedup window of the key");
                }
            }
        }

        /** Checks that all earlier requests of the same key have ended and that the key is not paused. */
        void checkOrder(long id, TrackedRequest request) {
            if (request.key == null) {
                return;
            }
            for (Map.Entry<Long, TrackedRequest> other : requestsById.entrySet()) {
                TrackedRequest earlier = other.getValue();
                if (other.getKey() < id && request.key.equals(earlier.key)) {
                    assertTrue(earlier.ended && earlier.attempts.stream().allMatch(attempt -> attempt.result != null),
                            "attempt before an earlier request of its key ended");
                }
            }
            if (request.attempts.isEmpty()) {
                assertTrue(keyBlockedUntil.getOrDefault(request.key, now) <= now,
                        "attempt during the pause of its key");
            }
        }

        /** Ends a request by a rejection or a failure; after a rejection the client may submit it again. */
        void endRequest(long id, boolean rejected) {
            TrackedRequest request = requestsById.get(id);
            assertFalse(request.ended, "request ended twice");
            request.ended = true;
            endedCount++;
            boolean mayHaveTakenEffect = request.attempts.stream()
                    .anyMatch(attempt -> attempt.result == null || !RESULTS_WITHOUT_EFFECT.contains(attempt.result));
            if (rejected && mayHaveTakenEffect) {
                assertEquals(Idempotency.REPEATABLE, request.requestClass.idempotency(),
                        "rejected though it may have taken effect");
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
            for (long[] idAndIndex : List.copyOf(attemptsInFlight)) {
                if (idAndIndex[0] == id && idAndIndex[1] == attempt) {
                    attemptsInFlight.remove(idAndIndex);
                    completeAttempt(idAndIndex, Result.CANCELLED);
                }
            }
        }

        @Override
        public void setTimer(long timer, long delay) {
            timers.add(new long[] {now + Math.max(1, delay), timer});
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
