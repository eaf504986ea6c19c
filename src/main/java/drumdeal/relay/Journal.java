package drumdeal.relay;

import drumdeal.Policy;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.zip.CRC32;

/**
 * The write-ahead journal of accepted work: one segment of records, each with its length and checksum.
 * When enough of the segment speaks of finished messages, what is still open is written to a new segment,
 * which then takes its place.
 *
 * <p>Appending needs no sync: what was written outlasts the process, and nothing outlasts the machine.
 */
final class Journal implements AutoCloseable {
    // Shares of the disk. Both segments are there during rewriting: 0.5 + 0.4 at the most.
    private static final double MAX_UNFINISHED_SHARE = 0.3; // what is open when a message is taken on
    private static final double COMPACTION_THRESHOLD_SHARE = 0.1; // then the segment is rewritten
    private static final double SEGMENT_SOFT_LIMIT_SHARE = 0.45; // for what makes the relay owe more
    private static final double SEGMENT_HARD_LIMIT_SHARE = 0.5; // so that an end has room without a rewrite
    private static final long COMPACTION_RETRY_NANOS = 1_000_000_000; // after a rewrite that failed

    private static final String SEGMENT_NAME_FORMAT = "journal-%010d.log";
    private static final String TEMPORARY_SEGMENT_NAME = "journal.new";
    private static final int RECORD_HEADER_BYTES = Integer.BYTES * 2;

    private static final int MAX_ATTEMPTS = 10_000;

    private static final int ACCEPTED_WITHOUT_TERMS = 1;
    private static final int ATTEMPT = 2;
    private static final int RESULT = 3;
    private static final int END_DECIDED = 4;
    private static final int DONE = 5;
    /** As accepted, with the terms; the records of former versions lack them. */
    private static final int ACCEPTED_WITH_TERMS = 6;

    private interface PayloadWriter {
        void write(DataOutputStream out) throws IOException;
    }

    private static final class UnfinishedMessage {
        final Message message;
        long sizeBytes;

        UnfinishedMessage(Message message) {
            this.message = message;
        }
    }

    private final Path folder;
    private final long diskBytes;
    /** What of it this process may plan with: another may have a part of its own meanwhile. */
    private long allottedBytes;
    /** What of that part other files take. */
    private long otherFilesBytes;
    private boolean compactionEnabled = true;
    private final Map<Long, UnfinishedMessage> unfinishedMessages = new LinkedHashMap<>();
    private FileChannel segmentChannel;
    private Path segmentPath;
    private long segmentNumber;
    private long segmentBytes;
    private long unfinishedBytes;
    private long lastMessageNumber;
    private boolean broken;
    private long nextCompactionAtNanos = System.nanoTime();

    /** Opens the journal of a folder and replays it; a torn tail is cut off. */
    Journal(Path folder, long disk) throws IOException {
        this.folder = folder;
        allottedBytes = disk;
        diskBytes = disk;
        Files.createDirectories(folder);
        Files.deleteIfExists(folder.resolve(TEMPORARY_SEGMENT_NAME));
        List<Path> segments = listSegments(folder);
        segmentPath = folder.resolve(SEGMENT_NAME_FORMAT.formatted(0));
        if (!segments.isEmpty()) {
            // Guards against a kill between a rewrite and the removal of what it replaces: the newest is whole.
            segmentPath = segments.get(segments.size() - 1);
            segmentNumber = Long.parseLong(segmentPath.getFileName().toString().replaceAll("\\D", ""));
            for (Path old : segments.subList(0, segments.size() - 1)) {
                Files.delete(old);
            }
        }
        segmentChannel = FileChannel.open(segmentPath, StandardOpenOption.CREATE, StandardOpenOption.READ,
                StandardOpenOption.WRITE);
        replay();
    }

    /** Reads records; it has no file. */
    private Journal() {
        folder = null;
        diskBytes = 0;
    }

