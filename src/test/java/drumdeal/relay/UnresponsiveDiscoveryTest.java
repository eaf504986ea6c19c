package drumdeal.relay;

import static org.junit.jupiter.api.Assertions.assertTrue;

import drumdeal.Policy;
import drumdeal.Policy.RouteListUpdateType;
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

/**
 * When the relay calls discovery again after a call without a response, on a simulated clock. A change that such a call
 * misses counts as delivered 6 s after the start of the call.
 */
class UnresponsiveDiscoveryTest {
    /** Time from the start of a call until a change that it misses counts as delivered. */
    private static final long DEEMED_DELIVERED_MILLIS = 6000;
    /** For a watch, the same time from the end of its requested duration, if that is later. */
    private static final long DEEMED_DELIVERED_AFTER_WAIT_MILLIS = 2000;
    /** How long discovery takes to respond while it serves a whole fleet. */
    private static final long RESPONSE_TIME_MILLIS = 1000;
    private static final int SEED_COUNT = 10;
    private static final Pattern WAIT_PARAMETER = Pattern.compile("wait_ms=(\\d+)");

    /** A call to discovery. */
    private record Call(long startedAtMillis, String path, long timeoutMillis, AgentClient.ResponseHandler callback) {
        /** When a change that this call misses counts as delivered. */
        long deemedDeliveredAtMillis() {
            Matcher wait = WAIT_PARAMETER.matcher(path);
            return startedAtMillis + (wait.find() ? Math.max(DEEMED_DELIVERED_MILLIS, Long.parseLong(wait.group(1)) + DEEMED_DELIVERED_AFTER_WAIT_MILLIS) : DEEMED_DELIVERED_MILLIS);
        }
    }

    private final EmbeddedChannel embeddedChannel = new EmbeddedChannel();
    private final List<Call> calls = new ArrayList<>();
    private long nowMillis;

    private final Discovery.Agent agent = new Discovery.Agent() {
        @Override
        public void request(HttpMethod method, String path, String body, long timeoutMs, AgentClient.ResponseHandler answer) {
            calls.add(new Call(nowMillis, path, timeoutMs, answer));
        }

        @Override
        public void moveTo(InetSocketAddress next) {
            if (!calls.isEmpty()) {
                lastCall().callback().handle(0, "");
            }
        }
    };

    /** Creates a discovery client that knows version 1 of the list. */
    private Discovery createDiscovery(long seed, int fleet, long graceMs) {
        embeddedChannel.freezeTime();
        return new Discovery(embeddedChannel.eventLoop(), agent, settings(seed, fleet, graceMs), 1, new Discovery.Listener() {
            @Override
            public void updateTargets(RouteListUpdateType kind, long version, List<Target> targets) { }

            @Override
            public void listStale(long in) { }
        });
    }

    private Call lastCall() {
        return calls.get(calls.size() - 1);
    }

    /** Advances the clock in steps of a millisecond and runs the tasks that fall due. */
    private void advanceMillis(long millis) {
        for (long end = nowMillis + millis; nowMillis < end; nowMillis++) {
            embeddedChannel.advanceTimeBy(1, TimeUnit.MILLISECONDS);
            embeddedChannel.runScheduledPendingTasks();
        }
    }

    /** Advances the clock until another call is made, but not beyond 100 s. */
    private void advanceToNextCall() {
        int before = calls.size();
        while (calls.size() == before && nowMillis < 100_000) {
            advanceMillis(1);
        }
    }

    /** Lets the last call time out and advances the clock to the next one. */
    private void timeOutLastCall() {
        Call silent = lastCall();
        advanceMillis(silent.timeoutMillis());
        silent.callback().handle(AgentClient.TIMED_OUT, "");
        advanceToNextCall();
    }

