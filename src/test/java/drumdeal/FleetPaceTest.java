package drumdeal;

import static drumdeal.Relay.MS;
import static drumdeal.Relay.S;
import static org.junit.jupiter.api.Assertions.assertTrue;

import drumdeal.Policy.Availability;
import drumdeal.Policy.RateHint;
import drumdeal.Policy.Result;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What a hundred relays together get served at a destination that takes so many calls in each second. */
class FleetPaceTest {
    private static final int RELAYS = 100;
    private static final long STEP = 10 * MS;
    private static final long END = 50 * S;
    private static final long ANSWER_AFTER = 250 * MS;
    private static final long REFUSAL_AFTER = 40 * MS;
    /** Of the refusals, how many tell how long to wait: until the oldest call counted is a second old. */
    private static final double TELLS_WAIT = 0.6;

    private static final double LEAST = 0.7;
    private static final double LEAST_WHERE_REFUSALS_COUNT = 0.5;

    private final List<Answer> answers = new ArrayList<>();
    private final ArrayDeque<Long> window = new ArrayDeque<>();
    private int served;
    private int refused;

    private record Answer(Relay relay, Relay.Sent sent, long at, Result result, long toldWait) { }

    @ParameterizedTest
    @CsvSource({"3,0.8,NOMINAL,false", "3,0.8,NONE,false", "10,0.8,NOMINAL,false", "10,0.8,NONE,false", "30,0.8,NOMINAL,false", "30,0.8,NONE,false",
        "3,1.3,NOMINAL,false", "3,1.3,NONE,false", "10,1.3,NOMINAL,false", "10,1.3,NONE,false", "30,1.3,NOMINAL,false", "30,1.3,NONE,false",
        "10,0.8,NOMINAL,true", "10,0.8,NONE,true", "10,1.3,NOMINAL,true", "10,1.3,NONE,true", "30,1.3,NOMINAL,true", "30,1.3,NONE,true"})
    void mostOfWhatTheDestinationTakesIsServed(int limit, double load, RateHint hint, boolean refusalsCount) {
        Policy.Listed listed = new Policy.Listed("a", 1, "plain", "east", Availability.LISTED, limit);
        Fleet fleet = new Fleet(RELAYS, 5, i -> new Relay(settings(i, hint)).list(listed));
        double probability = limit * load / RELAYS * STEP / S;
        for (long now = 0; now < END; now += STEP) {
            answers.removeIf(this::answerIfDue);
            for (int i = 0; i < RELAYS; i++) {
                long at = now;
                Relay relay = fleet.relays.get(i);
                relay.pass(now - relay.now);
                fleet.play(i, probability, (from, sent) -> arrive(fleet, from, sent, at, limit, refusalsCount));
            }
        }
        double possible = Math.min(1, load) * limit * END / S;
        double least = refusalsCount ? LEAST_WHERE_REFUSALS_COUNT : LEAST;
        assertTrue(served >= least * possible, "served " + served + " of " + possible + ", refused " + refused);
    }

    private boolean answerIfDue(Answer answer) {
        if (answer.at > answer.relay.now) {
            return false;
        }
        answer.relay.answer(answer.sent.id(), answer.result, answer.toldWait);
        return true;
    }

    private void arrive(Fleet fleet, Relay relay, Relay.Sent sent, long now, int limit, boolean refusalsCount) {
        while (!window.isEmpty() && window.peek() <= now - S) {
            window.remove();
        }
        boolean taken = window.size() < limit;
        if (taken || refusalsCount) {
            window.add(now);
        }
        served += taken ? 1 : 0;
        refused += taken ? 0 : 1;
        long wait = !taken && fleet.random.nextDouble() < TELLS_WAIT ? window.peek() + S - now : 0;
        answers.add(new Answer(relay, sent, now + (taken ? ANSWER_AFTER : REFUSAL_AFTER), taken ? Result.OK : Result.FULL, wait));
    }

    private static Policy.Settings settings(long seed, RateHint hint) {
        Policy.Settings fleet = Relay.fleet(RELAYS, seed);
        return new Policy.Settings(seed, 0, RELAYS, fleet.zone(), fleet.classes(), fleet.tenants(), fleet.kinds(), fleet.zones(),
                fleet.limits(), fleet.rules(), 1, false, false, hint, 0);
    }
}
