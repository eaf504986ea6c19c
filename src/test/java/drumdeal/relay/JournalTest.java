package drumdeal.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import drumdeal.Policy.Result;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.function.Executable;
import org.junit.jupiter.api.io.TempDir;

/** Replay of a journal, also a damaged one, and its limits on the disk. */
class JournalTest {
    private static final long DISK_LIMIT_BYTES = 3 << 20;

    @TempDir
    Path folder;

    private static Message createMessage(long number, int bodyBytes) {
        return new Message(number,
                new Message.Content("id" + number, "safe", "acme", null, 123, 7, new byte[bodyBytes]), null);
    }

    /** The unfinished messages that a new journal finds in the folder. */
    private List<Message> readAfterReopening() throws IOException {
        try (Journal journal = new Journal(folder, DISK_LIMIT_BYTES)) {
            return journal.unfinishedMessages();
        }
    }

    /** The size of all files in the folder, each rounded up to blocks of 512 bytes. */
    private long usedDiskBytes() throws IOException {
        try (var files = Files.list(folder)) {
            return files.mapToLong(file -> (file.toFile().length() + 511) / 512 * 512).sum();
        }
    }

    private Path segmentFile() throws IOException {
        try (var files = Files.list(folder)) {
            return files.findFirst().orElseThrow();
        }
    }

    @Test
    void endRecordsFitWhenAttemptRecordsNoLongerDo() throws IOException {
        try (Journal journal = new Journal(folder, DISK_LIMIT_BYTES)) {
            List<Message> messages = new ArrayList<>();
            for (int i = 1; i <= 100; i++) {
                messages.add(createMessage(i, 8_000));
                assertTrue(journal.recordAccepted(messages.get(i - 1)));
            }
            int attempts = 0;
            while (journal.recordAttempt(messages.get(attempts % 100).addAttempt("r", 50))) {
                attempts++;
            }
            messages.forEach(message -> journal.recordDone(message, null));
            int compactions = Integer.parseInt(segmentFile().getFileName().toString().replaceAll("\\D", ""));
            assertTrue(compactions < 10, "number of compactions: " + compactions);
        }
        assertTrue(readAfterReopening().isEmpty());
    }

    @Test
    void allRecordsAreReplayed() throws IOException {
        try (Journal journal = new Journal(folder, DISK_LIMIT_BYTES)) {
            Message first = createMessage(1, 10);
            Message second = createMessage(2, 0);
            assertTrue(journal.recordAccepted(first) && journal.recordAccepted(second)
                    && journal.recordAccepted(createMessage(3, 0)));
            Message.Attempt refused = first.addAttempt("r1", 50);
            assertTrue(journal.recordAttempt(refused));
            refused.result = Result.FULL;
            journal.recordResult(refused);
            assertTrue(journal.recordAttempt(first.addAttempt("r2", 60)));
            second.nonDelivery = new Message.NonDelivery(true, 5);
            journal.recordEnd(second);
            journal.recordDone(createMessage(3, 0), null);
        }
        List<Message> open = readAfterReopening();
        assertEquals(2, open.size());
        Message first = open.get(0);
        assertEquals("id1", first.content.callId());
        assertEquals(123, first.content.deadline());
        assertEquals(10, first.content.body().length);
        assertEquals(Result.FULL, first.attempts.get(0).result);
        assertEquals("r2", first.attempts.get(1).route);
        assertNull(first.attempts.get(1).result);
        assertEquals(new Message.NonDelivery(true, 5), open.get(1).nonDelivery);
    }

    @Test
    void tornTailIsTruncatedAndWritingContinues() throws IOException {
        try (Journal journal = new Journal(folder, DISK_LIMIT_BYTES)) {
            journal.recordAccepted(createMessage(1, 10));
            journal.recordAccepted(createMessage(2, 1000));
        }
        byte[] segment = Files.readAllBytes(segmentFile());
        Files.write(segmentFile(), Arrays.copyOf(segment, segment.length - 1));
        try (Journal journal = new Journal(folder, DISK_LIMIT_BYTES)) {
            assertEquals(1, journal.unfinishedMessages().size());
            assertTrue(journal.recordAccepted(createMessage(3, 10)));
        }
        assertEquals(List.of(1L, 3L), readAfterReopening().stream().map(m -> m.number).toList());
    }

