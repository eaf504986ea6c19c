package drumdeal.relay;

import static drumdeal.relay.RelayProcess.await;
import static drumdeal.relay.RelayProcess.targetListJson;
import static drumdeal.relay.RelayProcess.targetJson;
import static drumdeal.relay.StubPeer.respondWith;
import static drumdeal.relay.StubPeer.respondWithStatus;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Which input from clients, discovery and the configuration the relay accepts. */
class InputValidationTest extends RelayTestBase {
    /**
     * Body of discovery's response to the next request for the list, set to null once it is used. With null a watch
     * stays unanswered and a fetch gets version 1 of the list.
     */
    private final AtomicReference<String> nextListUpdate = new AtomicReference<>(targetListJson(1, false));

    @BeforeEach
    void prepare() throws IOException {
        prepare(new StubPeer(this::respondAsDiscovery), StubPeer.always(respondWithStatus(200)));
    }

    private String respondAsDiscovery(StubPeer.Request request) {
        if (request.requestLine().startsWith("POST")) {
            return respondWithStatus(204);
        }
        String listUpdate = nextListUpdate.getAndSet(null);
        return listUpdate != null ? respondWith(200, listUpdate)
                : request.requestLine().contains("after=") ? StubPeer.NO_RESPONSE
                : respondWith(200, targetListJson(1, true, targetJson("h1", 7, "one", "in_service", host.address())));
    }

    @Test
    void invalidRequestsAreRejected() throws IOException {
        relay.start();
        // The second watch shows that the relay has applied the response to the first one. Before that the list from
        // the configuration may be outdated, and a message for an unknown destination gets status 503, not 400.
        await(() -> discovery.countRequests("GET /api/targets?after=1&") == 2);
        String validRequest = RelayProcess.messageRequest("x1", "keyed", 7, 1000, "hello");
        assertEquals(400, relay.submit("x2", "nosuch", 7));
        assertEquals(400, relay.submit("x3", "safe", 99));
        assertEquals(400, relay.exchange(validRequest.replace("dest=7", "dest=")).status());
        assertEquals(400, relay.exchange(validRequest.replace("dest=7", "dest=99999999999")).status());
        assertEquals(400, relay.exchange(validRequest.replace("Idempotency-Key: key-x1\r\n", "")).status());
        assertEquals(400, relay.exchange(validRequest.replace("X-Call-Id: x1\r\n", "")).status());
        assertEquals(400, relay.exchange(validRequest.replace("Budget-Ms: 1000", "Budget-Ms: -1")).status());
        assertEquals(400, relay.exchange(validRequest.replace("acme", "nobody")).status());
        assertEquals(413, relay.submit("x4", "safe", 7, 1000, "x".repeat((64 << 10) + 1)));
        assertEquals(404, relay.exchange("GET /nosuch HTTP/1.1\r\nHost: x\r\n\r\n").status());
        assertEquals(405, relay.exchange("GET /api HTTP/1.1\r\nHost: x\r\n\r\n").status());
        assertEquals(400, relay.exchange("\u0001\u0002\u0003\r\n\r\n").status());
        assertEquals(202, relay.submit("x5", "safe", 7, 20_000, "x".repeat(64 << 10)));
        await(() -> !host.requests.isEmpty());
        assertEquals("x5", host.requests.get(0).callId());
    }

    @Test
    void connectionServesOneRequestAfterAnother() throws IOException {
        relay.start();
        try (Socket socket = relay.connect()) {
            assertEquals(400,
                    RelayProcess.exchange(socket, RelayProcess.messageRequest("o1", "no", 7, 9, "x")).status());
            String twoRequests = RelayProcess.messageRequest("o2", "safe", 7, 20_000, "x")
                    + RelayProcess.messageRequest("o3", "safe", 7, 20_000, "x");
            assertEquals(202, RelayProcess.exchange(socket, twoRequests).status());
            assertEquals(202, RelayProcess.exchange(socket, "").status());
        }
        await(() -> host.requests.size() == 2);
    }

