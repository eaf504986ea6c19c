package drumdeal.relay;

import static drumdeal.relay.RelayProcess.await;
import static drumdeal.relay.StubPeer.respondWithStatus;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import drumdeal.Policy;
import java.io.IOException;
import java.net.ConnectException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Messages and notices across the end of a process, by kill or by graceful stop, and the next start. */
class RestartTest extends RelayTestBase {
    @BeforeEach
    void prepare() throws IOException {
        prepare(RelayProcess.discoveryWithoutChanges(), StubPeer.always(StubPeer.NO_RESPONSE));
    }

    /** Kills the relay while a call with the message is in flight, and restarts it. */
    private void killAndRestartWith(String id, String requestClass) throws IOException {
        assertEquals(202, relay.start().submit(id, requestClass, 7));
        await(() -> host.requests.size() == 1);
        relay.kill();
        host.setResponder(request -> respondWithStatus(200));
        relay.start();
    }

    @Test
    void repeatableMessageIsSentAgainAfterAKill() throws IOException {
        killAndRestartWith("s1", "safe");
        await(() -> host.requests.size() == 2);
        assertEquals("s1", host.requests.get(1).callId());
        assertEquals("hello", host.requests.get(1).body());
    }

    @Test
    void keyedMessageIsSentAgainWithinItsDedupWindow() throws IOException {
        killAndRestartWith("k1", "keyed");
        await(() -> host.requests.size() == 2);
        assertEquals("key-k1", host.requests.get(1).headers().get("idempotency-key"));
    }

    @Test
    void unsafeMessageWithUnknownResultIsReportedDeadAndNotSentAgain() throws IOException {
        killAndRestartWith("u1", "unsafe");
        await(() -> relay.hasSentNotice("u1", "dead"));
        assertEquals(1, host.countRequests("POST /receive"));
        assertFalse(relay.hasSentNotice("u1", "bounced"));
    }

    @Test
    void unsafeMessageThatProvablyHadNoEffectIsSentAgain() throws IOException {
        host.setResponder(request -> respondWithStatus(503, "X-Come-Back-Ms: 60000"));
        assertEquals(202, relay.start().submit("u2", "unsafe", 7));
        await(() -> relay.readOpenMessages().stream().flatMap(m -> m.attempts.stream())
                .anyMatch(a -> a.result == Policy.Result.FULL));
        relay.kill();
        host.setResponder(request -> respondWithStatus(200));
        relay.start();
        await(() -> host.requests.size() == 2);
        assertEquals("u2", host.requests.get(1).callId());
    }

    @Test
    void deliveredMessageIsNotSentAgainAfterAKill() throws IOException {
        host.setResponder(request -> respondWithStatus(200));
        relay.start().submit("d1", "unsafe", 7);
        await(() -> host.requests.size() == 1 && relay.readOpenMessages().isEmpty());
        host.setResponder(request -> StubPeer.NO_RESPONSE);
        relay.submit("d2", "safe", 7);
        await(() -> host.requests.size() == 2);
        relay.kill();
        host.setResponder(request -> respondWithStatus(200));
        relay.start();
        await(() -> host.requests.size() == 3);
        assertEquals("d2", host.requests.get(2).callId());
        assertFalse(relay.hasSentNotice("d1", "dead"));
    }

    /**
     * After the kill the configuration lists no target, and discovery at first fails: the relay must keep the messages
     * of its journal until it gets a list, although it does not know their destination.
     */
    @Test
    void untriedMessagesAreAllSentAfterAKillOnceDiscoverySendsItsList() throws IOException {
        relay.start();
        for (int i = 0; i < 30; i++) {
            assertEquals(202, relay.submit("w" + i, List.of("safe", "keyed", "unsafe").get(i % 3), 7));
        }
        await(() -> !host.requests.isEmpty());
        relay.kill();
        List<String> untried = relay.readOpenMessages().stream().filter(m -> m.attempts.isEmpty())
                .map(m -> m.content.callId()).toList();
        assertTrue(untried.size() >= 20, "untried messages: " + untried.size());
        discovery.setResponder(request -> request.requestLine().startsWith("POST") ? respondWithStatus(204)
                : respondWithStatus(503));
        host.setResponder(request -> respondWithStatus(200));
        relay.editConfiguration(text -> text.replaceFirst("\"targets\":\\[.*?\\]", "\"targets\":[]")).start();
        await(() -> relay.readLog().contains("discovery: no list"));
        discovery.setResponder(request -> request.requestLine().startsWith("POST") ? respondWithStatus(204)
                : StubPeer.respondWith(200, RelayProcess.targetListJson(2, true,
                        RelayProcess.targetJson("h1", 7, "one", "in_service", host.address()))));
        await(() -> untried.stream().allMatch(host::hasReceived));
        await(() -> relay.readLog().contains("untried " + untried.size() + ", of these tried " + untried.size()
                + ", ended without a call 0"));
    }

    @Test
    void timeWhileTheRelayIsDownCountsTowardsTheDeadline() throws IOException, InterruptedException {
        // The budget lets a slow machine accept the message in time, and all of it passes while the relay is down.
        assertEquals(202, relay.start().submit("t1", "safe", 7, 5000, "x"));
        relay.kill();
        Thread.sleep(5000);
        relay.start();
        await(() -> relay.hasSentNotice("t1", "bounced") || relay.hasSentNotice("t1", "dead"));
    }

