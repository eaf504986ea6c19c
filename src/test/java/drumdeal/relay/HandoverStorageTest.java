package drumdeal.relay;

import static drumdeal.relay.RelayProcess.await;
import static drumdeal.relay.StubPeer.respondWithStatus;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.StandardProtocolFamily;
import java.nio.ByteBuffer;
import java.nio.channels.Channels;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Messages of another process of the relay that the journal has no room for: none may be lost with a kill. */
class HandoverStorageTest extends RelayTestBase {
    private static final double DISK_MB = 1;
    private static final long DISK_BYTES = 1 << 20;
    private static final int BODY_BYTES = 5_000;
    private static final int BUDGET_MILLIS = 60_000;
    /** Together more than a newer process has room for. */
    private static final int OFFERED_MESSAGES = 95;

    @BeforeEach
    void prepare() throws IOException {
        prepare(RelayProcess.discoveryWithoutChanges(), StubPeer.always(respondWithStatus(200)));
        relay.limitDisk(DISK_MB);
    }

    private static Message createMessage(long number, String id, long budgetMillis) {
        long deadline = new Clock().micros() + budgetMillis * 1000;
        return new Message(number,
                new Message.Content(id, "unsafe", "acme", null, deadline, 7, new byte[BODY_BYTES]), null);
    }

    private Set<String> unfinishedIds(Path processFolder) {
        return relay.readOpenMessages(processFolder).stream().map(message -> message.content.callId())
                .collect(Collectors.toSet());
    }

    private static boolean hasSegment(Path processFolder) {
        return List.of(processFolder.toFile().list()).stream().anyMatch(name -> name.startsWith("journal-"));
    }

    /** An older process, played by the test: owns the root of the state folder and hands its messages over. */
    private final class OlderProcess implements AutoCloseable {
        private final StateFolder.LockedFolder lockedFolder;
        private final ServerSocketChannel server;
        private SocketChannel channel;
        private DataInputStream in;
        final Set<Long> storedNumbers = ConcurrentHashMap.newKeySet();

        OlderProcess() throws IOException {
            lockedFolder = StateFolder.tryLock(relay.stateFolder());
            server = ServerSocketChannel.open(StandardProtocolFamily.UNIX);
            server.bind(RelayProcess.handoverAddress(relay.stateFolder()));
        }

        /** Answers the newer process's request and waits until that listens for clients. */
        void handOverDecisions() throws IOException {
            channel = server.accept();
            in = new DataInputStream(Channels.newInputStream(channel));
            assertEquals("TAKEOVER_REQUEST", readFrame());
            HandoverSnapshot snapshot = new HandoverSnapshot(-1, List.of(), new byte[0], 0, 0, null, List.of());
            UpgradeTest.writeFrame(channel, Handover.FrameType.SNAPSHOT, snapshot::write);
            assertEquals("LISTENING", readFrame());
        }

        /** Reads the next frame and returns its type; notes the number of a message that is acknowledged. */
        private String readFrame() throws IOException {
            byte[] frame = in.readNBytes(in.readInt());
            Handover.FrameType type = Handover.FrameType.values()[frame[0]];
            if (type == Handover.FrameType.MESSAGE_STORED) {
                storedNumbers.add(ByteBuffer.wrap(frame).getLong(1));
            }
            return type.name();
        }

        void offer(Message message) throws IOException {
            byte[] records = Journal.pack(message);
            UpgradeTest.writeFrame(channel, Handover.FrameType.MESSAGE, out -> {
                out.writeLong(message.number);
                out.write(records);
            });
        }

        void release(long number) throws IOException {
            UpgradeTest.writeFrame(channel, Handover.FrameType.MESSAGE_RELEASED, out -> out.writeLong(number));
        }

        /** Collects acknowledgements until the connection ends, and releases the messages if asked to. */
        void collectAcknowledgements(boolean releaseMessages) {
            Thread reader = new Thread(() -> {
                try {
                    Set<Long> released = ConcurrentHashMap.newKeySet();
                    while (true) {
                        readFrame();
                        for (long number : storedNumbers) {
                            if (releaseMessages && released.add(number)) {
                                release(number);
                            }
                        }
                    }
                } catch (IOException | NegativeArraySizeException e) {
                    return; // the newer process has ended
                }
            });
            reader.setDaemon(true);
            reader.start();
        }