    @Test
    void messageSubmittedTwiceWithTheSameIdIsSentOnce() throws IOException {
        host.setResponder(request -> StubPeer.NO_RESPONSE);
        relay.start();
        assertEquals(202, relay.submit("same", "safe", 7));
        await(() -> host.requests.size() == 1);
        assertEquals(202, relay.submit("same", "safe", 7));
        assertEquals(202, relay.submit("other", "safe", 7));
        await(() -> host.requests.size() == 2);
        assertEquals("other", host.requests.get(1).callId());
    }

    @Test
    void messageIsRejectedIfTheJournalHasNoRoom() throws IOException {
        host.setResponder(request -> StubPeer.NO_RESPONSE);
        relay.limitDisk(0.1).start();
        assertEquals(202, relay.submit("r1", "safe", 7, 20_000, "x".repeat(20_000)));
        assertEquals(503, relay.submit("r2", "safe", 7, 20_000, "x".repeat(20_000)));
    }

    @Test
    void drainingHostGetsNoNewMessages() throws IOException {
        try (StubPeer otherHost = StubPeer.always(respondWithStatus(200))) {
            relay.start();
            await(() -> discovery.requests.stream().anyMatch(r -> r.requestLine().contains("after=1&")));
            nextListUpdate.set(targetListJson(2, false, targetJson("h1", 7, "one", "terminating", host.address()),
                    targetJson("h2", 7, "one", "in_service", otherHost.address()),
                    targetJson("h3", 9, "one", "in_service", otherHost.address())));
            await(() -> discovery.requests.stream().anyMatch(r -> r.requestLine().contains("after=2&")));
            for (int i = 0; i < 10; i++) {
                assertEquals(202, relay.submit("d" + i, "safe", 7));
            }
            await(() -> otherHost.countRequests("POST /receive") == 10);
            assertEquals(0, host.countRequests("POST"));
            assertEquals(202, relay.submit("new", "safe", 9), "a destination that the list update adds");
        }
    }

    @Test
    void relaySurvivesMalformedDiscoveryResponses() throws IOException {
        relay.start();
        await(() -> discovery.requests.stream().anyMatch(r -> r.requestLine().contains("after=1&")));
        nextListUpdate.set("{\"rev\":[");
        await(() -> relay.readLog().contains("ignored an invalid response"));
        nextListUpdate.set(targetListJson(5, true, "{\"uid\":4}", "7",
                targetJson("h1", 7, "one", "asleep", host.address()),
                targetJson("h1", 7, "one", "in_service", host.address()),
                targetJson("h9", 9, "one", "in_service", "nosuch.example:1")));
        await(() -> discovery.requests.stream().anyMatch(r -> r.requestLine().contains("after=5&")));
        assertEquals(202, relay.submit("m1", "safe", 7));
        await(() -> host.requests.size() == 1);
    }

    @Test
    void invalidConfigurationOrModeEndsTheProcessWithOneLogLine() throws IOException, InterruptedException {
        Path config = Files.writeString(folder.resolve("bad.json"), "{\"seed\":\"zz\",\"settings\":{},\"limits\":{}}");
        for (String mode : new String[] {"serve", "nosuch"}) {
            ProcessBuilder builder = new ProcessBuilder(
                    Path.of(System.getProperty("java.home"), "bin/java").toString(), "-cp",
                    System.getProperty("java.class.path"), Main.class.getName(), mode).redirectErrorStream(true);
            builder.environment().put("EDGE_CONFIG", config.toString());
            builder.environment().put("EDGE_STATE", folder.toString());
            Process process = builder.start();
            String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertEquals(2, process.waitFor());
            assertTrue(output.startsWith("drumdeal: "), output);
            assertEquals(1, output.lines().count(), output);
        }
    }
}