    @Test
    void recordWithAWrongChecksumIsDropped() throws IOException {
        try (Journal journal = new Journal(folder, DISK_LIMIT_BYTES)) {
            journal.recordAccepted(createMessage(1, 10));
        }
        byte[] segment = Files.readAllBytes(segmentFile());
        segment[segment.length - 1] ^= 1;
        Files.write(segmentFile(), segment, StandardOpenOption.TRUNCATE_EXISTING);
        assertTrue(readAfterReopening().isEmpty());
    }

    /** Appends a complete record with a payload of any kind, as a journal of another version may hold. */
    private void appendRecord(Handover.PayloadWriter payloadWriter) throws IOException {
        byte[] payload = Handover.toBytes(payloadWriter);
        Files.write(segmentFile(), Handover.toBytes(out -> {
            out.writeInt(payload.length);
            out.writeInt(RecordReader.checksum(payload, 0));
            out.write(payload);
        }), StandardOpenOption.APPEND);
    }

    private void appendAttempt(int number, String route) throws IOException {
        appendRecord(out -> {
            out.writeByte(2);
            out.writeLong(1);
            out.writeInt(number);
            out.writeUTF(route);
            out.writeLong(50);
        });
    }

    /** The messages of a journal that holds one message, then a record, then another message. */
    private List<Message> readWithRecordInBetween(Executable appendRecord) throws Throwable {
        try (Journal journal = new Journal(folder, DISK_LIMIT_BYTES)) {
            journal.recordAccepted(createMessage(1, 10));
        }
        appendAttempt(0, "r0");
        appendRecord.execute();
        Files.write(segmentFile(), Journal.pack(createMessage(2, 10)), StandardOpenOption.APPEND);
        try (Journal journal = new Journal(folder, DISK_LIMIT_BYTES)) {
            assertTrue(journal.recordAccepted(createMessage(3, 10)));
        }
        List<Message> open = readAfterReopening();
        assertEquals(List.of(1L, 2L, 3L), open.stream().map(m -> m.number).toList());
        return open;
    }

    /** Guards against the loss of all that follows a record which the replay refuses. */
    @Test
    void recordsBehindOneOfAnUnknownTypeAreKept() throws Throwable {
        Message message = readWithRecordInBetween(() -> appendRecord(out -> {
            out.writeByte(99);
            out.writeLong(1);
        })).get(0);
        assertEquals(List.of("r0"), message.attempts.stream().map(attempt -> attempt.route).toList());
    }

    @Test
    void recordsBehindAPayloadOfOneByteAreKept() throws Throwable {
        readWithRecordInBetween(() -> appendRecord(out -> out.writeByte(2)));
    }

    @Test
    void recordsBehindAMessageThatCannotBeReadAreKept() throws Throwable {
        readWithRecordInBetween(() -> appendRecord(out -> {
            out.writeByte(6);
            out.writeLong(9);
            out.writeUTF("id9");
            out.writeUTF("safe");
            out.writeBoolean(false);
            out.writeBoolean(false);
            out.writeLong(123);
            out.writeInt(7);
            out.writeInt(Integer.MAX_VALUE);
        }));
    }

    /** Former versions recorded an attempt twice if its record needed a compaction. */
    @Test
    void attemptRecordedTwiceCountsOnce() throws Throwable {
        Message message = readWithRecordInBetween(() -> appendAttempt(0, "r0")).get(0);
        assertEquals(List.of("r0"), message.attempts.stream().map(attempt -> attempt.route).toList());
    }

