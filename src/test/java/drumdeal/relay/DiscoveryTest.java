package drumdeal.relay;

import static drumdeal.relay.RelayProcess.await;
import static drumdeal.relay.RelayProcess.targetListJson;
import static drumdeal.relay.RelayProcess.targetJson;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** How a relay requests the list of hosts from a discovery that serves many relays. */
class DiscoveryTest extends RelayTestBase {
    @BeforeEach
    void prepare() throws IOException {
        prepare(RelayProcess.discoveryWithoutChanges(), StubPeer.always(StubPeer.respondWithStatus(200)));
    }

    /** Makes discovery acknowledge notices and give the same response to every other request. */
    private void answerWatches(String answer) {
        discovery.respondWith(request -> request.requestLine().startsWith("POST /status") ? StubPeer.respondWithStatus(204) : answer);
    }

    @Test
    void watchContinuesFromTheVersionKnownAtTheStart() throws IOException {
        relay.start();
        await(() -> discovery.countRequests("GET /api/targets?after=1&") == 1);
        assertEquals(0, discovery.countRequests("GET /api/targets "), "the whole list is not fetched, as discovery serves all relays");
    }

    @Test
    void pausesGrowWhileDiscoveryFails() throws IOException {
        answerWatches(StubPeer.respondWithStatus(503));
        long before = System.nanoTime();
        relay.start();
        await(() -> discovery.countRequests("GET /api/targets") == 5);
        // The shortest possible pauses are 0.2, 0.4, 0.8 and 1.6 s.
        assertTrue(System.nanoTime() - before >= TimeUnit.SECONDS.toNanos(3));
        assertEquals(202, relay.submit("a", "safe", 7), "the known list stays in use meanwhile");
        await(() -> host.hasReceived("a"));
    }

    @Test
    void listOfAnOlderVersionIsIgnored() throws IOException {
        String other = targetJson("h2", 7, "one", "in_service", "127.0.0.1:9");
        answerWatches(StubPeer.respondWith(200, targetListJson(0, true, other)));
        relay.start();
        await(() -> discovery.countRequests("GET /api/targets?after=1&") == 2);
        assertTrue(relay.log().contains("version 0 is older than 1"), relay.log());
        assertEquals(202, relay.submit("a", "safe", 7));
        await(() -> host.hasReceived("a"));
    }

    /**
     * A relay in a fleet of the given size. Its configuration contains no targets, so it requests the list at once, and
     * has {@code rules} at the start of its {@code contract} settings.
     */
    private RelayProcess createRelayInFleetOf(int size, String rules) {
        return new RelayProcess(folder, discovery).editConfiguration(text -> text.replace("\"fleet-size\":1,",
                "\"fleet-size\":" + size + ",").replace("\"contract\":{", "\"contract\":{" + rules));
    }

    /** Makes discovery answer every request for the list with version 2. */
    private void publishNewList() {
        answerWatches(StubPeer.respondWith(200, targetListJson(2, true, targetJson("h1", 7, "one", "in_service", host.address()))));
    }

    @Test
    void relayOfALargeFleetFetchesTheListPeriodicallyInsteadOfWatching() throws IOException {
        publishNewList();
        try (RelayProcess one = createRelayInFleetOf(100, "\"must-ask-in-s\":10,")) {
            one.start();
            await(() -> discovery.countRequests("GET /api/targets ") == 2);
            long pause = discovery.requests.get(1).receivedAtNanos() - discovery.requests.get(0).receivedAtNanos();
            assertTrue(pause >= TimeUnit.SECONDS.toNanos(2), "ns between the fetches: " + pause);
            assertEquals(0, discovery.countRequests("GET /api/targets?"), "no watch: a change after its response would count as delivered");
            assertEquals(1, one.log().split("discovery: version 2", -1).length - 1, one.log());
        }
    }

    @Test
    void relayOfAVeryLargeFleetFetchesTheListWithinTheRequiredInterval() throws IOException {
        publishNewList();
        try (RelayProcess one = createRelayInFleetOf(1_000_000, "\"must-ask-in-s\":4,")) {
            one.start();
            await(() -> discovery.countRequests("GET /api/targets ") == 3);
        }
    }

    @Test
    void failingNewAddressIsCalledOftenWhileItsListIsDue() throws IOException {
        relay.start();
        try (StubPeer next = StubPeer.always(StubPeer.respondWithStatus(503))) {
            relay.moveDiscovery(next);
            await(() -> next.countRequests("GET /api/targets ") == 9);
            long took = next.requests.get(8).receivedAtNanos() - next.requests.get(0).receivedAtNanos();
            // Pauses that double up to 3.2 s and vary by half either way would take at least 9.4 s.
            assertTrue(took < TimeUnit.MILLISECONDS.toNanos(9300), "ns for nine calls: " + took);
            assertTrue(took > TimeUnit.MILLISECONDS.toNanos(3000), "ns for nine calls: " + took);
        }
    }

    @Test
    void newAddressIsCalledSoonEvenDuringALongPause() throws IOException {
        String list = targetListJson(2, true, targetJson("h1", 7, "one", "in_service", host.address()));
        // The pause grows with the response time of discovery. After a response that takes 2 s it is at least 22 s.
        discovery.respondWith(request -> {
            long from = System.nanoTime();
            await(() -> System.nanoTime() - from > 2_000_000_000L);
            return StubPeer.respondWith(200, list);
        });
        try (RelayProcess one = createRelayInFleetOf(100, "\"must-ask-in-s\":100,");
                StubPeer next = RelayProcess.discoveryWithoutChanges()) {
            one.start();
            await(() -> one.log().contains("discovery: version 2"));
            long told = System.nanoTime();
            one.moveDiscovery(next);
            await(() -> next.countRequests("GET /api/targets ") == 1);
            assertTrue(System.nanoTime() - told < TimeUnit.SECONDS.toNanos(20));
        }
    }
}