        @Override
        public void close() throws IOException {
            server.close();
            if (channel != null) {
                channel.close();
            }
            lockedFolder.close();
        }
    }

    private List<Message> offerMessages(OlderProcess older) throws IOException {
        List<Message> messages = new ArrayList<>();
        for (int number = 1; number <= OFFERED_MESSAGES; number++) {
            Message message = createMessage(number, "m" + number, BUDGET_MILLIS);
            messages.add(message);
            older.offer(message);
        }
        return messages;
    }

    /** Guards against acknowledging a message without a record: the older process then gives up the only copy. */
    @Test
    void onlyRecordedMessagesAreAcknowledged() throws IOException {
        try (OlderProcess older = new OlderProcess()) {
            relay.startWithoutWaiting();
            older.handOverDecisions();
            older.collectAcknowledgements(false);
            offerMessages(older);
            await(() -> older.storedNumbers.size() == OFFERED_MESSAGES
                    || relay.readLog().contains("no room in the journal for messages of the older process"));
            relay.kill();
            Set<String> recorded = unfinishedIds(relay.stateFolder().resolve("1"));
            Set<String> acknowledged =
                    older.storedNumbers.stream().map(number -> "m" + number).collect(Collectors.toSet());
            assertTrue(recorded.containsAll(acknowledged), recorded.size() + " recorded, " + acknowledged.size()
                    + " acknowledged");
            assertTrue(recorded.size() >= 0.3 * DISK_BYTES / (BODY_BYTES + 200), recorded.size() + " recorded");
        }
    }

    /** Guards against two runs of a message that its client has handed in at both processes. */
    @Test
    void messageSubmittedToBothProcessesIsDeliveredOnce() throws IOException {
        try (OlderProcess older = new OlderProcess()) {
            relay.startWithoutWaiting();
            older.handOverDecisions();
            older.collectAcknowledgements(true);
            await(() -> relay.readLog().contains("serving on"));
            assertEquals(202, relay.submit("m1", "unsafe", 7));
            await(() -> host.countCalls("m1") == 1);
            older.offer(createMessage(1, "m1", BUDGET_MILLIS));
            older.offer(createMessage(2, "m2", BUDGET_MILLIS));
            await(() -> older.storedNumbers.size() == 2 && host.countCalls("m2") == 1);
            assertEquals(1, host.countCalls("m1"));
        }
    }

    /** Guards against messages that stay with the older process although others have ended and made room. */
    @Test
    void waitingMessagesAreStoredOnceThereIsRoom() throws IOException {
        try (OlderProcess older = new OlderProcess()) {
            relay.startWithoutWaiting();
            older.handOverDecisions();
            older.collectAcknowledgements(true);
            List<Message> messages = offerMessages(older);
            await(() -> messages.stream().allMatch(message -> host.countCalls(message.content.callId()) > 0));
            messages.forEach(message -> assertEquals(1, host.countCalls(message.content.callId())));
        }
    }

    /** Guards against two processes that decide: the older one resumes its decisions when the connection is lost. */
    @Test
    void lostConnectionIsMadeAgainAndItsMessagesAreDeliveredOnce() throws IOException {
        try (OlderProcess older = new OlderProcess()) {
            relay.startWithoutWaiting();
            older.handOverDecisions();
            older.offer(createMessage(1, "m1", BUDGET_MILLIS));
            assertEquals("MESSAGE_STORED", older.readFrame());
            older.channel.close();
            older.handOverDecisions();
            older.collectAcknowledgements(true);
            older.offer(createMessage(1, "m1", BUDGET_MILLIS));
            older.offer(createMessage(2, "m2", BUDGET_MILLIS));
            await(() -> host.countCalls("m1") > 0 && host.countCalls("m2") > 0);
            assertEquals(1, host.countCalls("m1"));
        }
    }

