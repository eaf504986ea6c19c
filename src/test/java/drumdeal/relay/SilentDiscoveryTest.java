package drumdeal.relay;

import static org.junit.jupiter.api.Assertions.assertTrue;

import drumdeal.Policy;
import drumdeal.Policy.ListKind;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** When discovery is asked again, on a clock of the test's own: what a silent call misses counts as told 6 s after it. */
class SilentDiscoveryTest {
    private static final long TOLD_MS = 6000;
    /** Or so long after the wait of a call that may wait, if that is later. */
    private static final long TOLD_AFTER_WAIT_MS = 2000;
    /** What a discovery that serves a whole fleet takes for an answer. */
    private static final long ANSWER_MS = 1000;
    private static final int SEEDS = 10;
    private static final Pattern WAIT = Pattern.compile("wait_ms=(\\d+)");

    private record Call(long at, String path, long timeout, AgentClient.Answer answer) {
        long toldBy() {
            Matcher wait = WAIT.matcher(path);
            return at + (wait.find() ? Math.max(TOLD_MS, Long.parseLong(wait.group(1)) + TOLD_AFTER_WAIT_MS) : TOLD_MS);
        }
    }

    private final EmbeddedChannel time = new EmbeddedChannel();
    private final List<Call> calls = new ArrayList<>();
    private long now;

    private final Discovery.Agent agent = new Discovery.Agent() {
        @Override
        public void request(HttpMethod method, String path, String body, long timeoutMs, AgentClient.Answer answer) {
            calls.add(new Call(now, path, timeoutMs, answer));
        }

        @Override
        public void moveTo(InetSocketAddress next) {
            if (!calls.isEmpty()) {
                last().answer().come(0, "");
            }
        }
    };

    private Discovery discovery(long seed, int fleet, long graceMs) {
        time.freezeTime();
        return new Discovery(time.eventLoop(), agent, settings(seed, fleet, graceMs), 1, new Discovery.Listener() {
            @Override
            public void list(ListKind kind, long version, List<Target> targets) { }

            @Override
            public void listDue(long in) { }
        });
    }

    private Call last() {
        return calls.get(calls.size() - 1);
    }

    private void pass(long millis) {
        for (long end = now + millis; now < end; now++) {
            time.advanceTimeBy(1, TimeUnit.MILLISECONDS);
            time.runScheduledPendingTasks();
        }
    }

    /** Lets time pass until another call is made. */
    private void passToNextCall() {
        int before = calls.size();
        while (calls.size() == before && now < 100_000) {
            pass(1);
        }
    }

    /** The last call gets no answer until it is given up. */
    private void fallSilent() {
        Call silent = last();
        pass(silent.timeout());
        silent.answer().come(AgentClient.SILENT, "");
        passToNextCall();
    }

    private static String news(long version) {
        return "{\n  \"rev\" : " + version + ",\n  \"all\" : false,\n  \"targets\" : [\n  ]\n}\n";
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 6, 25, 26, 120})
    void callThatFallsSilentIsMadeAnewWellBeforeWhatItMissedCountsAsTold(int fleet) {
        for (long seed = 0; seed < 50; seed++) {
            calls.clear();
            now = 0;
            discovery(seed, fleet, 1000).start();
            passToNextCall();
            for (int times = 0; times < 2; times++) {
                Call silent = last();
                fallSilent();
                assertTrue(last().at() + 1000 <= silent.toldBy(), "asked anew at " + last().at() + ", told by " + silent.toldBy());
                last().answer().come(200, news(calls.size()));
                passToNextCall();
            }
        }
    }

    @Test
    void silenceRightAfterAMoveLeavesTimeForAnotherCallBeforeTheNewListCountsAsTold() {
        Discovery discovery = discovery(3, 6, 1000);
        discovery.start();
        passToNextCall();
        long moved = now;
        discovery.moveTo(null, settings(3, 6, 1000));
        passToNextCall();
        fallSilent();
        assertTrue(last().at() - moved < 4000, "asked anew after ms: " + (last().at() - moved));
    }

    private static Policy.Settings settings(long seed, int fleet, long graceMs) {
        return new Policy.Settings(seed, 0, fleet, "z", List.of(new Policy.RequestClass("any", Policy.Repeat.ONCE,
                Policy.KeyScope.ALL, 0, 1, 2, 1, 0, false)), List.of(), List.of(), List.of(),
                new Policy.Limits(1, 1, 1, true, false, false, false, true, 1),
                new Policy.Rules(0, graceMs * 1000, 2, 1, 0.2, 1, 10_000_000, 0), 1, false, true, Policy.RateHint.NONE, 0);
    }

    /** How calls end while discovery is gone. */
    private enum Failure {
        REFUSED(0), TURNED_AWAY(503), SILENT(AgentClient.SILENT);

        final int status;

        Failure(int status) {
            this.status = status;
        }
    }

    private static Stream<Arguments> outages() {
        return Stream.of(Failure.values()).flatMap(failure -> Stream.of(1, 25, 120).flatMap(fleet ->
                Stream.of(100L, 8_000L, 60_000L).map(gone -> Arguments.of(failure, fleet, gone))));
    }

    /** Small fleets watch, large ones fetch. */
    @ParameterizedTest
    @MethodSource("outages")
    void listIsHeardWithinSixSecondsOfTheReturn(Failure failure, int fleet, long gone) {
        for (long seed = 0; seed < SEEDS; seed++) {
            calls.clear();
            now = 0;
            discovery(seed, fleet, 1000).start();
            passToNextCall();
            long back = now + gone;
            while (now < back) {
                Call failing = last();
                pass(failure == Failure.SILENT ? failing.timeout() : 1);
                failing.answer().come(failure.status, "");
                passToNextCall();
            }
            assertTrue(last().at() + ANSWER_MS <= back + TOLD_MS, "back at " + back + ", asked anew at " + last().at());
        }
    }

    @Test
    void callsThatKeepFallingSilentAreMadeWithGrowingPauses() {
        discovery(5, 6, 1000).start();
        passToNextCall();
        List<Long> pauses = new ArrayList<>();
        for (int times = 0; times < 5; times++) {
            Call silent = last();
            fallSilent();
            pauses.add(last().at() - silent.at() - silent.timeout());
        }
        assertTrue(pauses.get(4) >= 1600, "pauses " + pauses);
        assertTrue(pauses.get(4) <= 4800, "pauses " + pauses);
    }

    /** What is made within 200 ms of an answer counts as told, and a drain is kept from a grace later on. */
    @ParameterizedTest
    @ValueSource(ints = {250, 400, 1000})
    void afterNewsTheNextCallComesWithinTheGraceOfADrain(int grace) {
        for (long seed = 0; seed < 50; seed++) {
            calls.clear();
            now = 0;
            discovery(seed, 3, grace).start();
            passToNextCall();
            last().answer().come(200, news(7));
            long told = now;
            passToNextCall();
            assertTrue(last().at() - told < grace, "asked anew after ms: " + (last().at() - told));
        }
    }
}
