package pipitstage.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static pipitstage.relay.RelayProcess.await;
import static pipitstage.relay.RelayProcess.list;
import static pipitstage.relay.RelayProcess.target;

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
}