    /** Guards against messages that are lost if an older process ends before they are stored here. */
    @Test
    void messagesThatAreNotStoredAreAdoptedFromTheFolder() throws IOException {
        try (OlderProcess older = new OlderProcess()) {
            try (Journal journal = new Journal(relay.stateFolder(), 2 * DISK_BYTES)) {
                for (int number = 1; number <= OFFERED_MESSAGES; number++) {
                    journal.recordAdopted(List.of(createMessage(number, "m" + number, BUDGET_MILLIS)));
                }
                relay.startWithoutWaiting();
                older.handOverDecisions();
                older.collectAcknowledgements(false);
                offerMessages(older);
                await(() -> relay.readLog().contains("no room in the journal for messages of the older process"));
            }
        }
        for (int number = 1; number <= OFFERED_MESSAGES; number++) {
            String id = "m" + number;
            await(() -> host.countCalls(id) > 0);
            assertEquals(1, host.countCalls(id));
        }
    }

    /** Guards against payments that are gone after an upgrade and a kill of the newer process. */
    @Test
    void allAcceptedMessagesSurviveAnUpgradeAndAKill() throws IOException, InterruptedException {
        host.setResponder(request -> respondWithStatus(429, "X-Come-Back-Ms: 8000"));
        relay.start();
        Set<String> accepted = new HashSet<>();
        for (int i = 0; i < 50; i++) {
            if (relay.submit("p" + i, "unsafe", 7, BUDGET_MILLIS, "x".repeat(5_900)) == 202) {
                accepted.add("p" + i);
            }
        }
        // Almost all are held: the host asks for a pause, and turns away whatever is sent after it.
        assertTrue(accepted.size() >= 40, accepted.size() + " accepted");
        successor = relay.createSuccessor().limitDisk(DISK_MB).start();
        assertTrue(relay.waitForExit());
        successor.kill();
        assertUnfinishedOrReported(accepted, unfinishedIds(relay.stateFolder().resolve("1")));
        relay.start();
        relay.kill();
        assertUnfinishedOrReported(accepted, unfinishedIds(relay.stateFolder()));
        assertFalse(hasSegment(relay.stateFolder().resolve("1")));
    }

    private void assertUnfinishedOrReported(Set<String> accepted, Set<String> unfinished) {
        Set<String> lost = accepted.stream().filter(id -> !unfinished.contains(id)
                && !relay.hasSentNotice(id, "bounced") && !relay.hasSentNotice(id, "dead"))
                .collect(Collectors.toSet());
        assertEquals(Set.of(), lost);
        assertTrue(unfinished.size() >= 40, unfinished.size() + " unfinished");
    }

    /** Guards against messages in another folder that are given up with no call because the journal is full. */
    @Test
    void messagesOfAnEndedProcessWaitUntilTheJournalHasRoom() throws IOException {
        List<String> ids = fillBothFolders(BUDGET_MILLIS);
        relay.start();
        for (String id : ids) {
            await(() -> host.countCalls(id) > 0);
            assertEquals(1, host.countCalls(id));
        }
        await(() -> !hasSegment(relay.stateFolder().resolve("1")));
    }

    /** Guards against messages that wait for room in the journal beyond their time without a notice. */
    @Test
    void waitingMessagesOfAnEndedProcessEndInTime() throws IOException {
        host.setResponder(request -> StubPeer.NO_RESPONSE);
        fillBothFolders(2_000);
        relay.start();
        await(() -> relay.readLog().contains("they wait in its folder"));
        await(() -> relay.hasSentNotice("other-1", "bounced") || relay.hasSentNotice("other-1", "dead"));
        await(() -> !hasSegment(relay.stateFolder().resolve("1")));
        assertEquals(0, host.countCalls("other-1"));
    }

    /** Fills the journals of the root and of folder 1; the messages of the latter have {@code otherBudgetMillis}. */
    private List<String> fillBothFolders(long otherBudgetMillis) throws IOException {
        List<String> ids = new ArrayList<>();
        Path other = relay.stateFolder().resolve("1");
        try (Journal own = new Journal(relay.stateFolder(), DISK_BYTES)) {
            for (int number = 1; own.recordAccepted(createMessage(number, "own-" + number, BUDGET_MILLIS)); number++) {
                ids.add("own-" + number);
            }
        }
        StateFolder.tryLock(other).close();
        try (Journal journal = new Journal(other, DISK_BYTES)) {
            for (int number = 1; journal.recordAccepted(createMessage(number, "other-" + number, otherBudgetMillis));
                    number++) {
                ids.add("other-" + number);
            }
        }
        return ids;
    }
}