    /** All records of a message, as another process takes them in. */
    static byte[] pack(Message message) {
        try {
            return encodeRecords(message);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** The message that another process has packed. */
    static Message unpack(byte[] records) throws IOException {
        Journal reader = new Journal();
        ByteBuffer all = ByteBuffer.wrap(records);
        for (byte[] payload = readNextPayload(all); payload != null; payload = readNextPayload(all)) {
            reader.replay(payload);
        }
        if (all.hasRemaining() || reader.unfinishedMessages.size() != 1) {
            throw new IOException("these are not the records of a message");
        }
        return reader.unfinishedMessages().get(0);
    }

    /** The messages that are not done in a folder whose owner has gone. */
    static List<Message> readUnfinishedMessages(Path folder, long disk) throws IOException {
        try (Journal left = new Journal(folder, disk)) {
            return left.unfinishedMessages();
        }
    }

    /** Removes what was left in a folder, once it is adopted. */
    static void deleteSegments(Path folder) throws IOException {
        for (Path segment : listSegments(folder)) {
            Files.delete(segment);
        }
    }

    private static List<Path> listSegments(Path folder) throws IOException {
        try (var files = Files.list(folder)) {
            return files.filter(f -> f.getFileName().toString().matches("journal-\\d{10}\\.log")).sorted().toList();
        }
    }

    /**
     * Guards against a disk that two processes fill together: until this one is alone again it plans with half, and
     * one that is about to leave needs no room for a rewrite.
     */
    void shareDisk(boolean leaving) {
        allottedBytes = leaving ? allottedBytes : diskBytes / 2;
        compactionEnabled = !leaving;
    }

    /** The whole disk is this process's own again. */
    void useWholeDisk() {
        allottedBytes = diskBytes;
        compactionEnabled = true;
    }

    /** Leaves so many bytes of the disk to other files from now on. */
    void reserveForOtherFiles(long bytes) {
        otherFilesBytes = bytes;
    }

    private long budgetBytes() {
        return allottedBytes - otherFilesBytes;
    }

    /** Records a message that another process has let go of, with all that is known of it. */
    boolean recordAdopted(Message message) {
        byte[] records = pack(message);
        if (!append(records, SEGMENT_HARD_LIMIT_SHARE)) {
            return false;
        }
        addUnfinishedMessage(message, records.length);
        return true;
    }

    long nextMessageNumber() {
        return lastMessageNumber + 1;
    }

    /** Every message that is not done, in the order accepted. */
    List<Message> unfinishedMessages() {
        return unfinishedMessages.values().stream().map(o -> o.message).toList();
    }

    /** Records that a message is taken on; false where there is no room or the disk fails. */
    boolean recordAccepted(Message message) {
        byte[] record = encodeRecord(acceptedPayload(message));
        if (unfinishedBytes + record.length > MAX_UNFINISHED_SHARE * budgetBytes() || !append(record, SEGMENT_SOFT_LIMIT_SHARE)) {
            return false;
        }
        addUnfinishedMessage(message, record.length);
        return true;
    }

    /** Records an attempt before its first byte leaves; false where it can't be recorded. */
    boolean recordAttempt(Message.Attempt attempt) {
        return appendForMessage(attempt.message, attemptPayload(attempt.message, attempt), SEGMENT_SOFT_LIMIT_SHARE);
    }

    /** Records what is known of an attempt that has ended, above all the proof that it never ran. */
    void recordResult(Message.Attempt attempt) {
        appendForMessage(attempt.message, resultPayload(attempt.message, attempt), SEGMENT_HARD_LIMIT_SHARE);
    }

    /** Records the end that the platform is still to be told of. */
    void recordEnd(Message message) {
        appendForMessage(message, endPayload(message), SEGMENT_HARD_LIMIT_SHARE);
    }

    /** Records that nothing more is owed for a message. */
    void recordDone(Message message) {
        boolean noted = appendForMessage(message, out -> {
            out.writeByte(DONE);
            out.writeLong(message.number);
        }, SEGMENT_HARD_LIMIT_SHARE);
        boolean known = unfinishedMessages.containsKey(message.number);
        removeUnfinishedMessage(message.number);
        // Guards against a full disk that would bring a finished message back: a rewrite leaves it out.
        boolean wanted = known && !noted || segmentBytes - unfinishedBytes > COMPACTION_THRESHOLD_SHARE * budgetBytes();
        if (wanted && compactionEnabled && System.nanoTime() - nextCompactionAtNanos >= 0) {
            compact();
        }
    }

    @Override
    public void close() throws IOException {
        segmentChannel.close();
    }

    private boolean appendForMessage(Message message, PayloadWriter payload, double share) {
        UnfinishedMessage entry = unfinishedMessages.get(message.number);
        byte[] record = encodeRecord(payload);
        if (entry == null || !append(record, share)) {
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

    /** Appends a record whole or, where the disk is full or fails, not at all. */
    private boolean append(byte[] record, double share) {
        if (broken || segmentBytes + record.length > share * budgetBytes()) {
            return false;
        }
        try {
            writeFully(segmentChannel, record, segmentBytes);
            segmentBytes += record.length;
            return true;
        } catch (IOException e) {
            Log.write("journal: can't write: " + e.getMessage());
            truncatePartialRecord();
            return false;
        }
    }

    /** Guards against half a record that later ones would follow: none of them could be replayed. */
    private void truncatePartialRecord() {
        try {
            segmentChannel.truncate(segmentBytes);
        } catch (IOException e) {
            Log.write("journal: can't be mended, nothing more is taken on: " + e.getMessage());
            broken = true;
        }
    }

    private static void writeFully(FileChannel channel, byte[] record, long at) throws IOException {
        ByteBuffer rest = ByteBuffer.wrap(record);
        while (rest.hasRemaining()) {
            channel.write(rest, at + rest.position());
        }
    }

    private void compact() {
        Path unfinished = folder.resolve(TEMPORARY_SEGMENT_NAME);
        Path next = folder.resolve(SEGMENT_NAME_FORMAT.formatted(segmentNumber + 1));
        try {
            FileChannel channel = FileChannel.open(unfinished, StandardOpenOption.CREATE,
                    StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE);
            long written = 0;
            Map<Long, Long> sizes = new LinkedHashMap<>();
            try {
                for (UnfinishedMessage entry : unfinishedMessages.values()) {
                    byte[] records = encodeRecords(entry.message);
                    writeFully(channel, records, written);
                    written += records.length;
                    sizes.put(entry.message.number, (long) records.length);
                }
                Files.move(unfinished, next, StandardCopyOption.ATOMIC_MOVE);
            } catch (IOException e) {
                channel.close();
                Files.deleteIfExists(unfinished);
                throw e;
            }
            segmentChannel.close();
            segmentChannel = channel;
            Path old = segmentPath;
            segmentPath = next;
            segmentNumber++;
            segmentBytes = written;
            unfinishedBytes = written;
            sizes.forEach((number, bytes) -> unfinishedMessages.get(number).sizeBytes = bytes);
            Files.deleteIfExists(old);
        } catch (IOException e) {
            Log.write("journal: can't be rewritten: " + e.getMessage());
            nextCompactionAtNanos = System.nanoTime() + COMPACTION_RETRY_NANOS;
        }
    }

    private static byte[] encodeRecords(Message message) throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(encodeRecord(acceptedPayload(message)));
        for (Message.Attempt attempt : message.attempts) {
            all.write(encodeRecord(attemptPayload(message, attempt)));
            if (attempt.result != null) {
                all.write(encodeRecord(resultPayload(message, attempt)));
            }
        }
        if (message.nonDelivery != null) {
            all.write(encodeRecord(endPayload(message)));
        }
        return all.toByteArray();
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
                writeTerms(out, message.terms);
            }
        };
    }

    private static PayloadWriter attemptPayload(Message message, Message.Attempt attempt) {
        return out -> {
            out.writeByte(ATTEMPT);
            out.writeLong(message.number);
            out.writeInt(attempt.number);
            out.writeUTF(attempt.route);
            out.writeLong(attempt.sentAt);
        };
    }

    private static PayloadWriter resultPayload(Message message, Message.Attempt attempt) {
        return out -> {
            out.writeByte(RESULT);
            out.writeLong(message.number);
            out.writeInt(attempt.number);
            out.writeUTF(attempt.result.name());
        };
    }

    private static PayloadWriter endPayload(Message message) {
        return out -> {
            out.writeByte(END_DECIDED);
            out.writeLong(message.number);
            out.writeBoolean(message.nonDelivery.rejected());
            out.writeLong(message.nonDelivery.retryAfter());
        };
    }

    private static byte[] encodeRecord(PayloadWriter payload) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeLong(0); // the head's place
            payload.write(out);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        byte[] record = bytes.toByteArray();
        CRC32 crc = new CRC32();
        crc.update(record, RECORD_HEADER_BYTES, record.length - RECORD_HEADER_BYTES);
        ByteBuffer.wrap(record).putInt(record.length - RECORD_HEADER_BYTES).putInt((int) crc.getValue());
        return record;
    }

