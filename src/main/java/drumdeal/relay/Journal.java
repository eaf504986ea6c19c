package drumdeal.relay;

import drumdeal.Policy;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.channels.Channels;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The write-ahead journal of accepted messages: one segment file of records, each with its length and checksum.
 * When records of finished messages take up too much of the segment, compaction writes the unfinished messages to a
 * new segment, which then replaces the old one.
 *
 * <p>Appends are not synced to disk: written data survives the end of the process, and the state folder does not
 * survive the loss of the machine in any case.
 *
 * <p>A record is its payload's length (int), the payload's CRC-32 (int) and the payload, which begins with the record
 * type (byte) and the message number (long). Record types and the order of the fields are stored data and must not
 * change. Not thread-safe.
 */
final class Journal implements AutoCloseable {
    /** Least time between a compaction that failed and the next one. */
    private static final long COMPACTION_RETRY_NANOS = 1_000_000_000;

    /**
     * Least time between two compactions that only make room for a record: each may free no more than that record
     * needs.
     */
    private static final long ROOM_COMPACTION_INTERVAL_NANOS = 100_000_000;

    private static final String SEGMENT_NAME_FORMAT = "journal-%010d.log";
    private static final String TEMPORARY_SEGMENT_NAME = "journal.new";

    /** Largest attempt number that replay accepts; a record with a larger one can't be used. */
    private static final int MAX_ATTEMPTS = 10_000;
    /** The route of an attempt whose record can't be used. */
    private static final String UNKNOWN_ROUTE = "";
    /** Type (byte) and message number (long). */
    private static final int MIN_PAYLOAD_BYTES = Byte.BYTES + Long.BYTES;
    /** Of as many records that can't be used each is logged. */
    private static final int MAX_LOGGED_RECORDS = 5;

    // Record types, stored as numbers: they must not change.
    /** A message as accepted, written by former versions without its terms. */
    private static final int ACCEPTED_WITHOUT_TERMS = 1;
    /** An attempt that is about to be sent. */
    private static final int ATTEMPT = 2;
    /** The result of an attempt. */
    private static final int RESULT = 3;
    /** How a message ends undelivered; the platform has not acknowledged the notice yet. */
    private static final int END_DECIDED = 4;
    /** Nothing remains to be done for the message. */
    private static final int DONE = 5;
    /** A message as accepted, with its terms. */
    private static final int ACCEPTED_WITH_TERMS = 6;
    /** The call id of a message that is over. Its message number is 0, so that former versions ignore it. */
    private static final int CALL_ID = 7;

    /** Writes the payload of one record. */
    private interface PayloadWriter {
        void write(DataOutputStream out) throws IOException;
    }

    /** A message without a DONE record. */
    private static final class UnfinishedMessage {
        final Message message;
        /** Size of its records in the segment. */
        long sizeBytes;

        UnfinishedMessage(Message message) {
            this.message = message;
        }
    }

    private final Path folder;
    private final DiskBudget budget;
    /** By message number, in the order in which they were added. */
    private final Map<Long, UnfinishedMessage> unfinishedMessages = new LinkedHashMap<>();
    /** The call ids of messages that are over. */
    private final CallIdHistory settledCallIds = new CallIdHistory();
    private final Clock clock = new Clock();
    private FileChannel segmentChannel;
    private Path segmentPath;
    private long segmentNumber;
    /** Length of the segment up to the end of its last complete record. */
    private long segmentBytes;
    /** The part of {@link #segmentBytes} that holds records of unfinished messages. */
    private long unfinishedBytes;
    /** The part of {@link #segmentBytes} that holds call ids of messages that are over. */
    private long callIdBytes;
    private long lastMessageNumber;
    /** The segment may end with a partial record that could not be removed; nothing is appended any more. */
    private boolean broken;
    /** No compaction before this time; moves into the future when one fails. */
    private long nextCompactionAtNanos = System.nanoTime();
    /** No compaction that only makes room for a record before this time. */
    private long nextCompactionForRoomAtNanos = System.nanoTime();