    /** A message may have been sent by an attempt of which no more is known. */
    @Test
    void attemptThatCannotBeUsedCountsAsOneThatMayHaveRun() throws Throwable {
        Message message = readWithRecordInBetween(() -> {
            appendAttempt(0, "r0");
            appendRecord(out -> {
                out.writeByte(3);
                out.writeLong(1);
                out.writeInt(0);
                out.writeUTF(Result.FULL.name());
            });
            appendAttempt(0, "another");
        }).get(0);
        assertEquals(Result.FULL, message.attempts.get(0).result);
        assertTrue(message.mayHaveTakenEffect());
    }

    @Test
    void resultThatCannotBeUsedLeavesItsAttemptOpen() throws Throwable {
        Message message = readWithRecordInBetween(() -> appendRecord(out -> {
            out.writeByte(3);
            out.writeLong(1);
            out.writeInt(0);
            out.writeUTF("A_RESULT_OF_A_LATER_VERSION");
        })).get(0);
        assertNull(message.attempts.get(0).result);
    }

    @Test
    void endThatCannotBeUsedCountsAsFailed() throws Throwable {
        Message message = readWithRecordInBetween(() -> appendRecord(out -> {
            out.writeByte(4);
            out.writeLong(1);
        })).get(0);
        assertEquals(new Message.NonDelivery(false, 0), message.nonDelivery);
    }

    @Test
    void folderStaysBelowItsLimitWithTheLargestBodies() throws IOException {
        ArrayDeque<Message> unfinished = new ArrayDeque<>();
        int rejected = 0;
        long maxUsedBytes = 0;
        try (Journal journal = new Journal(folder, DISK_LIMIT_BYTES)) {
            for (int number = 1; number <= 500; number++) {
                Message message = createMessage(number, 64 << 10);
                if (journal.recordAccepted(message)) {
                    unfinished.add(message);
                    assertTrue(journal.recordAttempt(message.addAttempt("r", 1)));
                } else {
                    rejected++;
                    journal.recordDone(unfinished.poll(), null);
                }
                maxUsedBytes = Math.max(maxUsedBytes, usedDiskBytes());
            }
        }
        assertTrue(rejected > 100, "rejected messages: " + rejected);
        // The other half is for compaction, during which a new segment, no larger than the records of all unfinished
        // messages, exists beside the old one.
        assertTrue(maxUsedBytes < 0.5 * DISK_LIMIT_BYTES, "largest size on disk, in bytes: " + maxUsedBytes);
        assertEquals(unfinished.stream().map(m -> m.number).toList(),
                readAfterReopening().stream().map(m -> m.number).toList());
    }

    @Test
    void spaceReservedForOtherFilesStaysFree() throws IOException {
        try (Journal journal = new Journal(folder, DISK_LIMIT_BYTES)) {
            journal.budget().reserveForOtherFiles(DISK_LIMIT_BYTES / 2);
            for (int number = 1; number <= 100; number++) {
                journal.recordAccepted(createMessage(number, 64 << 10));
            }
        }
        assertTrue(usedDiskBytes() < 0.5 * DISK_LIMIT_BYTES / 2, "size on disk, in bytes: " + usedDiskBytes());
        assertTrue(readAfterReopening().size() > 1);
    }

    @Test
    void laterAttemptsKeepTheirNumbersWhenOneCouldNotBeRecorded() throws IOException {
        try (Journal journal = new Journal(folder, DISK_LIMIT_BYTES)) {
            Message message = createMessage(1, 10);
            journal.recordAccepted(message);
            message.addAttempt("lost", 1);
            journal.recordAttempt(message.addAttempt("r1", 2));
        }
        Message open = readAfterReopening().get(0);
        assertEquals(Result.NOT_SENT, open.attempts.get(0).result);
        assertEquals("r1", open.attempts.get(1).route);
    }

    @Test
    void resultOfAnUnrecordedAttemptDoesNotEndTheReplay() throws IOException {
        try (Journal journal = new Journal(folder, DISK_LIMIT_BYTES)) {
            Message message = createMessage(1, 10);
            journal.recordAccepted(message);
            Message.Attempt unrecorded = message.addAttempt("lost", 1);
            unrecorded.result = Result.NOT_SENT;
            journal.recordResult(unrecorded);
            journal.recordAccepted(createMessage(2, 10));
        }
        assertEquals(List.of(1L, 2L), readAfterReopening().stream().map(m -> m.number).toList());
    }

