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

/** The file with the learned state of the routes: what is read from it after a kill, and when it is ignored. */
class RouteStateFileTest extends RelayTestBase {
    private static final long NOW_MICROS = 1_000_000_000;
    private static final long DISK_LIMIT_BYTES = 3 << 20;
    private static final byte[] LEARNED_STATE = {1, 2, 3};

    private Path writeRouteStateFile() throws IOException {
        prepare(RelayProcess.discoveryWithoutChanges(), StubPeer.always(StubPeer.CLOSE_CONNECTION));
        RouteStateFile.write(folder, LEARNED_STATE, NOW_MICROS, DISK_LIMIT_BYTES);
        return folder.resolve("health");
    }

    @Test
    void writtenStateIsReadUpToTheMaximumAge() throws IOException {
        writeRouteStateFile();
        assertArrayEquals(LEARNED_STATE,
                RouteStateFile.read(folder, NOW_MICROS + RouteStateFile.MAX_AGE_MICROS, DISK_LIMIT_BYTES));
    }

    @Test
    void missingFileIsIgnored() throws IOException {
        Files.delete(writeRouteStateFile());
        assertNull(RouteStateFile.read(folder, NOW_MICROS, DISK_LIMIT_BYTES));
    }

    @Test
    void truncatedFileIsIgnored() throws IOException {
        Path file = writeRouteStateFile();
        byte[] complete = Files.readAllBytes(file);
        for (int length = 0; length < complete.length; length++) {
            Files.write(file, Arrays.copyOf(complete, length));
            assertNull(RouteStateFile.read(folder, NOW_MICROS, DISK_LIMIT_BYTES), "truncated to " + length + " bytes");
        }
    }

    @Test
    void fileOfAnotherVersionIsIgnored() throws IOException {
        Path file = writeRouteStateFile();
        Files.write(file, ByteBuffer.wrap(Files.readAllBytes(file)).putInt(0, 9).array());
        assertNull(RouteStateFile.read(folder, NOW_MICROS, DISK_LIMIT_BYTES));
    }

    @Test
    void fileThatIsTooOldOrFromTheFutureIsIgnored() throws IOException {
        writeRouteStateFile();
        assertNull(RouteStateFile.read(folder, NOW_MICROS + RouteStateFile.MAX_AGE_MICROS + 1, DISK_LIMIT_BYTES));
        assertNull(RouteStateFile.read(folder, NOW_MICROS - 1, DISK_LIMIT_BYTES));
    }

    @Test
    void openCircuitIsStillOpenAfterAKill() throws IOException {
        prepare(RelayProcess.discoveryWithoutChanges(), StubPeer.always(StubPeer.CLOSE_CONNECTION));
        relay.start();
        for (int i = 0; i < 4; i++) {
            relay.submit("f" + i, "unsafe", 7);
        }
        await(() -> relay.readLog().contains("circuit opened: h1"));
        long openedAtMillis = System.currentTimeMillis();
        await(() -> {
            try {
                return Files.getLastModifiedTime(relay.stateFolder().resolve("health")).toMillis() > openedAtMillis;
            } catch (IOException e) {
                return false;
            }
        });
        relay.kill();
        relay.start();
        assertTrue(relay.readLog().contains("health: restored route state"), relay.readLog());
        await(() -> relay.fetchStats().contains("\"members_unavailable\":1"));
    }
}
