package drumdeal;

import static drumdeal.Relay.MS;
import static drumdeal.Relay.S;
import static drumdeal.Relay.route;
import static org.junit.jupiter.api.Assertions.assertTrue;

import drumdeal.Policy.KeyScope;
import drumdeal.Policy.Repeat;
import drumdeal.Policy.RequestClass;
import drumdeal.Policy.Result;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** A customer whose messages have far less time than spans that suit others. */
class ShortDeadlineTest {
    private static final long DEADLINE = 1200 * MS;

    private Relay relay(Repeat repeat, RequestClass... others) {
        Policy.Settings usual = Relay.settings();
        List<RequestClass> classes = new ArrayList<>(List.of(others));
        classes.add(new RequestClass("brief", repeat, KeyScope.ALL, S, 400 * MS, DEADLINE, 1, 0.5, false));
        return new Relay(new Policy.Settings(usual.seed(), 0, 2, "east", classes,
                List.of(), usual.kinds(), usual.zones(), new Policy.Limits(10, 100, 6, true, false, false, false, false, S), usual.rules(), 1, false, false,
                Policy.RateHint.NONE, 0)).list(route("a", 1, "plain", "east"));
    }

    @ParameterizedTest
    @EnumSource(names = "ONCE", mode = EnumSource.Mode.EXCLUDE)
    void messageThatMayBeRepeatedGoesToAnotherRouteWhileThereIsTime(Repeat repeat) {
        Relay relay = relay(repeat).list(route("a", 1, "plain", "east"), route("b", 1, "plain", "east"));
        relay.round(new Policy.Accepted(1, "brief", null, "k", relay.now + DEADLINE, 1));
        Relay.Sent silent = relay.sent.get(0);
        assertTrue(silent.timeout() > 0 && silent.timeout() <= DEADLINE * 3 / 4, "waits for ms: " + silent.timeout() / MS);
        relay.pass(silent.timeout());
        relay.answer(1, Result.TIMEOUT);
        assertTrue(relay.sent.size() == 2 && !relay.sent.get(1).route().equals(silent.route()), relay.sent.toString());
    }

    private static void pass(Relay relay, long span, boolean answers) {
        for (long end = relay.now + span; relay.now < end;) {
            relay.pass(50 * MS);
            for (Relay.Sent sent : List.copyOf(relay.unanswered)) {
                long timeout = sent.timeout() == 0 ? DEADLINE : Math.min(sent.timeout(), DEADLINE);
                if (answers && relay.now - sent.at() >= 100 * MS) {
                    relay.answer(sent.id(), Result.OK);
                } else if (relay.now - sent.at() >= timeout) {
                    relay.answer(sent.id(), Result.TIMEOUT);
                }
            }
        }
    }

    @ParameterizedTest
    @EnumSource(Repeat.class)
    void silentRouteIsLeftAloneAndServesAgainOnceItAnswers(Repeat repeat) {
        fallSilentAndServeAgain(relay(repeat));
    }

    /** Others have so much time that no test by a brief message would last as long as theirs. */
    @ParameterizedTest
    @EnumSource(Repeat.class)
    void routeThatGetsOnlyBriefMessagesOfAMixedLotServesAgain(Repeat repeat) {
        fallSilentAndServeAgain(relay(repeat,
                new RequestClass("long", Repeat.REPEATABLE, KeyScope.ALL, 0, 2 * S, 20 * S, 1, 0.5, false)));
    }

    private static void fallSilentAndServeAgain(Relay relay) {
        long id = 0;
        for (int i = 0; i < 100; i++) {
            relay.round(new Policy.Accepted(id++, "brief", null, "k", relay.now + DEADLINE, 1));
            pass(relay, 100 * MS, false);
        }
        assertTrue(relay.logged.stream().anyMatch(line -> line.startsWith("out: a")), relay.logged.toString());
        assertTrue(relay.sent.size() < 60, "calls to a silent route: " + relay.sent.size());
        for (int i = 0; i < 100; i++) {
            relay.round(new Policy.Accepted(id++, "brief", null, "k", relay.now + DEADLINE, 1));
            pass(relay, 100 * MS, true);
        }
        assertTrue(relay.logged.contains("serves again: a"), relay.logged.toString());
    }
}
