package drumdeal;

import static drumdeal.SimulatedRelay.MILLISECOND;
import static drumdeal.SimulatedRelay.SECOND;
import static drumdeal.SimulatedRelay.route;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import drumdeal.Policy.Result;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/**
 * Tests that requests resumed after a restart, for which no attempt was made, get one before their deadline. The
 * restored state, an old route list or new requests must not prevent it, but a retry-after time does.
 */
class ResumptionTest {
    private static final int REQUEST_COUNT = 40;

    private final SimulatedRelay relay = new SimulatedRelay(SimulatedRelay.settings(10, 50));

    /** Lists two routes that share the limit of destination 1 and a route of destination 2. */
    private SimulatedRelay listRoutes(SimulatedRelay target) {
        return target.receiveFullList(route("a", 1, "plain", "east"), route("b", 1, "plain", "west"),
                route("c", 2, "apart", "east"));
    }

    /** As below, for the ids 0 to 39. */
    private SimulatedRelay resumeRequests(int destination, long timeLeft) {
        return resumeRequests(destination, timeLeft, 0, REQUEST_COUNT);
    }

    /**
     * Resumes the requests with the ids {@code from} to {@code to - 1}, for which no attempt was made. The deadline of
     * request 0 is {@code timeLeft} microseconds from now, that of each further one 50 ms later.
     */
    private SimulatedRelay resumeRequests(int destination, long timeLeft, int from, int to) {
        List<Policy.Event> events = new ArrayList<>();
        for (int id = from; id < to; id++) {
            long deadline = relay.now + timeLeft + id * 50 * MILLISECOND;
            String requestClassName = List.of("safe", "keyed", "once").get(id % 3);
            events.add(new Policy.RequestResumed(
                    new Policy.RequestAccepted(id, requestClassName, null, null, deadline, destination), List.of()));
        }
        return relay.runRound(events.toArray(Policy.Event[]::new));
    }

    /** Moves the clock forward by {@code micros}; each attempt ends with {@code result} after its response time. */
    private void advanceAndAnswer(long micros, long responseTime, Result result) {
        for (long end = relay.now + micros; relay.now < end;) {
            relay.advance(10 * MILLISECOND);
            List.copyOf(relay.attemptsInFlight).stream().filter(sent -> relay.now - sent.sentAt() >= responseTime)
                    .forEach(sent -> relay.endAttempt(sent.id(), result));
        }
    }

    /** Number of resumed requests for which an attempt was made. */
    private long countTried() {
        return relay.sent.stream().map(SimulatedRelay.SentAttempt::id).filter(id -> id < REQUEST_COUNT).distinct()
                .count();
    }

    /** The pacing rate learned before the restart would delay most of the requests beyond their deadlines. */
    @Test
    void mostResumedRequestsAreTriedDespiteALowRestoredPacingRate() {
        SimulatedRelay predecessor = listRoutes(new SimulatedRelay(SimulatedRelay.fleetSettings(100, 3)));
        for (int id = 100; id < 110; id++) {
            predecessor.accept(id, "safe", 2);
            if (predecessor.countSends(id) > 0) {
                predecessor.endAttempt(id, Result.FULL);
            }
            predecessor.advance(SECOND);
        }
        relay.now = predecessor.now;
        listRoutes(relay).runRound(
                new Policy.LearnedStateRestored(predecessor.module().encodeLearnedState(), 0),
                new Policy.PredecessorEnded());
        resumeRequests(2, 6 * SECOND);
        advanceAndAnswer(9 * SECOND, 100 * MILLISECOND, Result.OK);
        assertTrue(countTried() > REQUEST_COUNT / 2, "tried " + countTried());
        assertTrue(relay.logLines.toString().contains("resumed 40, untried 40, of these tried " + countTried()
                + ", ended without a call " + (REQUEST_COUNT - countTried())), relay.logLines.toString());
    }

