package drumdeal.relay;

import static drumdeal.relay.RelayProcess.await;
import static drumdeal.relay.StubPeer.respondWithStatus;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Terms that clients may still use, across whatever follows new settings. The host ends each call without an answer, so
 * a message that may not be repeated is called once and reported dead.
 */
class TermsChangeoverTest extends RelayTestBase {
    @BeforeEach
    void prepare() throws IOException {
        prepare(RelayProcess.discoveryWithoutChanges(), StubPeer.always(StubPeer.CLOSE_CONNECTION));
    }

    private static String withRepeatablePayments(String text) {
        return text.replace("\"name\":\"unsafe\",\"repeat\":\"once\"", "\"name\":\"unsafe\",\"repeat\":\"repeatable\"");
    }

    private void assertCalledOnce(RelayProcess serving, String id) throws IOException {
        assertEquals(202, serving.submit(id, "unsafe", 7));
        await(() -> relay.hasSentNotice(id, "dead"));
        assertEquals(1, host.countCalls(id));
    }

    /** Guards against a second reload that forgets the terms before the first. */
    @Test
    void paymentIsCalledOnceAfterTwoReloadsInARow() throws IOException {
        relay.start();
        relay.reconfigure(TermsChangeoverTest::withRepeatablePayments);
        await(() -> relay.fetchStats().contains("\"config_reloads\":1,"));
        relay.reconfigure(text -> withRepeatablePayments(text).replace("\"send-cap\":12", "\"send-cap\":11"));
        await(() -> relay.fetchStats().contains("\"config_reloads\":2,"));
        assertCalledOnce(relay, "u1");
    }

    /** Guards against an upgrade right after new settings, in which the newer process knows these alone. */
    @Test
    void paymentIsCalledOnceByANewerProcessWithNewSettings() throws IOException {
        relay.start();
        successor = relay.createSuccessor().editConfiguration(TermsChangeoverTest::withRepeatablePayments).start();
        assertCalledOnce(successor, "u1");
    }

    /** Guards against a kill before the signal for new settings is handled. */
    @Test
    void paymentIsCalledOnceAfterAKillAndAStartWithNewSettings() throws IOException {
        relay.start();
        relay.kill();
        relay.editConfiguration(TermsChangeoverTest::withRepeatablePayments).start();
        assertCalledOnce(relay, "u1");
    }

    /** The same for a planned restart. */
    @Test
    void paymentIsCalledOnceAfterAPlannedRestartWithNewSettings() throws IOException, InterruptedException {
        relay.start();
        relay.terminate();
        assertTrue(relay.waitForExit());
        relay.editConfiguration(TermsChangeoverTest::withRepeatablePayments).start();
        assertCalledOnce(relay, "u1");
    }

    /** A process that is killed in an upgrade leaves its terms to the one that adopts its folder. */
    @Test
    void paymentIsCalledOnceAfterTheAdoptionOfAFolderAndAnotherKill() throws IOException {
        relay.start();
        successor = relay.createSuccessor().editConfiguration(TermsChangeoverTest::withRepeatablePayments).start();
        relay.kill();
        await(() -> !Files.exists(relay.stateFolder().resolve("terms")));
        TermsHistory.Snapshot stored = TermsFile.read(relay.stateFolder().resolve("1"));
        assertEquals(1, stored.superseded().size(), "terms of the killed process in the folder of the newer one");
    }

    @Test
    void earlierTermsEndAfterTheChangeover() throws IOException {
        relay.start();
        relay.kill();
        relay.editConfiguration(TermsChangeoverTest::withRepeatablePayments).start();
        long bindsUntil = TermsFile.read(relay.stateFolder()).superseded().get(0).bindsUntil();
        await(() -> new Clock().micros() > bindsUntil);
        assertEquals(202, relay.submit("u1", "unsafe", 7));
        await(() -> host.countCalls("u1") > 1);
        assertFalse(relay.hasSentNotice("u1", "dead"));
    }

    @Test
    void damagedFileIsIgnored() throws IOException {
        relay.start();
        Path file = relay.stateFolder().resolve("terms");
        byte[] complete = Files.readAllBytes(file);
        for (int length = 0; length < complete.length; length++) {
            Files.write(folder.resolve("terms"), Arrays.copyOf(complete, length));
            assertNull(TermsFile.read(folder), "truncated to " + length + " bytes");
        }
        byte[] damaged = complete.clone();
        damaged[complete.length / 2] ^= 1;
        Files.write(folder.resolve("terms"), damaged);
        assertNull(TermsFile.read(folder));
    }
}
