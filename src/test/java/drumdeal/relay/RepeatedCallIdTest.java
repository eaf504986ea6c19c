package drumdeal.relay;

import static drumdeal.relay.RelayProcess.await;
import static drumdeal.relay.StubPeer.respondWithStatus;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.net.SocketException;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A message whose client left without reading its response, and submits it again under the same id. */
class RepeatedCallIdTest extends RelayTestBase {
    @BeforeEach
    void prepare() throws IOException {
        prepare(RelayProcess.discoveryWithoutChanges(), StubPeer.always(respondWithStatus(200)));
    }

    /** Submits a message whose host is called after any that was accepted before. */
    private void deliverAnother(RelayProcess process) {
        String other = process.submitUntilAccepted("other", "unsafe", 7);
        await(() -> host.hasReceived(other));
    }

    /** Submits a message until it is accepted: the older process may close the connection unread as it leaves. */
    private void submitAgainDuringUpgrade(String id) {
        await(() -> {
            try {
                return successor.submit(id, "unsafe", 7) == 202;
            } catch (SocketException e) {
                return false;
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        });
    }

    /** Guards against a second run of a message that is delivered and forgotten. */
    @Test
    void deliveredMessageIsConfirmedAndNotDeliveredAgain() throws IOException {
        relay.start();
        assertEquals(202, relay.submit("u1", "unsafe", 7));
        await(() -> host.hasReceived("u1") && relay.readOpenMessages().isEmpty());
        assertEquals(202, relay.submit("u1", "unsafe", 7));
        deliverAnother(relay);
        assertEquals(1, host.countCalls("u1"));
    }

    /** Guards against a second run of a message that was reported dead, as it may have run. */
    @Test
    void deadMessageIsNotDeliveredAgain() throws IOException {
        host.setResponder(request -> StubPeer.CLOSE_CONNECTION);
        relay.start();
        assertEquals(202, relay.submit("u1", "unsafe", 7));
        await(() -> relay.hasSentNotice("u1", "dead") && relay.readOpenMessages().isEmpty());
        host.setResponder(request -> respondWithStatus(200));
        assertEquals(500, relay.submit("u1", "unsafe", 7));
        deliverAnother(relay);
        assertEquals(1, host.countCalls("u1"));
    }

    /** Guards against a second run of a message that was delivered right before the process was killed. */
    @Test
    void deliveredMessageIsNotDeliveredAgainAfterAKill() throws IOException {
        relay.start();
        assertEquals(202, relay.submit("u1", "unsafe", 7));
        await(() -> host.hasReceived("u1") && relay.readOpenMessages().isEmpty());
        relay.kill();
        relay.start();
        assertEquals(202, relay.submit("u1", "unsafe", 7));
        deliverAnother(relay);
        assertEquals(1, host.countCalls("u1"));
    }

    /** The same for a message that was reported dead, and a planned restart. */
    @Test
    void deadMessageIsNotDeliveredAgainAfterAPlannedRestart() throws IOException, InterruptedException {
        host.setResponder(request -> StubPeer.CLOSE_CONNECTION);
        relay.start();
        assertEquals(202, relay.submit("u1", "unsafe", 7));
        await(() -> relay.hasSentNotice("u1", "dead") && relay.readOpenMessages().isEmpty());
        relay.terminate();
        assertTrue(relay.waitForExit());
        host.setResponder(request -> respondWithStatus(200));
        relay.start();
        assertEquals(500, relay.submit("u1", "unsafe", 7));
        deliverAnother(relay);
        assertEquals(1, host.countCalls("u1"));
    }

    /** The same for a process whose folder another one adopts, which is then killed as well. */
    @Test
    void deliveredMessageIsNotDeliveredAgainAfterTheAdoptionOfItsFolder() throws IOException {
        relay.start();
        assertEquals(202, relay.submit("u1", "unsafe", 7));
        await(() -> host.hasReceived("u1") && relay.readOpenMessages().isEmpty());
        successor = relay.createSuccessor().start();
        relay.kill();
        await(() -> List.of(relay.stateFolder().toFile().list()).stream().noneMatch(f -> f.startsWith("journal-")));
        successor.kill();
        relay.start();
        assertEquals(202, relay.submit("u1", "unsafe", 7));
        deliverAnother(relay);
        assertEquals(1, host.countCalls("u1"));
    }

    /** A message that its client withdrew before anything was sent is accepted like a new one. */
    @Test
    void withdrawnMessageThatWasNotSentIsAcceptedAgain() throws IOException {
        relay.roundPeriodSeconds("1").start();
        try (Socket leaving = relay.connect()) {
            leaving.getOutputStream().write(RelayProcess.messageRequest("u1", "unsafe", 7, 20_000, "x").getBytes());
            await(() -> relay.readOpenMessages().size() == 1);
        }
        await(() -> relay.readOpenMessages().isEmpty());
        assertEquals(202, relay.submit("u1", "unsafe", 7));
        await(() -> host.countCalls("u1") == 1);
    }

    /** Guards against a failure reported for a message whose client has left and submits it again at once. */
    @Test
    void messageOfAClientThatLeftIsAcceptedAgainBeforeItsEndOfConnectionIsRead() throws IOException {
        relay.roundPeriodSeconds("1").start();
        int status = 503;
        int tries = 0;
        // A relay short of CPU rejects a request that may have lain unread for long.
        for (; status == 503 && tries < 20; tries++) {
            status = submitAgainBeforeTheFirstConnectionEnds("u" + tries);
        }
        assertEquals(202, status);
        String id = "u" + (tries - 1);
        await(() -> host.countCalls(id) == 1);
    }

    /** Submits a message twice. The relay finds the second request and the end of the first connection at once. */
    private int submitAgainBeforeTheFirstConnectionEnds(String id) throws IOException {
        String request = RelayProcess.messageRequest(id, "unsafe", 7, 20_000, "x");
        Socket first = relay.connect();
        try (Socket second = relay.connect()) {
            assertEquals(404, RelayProcess.exchange(second, "GET /nosuch HTTP/1.1\r\nHost: x\r\n\r\n").status());
            first.getOutputStream().write(request.getBytes());
            await(() -> relay.readOpenMessages().stream().anyMatch(m -> m.content.callId().equals(id)));
            relay.pause();
            second.getOutputStream().write(request.getBytes());
            first.close();
            relay.resume();
            return RelayProcess.exchange(second, "").status();
        }
    }

    /** Guards against a second run at the newer process while the older one still has the message's call out. */
    @Test
    void messageThatTheOlderProcessHoldsIsNotDeliveredByTheNewerOne() throws Exception {
        CountDownLatch mayRespond = new CountDownLatch(1);
        host.setResponder(request -> {
            if ("u1".equals(request.callId())) {
                awaitLatch(mayRespond);
            }
            return respondWithStatus(200);
        });
        relay.start();
        assertEquals(202, relay.submit("u1", "unsafe", 7));
        await(() -> host.hasReceived("u1"));
        successor = relay.createSuccessor().start();
        submitAgainDuringUpgrade("u1");
        mayRespond.countDown();
        assertTrue(relay.waitForExit());
        deliverAnother(successor);
        assertEquals(1, host.countCalls("u1"));
    }

    /** The same for a message that the older process has delivered. */
    @Test
    void messageThatTheOlderProcessDeliveredIsNotDeliveredByTheNewerOne() throws Exception {
        relay.start();
        assertEquals(202, relay.submit("u1", "unsafe", 7));
        await(() -> host.hasReceived("u1") && relay.readOpenMessages().isEmpty());
        successor = relay.createSuccessor().start();
        submitAgainDuringUpgrade("u1");
        assertTrue(relay.waitForExit());
        deliverAnother(successor);
        assertEquals(1, host.countCalls("u1"));
    }

    private static void awaitLatch(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    /** Guards against a second run at the newer process of a message that it gave back, as the connection was lost. */
    @Test
    void messageThatIsReturnedToTheOlderProcessStaysKnown() {
        Clock clock = new Clock();
        SubmittedCallIds callIds = new SubmittedCallIds(clock, new CallIdHistory());
        Message message = new Message(1, new Message.Content("u1", "unsafe", null, null,
                clock.micros() + 20_000_000, 7, new byte[5]), null);
        callIds.add(message);
        callIds.returnToPredecessor(message);
        assertEquals(CallIdHistory.Answer.ACCEPTED, callIds.answerFor("u1"));
        assertFalse(callIds.isKnown("u1"), "the older process could not hand it over any more");
    }

    @Test
    void idsAreForgottenAfterTheirTimeAndBeyondTheLimitOfMemory() {
        CallIdHistory history = new CallIdHistory();
        history.add(new CallIdHistory.Entry("first", CallIdHistory.Answer.FAILED, 100), 0);
        assertEquals(CallIdHistory.Answer.FAILED, history.answerFor("first", 99));
        assertNull(history.answerFor("first", 100));
        for (int i = 0; i < 100_000; i++) {
            history.add(new CallIdHistory.Entry("id" + i, CallIdHistory.Answer.ACCEPTED, 1000), 1);
        }
        assertNull(history.answerFor("first", 50));
        assertEquals(CallIdHistory.Answer.ACCEPTED, history.answerFor("id99999", 1));
        int remembered = history.entries().size();
        assertTrue(remembered > 10_000 && remembered < 20_000, "ids: " + remembered);
    }
}
