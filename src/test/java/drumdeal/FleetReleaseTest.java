package drumdeal;

import static drumdeal.Relay.MS;
import static drumdeal.Relay.S;
import static drumdeal.Relay.route;
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
class FleetReleaseTest {
    private static final int RELAYS = 30;
    private static final long STEP = 10 * MS;
    private static final long DOWN_AT = 25 * S;
    private static final long BACK_AT = 35 * S;
    private static final long ANSWER_AFTER = 150 * MS;
    /** Of what the destination takes when warm: what clients send in all. */
    private static final double LOAD = 0.9;

    private final Policy.Rules rules = Relay.fleet(RELAYS, 0).rules();
    private final Fleet fleet = new Fleet(RELAYS, 11,
            i -> new Relay(Relay.fleet(RELAYS, i)).list(route("a", 1, "plain", "east")));
    private final ArrayDeque<Long> window = new ArrayDeque<>();

    private static Stream<Arguments> outages() {
        return Stream.of(Result.CONNECT_FAILED, Result.TIMEOUT, Result.ERROR).flatMap(failure ->
                Stream.of(2, 5, 10, 30, 80, 200).map(budget -> Arguments.of(failure, budget)));
    }

    @ParameterizedTest
    @MethodSource("outages")
    void sumOfAllRelaysStaysWithinWhatAColdDestinationBears(Result failure, int budget) {
        double capacity = budget / (rules.fallMultiple() * rules.coldFrom() * rules.fallSpan() / S);
        String worst = "";
        double most = 0;
        for (long now = 0; now < BACK_AT + rules.warmUp(); now += STEP) {
            for (int i = 0; i < RELAYS; i++) {
                play(i, now, capacity * LOAD / RELAYS, failure);
            }
            while (!window.isEmpty() && window.peek() < now - rules.fallSpan()) {
                window.remove();
            }
            if (now >= BACK_AT) {
                double allowed = allowed(capacity, now);
                if (window.size() / allowed > most) {
                    most = window.size() / allowed;
                    worst = window.size() + " calls of " + allowed + ", ms after the return: " + (now - BACK_AT) / MS;
                }
            }
        }
        assertTrue(most <= 1, worst);
    }

    /** A budget is an average: twice its root and two more are put down to chance. */
    private double allowed(double capacity, long now) {
        double warm = (now - BACK_AT) / (double) rules.warmUp();
        double part = rules.coldFrom() * (1 - warm) + warm;
        double budget = rules.fallMultiple() * rules.fallSpan() / S * capacity * part;
        return budget + 2 * Math.sqrt(budget) + 2;
    }

    private void play(int number, long now, double rate, Result failure) {
        Relay relay = fleet.relays.get(number);
        relay.pass(now - relay.now);
        for (Relay.Sent sent : List.copyOf(relay.unanswered)) {
            answer(relay, sent, now, failure);
        }
        // The last relay has nothing to send until the destination is back: it has seen nothing of the outage.
        boolean idle = number == RELAYS - 1 && now < BACK_AT;
        fleet.play(number, idle ? 0 : rate * STEP / S, (from, sent) -> window.add(sent.at()));
    }

    private void answer(Relay relay, Relay.Sent sent, long now, Result failure) {
        boolean down = sent.at() >= DOWN_AT - ANSWER_AFTER && sent.at() < BACK_AT;
        boolean silent = down && failure == Result.TIMEOUT;
        long due = silent ? sent.timeout() == 0 ? 20 * S : sent.timeout() : ANSWER_AFTER;
        if (now - sent.at() >= due) {
            relay.answer(sent.id(), down ? failure : Result.OK);
        }
    }
}
