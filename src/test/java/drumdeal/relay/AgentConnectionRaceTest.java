package drumdeal.relay;

import static drumdeal.relay.RelayProcess.await;
import static drumdeal.relay.StubPeer.respondWith;
import static drumdeal.relay.StubPeer.respondWithStatus;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Discovery's agent closes an idle connection just as the next request is sent on it, or cuts off a response. */
class AgentConnectionRaceTest extends RelayTestBase {
    @BeforeEach
    void prepare() throws IOException {
        prepare(RelayProcess.discoveryWithoutChanges(), StubPeer.always(respondWithStatus(200)));
    }

    @Test
    void watchIsSentAgainAtOnceIfTheAgentClosesItsConnection() throws IOException {
        AtomicInteger watches = new AtomicInteger();
        discovery.setResponder(request -> request.requestLine().startsWith("POST") ? respondWithStatus(204)
                : switch (watches.incrementAndGet()) {
                    case 1 -> respondWith(200, RelayProcess.targetListJson(1, false));
                    case 2 -> StubPeer.CLOSE_CONNECTION;
                    default -> StubPeer.NO_RESPONSE;
                });
        relay.start();
        await(() -> discovery.countRequests("GET /api/targets?after=1&") == 3);
        assertFalse(relay.readLog().contains("no list"), relay.readLog());
        assertEquals(2, discovery.connections.size());
    }

    @Test
    void noticeIsSentAgainAtOnceIfTheAgentClosesItsConnection() throws IOException {
        AtomicInteger notices = new AtomicInteger();
        discovery.setResponder(request -> !request.requestLine().startsWith("POST") ? StubPeer.NO_RESPONSE
                : notices.incrementAndGet() == 2 ? StubPeer.CLOSE_CONNECTION : respondWithStatus(204));
        host.setResponder(request -> respondWithStatus(504));
        relay.editConfiguration(text -> text.replace("\"send-cap\":12", "\"send-cap\":1")).start();
        relay.submitUntilAccepted("n1", "safe", 7);
        await(() -> discovery.requests.stream().anyMatch(r -> r.body().contains("n1-")));
        relay.submitUntilAccepted("n2", "safe", 7);
        await(() -> discovery.countRequests("POST /status") == 3);
        assertEquals(2, discovery.requests.stream().filter(r -> r.body().contains("n2")).count());
    }

    @Test
    void listIsRequestedAgainAfterATruncatedResponseAndAnIndentedOneIsParsed() throws IOException {
        AtomicInteger watches = new AtomicInteger();
        String listUpdate = respondWith(200, RelayProcess.targetListJson(2, false,
                RelayProcess.targetJson("h1", 7, "one", "terminating", host.address()))
                .replace("{", "{\n  ").replace(",", " ,\n  ").replace(":", ": ").replace("127.0.0.1: ", "127.0.0.1:"));
        discovery.setResponder(request -> request.requestLine().startsWith("POST") ? respondWithStatus(204)
                : switch (watches.incrementAndGet()) {
                    case 1 -> sendTruncated(listUpdate);
                    case 2 -> listUpdate;
                    default -> StubPeer.NO_RESPONSE;
                });
        relay.start();
        await(() -> relay.readLog().contains("discovery: version 2, 1 changes"));
        assertTrue(relay.readLog().contains("no list"), relay.readLog());
        // The relay logs the list before the next round applies it, so the figure may change after the line above.
        await(() -> relay.fetchStats().contains("\"members_unavailable\":1"));
        assertEquals(202, relay.submit("held", "safe", 7));
        assertEquals(0, host.requests.size(), "the host drains");
    }

    /** Writes the first half of a response, after which the connection is closed. */
    private String sendTruncated(String response) {
        try {
            discovery.connections.get(discovery.connections.size() - 1).getOutputStream()
                    .write(response.substring(0, response.length() / 2).getBytes());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return StubPeer.CLOSE_CONNECTION;
    }
}
