package drumdeal;

import static drumdeal.Relay.MS;
import static drumdeal.Relay.S;
import static drumdeal.Relay.route;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import drumdeal.Policy.Result;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** What a restart finds taken on and untried is still tried, whatever it comes back to. */
class ResumptionTest {
    private static final int WHOLE = 40;

    private final Relay relay = new Relay(Relay.settings(10, 50));

    private Relay lists(Relay one) {
        return one.list(route("a", 1, "plain", "east"), route("b", 1, "plain", "west"), route("c", 2, "apart", "east"));
    }

    /** A whole journal of untried messages, with a little more time left for each. */
    private Relay resumeAll(int destination, long left) {
        return resumeAll(destination, left, 0, WHOLE);
    }

    private Relay resumeAll(int destination, long left, int from, int to) {
        List<Policy.Event> events = new ArrayList<>();
        for (int id = from; id < to; id++) {
            long deadline = relay.now + left + id * 50 * MS;
            String type = List.of("safe", "keyed", "once").get(id % 3);
            events.add(new Policy.Resumed(new Policy.Accepted(id, type, null, null, deadline, destination), List.of()));
        }
        return relay.round(events.toArray(Policy.Event[]::new));
    }

    /** Lets time pass, with an answer a while after each call. */
    private void answerAll(long span, long after, Result result) {
        for (long end = relay.now + span; relay.now < end;) {
            relay.pass(10 * MS);
            List.copyOf(relay.unanswered).stream().filter(sent -> relay.now - sent.at() >= after)
                    .forEach(sent -> relay.answer(sent.id(), result));
        }
    }

    private long tried() {
        return relay.sent.stream().map(Relay.Sent::id).filter(id -> id < WHOLE).distinct().count();
    }

    @Test
    void allAreTriedWhereAPaceComesBackThatWouldHoldThemBeyondTheirTime() {
        Relay before = lists(new Relay(Relay.fleet(100, 3)));
        for (int id = 100; id < 110; id++) {
            before.accept(id, "safe", 2);
            if (before.sends(id) > 0) {
                before.answer(id, Result.FULL);
            }
            before.pass(S);
        }
        relay.now = before.now;
        lists(relay).round(new Policy.Inherited(before.module().memory(), 0), new Policy.AloneAgain());
        resumeAll(2, 6 * S);
        answerAll(9 * S, 100 * MS, Result.OK);
        assertTrue(tried() > WHOLE / 2, "tried " + tried());
        assertTrue(relay.logged.toString().contains("resumed 40, untried 40, of these tried " + tried()
                + ", given up uncalled " + (WHOLE - tried())), relay.logged.toString());
    }

    @Test
    void allAreTriedAtACircuitThatComesBackOpen() {
        Relay before = lists(new Relay(Relay.settings(10, 50)));
        for (int id = 100; id < 112; id++) {
            before.accept(id, "safe", 1).accept(id + 100, "safe", 1).pass(200 * MS);
            List.copyOf(before.unanswered).forEach(sent -> before.answer(sent.id(), Result.CONNECT_FAILED));
        }
        assertTrue(before.logged.toString().contains("out: "), before.logged.toString());
        relay.now = before.now;
        lists(relay).round(new Policy.Inherited(before.module().memory(), 0), new Policy.AloneAgain());
        resumeAll(1, 15 * S, 0, WHOLE / 2);
        answerAll(18 * S, 100 * MS, Result.CONNECT_FAILED);
        assertTrue(tried() > WHOLE / 4, "tried " + tried());
    }

    @Test
    void littleTimeLeftIsTimeForATry() {
        lists(relay);
        for (int id = 0; id < 6; id++) {
            relay.round(new Policy.Resumed(new Policy.Accepted(id, "once", null, null, relay.now + 50 * MS + id, 1), List.of()));
        }
        assertEquals(6, tried());
    }

    @Test
    void destinationThatTheOldListLacksIsAskedForAtOnceAndTriedOnceItIsKnown() {
        resumeAll(1, 4 * S).pass(S);
        assertEquals(0, tried());
        assertTrue(relay.fetches > 0, "the list is asked for");
        lists(relay);
        answerAll(6 * S, 100 * MS, Result.OK);
        assertEquals(WHOLE, tried());
    }

    @Test
    void newMessagesNeitherPushOutWhatIsOwedNorGoBeforeIt() {
        lists(relay);
        resumeAll(1, 15 * S);
        Set<Long> refusedSoFar = Set.copyOf(relay.refused);
        for (int id = 1000; id < 1040; id++) {
            relay.accept(id, "quick", 1).pass(MS);
        }
        Set<Long> evicted = relay.refused.stream().filter(id -> id < WHOLE && !refusedSoFar.contains(id))
                .collect(Collectors.toSet());
        assertEquals(Set.of(), evicted);
        answerAll(8 * S, 100 * MS, Result.OK);
        assertEquals(WHOLE, tried());
    }

    @Test
    void waitsThatWereToldAreKeptByWhatIsOwed() {
        lists(relay);
        relay.accept(500, "safe", 1).answer(500, Result.FULL, 30 * S);
        resumeAll(1, 3 * S);
        answerAll(8 * S, 100 * MS, Result.OK);
        assertEquals(0, tried());
        assertTrue(relay.logged.toString().contains("given up uncalled 40"), relay.logged.toString());
    }

    @Test
    void processThatEndsHandsBackWhatTheNextOneCanNotTryInTime() {
        lists(relay).round(new Policy.Ending());
        relay.round(new Policy.Accepted(1, "once", null, null, relay.now + 3 * S, 1),
                new Policy.Accepted(2, "once", null, null, relay.now + 6 * S, 1));
        assertEquals(List.of(1L), relay.refused, "told at once, and the other is left to the next process");
        assertEquals(0, relay.sent.size());
    }
}