    private void replay() throws IOException {
        ByteBuffer all = ByteBuffer.allocate((int) Math.min(segmentChannel.size(), Integer.MAX_VALUE - RECORD_HEADER_BYTES));
        while (all.hasRemaining() && segmentChannel.read(all, all.position()) >= 0) {
            continue;
        }
        all.flip();
        String damage = "a torn tail";
        try {
            for (byte[] payload = readNextPayload(all); payload != null; payload = readNextPayload(all)) {
                replay(payload);
                segmentBytes = all.position();
            }
        } catch (IOException e) {
            damage = "what follows a record that can't be read (" + e.getMessage() + ")";
        }
        if (segmentBytes < segmentChannel.size()) {
            Log.write("journal: " + damage + " is cut off, " + (segmentChannel.size() - segmentBytes) + " bytes");
            segmentChannel.truncate(segmentBytes);
        }
    }

    /** The next record's payload, or null at the end and where a record is not whole. */
    private static byte[] readNextPayload(ByteBuffer all) {
        if (all.remaining() < RECORD_HEADER_BYTES) {
            return null;
        }
        int length = all.getInt();
        int expected = all.getInt();
        if (length <= 0 || length > all.remaining()) {
            return null;
        }
        byte[] payload = new byte[length];
        all.get(payload);
        CRC32 crc = new CRC32();
        crc.update(payload);
        return (int) crc.getValue() == expected ? payload : null;
    }

