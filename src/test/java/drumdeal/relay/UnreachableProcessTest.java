package drumdeal.relay;

import static drumdeal.relay.RelayProcess.await;
import static drumdeal.relay.StubPeer.respondWithStatus;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assumptions.assumeFalse;

import java.io.Closeable;
import java.io.IOException;
import java.net.StandardProtocolFamily;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Upgrades in which the two processes can't reach each other in the usual way. Only one may take decisions: the newer
 * one reaches the older one nevertheless, or waits for its end.
 */
class UnreachableProcessTest extends RelayTestBase {
    private static final int LONG_PATH_LENGTH = 150;

    @BeforeEach
    void prepare() throws IOException {
        prepare(RelayProcess.discoveryWithoutChanges(), StubPeer.always(respondWithStatus(200)));
    }

    private ServerSocketChannel bindSocket() throws IOException {
        ServerSocketChannel socket = ServerSocketChannel.open(StandardProtocolFamily.UNIX);
        socket.bind(RelayProcess.handoverAddress(relay.stateFolder()));
        return socket;
    }

    private void assertWaitsForTheEndOfTheOlderProcess() throws IOException {
        assertWaitsForTheEndOfTheOlderProcess(() -> { });
    }

    /**
     * Starts a relay while the test holds the lock of the root folder, like an older process, and maybe a socket, which
     * it closes with the lock. The relay has a message of its own, which it may deliver only after that process has
     * ended.
     */
    private void assertWaitsForTheEndOfTheOlderProcess(Closeable socket) throws IOException {
        try (StateFolder.LockedFolder older = StateFolder.tryLock(relay.stateFolder()); socket) {
            assertTrue(older != null, "the state folder is locked already");
            try (Journal journal = new Journal(relay.stateFolder().resolve("1"), 1 << 20)) {
                long deadline = new Clock().micros() + 60_000_000;
                assertTrue(journal.recordAccepted(new Message(1,
                        new Message.Content("u1", "unsafe", "acme", null, deadline, 7, new byte[5]), null)));
            }
            relay.startWithoutWaiting();
            await(() -> relay.readLog().contains("waits for that or for its end"));
            assertEquals(503, relay.sendAdminRequest("GET", "/healthcheck"));
            assertFalse(relay.readLog().contains("serving on"), relay.readLog());
            assertEquals(0, host.countCalls("u1"), "a message was sent beside the older process");
        }
        await(() -> relay.readLog().contains("serving on") && host.countCalls("u1") == 1);
        assertEquals(202, relay.submit("u2", "unsafe", 7));
    }

    @Test
    void newerProcessWaitsWhileThereIsNoSocket() throws IOException {
        assertWaitsForTheEndOfTheOlderProcess();
    }

    @Test
    void newerProcessWaitsWhileTheSocketIsThatOfAKilledProcess() throws IOException {
        Files.createDirectories(relay.stateFolder());
        bindSocket().close();
        assertWaitsForTheEndOfTheOlderProcess();
    }

    @Test
    void newerProcessWaitsWhileTheSocketIsAFile() throws IOException {
        Files.createDirectories(relay.stateFolder());
        Files.writeString(HandoverSocketAddress.pathIn(relay.stateFolder()), "no socket");
        assertWaitsForTheEndOfTheOlderProcess();
    }

    @Test
    void newerProcessWaitsWhileTheOlderDoesNotAnswer() throws IOException {
        Files.createDirectories(relay.stateFolder());
        assertWaitsForTheEndOfTheOlderProcess(bindSocket());
    }

    @Test
    void newerProcessWaitsWhileItMayNotUseTheSocket() throws IOException {
        assumeFalse(System.getProperty("user.name").equals("root"), "root may use any socket");
        Files.createDirectories(relay.stateFolder());
        ServerSocketChannel forbidden = bindSocket();
        Files.setPosixFilePermissions(HandoverSocketAddress.pathIn(relay.stateFolder()), Set.of());
        assertWaitsForTheEndOfTheOlderProcess(forbidden);
    }

    /** A path that is too long for the address of a Unix socket. */
    @Test
    void upgradeCompletesWithALongPath() throws IOException, InterruptedException {
        Path longFolder = folder;
        while (longFolder.toString().length() < LONG_PATH_LENGTH) {
            longFolder = longFolder.resolve("relays-of-the-north-building");
        }
        Files.createDirectories(longFolder);
        relay = new RelayProcess(longFolder, discovery).addTarget("h1", 7, "one", host).start();
        assertUpgradeCompletes();
    }

    @Test
    void upgradeCompletesAfterTheSocketIsRemoved() throws IOException, InterruptedException {
        relay.start();
        Files.delete(HandoverSocketAddress.pathIn(relay.stateFolder()));
        assertUpgradeCompletes();
    }

    @Test
    void upgradeCompletesAfterTheSocketIsReplaced() throws IOException, InterruptedException {
        relay.start();
        Files.delete(HandoverSocketAddress.pathIn(relay.stateFolder()));
        bindSocket().close();
        assertUpgradeCompletes();
    }

    private void assertUpgradeCompletes() throws IOException, InterruptedException {
        successor = relay.createSuccessor().start();
        assertTrue(relay.readLog().contains("another process takes over"), relay.readLog());
        assertTrue(relay.waitForExit(), "the older process must exit by itself");
        assertEquals(202, successor.submit("u1", "unsafe", 7));
        await(() -> host.countCalls("u1") == 1);
    }

    @Test
    void temporaryLinkIsRemoved() throws IOException {
        Path longFolder = folder.resolve("x".repeat(LONG_PATH_LENGTH));
        Path link;
        try (HandoverSocketAddress socket = HandoverSocketAddress.open(longFolder)) {
            link = socket.address().getPath().getParent();
            assertEquals(longFolder.toAbsolutePath(), Files.readSymbolicLink(link));
        }
        assertEquals(List.of(false, false),
                List.of(Files.isSymbolicLink(link), Files.exists(link.getParent())));
    }
}