    /**
     * The circuit was open before the restart and stays open, as all calls fail. Trials alone would reach only a
     * few of the requests before their deadlines.
     */
    @Test
    void mostResumedRequestsAreTriedDespiteARestoredOpenCircuit() {
        SimulatedRelay predecessor = listRoutes(new SimulatedRelay(SimulatedRelay.settings(10, 50)));
        for (int id = 100; id < 112; id++) {
            predecessor.accept(id, "safe", 1).accept(id + 100, "safe", 1).advance(200 * MILLISECOND);
            List.copyOf(predecessor.attemptsInFlight)
                    .forEach(sent -> predecessor.endAttempt(sent.id(), Result.CONNECT_FAILED));
        }
        assertTrue(predecessor.logLines.toString().contains("circuit opened: "), predecessor.logLines.toString());
        relay.now = predecessor.now;
        listRoutes(relay).runRound(
                new Policy.LearnedStateRestored(predecessor.module().encodeLearnedState(), 0),
                new Policy.PredecessorEnded());
        resumeRequests(1, 15 * SECOND, 0, REQUEST_COUNT / 2);
        advanceAndAnswer(18 * SECOND, 100 * MILLISECOND, Result.CONNECT_FAILED);
        assertTrue(countTried() > REQUEST_COUNT / 4, "tried " + countTried());
    }

    /** Unlike a new request, a resumed one is tried even if its answer would probably come too late. */
    @Test
    void resumedRequestsAreTriedEvenShortlyBeforeTheirDeadlines() {
        listRoutes(relay);
        for (int id = 0; id < 6; id++) {
            relay.runRound(new Policy.RequestResumed(
                    new Policy.RequestAccepted(id, "once", null, null, relay.now + 50 * MILLISECOND + id, 1),
                    List.of()));
        }
        assertEquals(6, countTried());
    }

    /** The list from before the restart may lack the destination, and the next regular update may come too late. */
    @Test
    void missingDestinationCausesAListFetchAndIsCalledOnceListed() {
        resumeRequests(1, 4 * SECOND).advance(SECOND);
        assertEquals(0, countTried());
        assertTrue(relay.listFetchCount > 0, "the whole list is requested");
        listRoutes(relay);
        advanceAndAnswer(6 * SECOND, 100 * MILLISECOND, Result.OK);
        assertEquals(REQUEST_COUNT, countTried());
    }

    @Test
    void newRequestsNeitherEvictResumedRequestsNorPreventTheirAttempts() {
        listRoutes(relay);
        resumeRequests(1, 15 * SECOND);
        Set<Long> rejectedSoFar = Set.copyOf(relay.rejected);
        for (int id = 1000; id < 1040; id++) {
            relay.accept(id, "quick", 1).advance(MILLISECOND);
        }
        Set<Long> evicted = relay.rejected.stream().filter(id -> id < REQUEST_COUNT && !rejectedSoFar.contains(id))
                .collect(Collectors.toSet());
        assertEquals(Set.of(), evicted);
        advanceAndAnswer(8 * SECOND, 100 * MILLISECOND, Result.OK);
        assertEquals(REQUEST_COUNT, countTried());
    }

    @Test
    void resumedRequestsObserveRetryAfterTimes() {
        listRoutes(relay);
        relay.accept(500, "safe", 1).endAttempt(500, Result.FULL, 30 * SECOND);
        resumeRequests(1, 3 * SECOND);
        advanceAndAnswer(8 * SECOND, 100 * MILLISECOND, Result.OK);
        assertEquals(0, countTried());
        assertTrue(relay.logLines.toString().contains("ended without a call 40"), relay.logLines.toString());
    }

    /**
     * A process that shuts down sends nothing more. A request whose deadline comes before the next process can call
     * would expire there untried.
     */
    @Test
    void shutdownRejectsRequestsThatTheNextProcessCannotTryInTime() {
        listRoutes(relay).runRound(new Policy.ShutdownStarted());
        relay.runRound(new Policy.RequestAccepted(1, "once", null, null, relay.now + 3 * SECOND, 1),
                new Policy.RequestAccepted(2, "once", null, null, relay.now + 6 * SECOND, 1));
        assertEquals(List.of(1L), relay.rejected,
                "request 1 is rejected at once, request 2 is left to the next process");
        assertEquals(0, relay.sent.size());
    }
}
