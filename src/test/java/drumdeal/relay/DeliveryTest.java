package drumdeal.relay;

import static drumdeal.relay.RelayProcess.await;
import static drumdeal.relay.StubPeer.respondWith;
import static drumdeal.relay.StubPeer.respondWithStatus;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Calls to hosts: what the relay sends, how it interprets the responses, and what it must not send. */
class DeliveryTest extends RelayTestBase {
    private static final int MAX_TRIES = 10;

    @BeforeEach
    void prepare() throws IOException {
        prepare(RelayProcess.discoveryWithoutChanges(), StubPeer.always(respondWithStatus(200)));
        relay.addTarget("m1", 8, "many", host);
    }

    @Test
    void messageIsForwardedUnchanged() throws IOException {
        String body = "\u0000\r\n\u00ff{}";
        assertEquals(202, relay.start().submit("abc1", "keyed", 7, 20_000, body));
        await(() -> host.requests.size() == 1);
        StubPeer.Request call = host.requests.get(0);
        assertEquals("POST /receive HTTP/1.1", call.requestLine());
        assertEquals("abc1", call.callId());
        assertEquals("key-abc1", call.headers().get("idempotency-key"));
        assertEquals(body, call.body());
        assertTrue(Integer.parseInt(call.headers().get("x-budget-ms")) <= 20_000);
    }

    @Test
    void connectionIsReused() throws IOException {
        relay.start();
        for (int i = 0; i < 5; i++) {
            int requestsBefore = i;
            assertEquals(202, relay.submit("id" + i, "safe", 7));
            await(() -> host.requests.size() == requestsBefore + 1);
        }
        assertEquals(1, host.connections.size());
    }

    @Test
    void unsafeMessageThatMayHaveBeenProcessedIsNotRetried() throws IOException {
        host.setResponder(request -> StubPeer.CLOSE_CONNECTION);
        assertEquals(202, relay.start().submit("u1", "unsafe", 7));
        await(() -> relay.hasSentNotice("u1", "dead"));
        assertEquals(1, host.countRequests("POST /receive"));
        assertFalse(relay.hasSentNotice("u1", "bounced"));
    }

    @Test
    void unsafeMessageRefusedWithStatus503IsRetried() throws IOException {
        host.setResponder(request ->
                host.countRequests("POST /receive") == 1 ? respondWithStatus(503) : respondWithStatus(200));
        assertEquals(202, relay.start().submit("u2", "unsafe", 7));
        await(() -> host.countRequests("POST /receive") == 2);
        assertEquals("u2", host.requests.get(1).callId());
    }

    @Test
    void unsafeMessageEndsAsBouncedIfTheHostRefusesConnections() throws IOException {
        host.close();
        assertEquals(202, relay.start().submit("u3", "unsafe", 7, 1500, "x"));
        await(() -> relay.hasSentNotice("u3", "bounced"));
    }

    @Test
    void unsafeMessageWithoutAResponseByItsDeadlineIsReportedDead() throws IOException {
        host.setResponder(request -> StubPeer.NO_RESPONSE);
        assertEquals(202, relay.start().submit("u4", "unsafe", 7, 700, "x"));
        await(() -> relay.hasSentNotice("u4", "dead"));
        assertEquals(1, host.countRequests("POST /receive"));
    }

    @Test
    void status410EndsAMessageWithoutANotice() throws IOException {
        host.setResponder(request -> respondWithStatus(410));
        relay.start().submit("g1", "safe", 7);
        await(() -> host.requests.size() == 1);
        host.setResponder(request -> StubPeer.NO_RESPONSE);
        relay.submit("g2", "unsafe", 7, 600, "x");
        await(() -> relay.hasSentNotice("g2", "dead"));
        assertFalse(relay.hasSentNotice("g1", "dead") || relay.hasSentNotice("g1", "bounced"));
    }

    @Test
    void retryDelayRequestedByTheHostIsObeyed() throws IOException {
        host.setResponder(request -> host.requests.size() == 1 ? respondWithStatus(429, "X-Come-Back-Ms: 1200")
                : respondWithStatus(200));
        relay.start().submit("w1", "safe", 7);
        await(() -> host.requests.size() == 1);
        relay.submit("w2", "safe", 7);
        await(() -> host.requests.size() == 3);
        long gapNanos = host.requests.get(1).receivedAtNanos() - host.requests.get(0).receivedAtNanos();
        assertTrue(gapNanos >= TimeUnit.MILLISECONDS.toNanos(1200), "ns between the calls: " + gapNanos);
    }

