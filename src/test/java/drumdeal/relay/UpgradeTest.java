package drumdeal.relay;

import static drumdeal.relay.RelayProcess.await;
import static drumdeal.relay.StubPeer.status;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.DataInputStream;
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
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Two processes of one relay, of which the newer takes over from the older. */
class UpgradeTest extends RelayTestBase {
    private RelayProcess next;

    @BeforeEach
    void prepare() throws IOException {
        prepare(RelayProcess.quietDiscovery(), StubPeer.always(StubPeer.SILENCE));
    }

    @AfterEach
    void endNext() {
        if (next != null) {
            next.close();
        }
    }

    private long calls(String id) {
        return host.requests.stream().filter(r -> id.equals(r.id())).count();
    }

    @Test
    void newerProcessServesAndTheOlderLeavesByItself() throws IOException, InterruptedException {
        host.answer(request -> status(200));
        relay.start();
        try (Socket kept = relay.connect()) {
            assertEquals(202, RelayProcess.exchange(kept, RelayProcess.message("a1", "safe", 7, 9000, "x")).status());
            next = relay.beside().start();
            assertEquals(200, next.operator("GET", "/healthcheck"));
            assertEquals(-1, kept.getInputStream().read(), "the kept connection closes");
        }
        assertTrue(relay.hasEnded(), "nobody has told it to end");
        assertEquals(202, next.handIn("a2", "safe", 7));
        await(() -> calls("a1") == 1 && calls("a2") == 1);
    }

    @Test
    void callThatIsOutEndsWhereItIsAndIsNotSentAgain() throws IOException, InterruptedException {
        CountDownLatch served = new CountDownLatch(1);
        host.answer(request -> {
            try {
                served.await();
            } catch (InterruptedException e) {
                throw new AssertionError(e);
            }
            return status(200);
        });
        relay.start();
        assertEquals(202, relay.handIn("u1", "unsafe", 7));
        await(() -> calls("u1") == 1);
        next = relay.beside().start();
        assertTrue(relay.isAlive());
        served.countDown();
        assertTrue(relay.hasEnded());
        await(() -> next.log().contains("serving on"));
        assertEquals(202, next.handIn("u2", "unsafe", 7));
        await(() -> calls("u2") == 1);
        assertEquals(1, calls("u1"));
        assertFalse(relay.noticed("u1", "dead"));
    }

    @Test
    void messageAtRestIsSentByTheNewerProcessAndWaitsToldToTheOlderAreKept() throws IOException, InterruptedException {
        AtomicLong refused = new AtomicLong();
        host.answer(request -> {
            refused.set(System.nanoTime());
            return status(429, "X-Come-Back-Ms: 5000");
        });
        relay.start();
        assertEquals(202, relay.handIn("w1", "unsafe", 7));
        await(() -> relay.journaled().stream().flatMap(m -> m.attempts.stream()).anyMatch(a -> a.result != null));
        host.answer(request -> status(200));
        next = relay.beside().start();
        assertTrue(relay.hasEnded());
        await(() -> calls("w1") == 2);
        assertTrue(host.requests.get(1).at() - refused.get() >= 4_900_000_000L, "the wait was cut short");
        await(() -> next.stats().contains("\"unsafe\":{\"completed\":1,"));
    }

    @Test
    void whatTheOlderProcessHeldWhenItWasKilledIsAdopted() throws IOException {
        relay.start();
        assertEquals(202, relay.handIn("k1", "safe", 7));
        assertEquals(202, relay.handIn("u1", "unsafe", 7));
        await(() -> calls("k1") == 1 && calls("u1") == 1);
        next = relay.beside().start();
        host.answer(request -> status(200));
        relay.kill();
        await(() -> calls("k1") == 2 && next.noticed("u1", "dead"));
        assertEquals(1, calls("u1"));
        await(() -> relay.journaled(relay.state()).isEmpty());
    }

    @Test
    void olderProcessServesOnWhereTheNewerOneEndsBeforeItListens() throws IOException, InterruptedException {
        relay.start();
        try (var asking = SocketChannel.open(Handover.address(relay.state()))) {
            ask(asking);
            await(() -> relay.log().contains("another process takes over"));
            assertEquals(202, relay.handIn("m1", "safe", 7));
            assertEquals(0, host.requests.size(), "it decides nothing meanwhile");
        }
        await(() -> calls("m1") == 1);
    }

    static void ask(SocketChannel older) throws IOException {
        write(older, Handover.Word.ASK, out -> out.writeInt(Handover.VERSION));
    }

    private static void write(SocketChannel older, Handover.Word word, Handover.Payload payload) throws IOException {
        byte[] frame = Handover.bytes(out -> {
            out.writeByte(word.ordinal());
            payload.write(out);
        });
        older.write(ByteBuffer.wrap(Handover.bytes(out -> {
            out.writeInt(frame.length);
            out.write(frame);
        })));
    }

    /** The next frame of an older process: its word, and the number that follows it. */
    private static String read(DataInputStream older) throws IOException {
        byte[] frame = older.readNBytes(older.readInt());
        return Handover.Word.values()[frame[0]] + " " + ByteBuffer.wrap(frame).getLong(1);
    }

    @Test
    void messagesArePassedOnInSmallSteps() throws IOException {
        host.answer(request -> status(429, "X-Come-Back-Ms: 60000"));
        relay.start();
        assertEquals(202, relay.handIn("m0", "safe", 7));
        await(() -> relay.journaled().stream().flatMap(m -> m.attempts.stream()).anyMatch(a -> a.result != null));
        for (int i = 1; i <= 20; i++) {
            assertEquals(202, relay.handIn("m" + i, "safe", 7));
        }
        try (var asking = SocketChannel.open(Handover.address(relay.state()))) {
            DataInputStream older = new DataInputStream(Channels.newInputStream(asking));
            ask(asking);
            assertTrue(read(older).startsWith("STANDING "));
            write(asking, Handover.Word.LISTENING, out -> { });
            String first = read(older);
            for (int i = 1; i < 16; i++) {
                assertTrue(read(older).startsWith("MESSAGE "));
            }
            long number = Long.parseLong(first.replace("MESSAGE ", ""));
            write(asking, Handover.Word.KEPT, out -> out.writeLong(number));
            assertEquals("YOURS " + number, read(older), "no more come before one is acknowledged");
            assertTrue(read(older).startsWith("MESSAGE "));
        }
    }

    @Test
    void deadOwnerAndStaleSocketDoNotStopAStart() throws IOException {
        relay.start();
        assertEquals(202, relay.handIn("d1", "safe", 7));
        await(() -> calls("d1") == 1);
        relay.kill();
        assertTrue(Files.exists(Handover.path(relay.state())));
        host.answer(request -> status(200));
        relay.start();
        await(() -> calls("d1") == 2);
        // A part that nobody owns, with a socket that nobody serves.
        relay.kill();
        try (StateFolder.Part first = StateFolder.tryTake(relay.state())) {
            assertTrue(first != null, "nobody owns it");
            relay.start();
            relay.kill();
        }
        try (ServerSocketChannel stale = ServerSocketChannel.open(StandardProtocolFamily.UNIX)) {
            Files.deleteIfExists(Handover.path(relay.state().resolve("1")));
            stale.bind(Handover.address(relay.state().resolve("1")));
        }
        relay.start();
        assertEquals(202, relay.handIn("d2", "safe", 7));
        await(() -> calls("d2") == 1);
    }
}