    private List<String> settledCallIds() throws IOException {
        return Journal.read(folder, DISK_LIMIT_BYTES).settledCallIds().stream().map(CallIdHistory.Entry::callId)
                .toList();
    }

    private static Message createMessageWithTimeLeft(long number, int bodyBytes) {
        long deadline = new Clock().micros() + 60_000_000;
        return new Message(number,
                new Message.Content("id" + number, "safe", "acme", null, deadline, 7, new byte[bodyBytes]), null);
    }

    /** Guards against a second run, after a restart, of a message that is over. */
    @Test
    void callIdsOfMessagesThatAreOverAreFoundAgain() throws IOException {
        try (Journal journal = new Journal(folder, DISK_LIMIT_BYTES)) {
            Message delivered = createMessageWithTimeLeft(1, 10);
            Message handedOver = createMessageWithTimeLeft(2, 10);
            Message expired = createMessage(3, 10);
            for (Message message : List.of(delivered, handedOver, expired)) {
                assertTrue(journal.recordAccepted(message));
            }
            journal.recordDone(delivered, CallIdHistory.Answer.ACCEPTED);
            journal.recordDone(handedOver, null);
            journal.recordDone(expired, CallIdHistory.Answer.FAILED);
        }
        assertEquals(List.of("id1"), settledCallIds());
    }

    /** Guards against compactions that drop the ids, and against ids that take the room of messages. */
    @Test
    void latestCallIdsSurviveCompactionsWithinTheirShareOfTheDisk() throws IOException {
        int last = 20_000;
        try (Journal journal = new Journal(folder, DISK_LIMIT_BYTES)) {
            for (int number = 1; number <= last; number++) {
                Message message = createMessageWithTimeLeft(number, 100);
                assertTrue(journal.recordAccepted(message), "message " + number);
                journal.recordDone(message, CallIdHistory.Answer.ACCEPTED);
            }
            assertTrue(usedDiskBytes() < 0.25 * DISK_LIMIT_BYTES, "size on disk, in bytes: " + usedDiskBytes());
        }
        assertFalse(segmentFile().toString().endsWith("journal-0000000000.log"), "no compaction");
        List<String> found = settledCallIds();
        assertTrue(found.size() > 2_000, "ids found: " + found.size());
        assertEquals("id" + last, found.get(found.size() - 1));
        assertEquals("id" + (last - 2_000), found.get(found.size() - 2_001));
    }

    @Test
    void callIdsOfAnotherProcessAreRecorded() throws IOException {
        long expiresAt = new Clock().micros() + 60_000_000;
        try (Journal journal = new Journal(folder, DISK_LIMIT_BYTES)) {
            journal.recordAdoptedCallIds(
                    List.of(new CallIdHistory.Entry("adopted", CallIdHistory.Answer.FAILED, expiresAt)));
        }
        assertEquals(List.of(new CallIdHistory.Entry("adopted", CallIdHistory.Answer.FAILED, expiresAt)),
                Journal.read(folder, DISK_LIMIT_BYTES).settledCallIds());
    }

    /** Guards against an attempt that the compaction which makes room for its record writes as well. */
    @Test
    void attemptThatNeedsACompactionIsRecordedOnce() throws IOException {
        long limitBytes = 100_000;
        try (Journal journal = new Journal(folder, limitBytes)) {
            List<Message> open = new ArrayList<>();
            for (int number = 1; number <= 3; number++) {
                open.add(createMessage(number, 9_500));
                assertTrue(journal.recordAccepted(open.get(number - 1)));
            }
            for (int number = 4; number <= 8; number++) {
                Message finished = createMessage(number, 100);
                assertTrue(journal.recordAccepted(finished));
                for (int attempts = 0; attempts < 25; attempts++) {
                    assertTrue(journal.recordAttempt(finished.addAttempt("a-route-of-some-length", 50)));
                }
                journal.recordDone(finished, null);
            }
            Path segment = segmentFile();
            while (Files.exists(segment)) {
                assertTrue(journal.recordAttempt(open.get(0).addAttempt("r", 50)));
            }
            assertTrue(journal.recordAttempt(open.get(1).addAttempt("after the compaction", 60)));
            List<Message> found = readAfterReopening();
            assertEquals(open.get(0).attempts.size(), found.get(0).attempts.size());
            assertEquals(1, found.get(1).attempts.size(), "attempts recorded after the compaction");
        }
    }

