package drumdeal.relay;

import static drumdeal.relay.RelayProcess.await;
import static drumdeal.relay.StubPeer.respondWithStatus;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import drumdeal.Policy;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Files that are larger than the direct memory that the relay may take, all read by a start. */
class LargeFilesTest extends RelayTestBase {
    private static final int DISK_LIMIT_MB = 64;
    private static final long DISK_LIMIT_BYTES = (long) DISK_LIMIT_MB << 20;
    private static final int BODY_BYTES = 60_000;
    private static final long BUDGET_MICROS = 20_000_000;
    /** Larger than the direct memory below. */
    private static final int LARGE_FILE_BYTES = 4 << 20;
    private static final Policy.RequestTerms TERMS = new Policy.RequestTerms(new Policy.RequestClass("safe",
            Policy.Idempotency.REPEATABLE, Policy.KeyScope.ALL, 0, 2_000_000, BUDGET_MICROS, 1, 0, false), 12);

    @BeforeEach
    void prepare() throws IOException {
        prepare(RelayProcess.discoveryWithoutChanges(), StubPeer.always(respondWithStatus(200)));
        relay.limitDisk(DISK_LIMIT_MB).jvmOptions("-Xmx48m", "-XX:MaxDirectMemorySize=2m",
                "-Dio.netty.allocator.type=unpooled");
    }

    /** Writes a journal with {@code finished} messages that are over and then {@code open} ones that are not. */
    private static void writeJournal(Path processFolder, int finished, int open) throws IOException {
        try (Journal journal = new Journal(processFolder, DISK_LIMIT_BYTES)) {
            long deadline = new Clock().micros() + BUDGET_MICROS;
            for (int number = 1; number <= finished + open; number++) {
                Message message = new Message(number, new Message.Content("m" + number, "safe", "acme", null, deadline,
                        7, new byte[BODY_BYTES]), TERMS);
                assertTrue(journal.recordAccepted(message));
                if (number <= finished) {
                    journal.recordDone(message, null);
                }
            }
        }
    }

    private void assertServes() throws IOException {
        assertEquals(202, relay.submit("later", "safe", 7));
        await(() -> host.hasReceived("later"));
        assertFalse(relay.readLog().contains("OutOfMemoryError"), relay.readLog());
    }

    /** Guards against a replay that reads the whole segment at once: a killed relay then never starts again. */
    @Test
    void journalLargerThanTheDirectMemoryIsReplayed() throws IOException {
        writeJournal(relay.stateFolder(), 100, 1);
        assertTrue(Journal.sizeOnDisk(relay.stateFolder()) > LARGE_FILE_BYTES);
        relay.start();
        await(() -> host.hasReceived("m101"));
        assertServes();
    }

    /** Guards against an adoption that reads or writes all messages of the folder at once. */
    @Test
    void folderWithMoreMessagesThanTheDirectMemoryHoldsIsAdopted() throws IOException {
        Path otherFolder = relay.stateFolder().resolve("1");
        writeJournal(otherFolder, 0, 80);
        Files.createFile(otherFolder.resolve("owner.lock"));
        relay.start();
        await(() -> IntStream.rangeClosed(1, 80).allMatch(number -> host.hasReceived("m" + number)));
        assertServes();
    }

    /** Guards against large messages that the disk has room for and the heap has not, held for their notices. */
    @Test
    void messagesThatWaitForTheirNoticesDoNotExhaustTheHeap() throws IOException {
        discovery.setResponder(request -> StubPeer.NO_RESPONSE);
        host.setResponder(request -> StubPeer.CLOSE_CONNECTION);
        relay.limitDisk(4 * DISK_LIMIT_MB).start();
        int accepted = 0;
        for (int i = 0; i < 1000; i++) {
            accepted += relay.submit("m" + i, "unsafe", 7, 20_000, "x".repeat(BODY_BYTES)) == 202 ? 1 : 0;
        }
        assertTrue(accepted > 100, "accepted: " + accepted);
        await(() -> relay.readLog().contains("turned away: message memory"));
        assertTrue(relay.isAlive());
        discovery.setResponder(request -> respondWithStatus(204));
        await(() -> relay.readOpenMessages().isEmpty());
        relay.submitUntilAccepted("later", "safe", 7);
    }

    @Test
    void largeRouteStateIsRead() throws IOException {
        Files.createDirectories(relay.stateFolder());
        Files.write(relay.stateFolder().resolve("health"), new byte[LARGE_FILE_BYTES]);
        relay.start();
        assertServes();
    }

    @Test
    void largeConfigurationIsRead() throws IOException {
        relay.editConfiguration(text -> text + " ".repeat(LARGE_FILE_BYTES)).start();
        assertServes();
    }

    /** Guards against a frame that is written at once: the newer process would start without its snapshot. */
    @Test
    void largeSnapshotIsHandedOver() throws IOException {
        String targets = String.join(",", IntStream.range(0, 12_000).mapToObj(number -> RelayProcess.targetJson(
                "host-with-a-long-name-" + "x".repeat(200) + number, 8, "one", "in_service", host.address())).toList());
        relay.jvmOptions("-Xmx64m", "-XX:MaxDirectMemorySize=2m", "-Dio.netty.allocator.type=unpooled");
        relay.editConfiguration(text -> text.replaceFirst("\"targets\":\\[", "\"targets\":[" + targets + ","));
        relay.start();
        try (RelayProcess successor = relay.createSuccessor()) {
            successor.jvmOptions("-Xmx64m", "-XX:MaxDirectMemorySize=2m", "-Dio.netty.allocator.type=unpooled");
            successor.start();
            await(() -> relay.readLog().contains("another process takes over"));
            await(() -> successor.fetchStats().contains("\"members\":12001,"));
            assertFalse(successor.readLog().contains("without its snapshot"), successor.readLog());
        }
    }
}