    @Test
    void messagesOfOneRoundAreSentInOneCall() throws IOException {
        // The host refuses the first call and asks for a delay of 500 ms. Both messages wait for that time and are then
        // sent in one round.
        host.setResponder(request -> request.requestLine().contains("many")
                ? respondWith(200, "[{\"id\":\"b1\",\"state\":\"done\"},{\"id\":\"b2\",\"state\":\"failed\"}]")
                : host.requests.size() == 1 ? respondWithStatus(503, "X-Come-Back-Ms: 500") : StubPeer.NO_RESPONSE);
        relay.start().submit("b1", "unsafe", 8);
        await(() -> host.requests.size() == 1);
        relay.submit("b2", "unsafe", 8);
        await(() -> relay.hasSentNotice("b2", "dead"));
        StubPeer.Request call = host.requests.get(1);
        assertEquals("POST /receive-many HTTP/1.1", call.requestLine());
        assertTrue(call.body().contains("\"id\":\"b1\",\"key\":\"key-b1\",\"body\":\"aGVsbG8=\""), call.body());
        assertFalse(relay.hasSentNotice("b1", "dead"));
    }

    @Test
    void batchResponseAfterTheEarliestDeadlineDeliversNoMessage() throws IOException {
        // The host refuses the first call, so that both messages are sent in the next one. It responds to that one only
        // after the deadline of "short", and then claims to have delivered both.
        host.setResponder(request -> {
            if (!request.requestLine().contains("many")) {
                return respondWithStatus(503, "X-Come-Back-Ms: 500");
            }
            await(() -> relay.hasSentNotice("short", "dead"));
            return respondWith(200, "[{\"id\":\"short\",\"state\":\"done\"},{\"id\":\"long\",\"state\":\"done\"}]");
        });
        relay.start().submit("short", "unsafe", 8, 4000, "x");
        await(() -> host.requests.size() == 1);
        relay.submit("long", "unsafe", 8);
        await(() -> relay.hasSentNotice("long", "dead"));
        StubPeer.Request call = host.requests.get(1);
        assertTrue(call.body().contains("\"id\":\"long\""), call.body());
        assertTrue(Integer.parseInt(call.headers().get("x-budget-ms")) <= 4000);
    }

    @Test
    void idleConnectionsAreClosedAfterAnotherOneBreaks() throws IOException {
        host.setResponder(request ->
                request.callId().startsWith("slow") ? StubPeer.NO_RESPONSE : respondWithStatus(200));
        relay.start();
        relay.submit("slow", "safe", 7);
        await(() -> host.requests.size() == 1);
        relay.submit("quick", "safe", 7);
        await(() -> host.requests.size() == 2);
        assertEquals(2, host.connections.size());
        host.setResponder(request -> respondWithStatus(200));
        host.connections.get(0).close();
        await(() -> host.requests.size() == 3);
        assertEquals("slow", host.requests.get(2).callId());
        assertEquals(3, host.connections.size());
    }

    @Test
    void connectionThatRespondedAfterATimedOutCallWasSentIsKept() throws IOException {
        // The call of "lost" keeps the first connection busy, so "since" goes on a second one.
        host.setResponder(request -> request.callId().equals("lost") ? StubPeer.NO_RESPONSE : respondWithStatus(200));
        assertEquals(202, relay.start().submit("lost", "unsafe", 7, 3000, "x"));
        await(() -> host.hasReceived("lost"));
        relay.submit("since", "safe", 7);
        await(() -> host.hasReceived("since") && relay.hasSentNotice("lost", "dead"));
        relay.submit("next", "safe", 7);
        await(() -> host.hasReceived("next"));
        assertEquals(2, host.connections.size());
    }

    @Test
    void connectionIdleSinceBeforeATimedOutCallIsClosed() throws IOException {
        // The host responds only once it has both of the first calls, so that they use two connections.
        host.setResponder(request -> {
            await(() -> host.requests.size() >= 2);
            return request.callId().equals("lost") ? StubPeer.NO_RESPONSE : respondWithStatus(200);
        });
        relay.start().submit("one", "safe", 7);
        relay.submit("other", "safe", 7);
        await(() -> host.requests.size() == 2 && relay.readOpenMessages().isEmpty());
        assertEquals(202, relay.submit("lost", "unsafe", 7, 1500, "x"));
        await(() -> relay.hasSentNotice("lost", "dead"));
        relay.submit("next", "safe", 7);
        await(() -> host.hasReceived("next"));
        assertEquals(3, host.connections.size());
    }