    /** Guards against the end of the replay at an attempt that was recorded after a later one. */
    @Test
    void attemptRecordedAfterALaterOneIsKept() throws IOException {
        try (Journal journal = new Journal(folder, DISK_LIMIT_BYTES)) {
            Message message = createMessage(1, 10);
            journal.recordAccepted(message);
            Message.Attempt waiting = message.addAttempt("waiting", 1);
            journal.recordAttempt(message.addAttempt("first", 2));
            journal.recordAttempt(waiting);
            waiting.result = Result.FULL;
            journal.recordResult(waiting);
            journal.recordAccepted(createMessage(2, 10));
        }
        List<Message> open = readAfterReopening();
        assertEquals(List.of(1L, 2L), open.stream().map(m -> m.number).toList());
        assertEquals(List.of(Result.NOT_SENT, "first", "waiting"), List.of(open.get(0).attempts.get(0).result,
                open.get(0).attempts.get(1).route, open.get(0).attempts.get(2).route));
        assertEquals(Result.FULL, open.get(0).attempts.get(2).result);
    }

    /** Guards against a refused attempt that no restart knows of: it counts towards the limit of attempts. */
    @Test
    void attemptThatEndedBeforeItWasSentIsRecordedWithItsResult() throws IOException {
        try (Journal journal = new Journal(folder, DISK_LIMIT_BYTES)) {
            Message message = createMessage(1, 10);
            journal.recordAccepted(message);
            Message.Attempt refused = message.addAttempt("refused", 1);
            refused.result = Result.CONNECT_FAILED;
            journal.recordResult(refused);
        }
        assertEquals(List.of(Result.CONNECT_FAILED),
                readAfterReopening().get(0).attempts.stream().map(attempt -> attempt.result).toList());
    }

    @Test
    void unfinishedCompactionIsIgnoredAndDeleted() throws IOException {
        try (Journal journal = new Journal(folder, DISK_LIMIT_BYTES)) {
            journal.recordAccepted(createMessage(1, 10));
        }
        Files.writeString(folder.resolve("journal.new"), "half");
        assertEquals(1, readAfterReopening().size());
        assertFalse(Files.exists(folder.resolve("journal.new")));
    }

    @Test
    void messageIsNotAcceptedWhenTheDiskIsFull() throws IOException {
        Path full = Path.of("/dev/full");
        assumeTrue(Files.exists(full));
        Files.createSymbolicLink(folder.resolve("journal-0000000000.log"), full);
        try (Journal journal = new Journal(folder, DISK_LIMIT_BYTES)) {
            assertFalse(journal.recordAccepted(createMessage(1, 10)));
            assertTrue(journal.unfinishedMessages().isEmpty());
        }
    }

    /** Guards against a newer process that has no room for what the older one holds and loses it with a kill. */
    @Test
    void allThatAnOlderProcessHoldsFitsBesideIt() throws IOException {
        Path newerFolder = folder.resolve("1");
        try (Journal older = new Journal(folder, DISK_LIMIT_BYTES);
                Journal newer = new Journal(newerFolder, DISK_LIMIT_BYTES)) {
            newer.budget().shareWithRunning(folder);
            older.budget().startHandover();
            List<Message> messages = new ArrayList<>();
            while (older.recordAccepted(createMessage(messages.size() + 1, 7_300))) {
                messages.add(createMessage(messages.size() + 1, 7_300));
            }
            for (Message message : messages) {
                assertTrue(newer.recordAdopted(List.of(message)), "message " + message.number);
                older.recordDone(message, null);
            }
            for (Message message : messages) {
                assertTrue(newer.recordAttempt(message.addAttempt("r", 50)), "message " + message.number);
            }
            assertTrue(Journal.sizeOnDisk(folder) + Journal.sizeOnDisk(newerFolder) < DISK_LIMIT_BYTES);
            messages.forEach(message -> newer.recordDone(message, null));
        }
        try (Journal newer = new Journal(newerFolder, DISK_LIMIT_BYTES)) {
            assertTrue(newer.unfinishedMessages().isEmpty());
        }
    }

