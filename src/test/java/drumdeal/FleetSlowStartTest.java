package drumdeal;

import static drumdeal.SimulatedRelay.MILLISECOND;
import static drumdeal.SimulatedRelay.SECOND;
import static drumdeal.SimulatedRelay.route;
import static org.junit.jupiter.api.Assertions.assertTrue;

import drumdeal.Policy.Result;
import java.util.ArrayDeque;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * What a destination gets from thirty relays together as it returns cold from an outage: never more than the rules
 * allow in any window until it is warm, whoever has seen the outage and whoever has not.
 */
class FleetSlowStartTest {
    private static final int RELAY_COUNT = 30;
    private static final long STEP_MICROS = 10 * MILLISECOND;
    private static final long OUTAGE_START_MICROS = 25 * SECOND;
    private static final long OUTAGE_END_MICROS = 35 * SECOND;
    private static final long RESPONSE_TIME_MICROS = 150 * MILLISECOND;
    /** Of what the destination takes when warm: what clients send in all. */
    private static final double LOAD_RATIO = 0.9;

    private final Policy.ServiceRules rules = SimulatedRelay.fleetSettings(RELAY_COUNT, 0).rules();
    private final SimulatedFleet fleet = new SimulatedFleet(RELAY_COUNT, 11,
            i -> new SimulatedRelay(SimulatedRelay.fleetSettings(RELAY_COUNT, i)).receiveFullList(route("a", 1, "plain", "east")));
    private final ArrayDeque<Long> recentSendTimes = new ArrayDeque<>();

    private static Stream<Arguments> outages() {
        return Stream.of(Result.CONNECT_FAILED, Result.TIMEOUT, Result.ERROR).flatMap(failure ->
                Stream.of(2, 5, 10, 30, 80, 200).map(budget -> Arguments.of(failure, budget)));
    }

    @ParameterizedTest
    @MethodSource("outages")
    void sumOfAllRelaysStaysWithinWhatAColdDestinationBears(Result failure, int budget) {
        double capacity = budget / (rules.collapseLoadMultiple() * rules.coldCapacityShare() * rules.collapseWindowMicros() / SECOND);
        String worst = "";
        double most = 0;
        for (long now = 0; now < OUTAGE_END_MICROS + rules.warmUpMicros(); now += STEP_MICROS) {
            for (int i = 0; i < RELAY_COUNT; i++) {
                stepRelay(i, now, capacity * LOAD_RATIO / RELAY_COUNT, failure);
            }
            while (!recentSendTimes.isEmpty() && recentSendTimes.peek() < now - rules.collapseWindowMicros()) {
                recentSendTimes.remove();
            }
            if (now >= OUTAGE_END_MICROS) {
                double allowed = allowedCalls(capacity, now);
                if (recentSendTimes.size() / allowed > most) {
                    most = recentSendTimes.size() / allowed;
                    worst = recentSendTimes.size() + " calls of " + allowed + ", ms after the return: " + (now - OUTAGE_END_MICROS) / MILLISECOND;
                }
            }
        }
        assertTrue(most <= 1, worst);
    }

    /** A budget is an average: twice its root and two more are put down to chance. */
    private double allowedCalls(double capacity, long now) {
        double warm = (now - OUTAGE_END_MICROS) / (double) rules.warmUpMicros();
        double part = rules.coldCapacityShare() * (1 - warm) + warm;
        double budget = rules.collapseLoadMultiple() * rules.collapseWindowMicros() / SECOND * capacity * part;
        return budget + 2 * Math.sqrt(budget) + 2;
    }

    private void stepRelay(int number, long now, double rate, Result failure) {
        SimulatedRelay relay = fleet.relays.get(number);
        relay.advance(now - relay.now);
        for (SimulatedRelay.SentAttempt sent : List.copyOf(relay.unanswered)) {
            answerIfDue(relay, sent, now, failure);
        }
        // The last relay has nothing to send until the destination is back: it has seen nothing of the outage.
        boolean idle = number == RELAY_COUNT - 1 && now < OUTAGE_END_MICROS;
        fleet.stepRelay(number, idle ? 0 : rate * STEP_MICROS / SECOND, (from, sent) -> recentSendTimes.add(sent.sentAt()));
    }

    private void answerIfDue(SimulatedRelay relay, SimulatedRelay.SentAttempt sent, long now, Result failure) {
        boolean down = sent.sentAt() >= OUTAGE_START_MICROS - RESPONSE_TIME_MICROS && sent.sentAt() < OUTAGE_END_MICROS;
        boolean silent = down && failure == Result.TIMEOUT;
        long due = silent ? sent.timeout() == 0 ? 20 * SECOND : sent.timeout() : RESPONSE_TIME_MICROS;
        if (now - sent.sentAt() >= due) {
            relay.answer(sent.id(), down ? failure : Result.OK);
        }
    }
}
