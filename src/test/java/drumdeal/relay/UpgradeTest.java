package drumdeal.relay;

import static drumdeal.relay.RelayProcess.await;
import static drumdeal.relay.StubPeer.respondWithStatus;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.Socket;
import java.net.StandardProtocolFamily;
import java.nio.ByteBuffer;
import java.nio.channels.Channels;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.file.Files;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Two processes of one relay: the newer one takes over from the older one. */
class UpgradeTest extends RelayTestBase {
    @BeforeEach
    void prepare() throws IOException {
        prepare(RelayProcess.discoveryWithoutChanges(), StubPeer.always(StubPeer.NO_RESPONSE));
    }

    @Test
    void newerProcessServesAndTheOlderExitsByItself() throws IOException, InterruptedException {
        host.setResponder(request -> respondWithStatus(200));
        relay.start();
        try (Socket idle = relay.connect()) {
            assertEquals(202,
                    RelayProcess.exchange(idle, RelayProcess.messageRequest("a1", "safe", 7, 9000, "x")).status());
            successor = relay.createSuccessor().start();
            assertEquals(200, successor.sendAdminRequest("GET", "/healthcheck"));
            assertEquals(-1, idle.getInputStream().read(), "the idle client connection must be closed");
        }
        assertTrue(relay.waitForExit(), "the older process must exit without a signal");
        assertEquals(202, successor.submit("a2", "safe", 7));
        await(() -> host.countCalls("a1") == 1 && host.countCalls("a2") == 1);
    }

    @Test
    void callInFlightIsFinishedByTheOlderProcessAndNotSentAgain() throws IOException, InterruptedException {
        CountDownLatch mayRespond = new CountDownLatch(1);
        host.setResponder(request -> {
            try {
                mayRespond.await();
            } catch (InterruptedException e) {
                throw new AssertionError(e);
            }
            return respondWithStatus(200);
        });
        relay.start();
        assertEquals(202, relay.submit("u1", "unsafe", 7));
        await(() -> host.countCalls("u1") == 1);
        successor = relay.createSuccessor().start();
        assertTrue(relay.isAlive());
        mayRespond.countDown();
        assertTrue(relay.waitForExit());
        await(() -> successor.readLog().contains("serving on"));
        assertEquals(202, successor.submit("u2", "unsafe", 7));
        await(() -> host.countCalls("u2") == 1);
        assertEquals(1, host.countCalls("u1"));
        assertFalse(relay.hasSentNotice("u1", "dead"));
    }

    @Test
    void waitingMessageIsSentByTheNewerProcessAfterItsRetryDelay() throws IOException, InterruptedException {
        AtomicLong refusedAtNanos = new AtomicLong();
        host.setResponder(request -> {
            refusedAtNanos.set(System.nanoTime());
            return respondWithStatus(429, "X-Come-Back-Ms: 5000");
        });
        relay.start();
        assertEquals(202, relay.submit("w1", "unsafe", 7));
        await(() -> relay.readOpenMessages().stream().flatMap(m -> m.attempts.stream())
                .anyMatch(a -> a.result != null));
        host.setResponder(request -> respondWithStatus(200));
        successor = relay.createSuccessor().start();
        assertTrue(relay.waitForExit());
        await(() -> host.countCalls("w1") == 2);
        assertTrue(host.requests.get(1).receivedAtNanos() - refusedAtNanos.get() >= 4_900_000_000L,
                "the message was sent before the retry delay was over");
        await(() -> successor.fetchStats().contains("\"unsafe\":{\"completed\":1,"));
    }

    @Test
    void newerProcessAdoptsOpenMessagesOfAKilledOlderProcess() throws IOException {
        relay.start();
        assertEquals(202, relay.submit("k1", "safe", 7));
        assertEquals(202, relay.submit("u1", "unsafe", 7));
        await(() -> host.countCalls("k1") == 1 && host.countCalls("u1") == 1);
        successor = relay.createSuccessor().start();
        host.setResponder(request -> respondWithStatus(200));
        relay.kill();
        await(() -> host.countCalls("k1") == 2 && successor.hasSentNotice("u1", "dead"));
        assertEquals(1, host.countCalls("u1"));
        await(() -> relay.readOpenMessages(relay.stateFolder()).isEmpty());
    }

    @Test
    void olderProcessResumesIfTheNewerOneEndsBeforeItListens() throws IOException, InterruptedException {
        relay.start();
        try (var toOlder = SocketChannel.open(RelayProcess.handoverAddress(relay.stateFolder()))) {
            requestHandover(toOlder);
            await(() -> relay.readLog().contains("another process takes over"));
            assertEquals(202, relay.submit("m1", "safe", 7));
            assertEquals(0, host.requests.size(), "a message was sent while decisions were suspended");
        }
        await(() -> host.countCalls("m1") == 1);
    }

    /** Requests a handover, as a newer process does. */
    static void requestHandover(SocketChannel channel) throws IOException {
        writeFrame(channel, Handover.FrameType.TAKEOVER_REQUEST, out -> out.writeInt(Handover.VERSION));
    }