    private void replay(byte[] payload) throws IOException {
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(payload))) {
            int type = in.readByte();
            long number = in.readLong();
            if (type == ACCEPTED_WITHOUT_TERMS || type == ACCEPTED_WITH_TERMS) {
                Message.Content content = readContent(in);
                Policy.RequestTerms terms = type == ACCEPTED_WITHOUT_TERMS ? null : readTerms(in, content.requestClass());
                addUnfinishedMessage(new Message(number, content, terms), payload.length + RECORD_HEADER_BYTES);
                return;
            }
            lastMessageNumber = Math.max(lastMessageNumber, number);
            UnfinishedMessage entry = unfinishedMessages.get(number);
            if (entry == null) {
                return;
            }
            entry.sizeBytes += payload.length + RECORD_HEADER_BYTES;
            unfinishedBytes += payload.length + RECORD_HEADER_BYTES;
            Message message = entry.message;
            switch (type) {
                case ATTEMPT -> replayAttempt(message, in.readInt(), in.readUTF(), in.readLong());
                case RESULT -> replayResult(message, in.readInt(), Policy.Result.valueOf(in.readUTF()));
                case END_DECIDED -> message.nonDelivery = new Message.NonDelivery(in.readBoolean(), in.readLong());
                case DONE -> removeUnfinishedMessage(number);
                default -> throw new IOException("unknown record " + type);
            }
        } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
            throw new IOException(e);
        }
    }

    /** Guards against attempts that a failing disk left out: they were not sent, but later ones keep their numbers. */
    private static void replayAttempt(Message message, int number, String route, long sentAt) throws IOException {
        if (number < message.attempts.size() || number > MAX_ATTEMPTS) {
            throw new IOException("attempt " + number + " is out of order");
        }
        while (message.attempts.size() < number) {
            message.addAttempt(route, sentAt).result = Policy.Result.NOT_SENT;
        }
        message.addAttempt(route, sentAt);
    }

    /** Guards against the result of an attempt that found no room: taken for damage, it would end the replay. */
    private static void replayResult(Message message, int number, Policy.Result result) {
        if (number < message.attempts.size()) {
            message.attempts.get(number).result = result;
        }
    }

    private static Message.Content readContent(DataInputStream in) throws IOException {
        String callId = in.readUTF();
        String requestClass = in.readUTF();
        String tenant = readOptional(in);
        String key = readOptional(in);
        long deadline = in.readLong();
        int destination = in.readInt();
        byte[] body = new byte[in.readInt()];
        in.readFully(body);
        return new Message.Content(callId, requestClass, tenant, key, deadline, destination, body);
    }

    private static void writeTerms(DataOutputStream out, Policy.RequestTerms terms) throws IOException {
        Policy.RequestClass type = terms.requestClass();
        out.writeByte(type.idempotency().ordinal());
        out.writeByte(type.keyScope().ordinal());
        out.writeLong(type.dedupWindowMicros());
        out.writeLong(type.goalMicros());
        out.writeLong(type.timeLimitMicros());
        out.writeDouble(type.value());
        out.writeDouble(type.lateValueShare());
        out.writeBoolean(type.orderedByKey());
        out.writeInt(terms.maxAttempts());
    }

    private static Policy.RequestTerms readTerms(DataInputStream in, String name) throws IOException {
        Policy.RequestClass type = new Policy.RequestClass(name, Policy.Idempotency.values()[in.readByte()],
                Policy.KeyScope.values()[in.readByte()], in.readLong(), in.readLong(), in.readLong(),
                in.readDouble(), in.readDouble(), in.readBoolean());
        return new Policy.RequestTerms(type, in.readInt());
    }

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