    @Test
    void unlistedDestinationGetsStatus503BeforeDiscoveryHasSentItsList() throws IOException {
        assertEquals(503, relay.start().submit("x1", "safe", 99));
        assertEquals(0, host.requests.size());
    }

    @Test
    void unacknowledgedNoticeIsSentAgainAfterAKill() throws IOException {
        discovery.setResponder(request -> StubPeer.NO_RESPONSE);
        host.setResponder(request -> StubPeer.CLOSE_CONNECTION);
        relay.start().submit("n1", "unsafe", 7);
        await(() -> relay.hasSentNotice("n1", "dead"));
        relay.kill();
        discovery.requests.clear();
        discovery.setResponder(request -> request.requestLine().startsWith("POST") ? respondWithStatus(204)
                : StubPeer.NO_RESPONSE);
        relay.start();
        await(() -> relay.hasSentNotice("n1", "dead"));
        assertEquals(1, host.requests.size());
    }

    @Test
    void gracefulStopAnswersRequestsThatArrivedWhileTheProcessWasPaused() throws IOException, InterruptedException {
        relay.start();
        List<Socket> clients = new ArrayList<>();
        try (Socket unfinished = relay.connect()) {
            // An incomplete request keeps the relay running until it is paused.
            unfinished.getOutputStream().write("POST /api HTTP/1.1\r\n".getBytes());
            relay.terminate();
            await(() -> relay.readLog().contains("draining: clients are sent"));
            relay.pause();
            for (int i = 0; i < 90; i++) {
                Socket socket = relay.connect();
                clients.add(socket);
                socket.getOutputStream()
                        .write(RelayProcess.messageRequest("c" + i, "safe", 7, 20_000, "hello").getBytes());
            }
            Thread.sleep(3500);
            relay.resume();
            for (Socket socket : clients) {
                assertTrue(RelayProcess.exchange(socket, "").status() > 0, "a complete request got no response");
            }
        } finally {
            for (Socket socket : clients) {
                socket.close();
            }
        }
        assertTrue(relay.waitForExit());
    }

    @Test
    void unsentMessageThatExpiresDuringShutdownIsReportedBounced() throws IOException, InterruptedException {
        host.setResponder(request -> respondWithStatus(429, "X-Come-Back-Ms: 60000"));
        relay.start();
        assertEquals(202, relay.submit("first", "safe", 7));
        await(() -> host.requests.size() == 1);
        assertEquals(202, relay.submit("waits", "unsafe", 7, 2600, "hello"));
        relay.terminate();
        Thread.sleep(1000);
        try (Socket unfinished = relay.connect()) {
            // An incomplete request keeps the relay running for a while after it has stopped new attempts.
            unfinished.getOutputStream().write("POST /api HTTP/1.1\r\n".getBytes());
            assertTrue(relay.waitForExit());
        }
        relay.start();
        await(() -> relay.hasSentNotice("waits", "bounced") || relay.hasSentNotice("waits", "dead"));
        assertFalse(relay.hasSentNotice("waits", "dead"), "a message that was never sent was reported dead");
    }

    @Test
    void gracefulStopServesAClientThatReconnectsWhenItsConnectionCloses() throws IOException, InterruptedException {
        boolean served = false;
        // On a busy machine the client may reconnect too late; then the test tries again.
        for (int tries = 0; tries < 5 && !served; tries++) {
            relay.start();
            try (Socket idle = relay.connect()) {
                RelayProcess.exchange(idle, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n");
                relay.terminate();
                assertEquals(-1, idle.getInputStream().read());
                Thread.sleep(100);
                served = relay.submit("again" + tries, "safe", 7) == 202;
            } catch (ConnectException e) {
                served = false;
            }
            assertTrue(relay.waitForExit());
        }
        assertTrue(served);
    }

    @Test
    void gracefulStopAnswersClientsAndLeavesOpenMessagesToTheNextProcess() throws IOException, InterruptedException {
        relay.start();
        try (Socket idle = relay.connect(); Socket busy = relay.connect()) {
            String ready = "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n";
            assertEquals(200, RelayProcess.exchange(idle, ready).status());
            String message = RelayProcess.messageRequest("p1", "safe", 7, 20_000, "hello");
            busy.getOutputStream().write(message.substring(0, message.length() - 2).getBytes());
            relay.terminate();
            assertEquals(202, relay.submit("p2", "safe", 7), "new connections must be served");
            assertEquals(-1, idle.getInputStream().read(), "the idle connection must be closed");
            RelayProcess.Response response = RelayProcess.exchange(busy, message.substring(message.length() - 2));
            assertEquals(202, response.status(), "a request in progress must be answered");
            assertTrue(response.head().toLowerCase().contains("connection: close"), response.head());
        }
        assertTrue(relay.waitForExit());
        host.setResponder(request -> respondWithStatus(200));
        int requestsBefore = host.requests.size();
        relay.start();
        await(() -> host.requests.stream().skip(requestsBefore).map(StubPeer.Request::callId).distinct().count() == 2);
    }
}