    static void writeFrame(SocketChannel channel, Handover.FrameType type, Handover.PayloadWriter payload)
            throws IOException {
        byte[] frame = Handover.toBytes(out -> {
            out.writeByte(type.ordinal());
            payload.write(out);
        });
        channel.write(ByteBuffer.wrap(Handover.toBytes(out -> {
            out.writeInt(frame.length);
            out.write(frame);
        })));
    }

    /** Reads the next frame: its type and the first eight bytes after it as a number, with a space between. */
    private static String readFrame(DataInputStream in) throws IOException {
        byte[] frame = in.readNBytes(in.readInt());
        return Handover.FrameType.values()[frame[0]] + " " + ByteBuffer.wrap(frame).getLong(1);
    }

    @Test
    void unacknowledgedMessagesInHandoverAreLimited() throws IOException {
        host.setResponder(request -> respondWithStatus(429, "X-Come-Back-Ms: 60000"));
        relay.start();
        assertEquals(202, relay.submit("m0", "safe", 7));
        await(() -> relay.readOpenMessages().stream().flatMap(m -> m.attempts.stream())
                .anyMatch(a -> a.result != null));
        for (int i = 1; i <= 20; i++) {
            assertEquals(202, relay.submit("m" + i, "safe", 7));
        }
        try (var toOlder = SocketChannel.open(RelayProcess.handoverAddress(relay.stateFolder()))) {
            DataInputStream fromOlder = new DataInputStream(Channels.newInputStream(toOlder));
            requestHandover(toOlder);
            assertTrue(readFrame(fromOlder).startsWith("SNAPSHOT "));
            writeFrame(toOlder, Handover.FrameType.LISTENING, out -> { });
            String first = readFrame(fromOlder);
            for (int i = 1; i < 16; i++) {
                assertTrue(readFrame(fromOlder).startsWith("MESSAGE "));
            }
            long number = Long.parseLong(first.replace("MESSAGE ", ""));
            writeFrame(toOlder, Handover.FrameType.MESSAGE_STORED, out -> out.writeLong(number));
            assertEquals("MESSAGE_RELEASED " + number, readFrame(fromOlder),
                    "a message followed before one was acknowledged");
            assertTrue(readFrame(fromOlder).startsWith("MESSAGE "));
        }
    }

    /** Guards against a newer process that waits forever for one whose successor was killed. */
    @Test
    void anotherProcessTakesOverAfterTheSuccessorHasEnded() throws IOException {
        host.setResponder(request -> respondWithStatus(429, "X-Come-Back-Ms: 60000"));
        relay.start();
        assertEquals(202, relay.submit("m0", "safe", 7));
        await(() -> relay.readOpenMessages().stream().flatMap(m -> m.attempts.stream())
                .anyMatch(a -> a.result != null));
        takeOverAndEnd();
        try (var silent = SocketChannel.open(RelayProcess.handoverAddress(relay.stateFolder()))) {
            DataInputStream fromOlder = new DataInputStream(Channels.newInputStream(silent));
            requestHandover(silent);
            assertTrue(readFrame(fromOlder).startsWith("SNAPSHOT "));
            assertThrows(EOFException.class, () -> readFrame(fromOlder), "a process that never listens must not stay");
        }
        // The older process is still there: it was not its end that closed the connection.
        takeOverAndEnd();
        assertFalse(relay.readLog().contains("takes the decisions again"), relay.readLog());
    }

    /** Plays a newer process that takes over, gets a message and ends. */
    private void takeOverAndEnd() throws IOException {
        try (var toOlder = SocketChannel.open(RelayProcess.handoverAddress(relay.stateFolder()))) {
            DataInputStream fromOlder = new DataInputStream(Channels.newInputStream(toOlder));
            requestHandover(toOlder);
            assertTrue(readFrame(fromOlder).startsWith("SNAPSHOT "));
            writeFrame(toOlder, Handover.FrameType.LISTENING, out -> { });
            assertTrue(readFrame(fromOlder).startsWith("MESSAGE "), "the message was not sent");
        }
    }

    @Test
    void deadOwnerAndStaleSocketDoNotPreventAStart() throws IOException {
        relay.start();
        assertEquals(202, relay.submit("d1", "safe", 7));
        await(() -> host.countCalls("d1") == 1);
        relay.kill();
        assertTrue(Files.exists(HandoverSocketAddress.pathIn(relay.stateFolder())));
        host.setResponder(request -> respondWithStatus(200));
        relay.start();
        await(() -> host.countCalls("d1") == 2);
        // Leaves a process folder that no process owns, with a socket that no process listens on.
        relay.kill();
        try (StateFolder.LockedFolder locked = StateFolder.tryLock(relay.stateFolder())) {
            assertTrue(locked != null, "the state folder is still locked");
            relay.startWithoutWaiting();
            await(() -> relay.readLog().contains("can't connect to the older process"));
            assertFalse(relay.readLog().contains("serving on"), relay.readLog());
            relay.kill();
        }
        try (ServerSocketChannel stale = ServerSocketChannel.open(StandardProtocolFamily.UNIX)) {
            Files.deleteIfExists(HandoverSocketAddress.pathIn(relay.stateFolder().resolve("1")));
            stale.bind(RelayProcess.handoverAddress(relay.stateFolder().resolve("1")));
        }
        relay.start();
        assertEquals(202, relay.submit("d2", "safe", 7));
        await(() -> host.countCalls("d2") == 1);
    }
}