    @Test
    void relaySurvivesMalformedResponsesAndLoadReports() throws IOException {
        host.setResponder(request -> "\u0001\u0002 nonsense\r\n\r\n");
        relay.start().submit("n1", "unsafe", 7);
        await(() -> relay.hasSentNotice("n1", "dead"));
        host.setResponder(request -> respondWithStatus(200, "X-Load-Report: TEXT x0=?, =, x1=1e999"));
        relay.submit("n2", "safe", 7);
        await(() -> host.hasReceived("n2"));
        assertTrue(relay.isAlive());
    }

    @Test
    void messageOfAClientThatDisconnectsBeforeItsResponseIsNotDelivered() throws IOException {
        relay.roundPeriodSeconds("0.5").start();
        // On a busy machine a full round period may pass between the request and the disconnect. Then the relay may
        // deliver the message, and the test tries again.
        boolean withdrawn = false;
        for (int i = 0; i < MAX_TRIES && !withdrawn; i++) {
            String leavingId = "left" + i;
            String stayingId = "stayed" + i;
            try (Socket socket = relay.connect()) {
                socket.getOutputStream().write(
                        RelayProcess.messageRequest(leavingId, "safe", 7, 20_000, "hello").getBytes());
            }
            assertEquals(202, relay.submit(stayingId, "safe", 7));
            await(() -> host.hasReceived(stayingId) && relay.readOpenMessages().isEmpty());
            withdrawn = !host.hasReceived(leavingId);
        }
        assertTrue(withdrawn, "the message of the client that disconnected was delivered in every try");
    }

    @Test
    void unfinishedResponseWithStatus200DeliversAndDoesNotBlockLaterCalls() throws IOException {
        host.setResponder(request -> "HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\n");
        relay.start().submit("e1", "unsafe", 7);
        await(() -> host.requests.size() == 1 && relay.readOpenMessages().isEmpty());
        host.setResponder(request -> respondWithStatus(200));
        relay.submit("e2", "unsafe", 7);
        await(() -> host.requests.size() == 2 && relay.readOpenMessages().isEmpty());
        assertEquals(2, host.connections.size());
        assertFalse(relay.hasSentNotice("e1", "dead"));
    }

    @Test
    void deliveredMessagesDoNotStayInMemory() throws IOException {
        relay.start();
        // 500 bodies of 64 KiB exceed the heap of the relay, which exits when it runs out of memory.
        String body = "x".repeat(64 << 10);
        try (Socket socket = relay.connect()) {
            for (int i = 0; i < 500; i++) {
                String message = RelayProcess.messageRequest("big" + i, "safe", 7, 999_999_999, body);
                assertEquals(202, RelayProcess.exchange(socket, message).status());
                String id = "big" + i;
                await(() -> host.hasReceived(id));
                host.requests.clear();
            }
        }
        assertTrue(relay.isAlive());
    }

    @Test
    void truncatedRequestIsNotAccepted() throws IOException {
        relay.start();
        Socket socket = relay.connect();
        socket.setSoLinger(true, 0);
        socket.getOutputStream().write(RelayProcess.messageRequest("half", "safe", 7, 20_000, "hello")
                .replace("Content-Length: 5", "Content-Length: 9").getBytes());
        socket.close();
        assertEquals(202, relay.submit("next", "safe", 7));
        await(() -> host.requests.size() == 1);
        assertEquals("next", host.requests.get(0).callId());
    }

    @Test
    void idleTimeoutIsShortenedAfterAnIdleConnectionBreaks() throws IOException, InterruptedException {
        relay.start();
        assertEquals(202, relay.submit("r1", "safe", 7));
        await(() -> host.requests.size() == 1);
        Thread.sleep(400);
        host.setResponder(request ->
                host.countRequests("POST") == 2 ? StubPeer.CLOSE_CONNECTION : respondWithStatus(200));
        assertEquals(202, relay.submit("r2", "safe", 7));
        await(() -> host.requests.size() == 3);
        assertEquals(2, host.connections.size(), "the idle connection breaks and the retry uses a new one");
        long idleNanos = host.requests.get(1).receivedAtNanos() - host.requests.get(0).receivedAtNanos();
        Thread.sleep(idleNanos / 1_000_000);
        assertEquals(202, relay.submit("r3", "safe", 7));
        await(() -> host.requests.size() == 4);
        assertEquals(3, host.connections.size(), "a connection idle as long as the one that broke is not reused");
    }

