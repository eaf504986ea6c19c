package drumdeal.relay;

import static drumdeal.relay.RelayProcess.await;
import static drumdeal.relay.StubPeer.respondWith;
import static drumdeal.relay.StubPeer.respondWithStatus;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Responses of hosts that can't be parsed, don't end, or are followed by bytes that do not belong to them. */
class MalformedResponseTest extends RelayTestBase {
    /** End of the headers and start of a body that is larger than the relay accepts. */
    private static final String OVERSIZED_BODY = "Content-Length: 3000000000\r\n\r\n" + "x".repeat(100_000);

    @BeforeEach
    void prepare() throws IOException {
        prepare(RelayProcess.discoveryWithoutChanges(), StubPeer.always(respondWithStatus(200)));
        relay.addTarget("m1", 8, "many", host);
    }

    @Test
    void unsafeMessageEndsAsDeadAfterAMalformedResponse() throws IOException {
        List<String> malformedResponses = List.of(
                "HTTP/1.1 503 X\r\nContent-Length: 9\r\n\r\n", "HTTP/1.1 410 X\r\n" + OVERSIZED_BODY,
                "HTTP/1.1 429 X\r\nX-Come-Back-Ms: 60000\r\nContent-Length: -1\r\n\r\n",
                "HTTP/1.1 504 X\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                "HTTP/1.1 404 X\r\nEndless: " + "x".repeat(20_000), "HTTP/1.1 101 X\r\n\r\n", "HTTP/1.1 ", "noise");
        relay.start();
        for (int i = 0; i < malformedResponses.size(); i++) {
            String id = "u" + i;
            String malformedResponse = malformedResponses.get(i);
            host.setResponder(request -> malformedResponse);
            relay.submit(id, "unsafe", 7);
            await(() -> relay.hasSentNotice(id, "dead"));
            host.setResponder(request -> respondWithStatus(200));
            int requestsBefore = host.requests.size();
            relay.submit("s" + i, "safe", 7);
            await(() -> host.requests.size() > requestsBefore && relay.readOpenMessages().isEmpty());
        }
        assertEquals(2 * malformedResponses.size(), host.requests.size());
    }

    @Test
    void statusLine200DeliversASingleMessageWhateverFollows() throws IOException {
        List<String> malformedResponses = List.of(
                "HTTP/1.1 200 X\r\nEndless: " + "x".repeat(20_000), "HTTP/1.1 200 X\r\n" + OVERSIZED_BODY,
                "HTTP/1.1 200 X\r\nbad\u0000head\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 200 X\r\nContent-Length: 1, 2\r\n\r\n", "HTTP/1.1 200 X\r\nHalf",
                "HTTP/1.1 100 X\r\n\r\nHTTP/1.1 200 X\r\nContent-Length: 7\r\n\r\n");
        relay.start();
        for (int i = 0; i < malformedResponses.size(); i++) {
            int requestCount = i + 1;
            String malformedResponse = malformedResponses.get(i);
            host.setResponder(request -> malformedResponse);
            relay.submit("u" + i, "unsafe", 7);
            await(() -> host.requests.size() == requestCount && relay.readOpenMessages().isEmpty());
        }
        assertEquals(0, discovery.countRequests("POST"), "no notices, as all messages count as delivered");
    }

    @Test
    void batchResponseThatCannotBeParsedToItsEndCountsForNoMessage() throws IOException {
        // The host refuses the first call and asks for a delay of 500 ms. Both messages wait for that time and are then
        // sent in one call.
        host.setResponder(request -> request.requestLine().contains("many")
                ? respondWith(200, "[{\"id\":\"b1\",\"state\":\"busy\"},{\"id\":\"b2\",\"state\":\"busy\"},7]")
                : host.requests.size() == 1 ? respondWithStatus(503, "X-Come-Back-Ms: 500") : StubPeer.NO_RESPONSE);
        relay.start().submit("b1", "unsafe", 8);
        await(() -> host.requests.size() == 1);
        relay.submit("b2", "unsafe", 8);
        await(() -> relay.hasSentNotice("b1", "dead") && relay.hasSentNotice("b2", "dead"));
        assertEquals(2, host.requests.size());
    }

    @Test
    void informationalResponsesAreSkipped() throws IOException {
        host.setResponder(request -> "HTTP/1.1 102 X\r\n\r\nHTTP/1.1 103 X\r\nLink: a\r\n\r\n"
                + respondWithStatus(host.requests.size() == 1 ? 503 : 200));
        relay.start().submit("u1", "unsafe", 7);
        await(() -> host.requests.size() == 2 && relay.readOpenMessages().isEmpty());
        assertEquals(1, host.connections.size());
        assertFalse(relay.hasSentNotice("u1", "dead"));
    }

    @Test
    void bytesAfterAResponseAreNotTakenForTheNextResponse() throws IOException {
        relay.start();
        for (String extraBytes : List.of(respondWithStatus(200), "\u0001\u0002" + respondWithStatus(200),
                "noise\r\n\r\n" + respondWithStatus(200))) {
            host.setResponder(request -> respondWithStatus(200) + extraBytes);
            long requestsBefore = host.countRequests("POST");
            relay.submit("first" + requestsBefore, "unsafe", 7);
            await(() -> host.countRequests("POST") > requestsBefore && relay.readOpenMessages().isEmpty());
            host.setResponder(request -> request.requestLine().startsWith("POST")
                    ? StubPeer.CLOSE_CONNECTION : respondWithStatus(200));
            relay.submit("next" + requestsBefore, "unsafe", 7);
            await(() -> relay.hasSentNotice("next" + requestsBefore, "dead"));
        }
        assertTrue(relay.isAlive());
    }
}