    private static String emptyListUpdate(long version) {
        return "{\n  \"rev\" : " + version + ",\n  \"all\" : false,\n  \"targets\" : [\n  ]\n}\n";
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 6, 25, 26, 120})
    void timedOutCallIsRepeatedWellBeforeAChangeItMissedCountsAsDelivered(int fleet) {
        for (long seed = 0; seed < 50; seed++) {
            calls.clear();
            nowMillis = 0;
            createDiscovery(seed, fleet, 1000).start();
            advanceToNextCall();
            for (int times = 0; times < 2; times++) {
                Call silent = lastCall();
                timeOutLastCall();
                assertTrue(lastCall().startedAtMillis() + 1000 <= silent.deemedDeliveredAtMillis(), "called again at " + lastCall().startedAtMillis() + ", change counts as delivered at " + silent.deemedDeliveredAtMillis());
                lastCall().callback().handle(200, emptyListUpdate(calls.size()));
                advanceToNextCall();
            }
        }
    }

    @Test
    void timeoutAfterAnAddressChangeLeavesTimeForAnotherCallBeforeTheListCountsAsDelivered() {
        Discovery discovery = createDiscovery(3, 6, 1000);
        discovery.start();
        advanceToNextCall();
        long moved = nowMillis;
        discovery.moveTo(null, settings(3, 6, 1000));
        advanceToNextCall();
        timeOutLastCall();
        assertTrue(lastCall().startedAtMillis() - moved < 4000, "called again after ms: " + (lastCall().startedAtMillis() - moved));
    }

    private static Policy.Settings settings(long seed, int fleet, long graceMs) {
        return new Policy.Settings(seed, 0, fleet, "z", List.of(new Policy.RequestClass("any", Policy.Idempotency.ONCE,
                Policy.KeyScope.ALL, 0, 1, 2, 1, 0, false)), List.of(), List.of(), List.of(),
                new Policy.Limits(1, 1, 1, true, false, false, false, true, 1),
                new Policy.ServiceRules(0, graceMs * 1000, 2, 1, 0.2, 1, 10_000_000, 0), 1, false, true, Policy.RateHint.NONE, 0);
    }

    /** How calls end while discovery is unavailable. */
    private enum Failure {
        CONNECTION_REFUSED(0), SERVICE_UNAVAILABLE(503), TIMED_OUT(AgentClient.TIMED_OUT);

        final int status;

        Failure(int status) {
            this.status = status;
        }
    }

    private static Stream<Arguments> outages() {
        return Stream.of(Failure.values()).flatMap(failure -> Stream.of(1, 25, 120).flatMap(fleet ->
                Stream.of(100L, 8_000L, 60_000L).map(gone -> Arguments.of(failure, fleet, gone))));
    }

    /** Relays of small fleets watch for changes, those of large fleets fetch the list; the sizes cover both. */
    @ParameterizedTest
    @MethodSource("outages")
    void listIsReceivedWithinSixSecondsAfterAnOutage(Failure failure, int fleet, long gone) {
        for (long seed = 0; seed < SEED_COUNT; seed++) {
            calls.clear();
            nowMillis = 0;
            createDiscovery(seed, fleet, 1000).start();
            advanceToNextCall();
            long back = nowMillis + gone;
            while (nowMillis < back) {
                Call failing = lastCall();
                advanceMillis(failure == Failure.TIMED_OUT ? failing.timeoutMillis() : 1);
                failing.callback().handle(failure.status, "");
                advanceToNextCall();
            }
            assertTrue(lastCall().startedAtMillis() + RESPONSE_TIME_MILLIS <= back + DEEMED_DELIVERED_MILLIS, "outage ended at " + back + ", called again at " + lastCall().startedAtMillis());
        }
    }

    @Test
    void pausesGrowWhileCallsTimeOut() {
        createDiscovery(5, 6, 1000).start();
        advanceToNextCall();
        List<Long> pauses = new ArrayList<>();
        for (int times = 0; times < 5; times++) {
            Call silent = lastCall();
            timeOutLastCall();
            pauses.add(lastCall().startedAtMillis() - silent.startedAtMillis() - silent.timeoutMillis());
        }
        assertTrue(pauses.get(4) >= 1600, "pauses in ms: " + pauses);
        assertTrue(pauses.get(4) <= 4800, "pauses in ms: " + pauses);
    }

    /**
     * A change within 200 ms after a response counts as delivered with that response. If it drains a host, the relay must
     * respect that from the end of the drain grace on, so it has to call again before.
     */
    @ParameterizedTest
    @ValueSource(ints = {250, 400, 1000})
    void nextCallAfterAListUpdateIsMadeWithinTheDrainGrace(int grace) {
        for (long seed = 0; seed < 50; seed++) {
            calls.clear();
            nowMillis = 0;
            createDiscovery(seed, 3, grace).start();
            advanceToNextCall();
            lastCall().callback().handle(200, emptyListUpdate(7));
            long told = nowMillis;
            advanceToNextCall();
            assertTrue(lastCall().startedAtMillis() - told < grace, "called again after ms: " + (lastCall().startedAtMillis() - told));
        }
    }
}
