package drumdeal.relay;

import static drumdeal.relay.RelayProcess.await;
import static drumdeal.relay.RelayProcess.messageRequest;
import static drumdeal.relay.StubPeer.respondWithStatus;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.net.StandardProtocolFamily;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.file.Files;
import java.nio.file.StandardOpenOption;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Races between end signals, closing connections and requests in transit. */
class RaceConditionTest extends RelayTestBase {
    private static final String READY_REQUEST = "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n";

    @BeforeEach
    void prepare() throws IOException {
        prepare(RelayProcess.discoveryWithoutChanges(), StubPeer.always(respondWithStatus(200)));
    }

    @Test
    void endSignalBeforeTheRelayListensAbortsItsStart() throws IOException, InterruptedException {
        Files.createDirectories(relay.stateFolder());
        // Stands for another process of this relay that accepts no connection: the start waits for it.
        try (FileChannel lockFile = FileChannel.open(relay.stateFolder().resolve("owner.lock"),
                StandardOpenOption.CREATE, StandardOpenOption.WRITE);
                FileLock lock = lockFile.lock();
                ServerSocketChannel handoverSocket = ServerSocketChannel.open(StandardProtocolFamily.UNIX)) {
            assertTrue(lock.isValid());
            handoverSocket.bind(RelayProcess.handoverAddress(relay.stateFolder()));
            relay.startWithoutWaiting();
            await(() -> relay.readLog().contains("operators at"));
            relay.terminate();
            assertTrue(relay.waitForExit());
        }
        assertTrue(relay.readLog().contains("end signal received before the relay listened for clients"),
                relay.readLog());
        assertFalse(relay.readLog().contains("serving on"), relay.readLog());
    }

    @Test
    void requestThatIsNeverCompletedIsRejectedBeforeAGracefulStopEnds() throws IOException, InterruptedException {
        relay.start();
        try (Socket incomplete = relay.connect()) {
            String message = messageRequest("half", "safe", 7, 20_000, "hello");
            incomplete.getOutputStream().write(message.substring(0, message.length() - 1).getBytes());
            relay.terminate();
            await(() -> relay.readLog().contains("draining: clients are sent"));
            // The last byte never arrives. The request is rejected by its own timeout (408) or by the stop (503).
            RelayProcess.Response response = RelayProcess.exchange(incomplete, "");
            assertTrue(response.status() == 503 || response.status() == 408, response.head());
        }
        assertTrue(relay.waitForExit());
        assertFalse(host.hasReceived("half"));
    }

    @Test
    void requestBegunDuringAGracefulStopIsRejectedBeforeTheStopEnds() throws IOException, InterruptedException {
        relay.start();
        try (Socket early = relay.connect()) {
            early.getOutputStream().write("POST /api HTTP/1.1\r\n".getBytes());
            relay.terminate();
            await(() -> relay.readLog().contains("draining: clients are sent"));
            // The early request keeps the process alive. The late one comes so late that its own timeout, 2.5 s from
            // connecting, would end after the process has exited.
            Thread.sleep(1500);
            try (Socket late = relay.connect()) {
                late.getOutputStream().write("POST /api HTTP/1.1\r\n".getBytes());
                assertEquals(503, RelayProcess.exchange(late, "").status());
            }
            assertTrue(relay.waitForExit());
        }
    }

    @Test
    void secondEndSignalDoesNotAffectAnIncompleteRequest() throws IOException, InterruptedException {
        relay.start();
        String message = messageRequest("twice", "safe", 7, 20_000, "hello");
        try (Socket incomplete = relay.connect()) {
            incomplete.getOutputStream().write(message.substring(0, message.length() - 1).getBytes());
            relay.terminate();
            await(() -> relay.readLog().contains("draining: clients are sent"));
            relay.terminate();
            assertEquals(202, RelayProcess.exchange(incomplete, message.substring(message.length() - 1)).status());
        }
        assertTrue(relay.waitForExit());
        relay.start();
        await(() -> host.hasReceived("twice"));
        assertEquals(1, host.countRequests("POST /receive"));
    }

    @Test
    void requestSentOnAClosingConnectionCausesNoResetAndIsNotDelivered() throws IOException, InterruptedException {
        relay.start();
        try (Socket incomplete = relay.connect(); Socket idle = relay.connect()) {
            incomplete.getOutputStream().write("POST /api HTTP/1.1\r\n".getBytes());
            assertEquals(200, RelayProcess.exchange(idle, READY_REQUEST).status());
            relay.terminate();
            assertEquals(-1, idle.getInputStream().read());
            idle.getOutputStream().write(messageRequest("crossing", "safe", 7, 20_000, "hello").getBytes());
            // Fails with an exception if the relay has reset the connection.
            idle.getOutputStream().write('x');
        }
        assertTrue(relay.waitForExit());
        assertFalse(host.hasReceived("crossing"));
    }

