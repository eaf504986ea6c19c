package drumdeal;

import static drumdeal.SimulatedRelay.MILLISECOND;
import static drumdeal.SimulatedRelay.SECOND;
import static org.junit.jupiter.api.Assertions.assertTrue;

import drumdeal.Policy.Availability;
import drumdeal.Policy.RateHint;
import drumdeal.Policy.Result;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests that a hundred relays, each of which knows only its own calls, together make good use of a destination's limit
 * on calls per second.
 */
class FleetPacingTest {
    private static final int RELAY_COUNT = 100;
    private static final long STEP_MICROS = 10 * MILLISECOND;
    private static final long DURATION_MICROS = 50 * SECOND;
    /** Time after which an accepted call is answered. */
    private static final long RESPONSE_TIME_MICROS = 250 * MILLISECOND;
    /** Time after which a refused call is answered. */
    private static final long REFUSAL_TIME_MICROS = 40 * MILLISECOND;
    /** Share of the refusals with a retry-after time, which ends when the oldest counted call is a second old. */
    private static final double RETRY_AFTER_SHARE = 0.6;

    /** Smallest share of the calls that the load and the limit allow that must be served. */
    private static final double MIN_SERVED_SHARE = 0.7;
    /** As above, for a destination whose limit counts refused calls as well. */
    private static final double MIN_SERVED_SHARE_WHERE_REFUSALS_COUNT = 0.5;

    /** Answers on their way to the relays. */
    private final List<PendingAnswer> pendingAnswers = new ArrayList<>();
    /** Arrival times within the last second of the calls that count towards the limit. */
    private final ArrayDeque<Long> countedCallTimes = new ArrayDeque<>();
    private int servedCount;
    private int refusedCount;

    /**
     * An answer of the destination.
     *
     * @param dueAt when it reaches the relay, in microseconds
     * @param retryAfter its retry-after time in microseconds; 0 for none
     */
    private record PendingAnswer(SimulatedRelay relay, SimulatedRelay.SentAttempt sent, long dueAt, Result result,
            long retryAfter) { }

    /**
     * Simulates 50 s of random requests.
     *
     * @param limit calls that the destination accepts within any second
     * @param load requests per second, as a multiple of the limit
     * @param hint whether the relays may rely on the listed rate, which equals the limit
     * @param refusalsCount whether refused calls count towards the limit as well
     */
    @ParameterizedTest
    @CsvSource({"3,0.8,NOMINAL,false", "3,0.8,NONE,false", "10,0.8,NOMINAL,false", "10,0.8,NONE,false",
        "30,0.8,NOMINAL,false", "30,0.8,NONE,false", "3,1.3,NOMINAL,false", "3,1.3,NONE,false",
        "10,1.3,NOMINAL,false", "10,1.3,NONE,false", "30,1.3,NOMINAL,false", "30,1.3,NONE,false",
        "10,0.8,NOMINAL,true", "10,0.8,NONE,true", "10,1.3,NOMINAL,true", "10,1.3,NONE,true",
        "30,1.3,NOMINAL,true", "30,1.3,NONE,true"})
    void fleetGetsTheMinimumShareOfPossibleCallsServed(int limit, double load, RateHint hint, boolean refusalsCount) {
        Policy.ListedRoute listed = new Policy.ListedRoute("a", 1, "plain", "east", Availability.LISTED, limit);
        SimulatedFleet fleet = new SimulatedFleet(RELAY_COUNT, 5,
                i -> new SimulatedRelay(settings(i, hint)).receiveFullList(listed));
        double probability = limit * load / RELAY_COUNT * STEP_MICROS / SECOND;
        for (long now = 0; now < DURATION_MICROS; now += STEP_MICROS) {
            pendingAnswers.removeIf(this::answerIfDue);
            for (int i = 0; i < RELAY_COUNT; i++) {
                long stepTime = now;
                SimulatedRelay relay = fleet.relays.get(i);
                relay.advance(now - relay.now);
                fleet.stepRelay(i, probability,
                        (sender, sent) -> handleArrival(fleet, sender, sent, stepTime, limit, refusalsCount));
            }
        }
        double possibleCalls = Math.min(1, load) * limit * DURATION_MICROS / SECOND;
        double minShare = refusalsCount ? MIN_SERVED_SHARE_WHERE_REFUSALS_COUNT : MIN_SERVED_SHARE;
        assertTrue(servedCount >= minShare * possibleCalls,
                "served " + servedCount + " of " + possibleCalls + ", refused " + refusedCount);
    }

    /** Delivers an answer once it is due; returns whether it did. */
    private boolean answerIfDue(PendingAnswer answer) {
        if (answer.dueAt > answer.relay.now) {
            return false;
        }
        answer.relay.endAttempt(answer.sent.id(), answer.result, answer.retryAfter);
        return true;
    }

    /** Accepts or refuses a call that arrives at the destination. */
    private void handleArrival(SimulatedFleet fleet, SimulatedRelay relay, SimulatedRelay.SentAttempt sent, long now,
            int limit, boolean refusalsCount) {
        while (!countedCallTimes.isEmpty() && countedCallTimes.peek() <= now - SECOND) {
            countedCallTimes.remove();
        }
        boolean accepted = countedCallTimes.size() < limit;
        if (accepted || refusalsCount) {
            countedCallTimes.add(now);
        }
        servedCount += accepted ? 1 : 0;
        refusedCount += accepted ? 0 : 1;
        long retryAfter = !accepted && fleet.random.nextDouble() < RETRY_AFTER_SHARE
                ? countedCallTimes.peek() + SECOND - now : 0;
        pendingAnswers.add(new PendingAnswer(relay, sent,
                now + (accepted ? RESPONSE_TIME_MICROS : REFUSAL_TIME_MICROS),
                accepted ? Result.OK : Result.FULL, retryAfter));
    }

    /** Settings of one relay of the fleet, with the given meaning of the listed rate. */
    private static Policy.Settings settings(long seed, RateHint hint) {
        Policy.Settings fleetSettings = SimulatedRelay.fleetSettings(RELAY_COUNT, seed);
        return new Policy.Settings(seed, 0, RELAY_COUNT, fleetSettings.zone(), fleetSettings.classes(),
                fleetSettings.tenants(), fleetSettings.kinds(), fleetSettings.zones(), fleetSettings.limits(),
                fleetSettings.rules(), 1, false, false, hint, 0);
    }
}