    @Test
    void callThatTheRelayAbandonsDoesNotShortenTheIdleTimeout() throws IOException, InterruptedException {
        relay.start();
        assertEquals(202, relay.submit("g1", "safe", 7));
        await(() -> host.requests.size() == 1);
        Thread.sleep(400);
        host.setResponder(request -> StubPeer.NO_RESPONSE);
        assertEquals(202, relay.submit("g2", "unsafe", 7, 500, "x"));
        await(() -> relay.hasSentNotice("g2", "dead"));
        assertFalse(relay.readLog().contains("a connection broke"), relay.readLog());
    }

    /**
     * Makes the host answer the first call with status 503 and {@code Connection: close}, as a host at its connection
     * limit does. The function answers later calls.
     */
    private void simulateConnectionLimit(Function<StubPeer.Request, String> laterResponses) {
        host.setResponder(request -> host.countRequests("POST") == 1
                ? StubPeer.respondWithStatus(503, "Connection: close") : laterResponses.apply(request));
    }

    @Test
    void atTheConnectionLimitIdleConnectionsAreClosedAndCallsWaitForOpenOnes()
            throws IOException, InterruptedException {
        // The host rejects the first call of "a" and accepts its retry, whose connection is closed soon after. Then "c"
        // has to wait for the connection of "b".
        CountDownLatch mayRespondToB = new CountDownLatch(1);
        simulateConnectionLimit(request -> {
            if ("b".equals(request.callId())) {
                await(() -> mayRespondToB.getCount() == 0);
            }
            return respondWithStatus(200);
        });
        relay.start();
        assertEquals(202, relay.submit("a", "safe", 7));
        await(() -> host.requests.size() == 2);
        await(() -> host.connections.get(1).isClosed());
        assertEquals(202, relay.submit("b", "safe", 7));
        await(() -> host.hasReceived("b"));
        assertEquals(202, relay.submit("c", "safe", 7));
        Thread.sleep(500);
        mayRespondToB.countDown();
        await(() -> host.hasReceived("c"));
        assertEquals(3, host.connections.size(), "the connection of b is used for c too");
    }

    @Test
    void connectionLimitOfOneHostClosesIdleConnectionsToAllHostsOfItsKind() throws IOException, InterruptedException {
        try (StubPeer otherHost = StubPeer.always(respondWithStatus(200))) {
            simulateConnectionLimit(request -> respondWithStatus(200));
            relay.addTarget("h2", 9, "one", otherHost).start();
            assertEquals(202, relay.submit("kept", "safe", 9));
            await(() -> otherHost.hasReceived("kept"));
            assertEquals(202, relay.submit("a", "safe", 7));
            await(() -> host.requests.size() == 2);
            // The calls come so often that a connection kept for the idle time in the settings would carry them all.
            for (int i = 0; i < 50 && otherHost.connections.size() < 3; i++) {
                assertEquals(202, relay.submit("b" + i, "safe", 9));
                Thread.sleep(100);
            }
            assertEquals(3, otherHost.connections.size(), "each call uses a connection of its own");
        }
    }

    @Test
    void retryThatGetsAConnectionAfterTheDedupWindowIsNotSent() throws IOException {
        // "k" fails and is due for a retry, but "b" holds the only connection until the dedup window of 5 s is over.
        CountDownLatch mayRespondToK = new CountDownLatch(1);
        CountDownLatch mayRespondToB = new CountDownLatch(1);
        simulateConnectionLimit(request -> {
            if ("k".equals(request.callId())) {
                await(() -> mayRespondToK.getCount() == 0);
                return respondWithStatus(500);
            }
            if ("b".equals(request.callId())) {
                await(() -> mayRespondToB.getCount() == 0);
            }
            return respondWithStatus(200);
        });
        relay.start();
        assertEquals(202, relay.submit("a", "safe", 7));
        await(() -> host.requests.size() == 2);
        assertEquals(202, relay.submit("k", "keyed", 7, 9000, "hello"));
        await(() -> host.hasReceived("k"));
        long startNanos = System.nanoTime();
        assertEquals(202, relay.submit("b", "unsafe", 7));
        await(() -> System.nanoTime() - startNanos > 500_000_000L);
        mayRespondToK.countDown();
        await(() -> host.hasReceived("b"));
        await(() -> System.nanoTime() - startNanos > 5_200_000_000L);
        mayRespondToB.countDown();
        await(() -> relay.hasSentNotice("k", "dead"));
        assertEquals(1, host.requests.stream().filter(r -> "k".equals(r.callId())).count());
    }
}