    /** Guards against messages that find no room beside records of finished ones, which a compaction removes. */
    @Test
    void adoptionMakesRoomByACompaction() throws IOException {
        List<Message> messages = new ArrayList<>();
        try (Journal leaving = new Journal(folder, DISK_LIMIT_BYTES)) {
            leaving.budget().startHandover();
            for (int number = 1; number <= 110; number++) {
                messages.add(createMessage(number, 8_000));
                assertTrue(leaving.recordAccepted(messages.get(number - 1)));
            }
            messages.forEach(message -> leaving.recordDone(message, null));
        }
        try (Journal journal = new Journal(folder, DISK_LIMIT_BYTES)) {
            journal.budget().shareWithEnded(folder.resolve("1"), DISK_LIMIT_BYTES / 3);
            assertTrue(journal.recordAdopted(messages));
            assertTrue(usedDiskBytes() < DISK_LIMIT_BYTES / 3);
        }
        assertEquals(110, readAfterReopening().size());
    }

    /** Guards against a folder that is never given up because the journal is too full for messages that it lacks. */
    @Test
    void adoptionOfNothingNeedsNoRoomAndOneOfFewMessagesCompacts() throws IOException {
        try (Journal journal = new Journal(folder, DISK_LIMIT_BYTES)) {
            List<Message> messages = new ArrayList<>();
            for (int number = 1; number <= 145; number++) {
                messages.add(createMessage(number, 8_000));
                if (number > 110) {
                    journal.recordDone(messages.get(number - 111), null);
                }
                assertTrue(journal.recordAccepted(messages.get(number - 1)));
            }
            assertTrue(journal.recordAdopted(List.of()));
            journal.budget().shareWithEnded(folder.resolve("1"), 0);
            for (int number = 1001; number <= 1015; number++) {
                assertTrue(journal.recordAdopted(List.of(createMessage(number, 8_000))), "message " + number);
            }
        }
        assertEquals(125, readAfterReopening().size());
    }

    /** Guards against a segment full of finished messages in which no attempt of the others finds room. */
    @Test
    void attemptMakesRoomByACompaction() throws IOException {
        Message open = createMessage(1, 8_000);
        try (Journal leaving = new Journal(folder, DISK_LIMIT_BYTES)) {
            leaving.budget().startHandover();
            assertTrue(leaving.recordAccepted(open));
            for (int number = 2; leaving.recordAccepted(createMessage(number, 8_000)); number++) {
                leaving.recordDone(createMessage(number, 0), null);
            }
            while (leaving.recordAttempt(open.addAttempt("r", 50))) {
                continue;
            }
        }
        try (Journal journal = new Journal(folder, DISK_LIMIT_BYTES)) {
            assertTrue(journal.recordAttempt(journal.unfinishedMessages().get(0).addAttempt("r", 60)));
        }
    }

    /** Guards against messages that are adopted twice, as others keep their folder from being deleted. */
    @Test
    void adoptedMessagesAreRecordedAllOrNone() throws IOException {
        try (Journal journal = new Journal(folder, DISK_LIMIT_BYTES)) {
            journal.budget().shareWithEnded(folder.resolve("1"), DISK_LIMIT_BYTES / 2);
            List<Message> messages = new ArrayList<>();
            for (int number = 1; number <= 30; number++) {
                messages.add(createMessage(number, 64 << 10));
            }
            assertFalse(journal.recordAdopted(messages));
            assertTrue(journal.unfinishedMessages().isEmpty());
            assertTrue(journal.recordAdopted(messages.subList(0, 10)));
        }
        assertEquals(10, readAfterReopening().size());
    }
}
