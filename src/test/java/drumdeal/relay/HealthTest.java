package drumdeal.relay;

import static drumdeal.relay.RelayProcess.await;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import org.junit.jupiter.api.Test;

/** What of the routes' health outlasts a kill. */
class HealthTest extends RelayTestBase {
    private static final long NOW = 1_000_000_000;
    private static final long DISK = 3 << 20;
    private static final byte[] LEARNED = {1, 2, 3};

    private Path written() throws IOException {
        prepare(RelayProcess.quietDiscovery(), StubPeer.always(StubPeer.CLOSE));
        Health.write(folder, LEARNED, NOW, DISK);
        return folder.resolve("health");
    }

    @Test
    void whatWasWrittenIsRead() throws IOException {
        written();
        assertArrayEquals(LEARNED, Health.read(folder, NOW + Health.OLDEST, DISK));
    }

    @Test
    void missingFileIsPassedOver() throws IOException {
        Files.delete(written());
        assertNull(Health.read(folder, NOW, DISK));
    }

    @Test
    void fileThatIsCutShortIsPassedOver() throws IOException {
        Path file = written();
        byte[] whole = Files.readAllBytes(file);
        for (int length = 0; length < whole.length; length++) {
            Files.write(file, Arrays.copyOf(whole, length));
            assertNull(Health.read(folder, NOW, DISK), "of " + length + " bytes");
        }
    }

    @Test
    void fileOfAnotherVersionIsPassedOver() throws IOException {
        Path file = written();
        Files.write(file, ByteBuffer.wrap(Files.readAllBytes(file)).putInt(0, 9).array());
        assertNull(Health.read(folder, NOW, DISK));
    }

    @Test
    void fileThatIsTooOldOrOfTheFutureIsPassedOver() throws IOException {
        written();
        assertNull(Health.read(folder, NOW + Health.OLDEST + 1, DISK));
        assertNull(Health.read(folder, NOW - 1, DISK));
    }

    @Test
    void circuitThatWasOpenIsOpenAfterAKill() throws IOException {
        prepare(RelayProcess.quietDiscovery(), StubPeer.always(StubPeer.CLOSE));
        relay.start();
        for (int i = 0; i < 4; i++) {
            relay.handIn("f" + i, "unsafe", 7);
        }
        await(() -> relay.log().contains("out: h1"));
        long at = System.currentTimeMillis();
        await(() -> {
            try {
                return Files.getLastModifiedTime(relay.state().resolve("health")).toMillis() > at;
            } catch (IOException e) {
                return false;
            }
        });
        relay.kill();
        relay.start();
        assertTrue(relay.log().contains("health: as it was"), relay.log());
        await(() -> relay.stats().contains("\"members_unavailable\":1"));
    }
}
