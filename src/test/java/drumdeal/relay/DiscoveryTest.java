package drumdeal.relay;

import static drumdeal.relay.RelayProcess.await;
import static drumdeal.relay.RelayProcess.list;
import static drumdeal.relay.RelayProcess.target;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** How a relay asks for the list where many others ask too. */
class DiscoveryTest extends RelayTestBase {
    @BeforeEach
    void prepare() throws IOException {
        prepare(RelayProcess.quietDiscovery(), StubPeer.always(StubPeer.status(200)));
    }

    private void answerWatches(String answer) {
        discovery.answer(request -> request.line().startsWith("POST /status") ? StubPeer.status(204) : answer);
    }

    @Test
    void watchGoesOnFromTheVersionKnownAtTheStart() throws IOException {
        relay.start();
        await(() -> discovery.count("GET /api/targets?after=1&") == 1);
        assertEquals(0, discovery.count("GET /api/targets "), "the whole list costs every relay's discovery");
    }

    @Test
    void pausesGrowWhileDiscoveryFails() throws IOException {
        answerWatches(StubPeer.status(503));
        long before = System.nanoTime();
        relay.start();
        await(() -> discovery.count("GET /api/targets") == 5);
        // The shortest pauses that there may be: 0.2, 0.4, 0.8 and 1.6 s.
        assertTrue(System.nanoTime() - before >= TimeUnit.SECONDS.toNanos(3));
        assertEquals(202, relay.handIn("a", "safe", 7), "the old list stands meanwhile");
        await(() -> host.hasCallFor("a"));
    }

    @Test
    void olderVersionLeavesTheListStanding() throws IOException {
        String other = target("h2", 7, "one", "in_service", "127.0.0.1:9");
        answerWatches(StubPeer.answer(200, list(0, true, other)));
        relay.start();
        await(() -> discovery.count("GET /api/targets?after=1&") == 2);
        assertTrue(relay.log().contains("version 0 is older than 1"), relay.log());
        assertEquals(202, relay.handIn("a", "safe", 7));
        await(() -> host.hasCallFor("a"));
    }

    /** A relay without a list of its own, so that it asks at once, in a fleet of such a size. */
    private RelayProcess inAFleetOf(int size, String rules) {
        return new RelayProcess(folder, discovery).configured(text -> text.replace("\"fleet-size\":1,",
                "\"fleet-size\":" + size + ",").replace("\"contract\":{", "\"contract\":{" + rules));
    }

    private void news() {
        answerWatches(StubPeer.answer(200, list(2, true, target("h1", 7, "one", "in_service", host.address()))));
    }

    @Test
    void relayOfALargeFleetWatchesNothingAndFetchesTheListFromTimeToTime() throws IOException {
        news();
        try (RelayProcess one = inAFleetOf(100, "\"must-ask-in-s\":10,")) {
            one.start();
            await(() -> discovery.count("GET /api/targets ") == 2);
            long pause = discovery.requests.get(1).at() - discovery.requests.get(0).at();
            assertTrue(pause >= TimeUnit.SECONDS.toNanos(2), "asked again in ns: " + pause);
            assertEquals(0, discovery.count("GET /api/targets?"), "what follows a watch's answer counts as told");
            assertEquals(1, one.log().split("discovery: version 2", -1).length - 1, one.log());
        }
    }

    @Test
    void relayOfTheLargestFleetAsksWithinTheSpanOfTheRule() throws IOException {
        news();
        try (RelayProcess one = inAFleetOf(1_000_000, "\"must-ask-in-s\":4,")) {
            one.start();
            await(() -> discovery.count("GET /api/targets ") == 3);
        }
    }

    @Test
    void newAddressThatFailsIsAskedOftenWhileItsNewsIsDue() throws IOException {
        relay.start();
        try (StubPeer next = StubPeer.always(StubPeer.status(503))) {
            relay.moveDiscovery(next);
            await(() -> next.count("GET /api/targets ") == 9);
            long took = next.requests.get(8).at() - next.requests.get(0).at();
            // Pauses that double up to 3.2 s, half more or less, would take 9.4 s at the least.
            assertTrue(took < TimeUnit.MILLISECONDS.toNanos(9300), "nine calls in ns: " + took);
            assertTrue(took > TimeUnit.MILLISECONDS.toNanos(3000), "nine calls in ns: " + took);
        }
    }

    @Test
    void newAddressIsAskedSoonWhateverPauseIsRunning() throws IOException {
        String list = list(2, true, target("h1", 7, "one", "in_service", host.address()));
        // So slow an answer that many pauses for it follow, 22 s and more.
        discovery.answer(request -> {
            long from = System.nanoTime();
            await(() -> System.nanoTime() - from > 2_000_000_000L);
            return StubPeer.answer(200, list);
        });
        try (RelayProcess one = inAFleetOf(100, "\"must-ask-in-s\":100,");
                StubPeer next = RelayProcess.quietDiscovery()) {
            one.start();
            await(() -> one.log().contains("discovery: version 2"));
            long told = System.nanoTime();
            one.moveDiscovery(next);
            await(() -> next.count("GET /api/targets ") == 1);
            assertTrue(System.nanoTime() - told < TimeUnit.SECONDS.toNanos(20));
        }
    }
}