    /**
     * Opens the journal of a folder and replays it. The segment is truncated at the first record that is incomplete
     * or corrupt.
     */
    Journal(Path folder, long diskLimitBytes) throws IOException {
        this.folder = folder;
        budget = new DiskBudget(diskLimitBytes);
        Files.createDirectories(folder);
        Files.deleteIfExists(folder.resolve(TEMPORARY_SEGMENT_NAME));
        List<Path> segments = listSegments(folder);
        segmentPath = folder.resolve(SEGMENT_NAME_FORMAT.formatted(0));
        if (!segments.isEmpty()) {
            // A kill between a compaction and the removal of the old segment leaves both; the newest is complete.
            segmentPath = segments.get(segments.size() - 1);
            segmentNumber = Long.parseLong(segmentPath.getFileName().toString().replaceAll("\\D", ""));
            for (Path oldSegment : segments.subList(0, segments.size() - 1)) {
                Files.delete(oldSegment);
            }
        }
        segmentChannel = FileChannel.open(segmentPath, StandardOpenOption.CREATE, StandardOpenOption.READ,
                StandardOpenOption.WRITE);
        replaySegment();
    }

    /** Replays records in memory, without a file. */
    private Journal() {
        folder = null;
        budget = new DiskBudget(0);
    }

    /** Encodes all records of a message, for another process that reads them with {@link #unpack}. */
    static byte[] pack(Message message) {
        try {
            return encodeRecords(message);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Decodes a message that another process encoded with {@link #pack}. */
    static Message unpack(byte[] records) throws IOException {
        Journal replayed = new Journal();
        RecordReader reader = new RecordReader(new ByteArrayInputStream(records), records.length);
        for (byte[] payload = reader.next(); payload != null; payload = reader.next()) {
            replayed.replayRecord(payload);
        }
        if (reader.position() < records.length || replayed.unfinishedMessages.size() != 1) {
            throw new IOException("the bytes are not the journal records of one message");
        }
        return replayed.unfinishedMessages().get(0);
    }

    /** What the journal of a process that has ended holds. */
    record Contents(List<Message> unfinishedMessages, List<CallIdHistory.Entry> settledCallIds) { }

    /** Reads the journal in the folder of a process that has ended. */
    static Contents read(Path folder, long diskLimitBytes) throws IOException {
        try (Journal journal = new Journal(folder, diskLimitBytes)) {
            return new Contents(journal.unfinishedMessages(), journal.settledCallIds.entries());
        }
    }

    /** Deletes the segments of a folder whose messages have been adopted. */
    static void deleteSegments(Path folder) throws IOException {
        for (Path segment : listSegments(folder)) {
            Files.delete(segment);
        }
    }

    /** The space that the files of a process folder take on the disk, in whole blocks. */
    static long sizeOnDisk(Path folder) throws IOException {
        long bytes = 0;
        try (var files = Files.newDirectoryStream(folder)) {
            for (Path file : files) {
                if (Files.isRegularFile(file)) {
                    bytes += (Files.size(file) + DiskBudget.BLOCK_BYTES - 1) / DiskBudget.BLOCK_BYTES
                            * DiskBudget.BLOCK_BYTES;
                }
            }
        }
        return bytes;
    }

    private static List<Path> listSegments(Path folder) throws IOException {
        try (var files = Files.list(folder)) {
            return files.filter(f -> f.getFileName().toString().matches("journal-\\d{10}\\.log")).sorted().toList();
        }
    }

    /** How much of the relay's disk this journal may take. */
    DiskBudget budget() {
        return budget;
    }

    /**
     * Records messages of another process, with their attempts and results, or none of them. Returns false if there is
     * no room, even after a compaction, or if the disk fails.
     */
    boolean recordAdopted(List<Message> messages) {
        if (messages.isEmpty()) {
            return true;
        }
        long bytes = messages.stream().mapToLong(message -> pack(message).length).sum();
        DiskBudget.Purpose purpose = unfinishedMessages.isEmpty() ? DiskBudget.Purpose.ADOPTED_INTO_EMPTY
                : DiskBudget.Purpose.ADOPTED;
        // Room for attempts is left as well, as far as a compaction makes it.
        makeRoom(bytes, DiskBudget.Purpose.ATTEMPT);
        makeRoom(bytes, purpose);
        return !broken && budget.allowsSegment(segmentBytes + bytes, purpose) && writeAdopted(messages);
    }

    /** Writes the messages one by one, as all together may take more memory than there is; none of them if it fails. */
    private boolean writeAdopted(List<Message> messages) {
        long writtenBytes = 0;
        Map<Message, Integer> sizes = new LinkedHashMap<>();
        try {
            for (Message message : messages) {
                byte[] records = pack(message);
                writeFully(segmentChannel, records, segmentBytes + writtenBytes);
                writtenBytes += records.length;
                sizes.put(message, records.length);
            }
        } catch (IOException e) {
            onAppendFailed(e);
            return false;
        }
        segmentBytes += writtenBytes;
        sizes.forEach(this::addUnfinishedMessage);
        return true;
    }

    /** The size of the records of all messages without a DONE record, in bytes; the messages take as much memory. */
    long unfinishedBytes() {
        return unfinishedBytes;
    }

    /** A number above those of all messages that the journal has recorded. */
    long nextMessageNumber() {
        return lastMessageNumber + 1;
    }

    /** All messages without a DONE record, in the order recorded. */
    List<Message> unfinishedMessages() {
        return unfinishedMessages.values().stream().map(entry -> entry.message).toList();
    }

    /** The call ids of messages that are over, as far as they are remembered, for the owner of this journal as well. */
    CallIdHistory settledCallIds() {
        return settledCallIds;
    }

    /** Records the latest call ids of another process, as far as they have room beside those that are recorded. */
    void recordAdoptedCallIds(List<CallIdHistory.Entry> entries) {
        long room = budget.bytesForCallIds(segmentBytes, segmentBytes, DiskBudget.Purpose.ACCEPTED) - callIdBytes;
        byte[] records = encodeLatestCallIds(entries, room);
        if (append(records, DiskBudget.Purpose.ACCEPTED)) {
            callIdBytes += records.length;
        }
    }

    /** Records an accepted message. Returns false if there is no room or the disk fails. */
    boolean recordAccepted(Message message) {
        byte[] record = encodeRecord(acceptedPayload(message));
        if (!budget.allowsUnfinished(unfinishedBytes + record.length)
                || !append(record, DiskBudget.Purpose.ACCEPTED)) {
            return false;
        }
        addUnfinishedMessage(message, record.length);
        return true;
    }

    /** Records an attempt before its first byte is sent. Returns false if it can't be recorded. */
    boolean recordAttempt(Message.Attempt attempt) {
        // Without attempts no message may end, and only the end of one would lead to a compaction.
        makeRoom(encodeAttempt(attempt).length, DiskBudget.Purpose.ATTEMPT);
        // Encoded again, as a compaction may record other attempts first and so change the number of this one.
        if (!appendForMessage(attempt.message, encodeAttempt(attempt), DiskBudget.Purpose.ATTEMPT)) {
            return false;
        }
        attempt.markRecorded();
        return true;
    }

    /** Compacts the segment if it has no room for a record and has it afterwards. */
    private void makeRoom(long recordBytes, DiskBudget.Purpose purpose) {
        boolean helps = !budget.allowsSegment(segmentBytes + recordBytes, purpose)
                && budget.allowsSegment(unfinishedBytes + recordBytes, purpose);
        if (helps && System.nanoTime() - nextCompactionForRoomAtNanos >= 0) {
            nextCompactionForRoomAtNanos = System.nanoTime() + ROOM_COMPACTION_INTERVAL_NANOS;
            compactIfAllowed(budget.bytesForCallIds(segmentBytes, unfinishedBytes + recordBytes, purpose));
        }
    }

    /**
     * Records the result of an attempt that has ended; it matters most if the result proves that the attempt took no
     * effect. An attempt that ended before it was to be sent is recorded together with its result.
     */
    void recordResult(Message.Attempt attempt) {
        if (attempt.isRecorded()) {
            appendForMessage(attempt.message, encodeResult(attempt), DiskBudget.Purpose.OUTCOME);
            return;
        }
        ByteArrayOutputStream records = new ByteArrayOutputStream();
        records.writeBytes(encodeAttempt(attempt));
        records.writeBytes(encodeResult(attempt));
        if (appendForMessage(attempt.message, records.toByteArray(), DiskBudget.Purpose.OUTCOME)) {
            attempt.markRecorded();
        }
    }

    /** Records how a message ends undelivered, before the platform is notified of it. */
    void recordEnd(Message message) {
        appendForMessage(message, encodeRecord(endPayload(message)), DiskBudget.Purpose.OUTCOME);
    }

    /**
     * Records that nothing remains to be done for a message, and compacts the segment if that is due. {@code answer} is
     * what a client is answered that submits the message again; null if the message may be accepted anew, or another
     * process has it.
     */
    void recordDone(Message message, CallIdHistory.Answer answer) {
        byte[] record = encodeRecord(out -> {
            out.writeByte(DONE);
            out.writeLong(message.number);
            if (answer != null) {
                out.writeByte(answer.ordinal());
                out.writeLong(message.clientDeadline);
            }
        });
        boolean recorded = appendForMessage(message, record, DiskBudget.Purpose.OUTCOME);
        boolean known = unfinishedMessages.containsKey(message.number);
        removeUnfinishedMessage(message.number);
        if (answer != null) {
            settledCallIds.add(new CallIdHistory.Entry(message.content.callId(), answer, message.clientDeadline),
                    clock.micros());
        }
        // If the DONE record could not be written, as on a full disk, the finished message would be resumed after a
        // restart. Compaction leaves the message out.
        if (known && !recorded || budget.isCompactionDue(segmentBytes - unfinishedBytes - callIdBytes)) {
            compactIfAllowed(
                    budget.bytesForCallIds(segmentBytes, unfinishedBytes, DiskBudget.Purpose.ACCEPTED));
        }
    }

    private void compactIfAllowed(long maxCallIdBytes) {
        if (budget.allowsCompaction(segmentBytes, unfinishedBytes) && System.nanoTime() - nextCompactionAtNanos >= 0) {
            compact(maxCallIdBytes);
        }
    }

    @Override
    public void close() throws IOException {
        segmentChannel.close();
    }

    /** Appends a record of an unfinished message; false if the message is unknown or the record can't be written. */
    private boolean appendForMessage(Message message, byte[] record, DiskBudget.Purpose purpose) {
        UnfinishedMessage entry = unfinishedMessages.get(message.number);
        if (entry == null || !append(record, purpose)) {
            return false;
        }
        entry.sizeBytes += record.length;
        unfinishedBytes += record.length;
        return true;
    }

    private void addUnfinishedMessage(Message message, long bytes) {
        UnfinishedMessage entry = new UnfinishedMessage(message);
        entry.sizeBytes = bytes;
        unfinishedBytes += bytes;
        unfinishedMessages.put(message.number, entry);
        lastMessageNumber = Math.max(lastMessageNumber, message.number);
    }

    private void removeUnfinishedMessage(long number) {
        UnfinishedMessage entry = unfinishedMessages.remove(number);
        if (entry != null) {
            unfinishedBytes -= entry.sizeBytes;
        }
    }

    /** Appends complete records, or nothing if the disk budget does not allow it or the disk fails. */
    private boolean append(byte[] record, DiskBudget.Purpose purpose) {
        if (broken || !budget.allowsSegment(segmentBytes + record.length, purpose)) {
            return false;
        }
        try {
            writeFully(segmentChannel, record, segmentBytes);
            segmentBytes += record.length;
            return true;
        } catch (IOException e) {
            onAppendFailed(e);
            return false;
        }
    }

    /** Removes what was written of a record: replay would stop at it and lose all records appended after it. */
    private void onAppendFailed(IOException cause) {
        Log.write("journal: can't append a record, it is not stored: " + cause.getMessage());
        try {
            segmentChannel.truncate(segmentBytes);
        } catch (IOException e) {
            Log.write("journal: can't remove a partial record, no more records are written and no messages accepted: "
                    + e.getMessage());
            broken = true;
        }
    }

    private static void writeFully(FileChannel channel, byte[] record, long offset) throws IOException {
        ByteBuffer remaining = ByteBuffer.wrap(record);
        while (remaining.position() < record.length) {
            remaining.limit(Math.min(record.length, remaining.position() + StateFolder.MAX_TRANSFER_BYTES));
            channel.write(remaining, offset + remaining.position());
        }
    }

    /**
     * Writes the unfinished messages, and the latest call ids of those that are over, to a new segment and replaces the
     * current one with it.
     */
    private void compact(long maxCallIdBytes) {
        Path temporaryPath = folder.resolve(TEMPORARY_SEGMENT_NAME);
        Path nextPath = folder.resolve(SEGMENT_NAME_FORMAT.formatted(segmentNumber + 1));
        try {
            FileChannel nextChannel = FileChannel.open(temporaryPath, StandardOpenOption.CREATE,
                    StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE);
            long writtenBytes = 0;
            long nextUnfinishedBytes;
            Map<Long, Long> sizesByNumber = new LinkedHashMap<>();
            try {
                for (UnfinishedMessage entry : unfinishedMessages.values()) {
                    byte[] records = encodeRecords(entry.message);
                    writeFully(nextChannel, records, writtenBytes);
                    writtenBytes += records.length;
                    sizesByNumber.put(entry.message.number, (long) records.length);
                }
                nextUnfinishedBytes = writtenBytes;
                byte[] callIds = encodeLatestCallIds(settledCallIds.entries(), maxCallIdBytes);
                writeFully(nextChannel, callIds, writtenBytes);
                writtenBytes += callIds.length;
                Files.move(temporaryPath, nextPath, StandardCopyOption.ATOMIC_MOVE);
            } catch (IOException e) {
                nextChannel.close();
                Files.deleteIfExists(temporaryPath);
                throw e;
            }
            segmentChannel.close();
            segmentChannel = nextChannel;
            Path oldPath = segmentPath;
            segmentPath = nextPath;
            segmentNumber++;
            segmentBytes = writtenBytes;
            unfinishedBytes = nextUnfinishedBytes;
            callIdBytes = writtenBytes - nextUnfinishedBytes;
            sizesByNumber.forEach((number, bytes) -> unfinishedMessages.get(number).sizeBytes = bytes);
            Files.deleteIfExists(oldPath);
        } catch (IOException e) {
            Log.write("journal: compaction failed, to be tried again later: " + e.getMessage());
            nextCompactionAtNanos = System.nanoTime() + COMPACTION_RETRY_NANOS;
        }
    }

    /**
     * All records of a message: accepted, attempts with their results, end. Attempts that are yet to be sent are left
     * out.
     */
    private static byte[] encodeRecords(Message message) throws IOException {
        ByteArrayOutputStream records = new ByteArrayOutputStream();
        records.write(encodeRecord(acceptedPayload(message)));
        message.attempts.stream().filter(attempt -> !attempt.isRecorded() && attempt.result != null)
                .forEach(Message.Attempt::markRecorded);
        for (Message.Attempt attempt : message.recordedAttempts()) {
            records.write(encodeAttempt(attempt));
            if (attempt.result != null) {
                records.write(encodeResult(attempt));
            }
        }
        if (message.nonDelivery != null) {
            records.write(encodeRecord(endPayload(message)));
        }
        return records.toByteArray();
    }

    /** The records of the last entries, in their order, up to a number of bytes. */
    private static byte[] encodeLatestCallIds(List<CallIdHistory.Entry> entries, long maxBytes) {
        Deque<byte[]> latest = new ArrayDeque<>();
        long bytes = 0;
        for (int i = entries.size() - 1; i >= 0; i--) {
            byte[] record = encodeCallId(entries.get(i));
            bytes += record.length;
            if (bytes > maxBytes) {
                break;
            }
            latest.addFirst(record);
        }
        ByteArrayOutputStream records = new ByteArrayOutputStream();
        latest.forEach(records::writeBytes);
        return records.toByteArray();
    }

    private static byte[] encodeCallId(CallIdHistory.Entry entry) {
        return encodeRecord(out -> {
            out.writeByte(CALL_ID);
            out.writeLong(0);
            entry.write(out);
        });
    }

    private static PayloadWriter acceptedPayload(Message message) {
        Message.Content content = message.content;
        return out -> {
            out.writeByte(message.terms == null ? ACCEPTED_WITHOUT_TERMS : ACCEPTED_WITH_TERMS);
            out.writeLong(message.number);
            out.writeUTF(content.callId());
            out.writeUTF(content.requestClass());
            writeOptional(out, content.tenant());
            writeOptional(out, content.idempotencyKey());
            out.writeLong(content.deadline());
            out.writeInt(content.destination());
            out.writeInt(content.body().length);
            out.write(content.body());
            if (message.terms != null) {
                RequestTermsCodec.write(out, message.terms);
            }
        };
    }

    private static byte[] encodeAttempt(Message.Attempt attempt) {
        return encodeRecord(out -> {
            out.writeByte(ATTEMPT);
            out.writeLong(attempt.message.number);
            out.writeInt(attempt.recordNumber());
            out.writeUTF(attempt.route);
            out.writeLong(attempt.sentAt);
        });
    }

    private static byte[] encodeResult(Message.Attempt attempt) {
        return encodeRecord(out -> {
            out.writeByte(RESULT);
            out.writeLong(attempt.message.number);
            out.writeInt(attempt.recordNumber());
            out.writeUTF(attempt.result.name());
        });
    }

    private static PayloadWriter endPayload(Message message) {
        return out -> {
            out.writeByte(END_DECIDED);
            out.writeLong(message.number);
            out.writeBoolean(message.nonDelivery.rejected());
            out.writeLong(message.nonDelivery.retryAfterMicros());
        };
    }

    /** One record: its header, then the payload. */
    private static byte[] encodeRecord(PayloadWriter payload) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeLong(0); // placeholder for the header, filled in below
            payload.write(out);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        byte[] record = bytes.toByteArray();
        ByteBuffer.wrap(record).putInt(record.length - RecordReader.HEADER_BYTES)
                .putInt(RecordReader.checksum(record, RecordReader.HEADER_BYTES));
        return record;
    }

    /**
     * Replays the segment and truncates it at the first record that is incomplete or corrupt. A complete record that
     * can't be used, such as one of another version, is reported, and those after it are kept.
     */
    private void replaySegment() throws IOException {
        long fileBytes = segmentChannel.size();
        RecordReader reader = new RecordReader(Channels.newInputStream(segmentChannel), fileBytes);
        int unusableRecords = 0;
        for (byte[] payload = reader.next(); payload != null; payload = reader.next()) {
            try {
                replayRecord(payload);
            } catch (IOException e) {
                unusableRecords++;
                if (unusableRecords <= MAX_LOGGED_RECORDS) {
                    Log.write("journal: the record at byte " + segmentBytes
                            + " can't be used, those after it are kept: " + e.getMessage());
                }
                assumeWorst(payload);
            }
            segmentBytes = reader.position();
        }
        if (unusableRecords > MAX_LOGGED_RECORDS) {
            Log.write("journal: " + unusableRecords + " records can't be used");
        }
        if (segmentBytes < fileBytes) {
            Log.write("journal: truncating at an incomplete or corrupt record, dropping " + (fileBytes - segmentBytes)
                    + " bytes");
            segmentChannel.truncate(segmentBytes);
        }
    }

    /** Of a record that can't be used, only its type counts: a message may have been sent, or has ended undelivered. */
    private void assumeWorst(byte[] payload) {
        if (payload.length < MIN_PAYLOAD_BYTES) {
            return;
        }
        ByteBuffer record = ByteBuffer.wrap(payload);
        int type = record.get();
        UnfinishedMessage entry = unfinishedMessages.get(record.getLong());
        if (entry == null) {
            return;
        }
        if (type == ATTEMPT) {
            entry.message.addAttempt(UNKNOWN_ROUTE, 0).markRecorded();
        } else if (type == END_DECIDED) {
            entry.message.nonDelivery = new Message.NonDelivery(false, 0);
        }
    }

    /**
     * Applies one record. An accepted message is added to the unfinished ones; any other record is ignored if its
     * message is not among them.
     */
    private void replayRecord(byte[] payload) throws IOException {
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(payload))) {
            int type = in.readByte();
            long number = in.readLong();
            lastMessageNumber = Math.max(lastMessageNumber, number);
            if (type == ACCEPTED_WITHOUT_TERMS || type == ACCEPTED_WITH_TERMS) {
                Message.Content content = readContent(in);
                Policy.RequestTerms terms = type == ACCEPTED_WITHOUT_TERMS ? null
                        : RequestTermsCodec.read(in, content.requestClass());
                addUnfinishedMessage(new Message(number, content, terms), payload.length + RecordReader.HEADER_BYTES);
                return;
            }
            if (type == CALL_ID) {
                settledCallIds.add(CallIdHistory.Entry.read(in), clock.micros());
                callIdBytes += payload.length + RecordReader.HEADER_BYTES;
                return;
            }
            UnfinishedMessage entry = unfinishedMessages.get(number);
            if (entry == null) {
                return;
            }
            entry.sizeBytes += payload.length + RecordReader.HEADER_BYTES;
            unfinishedBytes += payload.length + RecordReader.HEADER_BYTES;
            Message message = entry.message;
            switch (type) {
                case ATTEMPT -> replayAttempt(message, in.readInt(), in.readUTF(), in.readLong());
                case RESULT -> replayResult(message, in.readInt(), Policy.Result.valueOf(in.readUTF()));
                case END_DECIDED -> message.nonDelivery = new Message.NonDelivery(in.readBoolean(), in.readLong());
                case DONE -> {
                    removeUnfinishedMessage(number);
                    replaySettled(message, in);
                }
                default -> throw new IOException("unknown record type " + type);
            }
        } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
            throw new IOException(e);
        }
    }

    /** Remembers the call id of a message that is over; former versions did not record what to answer. */
    private void replaySettled(Message message, DataInputStream in) throws IOException {
        if (in.available() > 0) {
            CallIdHistory.Answer answer = CallIdHistory.Answer.of(in.readByte());
            settledCallIds.add(new CallIdHistory.Entry(message.content.callId(), answer, in.readLong()),
                    clock.micros());
        }
    }

    /**
     * Adds an attempt. An earlier attempt that could not be recorded was not sent, but its number is not used again.
     * An attempt that ended as {@code NOT_SENT} is added for each missing number. Former versions recorded some twice.
     */
    private static void replayAttempt(Message message, int number, String route, long sentAt) throws IOException {
        if (number >= 0 && number < message.attempts.size() && message.attempts.get(number).route.equals(route)
                && message.attempts.get(number).sentAt == sentAt) {
            return;
        }
        if (number < message.attempts.size() || number > MAX_ATTEMPTS) {
            throw new IOException("attempt " + number + " is out of order");
        }
        while (message.attempts.size() < number) {
            Message.Attempt notSent = message.addAttempt(route, sentAt);
            notSent.result = Policy.Result.NOT_SENT;
            notSent.markRecorded();
        }
        message.addAttempt(route, sentAt).markRecorded();
    }

    /**
     * Sets the result of an attempt. An attempt that could not be recorded for lack of room may still have a result
     * record; that is ignored.
     */
    private static void replayResult(Message message, int number, Policy.Result result) {
        if (number < message.attempts.size()) {
            message.attempts.get(number).result = result;
        }
    }

    private static Message.Content readContent(DataInputStream in) throws IOException {
        String callId = in.readUTF();
        String requestClass = in.readUTF();
        String tenant = readOptional(in);
        String idempotencyKey = readOptional(in);
        long deadline = in.readLong();
        int destination = in.readInt();
        int bodyBytes = in.readInt();
        if (bodyBytes < 0 || bodyBytes > in.available()) {
            throw new IOException("a body of " + bodyBytes + " bytes");
        }
        byte[] body = new byte[bodyBytes];
        in.readFully(body);
        return new Message.Content(callId, requestClass, tenant, idempotencyKey, deadline, destination, body);
    }

    /** Writes a text that may be null: whether there is one, then the text. */
    private static void writeOptional(DataOutputStream out, String text) throws IOException {
        out.writeBoolean(text != null);
        if (text != null) {
            out.writeUTF(text);
        }
    }

    private static String readOptional(DataInputStream in) throws IOException {
        return in.readBoolean() ? in.readUTF() : null;
    }
}
