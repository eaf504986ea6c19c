package drumdeal;

import static drumdeal.SimulatedRelay.MILLISECOND;
import static drumdeal.SimulatedRelay.SECOND;
import static drumdeal.SimulatedRelay.route;
import static org.junit.jupiter.api.Assertions.assertTrue;

import drumdeal.Policy.KeyScope;
import drumdeal.Policy.Idempotency;
import drumdeal.Policy.RequestClass;
import drumdeal.Policy.Result;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests requests whose deadline is far shorter than the default timeouts of the decision module. */
class ShortDeadlineTest {
    private static final long DEADLINE_MICROS = 1200 * MILLISECOND;

    /**
     * A relay with a request class "brief", which has 1.2 s to its deadline, and route a of destination 1.
     *
     * @param others further request classes
     */
    private SimulatedRelay createRelay(Idempotency idempotency, RequestClass... others) {
        Policy.Settings defaults = SimulatedRelay.settings();
        List<RequestClass> classes = new ArrayList<>(List.of(others));
        classes.add(new RequestClass("brief", idempotency, KeyScope.ALL, SECOND, 400 * MILLISECOND, DEADLINE_MICROS, 1,
                0.5, false));
        return new SimulatedRelay(new Policy.Settings(defaults.seed(), 0, 2, "east", classes,
                List.of(), defaults.kinds(), defaults.zones(),
                new Policy.Limits(10, 100, 6, true, false, false, false, false, SECOND),
                defaults.rules(), 1, false, false, Policy.RateHint.NONE, 0))
                .receiveFullList(route("a", 1, "plain", "east"));
    }

    /** With the default timeout the first attempt would last until the deadline and leave no time for a second one. */
    @ParameterizedTest
    @EnumSource(names = "ONCE", mode = EnumSource.Mode.EXCLUDE)
    void unansweredRequestIsRetriedOnAnotherRouteBeforeItsDeadline(Idempotency idempotency) {
        SimulatedRelay relay = createRelay(idempotency)
                .receiveFullList(route("a", 1, "plain", "east"), route("b", 1, "plain", "east"));
        relay.runRound(new Policy.RequestAccepted(1, "brief", null, "k", relay.now + DEADLINE_MICROS, 1));
        SimulatedRelay.SentAttempt firstAttempt = relay.sent.get(0);
        assertTrue(firstAttempt.timeout() > 0 && firstAttempt.timeout() <= DEADLINE_MICROS * 3 / 4,
                "timeout in ms: " + firstAttempt.timeout() / MILLISECOND);
        relay.advance(firstAttempt.timeout());
        relay.endAttempt(1, Result.TIMEOUT);
        assertTrue(relay.sent.size() == 2 && !relay.sent.get(1).route().equals(firstAttempt.route()),
                relay.sent.toString());
    }

    /**
     * Moves the clock forward by {@code micros}. If {@code routeAnswers}, each attempt is answered after 100 ms,
     * otherwise it ends with a timeout.
     */
    private static void advanceAndAnswer(SimulatedRelay relay, long micros, boolean routeAnswers) {
        for (long end = relay.now + micros; relay.now < end;) {
            relay.advance(50 * MILLISECOND);
            for (SimulatedRelay.SentAttempt sent : List.copyOf(relay.attemptsInFlight)) {
                long timeout = sent.timeout() == 0 ? DEADLINE_MICROS : Math.min(sent.timeout(), DEADLINE_MICROS);
                if (routeAnswers && relay.now - sent.sentAt() >= 100 * MILLISECOND) {
                    relay.endAttempt(sent.id(), Result.OK);
                } else if (relay.now - sent.sentAt() >= timeout) {
                    relay.endAttempt(sent.id(), Result.TIMEOUT);
                }
            }
        }
    }

    @ParameterizedTest
    @EnumSource(Idempotency.class)
    void circuitOfAnUnresponsiveRouteOpensAndClosesOnceItAnswers(Idempotency idempotency) {
        assertCircuitOpensAndCloses(createRelay(idempotency));
    }

    /**
     * The class with the long deadline allows trials that last longer than a brief request does. If a request had to
     * have that much time left, no trial would use a brief one and the circuit would not close.
     */
    @ParameterizedTest
    @EnumSource(Idempotency.class)
    void circuitClosesByBriefRequestsWhileAnotherClassHasALongDeadline(Idempotency idempotency) {
        assertCircuitOpensAndCloses(createRelay(idempotency,
                new RequestClass("long", Idempotency.REPEATABLE, KeyScope.ALL, 0, 2 * SECOND, 20 * SECOND, 1, 0.5,
                        false)));
    }

    /** Checks that the circuit of route a opens and limits calls while none is answered, and closes once some are. */
    private static void assertCircuitOpensAndCloses(SimulatedRelay relay) {
        long id = 0;
        for (int i = 0; i < 100; i++) {
            relay.runRound(new Policy.RequestAccepted(id++, "brief", null, "k", relay.now + DEADLINE_MICROS, 1));
            advanceAndAnswer(relay, 100 * MILLISECOND, false);
        }
        assertTrue(relay.logLines.stream().anyMatch(line -> line.startsWith("circuit opened: a")),
                relay.logLines.toString());
        assertTrue(relay.sent.size() < 60, "calls to an unresponsive route: " + relay.sent.size());
        for (int i = 0; i < 100; i++) {
            relay.runRound(new Policy.RequestAccepted(id++, "brief", null, "k", relay.now + DEADLINE_MICROS, 1));
            advanceAndAnswer(relay, 100 * MILLISECOND, true);
        }
        assertTrue(relay.logLines.contains("circuit closed: a"), relay.logLines.toString());
    }
}
