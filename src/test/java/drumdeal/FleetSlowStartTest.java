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
 * Tests that thirty relays together do not overload a destination that recovers from an outage. Until the destination
 * has warmed up, no window may contain more calls than the rules allow, whichever relays have noticed the outage.
 */
class FleetSlowStartTest {
    private static final int RELAY_COUNT = 30;
    private static final long STEP_MICROS = 10 * MILLISECOND;
    private static final long OUTAGE_START_MICROS = 25 * SECOND;
    private static final long OUTAGE_END_MICROS = 35 * SECOND;
    /** Time after which a call is answered, unless it times out. */
    private static final long RESPONSE_TIME_MICROS = 150 * MILLISECOND;
    /** Requests of all clients, as a share of the capacity of the warm destination. */
    private static final double LOAD_RATIO = 0.9;

    private final Policy.ServiceRules rules = SimulatedRelay.fleetSettings(RELAY_COUNT, 0).rules();
    private final SimulatedFleet fleet = new SimulatedFleet(RELAY_COUNT, 11,
            i -> new SimulatedRelay(SimulatedRelay.fleetSettings(RELAY_COUNT, i))
                    .receiveFullList(route("a", 1, "plain", "east")));
    /** Send times of all relays' calls within the last collapse window. */
    private final ArrayDeque<Long> recentSendTimes = new ArrayDeque<>();

    /** For each run, the result of calls during the outage and the budget of the cold destination. */
    private static Stream<Arguments> outages() {
        return Stream.of(Result.CONNECT_FAILED, Result.TIMEOUT, Result.ERROR).flatMap(failure ->
                Stream.of(2, 5, 10, 30, 80, 200).map(budget -> Arguments.of(failure, budget)));
    }

    /**
     * The relays share no state, so each has to limit its own calls after the outage.
     *
     * @param failure result of calls during the outage
     * @param budget most calls in one window that do not make the cold destination collapse
     */
    @ParameterizedTest
    @MethodSource("outages")
    void allRelaysTogetherStayWithinTheCallsAllowedAfterAnOutage(Result failure, int budget) {
        double capacity = budget
                / (rules.collapseLoadMultiple() * rules.coldCapacityShare() * rules.collapseWindowMicros() / SECOND);
        String highestLoadText = "";
        double highestLoad = 0;
        for (long now = 0; now < OUTAGE_END_MICROS + rules.warmUpMicros(); now += STEP_MICROS) {
            for (int i = 0; i < RELAY_COUNT; i++) {
                stepRelay(i, now, capacity * LOAD_RATIO / RELAY_COUNT, failure);
            }
            while (!recentSendTimes.isEmpty() && recentSendTimes.peek() < now - rules.collapseWindowMicros()) {
                recentSendTimes.remove();
            }
            if (now >= OUTAGE_END_MICROS) {
                double allowed = allowedCalls(capacity, now);
                if (recentSendTimes.size() / allowed > highestLoad) {
                    highestLoad = recentSendTimes.size() / allowed;
                    highestLoadText = recentSendTimes.size() + " calls in a window, allowed " + allowed
                            + ", ms after the outage: " + (now - OUTAGE_END_MICROS) / MILLISECOND;
                }
            }
        }
        assertTrue(highestLoad <= 1, highestLoadText);
    }

    /**
     * Largest number of calls allowed in the window that ends now. The budget limits the average number; random
     * variation may add twice its square root and two more calls.
     *
     * @param capacity calls per second that the warm destination serves
     */
    private double allowedCalls(double capacity, long now) {
        double warmUpShare = (now - OUTAGE_END_MICROS) / (double) rules.warmUpMicros();
        double capacityShare = rules.coldCapacityShare() * (1 - warmUpShare) + warmUpShare;
        double budget = rules.collapseLoadMultiple() * rules.collapseWindowMicros() / SECOND * capacity * capacityShare;
        return budget + 2 * Math.sqrt(budget) + 2;
    }

    /** Moves a relay to {@code now}, ends its due calls and gives it {@code rate} requests per second on average. */
    private void stepRelay(int number, long now, double rate, Result failure) {
        SimulatedRelay relay = fleet.relays.get(number);
        relay.advance(now - relay.now);
        for (SimulatedRelay.SentAttempt sent : List.copyOf(relay.attemptsInFlight)) {
            answerIfDue(relay, sent, now, failure);
        }
        // The last relay gets no requests before the end of the outage, so it does not notice the outage.
        boolean idle = number == RELAY_COUNT - 1 && now < OUTAGE_END_MICROS;
        fleet.stepRelay(number, idle ? 0 : rate * STEP_MICROS / SECOND,
                (sender, sent) -> recentSendTimes.add(sent.sentAt()));
    }

    /** Answers a call after the response time, or with a timeout if the outage leaves it unanswered. */
    private void answerIfDue(SimulatedRelay relay, SimulatedRelay.SentAttempt sent, long now, Result failure) {
        boolean failed = sent.sentAt() >= OUTAGE_START_MICROS - RESPONSE_TIME_MICROS
                && sent.sentAt() < OUTAGE_END_MICROS;
        boolean timesOut = failed && failure == Result.TIMEOUT;
        // A timeout of 0 means until the deadline of the request, which is 20 s after its acceptance.
        long answerDelay = timesOut ? sent.timeout() == 0 ? 20 * SECOND : sent.timeout() : RESPONSE_TIME_MICROS;
        if (now - sent.sentAt() >= answerDelay) {
            relay.endAttempt(sent.id(), failed ? failure : Result.OK);
        }
    }
}