    @Test
    void uploadThatOutlastsAGracefulStopIsRejectedAndNotJournaled() throws IOException, InterruptedException {
        relay.start();
        try (Socket upload = relay.connect()) {
            upload.getOutputStream().write(messageRequest("upload", "safe", 7, 20_000, "x".repeat(60_000))
                    .substring(0, 1000).getBytes());
            relay.terminate();
            await(() -> relay.readLog().contains("draining: clients are sent"));
            while (upload.getInputStream().available() == 0) {
                upload.getOutputStream().write('x');
                Thread.sleep(20);
            }
            int status = RelayProcess.exchange(upload, "").status();
            assertTrue(status == 503 || status == 408, "status " + status);
        }
        assertTrue(relay.waitForExit());
        relay.start();
        assertTrue(relay.readOpenMessages().isEmpty());
        assertFalse(host.hasReceived("upload"));
    }

    @Test
    void endSignalRightAfterAReloadLeavesOpenMessagesToTheNextProcess() throws IOException, InterruptedException {
        // The retry delay ends only after the process has exited.
        host.setResponder(request -> respondWithStatus(429, "X-Come-Back-Ms: 6000"));
        relay.start();
        assertEquals(202, relay.submit("held", "unsafe", 7));
        await(() -> relay.readOpenMessages().stream().flatMap(m -> m.attempts.stream())
                .anyMatch(a -> a.result != null));
        try (StubPeer newDiscovery = RelayProcess.discoveryWithoutChanges()) {
            relay.moveDiscovery(newDiscovery);
            relay.terminate();
            assertTrue(relay.waitForExit());
            long callsBefore = host.countCalls("held");
            host.setResponder(request -> respondWithStatus(200));
            relay.start();
            await(() -> relay.readOpenMessages().isEmpty());
            assertEquals(callsBefore + 1, host.countCalls("held"));
            assertEquals(0, newDiscovery.countRequests("POST /status"));
        }
        assertFalse(relay.hasSentNotice("held", "dead") || relay.hasSentNotice("held", "bounced"));
    }

    @Test
    void endSignalDuringAHandoverNeitherLosesNorRepeatsAMessage() throws IOException, InterruptedException {
        relay.start();
        try (SocketChannel successor = SocketChannel.open(RelayProcess.handoverAddress(relay.stateFolder()))) {
            UpgradeTest.requestHandover(successor);
            await(() -> relay.readLog().contains("another process takes over"));
            assertEquals(202, relay.submit("between", "unsafe", 7));
            relay.terminate();
            assertTrue(relay.waitForExit());
        }
        // The successor never listens. So the relay may have resumed its decisions before it exited, and may have sent
        // the message itself.
        relay.start();
        await(() -> host.countCalls("between") == 1 && relay.readOpenMessages().isEmpty());
    }

    @Test
    void unresponsiveHostGetsUnsafeMessagesOnlyOnceDespiteAnEndSignalAndTwoKills()
            throws IOException, InterruptedException {
        host.setResponder(request -> StubPeer.NO_RESPONSE);
        relay.start();
        for (String requestClass : List.of("unsafe", "safe")) {
            assertEquals(202, relay.submit(requestClass, requestClass, 7));
        }
        await(() -> host.countCalls("unsafe") == 1 && host.countCalls("safe") == 1);
        relay.terminate();
        await(() -> relay.readLog().contains("draining: clients are sent"));
        assertEquals(202, relay.submit("late", "unsafe", 7));
        await(() -> host.countCalls("late") == 1);
        relay.kill();
        relay.start();
        await(() -> relay.hasSentNotice("unsafe", "dead") && relay.hasSentNotice("late", "dead")
                && host.countCalls("safe") == 2);
        relay.kill();
        host.setResponder(request -> respondWithStatus(200));
        relay.start();
        await(() -> host.countCalls("safe") == 3 && relay.readOpenMessages().isEmpty());
        assertEquals(1, host.countCalls("unsafe"));
        assertEquals(1, host.countCalls("late"));
        assertFalse(relay.hasSentNotice("safe", "dead") || relay.hasSentNotice("safe", "bounced"));
    }

    @Test
    void requestSentOnATimedOutIdleConnectionCausesNoResetAndIsServedWhenSentAgain() throws IOException {
        relay.start();
        try (Socket idle = relay.connect()) {
            assertEquals(200, RelayProcess.exchange(idle, READY_REQUEST).status());
            assertEquals(-1, idle.getInputStream().read());
            idle.getOutputStream().write(messageRequest("again", "safe", 7, 20_000, "hello").getBytes());
            // Fails with an exception if the relay has reset the connection.
            idle.getOutputStream().write('x');
            assertEquals(202, relay.submit("again", "safe", 7));
        }
        await(() -> host.countCalls("again") == 1);
        assertEquals(1, host.countRequests("POST /receive"));
    }

    @Test
    void messageSentAgainUnderANewIdAfterADisconnectIsDeliveredOnceUnderThatId() throws IOException {
        relay.start();
        try (Socket leaving = relay.connect()) {
            leaving.setSoLinger(true, 0);
            leaving.getOutputStream().write(messageRequest("old", "unsafe", 7, 20_000, "hello").getBytes());
        }
        assertEquals(202, relay.submit("new", "unsafe", 7));
        await(() -> host.countCalls("new") == 1 && relay.readOpenMessages().isEmpty());
        assertTrue(host.countCalls("old") <= 1);
        assertEquals(1, host.countCalls("new"));
    }
}
