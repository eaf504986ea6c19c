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
    /** How long discovery takes to respond while it serves all relays of a fleet. */
    private static final long RESPONSE_TIME_MILLIS = 1000;
    private static final int SEED_COUNT = 10;
    private static final Pattern WAIT_PARAMETER = Pattern.compile("wait_ms=(\\d+)");

    /** A call to discovery. */
    private record Call(long startedAtMillis, String path, long timeoutMillis, AgentClient.ResponseHandler callback) {
        /** When a change that this call misses counts as delivered. */
        long deemedDeliveredAtMillis() {
            Matcher waitParameter = WAIT_PARAMETER.matcher(path);
            return startedAtMillis + (waitParameter.find()
                    ? Math.max(DEEMED_DELIVERED_MILLIS,
                            Long.parseLong(waitParameter.group(1)) + DEEMED_DELIVERED_AFTER_WAIT_MILLIS)
                    : DEEMED_DELIVERED_MILLIS);
        }
    }

    private final EmbeddedChannel embeddedChannel = new EmbeddedChannel();
    private final List<Call> calls = new ArrayList<>();
    private long nowMillis;

    private final Discovery.Agent agent = new Discovery.Agent() {
        @Override
        public void request(HttpMethod method, String path, String body, long timeoutMillis,
                AgentClient.ResponseHandler callback) {
            calls.add(new Call(nowMillis, path, timeoutMillis, callback));
        }

        @Override
        public void moveTo(InetSocketAddress address) {
            if (!calls.isEmpty()) {
                lastCall().callback().handle(0, "");
            }
        }
    };

    /** Creates a discovery client that knows version 1 of the list. */
    private Discovery createDiscovery(long seed, int fleetSize, long drainGraceMillis) {
        embeddedChannel.freezeTime();
        return new Discovery(embeddedChannel.eventLoop(), agent, createSettings(seed, fleetSize, drainGraceMillis), 1,
                new Discovery.Listener() {
                    @Override
                    public void updateTargets(RouteListUpdateType type, long version, List<Target> targets) { }

                    @Override
                    public void listStale(long dueInMicros) { }
                });
    }

    private Call lastCall() {
        return calls.get(calls.size() - 1);
    }

    /** Advances the clock in steps of a millisecond and runs the tasks that fall due. */
    private void advanceMillis(long millis) {
        for (long endMillis = nowMillis + millis; nowMillis < endMillis; nowMillis++) {
            embeddedChannel.advanceTimeBy(1, TimeUnit.MILLISECONDS);
            embeddedChannel.runScheduledPendingTasks();
        }
    }

    /** Advances the clock until another call is made, but not beyond 100 s. */
    private void advanceToNextCall() {
        int callsBefore = calls.size();
        while (calls.size() == callsBefore && nowMillis < 100_000) {
            advanceMillis(1);
        }
    }

    /** Lets the last call time out and advances the clock to the next one. */
    private void timeOutLastCall() {
        Call unanswered = lastCall();
        advanceMillis(unanswered.timeoutMillis());
        unanswered.callback().handle(AgentClient.TIMED_OUT, "");
        advanceToNextCall();
    }

    private static String emptyListUpdate(long version) {
        return "{\n  \"rev\" : " + version + ",\n  \"all\" : false,\n  \"targets\" : [\n  ]\n}\n";
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 6, 25, 26, 120})
    void timedOutCallIsRepeatedWellBeforeAChangeItMissedCountsAsDelivered(int fleetSize) {
        for (long seed = 0; seed < 50; seed++) {
            calls.clear();
            nowMillis = 0;
            createDiscovery(seed, fleetSize, 1000).start();
            advanceToNextCall();
            for (int i = 0; i < 2; i++) {
                Call unanswered = lastCall();
                timeOutLastCall();
                assertTrue(lastCall().startedAtMillis() + 1000 <= unanswered.deemedDeliveredAtMillis(),
                        "called again at " + lastCall().startedAtMillis() + ", change counts as delivered at "
                        + unanswered.deemedDeliveredAtMillis());
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
        long movedAtMillis = nowMillis;
        discovery.moveTo(null, createSettings(3, 6, 1000));
        advanceToNextCall();
        timeOutLastCall();
        assertTrue(lastCall().startedAtMillis() - movedAtMillis < 4000,
                "called again after ms: " + (lastCall().startedAtMillis() - movedAtMillis));
    }

    private static Policy.Settings createSettings(long seed, int fleetSize, long drainGraceMillis) {
        return new Policy.Settings(seed, 0, fleetSize, "z",
                List.of(new Policy.RequestClass("any", Policy.Idempotency.ONCE,
                        Policy.KeyScope.ALL, 0, 1, 2, 1, 0, false)), List.of(), List.of(), List.of(),
                new Policy.Limits(1, 1, 1, true, false, false, false, true, 1),
                new Policy.ServiceRules(0, drainGraceMillis * 1000, 2, 1, 0.2, 1, 10_000_000, 0), 1, false, true,
                Policy.RateHint.NONE, 0);
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
        return Stream.of(Failure.values()).flatMap(failure -> Stream.of(1, 25, 120).flatMap(fleetSize ->
                Stream.of(100L, 8_000L, 60_000L).map(outageMillis -> Arguments.of(failure, fleetSize, outageMillis))));
    }

    /** Relays of small fleets watch for changes, those of large fleets fetch the list; the sizes cover both. */
    @ParameterizedTest
    @MethodSource("outages")
    void listIsReceivedWithinSixSecondsAfterAnOutage(Failure failure, int fleetSize, long outageMillis) {
        for (long seed = 0; seed < SEED_COUNT; seed++) {
            calls.clear();
            nowMillis = 0;
            createDiscovery(seed, fleetSize, 1000).start();
            advanceToNextCall();
            long outageEndMillis = nowMillis + outageMillis;
            while (nowMillis < outageEndMillis) {
                Call failedCall = lastCall();
                advanceMillis(failure == Failure.TIMED_OUT ? failedCall.timeoutMillis() : 1);
                failedCall.callback().handle(failure.status, "");
                advanceToNextCall();
            }
            assertTrue(lastCall().startedAtMillis() + RESPONSE_TIME_MILLIS <= outageEndMillis + DEEMED_DELIVERED_MILLIS,
                    "outage ended at " + outageEndMillis + ", called again at " + lastCall().startedAtMillis());
        }
    }

    @Test
    void pausesGrowWhileCallsTimeOut() {
        createDiscovery(5, 6, 1000).start();
        advanceToNextCall();
        List<Long> pauses = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            Call unanswered = lastCall();
            timeOutLastCall();
            pauses.add(lastCall().startedAtMillis() - unanswered.startedAtMillis() - unanswered.timeoutMillis());
        }
        assertTrue(pauses.get(4) >= 1600, "pauses in ms: " + pauses);
        assertTrue(pauses.get(4) <= 4800, "pauses in ms: " + pauses);
    }

    /**
     * A change within 200 ms after a response counts as delivered with it. If the change drains a host, the relay must
     * stop sending to that host by the end of the drain grace, so it has to call discovery again before then.
     */
    @ParameterizedTest
    @ValueSource(ints = {250, 400, 1000})
    void nextCallAfterAListUpdateIsMadeWithinTheDrainGrace(int drainGraceMillis) {
        for (long seed = 0; seed < 50; seed++) {
            calls.clear();
            nowMillis = 0;
            createDiscovery(seed, 3, drainGraceMillis).start();
            advanceToNextCall();
            lastCall().callback().handle(200, emptyListUpdate(7));
            long updatedAtMillis = nowMillis;
            advanceToNextCall();
            assertTrue(lastCall().startedAtMillis() - updatedAtMillis < drainGraceMillis,
                    "called again after ms: " + (lastCall().startedAtMillis() - updatedAtMillis));
        }
    }
}
