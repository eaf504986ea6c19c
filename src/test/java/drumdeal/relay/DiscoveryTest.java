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
    private void respondToListRequests(String response) {
        discovery.setResponder(request -> request.requestLine().startsWith("POST /status")
                ? StubPeer.respondWithStatus(204) : response);
    }

    @Test
    void watchContinuesFromTheVersionKnownAtTheStart() throws IOException {
        relay.start();
        await(() -> discovery.countRequests("GET /api/targets?after=1&") == 1);
        assertEquals(0, discovery.countRequests("GET /api/targets "),
                "the whole list is not fetched, as discovery serves all relays");
    }

    @Test
    void pausesGrowWhileDiscoveryFails() throws IOException {
        respondToListRequests(StubPeer.respondWithStatus(503));
        long startNanos = System.nanoTime();
        relay.start();
        await(() -> discovery.countRequests("GET /api/targets") == 5);
        // The shortest possible pauses are 0.2, 0.4, 0.8 and 1.6 s.
        assertTrue(System.nanoTime() - startNanos >= TimeUnit.SECONDS.toNanos(3));
        assertEquals(202, relay.submit("a", "safe", 7), "the known list stays in use meanwhile");
        await(() -> host.hasReceived("a"));
    }

    @Test
    void listOfAnOlderVersionIsIgnored() throws IOException {
        String otherTarget = targetJson("h2", 7, "one", "in_service", "127.0.0.1:9");
        respondToListRequests(StubPeer.respondWith(200, targetListJson(0, true, otherTarget)));
        relay.start();
        await(() -> discovery.countRequests("GET /api/targets?after=1&") == 2);
        assertTrue(relay.readLog().contains("version 0 is older than 1"), relay.readLog());
        assertEquals(202, relay.submit("a", "safe", 7));
        await(() -> host.hasReceived("a"));
    }

    /**
     * A relay in a fleet of the given size, with the given text at the start of its {@code contract} settings. Its
     * configuration contains no targets, so it requests the list at once.
     */
    private RelayProcess createRelayInFleetOf(int size, String contractSettings) {
        return new RelayProcess(folder, discovery).editConfiguration(text -> text.replace("\"fleet-size\":1,",
                "\"fleet-size\":" + size + ",").replace("\"contract\":{", "\"contract\":{" + contractSettings));
    }

    /** Makes discovery answer every request for the list with version 2. */
    private void publishNewList() {
        respondToListRequests(StubPeer.respondWith(200,
                targetListJson(2, true, targetJson("h1", 7, "one", "in_service", host.address()))));
    }

    @Test
    void relayOfALargeFleetFetchesTheListPeriodicallyInsteadOfWatching() throws IOException {
        publishNewList();
        try (RelayProcess fleetRelay = createRelayInFleetOf(100, "\"must-ask-in-s\":10,")) {
            fleetRelay.start();
            await(() -> discovery.countRequests("GET /api/targets ") == 2);
            long pauseNanos = discovery.requests.get(1).receivedAtNanos() - discovery.requests.get(0).receivedAtNanos();
            assertTrue(pauseNanos >= TimeUnit.SECONDS.toNanos(2), "ns between the fetches: " + pauseNanos);
            assertEquals(0, discovery.countRequests("GET /api/targets?"),
                    "no watch: a change after its response would count as delivered");
            assertEquals(1, fleetRelay.readLog().split("discovery: version 2", -1).length - 1, fleetRelay.readLog());
        }
    }

    @Test
    void relayOfAVeryLargeFleetFetchesTheListAgainAndAgain() throws IOException {
        publishNewList();
        try (RelayProcess fleetRelay = createRelayInFleetOf(1_000_000, "\"must-ask-in-s\":4,")) {
            fleetRelay.start();
            await(() -> discovery.countRequests("GET /api/targets ") == 3);
        }
    }

    @Test
    void failingNewAddressIsCalledOftenWhileItsListIsDue() throws IOException {
        relay.start();
        try (StubPeer newDiscovery = StubPeer.always(StubPeer.respondWithStatus(503))) {
            relay.moveDiscovery(newDiscovery);
            await(() -> newDiscovery.countRequests("GET /api/targets ") == 9);
            long elapsedNanos = newDiscovery.requests.get(8).receivedAtNanos()
                    - newDiscovery.requests.get(0).receivedAtNanos();
            // With pauses that double up to 3.2 s, varied by half either way, nine calls would take at least 9.4 s.
            assertTrue(elapsedNanos < TimeUnit.MILLISECONDS.toNanos(9300), "ns for nine calls: " + elapsedNanos);
            assertTrue(elapsedNanos > TimeUnit.MILLISECONDS.toNanos(3000), "ns for nine calls: " + elapsedNanos);
        }
    }

    @Test
    void newAddressIsCalledSoonEvenDuringALongPause() throws IOException {
        String list = targetListJson(2, true, targetJson("h1", 7, "one", "in_service", host.address()));
        // The pause grows with the response time of discovery. After a response that takes 2 s it is at least 22 s.
        discovery.setResponder(request -> {
            long receivedAtNanos = System.nanoTime();
            await(() -> System.nanoTime() - receivedAtNanos > 2_000_000_000L);
            return StubPeer.respondWith(200, list);
        });
        try (RelayProcess fleetRelay = createRelayInFleetOf(100, "\"must-ask-in-s\":100,");
                StubPeer newDiscovery = RelayProcess.discoveryWithoutChanges()) {
            fleetRelay.start();
            await(() -> fleetRelay.readLog().contains("discovery: version 2"));
            long movedAtNanos = System.nanoTime();
            fleetRelay.moveDiscovery(newDiscovery);
            await(() -> newDiscovery.countRequests("GET /api/targets ") == 1);
            assertTrue(System.nanoTime() - movedAtNanos < TimeUnit.SECONDS.toNanos(20));
        }
    }
}
