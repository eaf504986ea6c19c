package drumdeal.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import drumdeal.Policy.Result;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Random records, compactions, kills at any byte and replays, against a model of what a replay has to find. A kill is
 * played on the files: a process that is killed leaves any part of what it was writing.
 */
class JournalPropertyTest {
    private static final int SEEDS = 40;
    private static final int STEPS = 300;
    /** So small that the journal compacts often and refuses records. */
    private static final long DISK_LIMIT_BYTES = 40_000;
    private static final int MAX_BODY_BYTES = 1_500;
    private static final int MAX_OPEN_MESSAGES = 12;
    /** The journal has room for the ids of at least as many messages that are over. */
    private static final int MIN_CALL_IDS = 10;
    private static final long DEADLINE = new Clock().micros() + TimeUnit.HOURS.toMicros(1);

    @TempDir
    Path temporaryFolder;

    /** What a replay has to find of an attempt. */
    private record AttemptState(String route, long sentAt, Result result) { }

    /** What a replay has to find of a message. */
    private record MessageState(String callId, int bodyBytes, List<AttemptState> attempts,
            Message.NonDelivery nonDelivery) {
        static MessageState of(Message message) {
            return new MessageState(message.content.callId(), message.content.body().length,
                    message.attempts.stream().map(a -> new AttemptState(a.route, a.sentAt, a.result)).toList(),
                    message.nonDelivery);
        }
    }

    /** The messages that a replay has to find, by number. */
    private static final class Model {
        final Map<Long, MessageState> messages = new TreeMap<>();
        /** Call ids of messages that are over, and what to answer, in the order in which they ended. */
        final Map<String, CallIdHistory.Answer> settled = new LinkedHashMap<>();

        Model copy() {
            Model copy = new Model();
            copy.messages.putAll(messages);
            copy.settled.putAll(settled);
            return copy;
        }

        /** Sets an attempt, with its result if it has one; numbers left out count as attempts not sent. */
        void setAttempt(Message.Attempt attempt, int recordNumber) {
            long number = attempt.message.number;
            MessageState state = messages.get(number);
            List<AttemptState> attempts = new ArrayList<>(state.attempts());
            while (attempts.size() < recordNumber) {
                attempts.add(new AttemptState(attempt.route, attempt.sentAt, Result.NOT_SENT));
            }
            AttemptState updated = new AttemptState(attempt.route, attempt.sentAt, attempt.result);
            if (attempts.size() == recordNumber) {
                attempts.add(updated);
            } else {
                attempts.set(recordNumber, updated);
            }
            messages.put(number,
                    new MessageState(state.callId(), state.bodyBytes(), List.copyOf(attempts), state.nonDelivery()));
        }

        void setEnd(Message message) {
            MessageState state = messages.get(message.number);
            messages.put(message.number, new MessageState(state.callId(), state.bodyBytes(), state.attempts(),
                    message.nonDelivery));
        }
    }

    private Random random;
    private Path folder;
    private Journal journal;
    private Model model;
    /** The model before the last step, and after each record that the step has written: a kill may leave any. */
    private final List<Model> possibleModels = new ArrayList<>();
    private final List<Message> open = new ArrayList<>();
    private long nextNumber;
    private int compactions;

    private static Stream<Long> seeds() {
        return Stream.iterate(1L, seed -> seed + 1).limit(SEEDS);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void replayFindsWhatWasRecorded(long seed) throws IOException {
        random = new Random(seed);
        folder = Files.createDirectory(temporaryFolder.resolve("journal"));
        model = new Model();
        journal = new Journal(folder, DISK_LIMIT_BYTES);
        nextNumber = 1;
        for (int step = 0; step < STEPS; step++) {
            String place = "seed " + seed + ", step " + step;
            Path before = copyFolder("before");
            possibleModels.clear();
            possibleModels.add(model.copy());
            takeStep();
            if (!segmentIn(folder).getFileName().equals(segmentIn(before).getFileName())) {
                onCompaction();
            }
            switch (random.nextInt(8)) {
                case 0 -> assertReplayFinds(model, copyFolder("reopened"), place);
                case 1 -> killDuringLastWrite(before, place);
                case 2 -> restart(place);
                default -> { }
            }
        }
        journal.close();
        assertTrue(compactions > 0, "seed " + seed + " leads to no compaction");
    }

    /** A compaction writes what the messages in memory say, also what could not be recorded before. */
    private void onCompaction() {
        compactions++;
        model.messages.clear();
        for (Message message : open) {
            model.messages.put(message.number, new MessageState(message.content.callId(),
                    message.content.body().length, List.of(), message.nonDelivery));
            message.recordedAttempts().forEach(attempt -> model.setAttempt(attempt, attempt.recordNumber()));
        }
        possibleModels.add(model.copy());
    }

    private void takeStep() throws IOException {
        switch (random.nextInt(10)) {
            case 0, 1, 2 -> accept();
            case 3, 4 -> recordAttempt();
            case 5, 6 -> recordResult();
            case 7 -> recordEnd();
            case 8 -> adopt();
            default -> recordDone();
        }
    }

    private Message createMessage() {
        long number = nextNumber++;
        return new Message(number, new Message.Content("id" + number, "safe", "acme", null, DEADLINE, 7,
                new byte[random.nextInt(MAX_BODY_BYTES)]), null);
    }

    private void accept() {
        Message message = createMessage();
        if (open.size() < MAX_OPEN_MESSAGES && journal.recordAccepted(message)) {
            open.add(message);
            model.messages.put(message.number, MessageState.of(message));
            possibleModels.add(model.copy());
        }
    }

    /** Takes over one to three messages, each perhaps with an attempt, which a kill may leave in part. */
    private void adopt() {
        List<Message> messages = new ArrayList<>();
        List<Model> states = new ArrayList<>();
        Model state = model.copy();
        for (int i = 0; i <= random.nextInt(3); i++) {
            Message message = createMessage();
            state.messages.put(message.number, MessageState.of(message));
            states.add(state.copy());
            if (random.nextBoolean()) {
                Message.Attempt attempt = message.addAttempt("adopted", nextNumber);
                attempt.markRecorded();
                state.setAttempt(attempt, 0);
                states.add(state.copy());
            }
            messages.add(message);
        }
        if (open.size() < MAX_OPEN_MESSAGES && journal.recordAdopted(messages)) {
            open.addAll(messages);
            model = state;
            possibleModels.addAll(states);
        }
    }

    private Message pickOpenMessage() {
        return open.isEmpty() ? null : open.get(random.nextInt(open.size()));
    }

    /** Records an attempt, now and then after one that is never recorded. */
    private void recordAttempt() {
        Message message = pickOpenMessage();
        if (message == null || message.nonDelivery != null) {
            return;
        }
        if (random.nextInt(4) == 0) {
            message.addAttempt("unrecorded", nextNumber);
        }
        Message.Attempt attempt = message.addAttempt("r" + random.nextInt(5), nextNumber++);
        int recordNumber = attempt.recordNumber();
        if (journal.recordAttempt(attempt)) {
            model.setAttempt(attempt, recordNumber);
            possibleModels.add(model.copy());
        }
    }

    /** Records the result of an attempt that has none, whether the attempt itself is recorded or not. */
    private void recordResult() {
        Message message = pickOpenMessage();
        Message.Attempt attempt = message == null ? null
                : message.attempts.stream().filter(a -> a.result == null).findFirst().orElse(null);
        if (attempt == null) {
            return;
        }
        int recordNumber = attempt.recordNumber();
        if (!attempt.isRecorded()) {
            model.setAttempt(attempt, recordNumber);
            possibleModels.add(model.copy());
        }
        attempt.result = random.nextBoolean() ? Result.FULL : Result.CONNECT_FAILED;
        long bytesBefore = journal.unfinishedBytes();
        journal.recordResult(attempt);
        if (journal.unfinishedBytes() > bytesBefore) {
            model.setAttempt(attempt, recordNumber);
            possibleModels.add(model.copy());
        } else {
            model = possibleModels.get(0).copy();
        }
    }

    private void recordEnd() {
        Message message = pickOpenMessage();
        if (message == null || message.nonDelivery != null) {
            return;
        }
        message.nonDelivery = new Message.NonDelivery(random.nextBoolean(), random.nextInt(100));
        long bytesBefore = journal.unfinishedBytes();
        journal.recordEnd(message);
        if (journal.unfinishedBytes() > bytesBefore) {
            model.setEnd(message);
            possibleModels.add(model.copy());
        }
    }

    /** Without room for the record the message is found again until a compaction leaves it out. */
    private void recordDone() throws IOException {
        Message message = pickOpenMessage();
        if (message == null) {
            return;
        }
        open.remove(message);
        long bytesBefore = Files.size(segmentIn(folder));
        CallIdHistory.Answer answer = random.nextBoolean() ? CallIdHistory.Answer.ACCEPTED : null;
        journal.recordDone(message, answer);
        if (Files.size(segmentIn(folder)) != bytesBefore) {
            model.messages.remove(message.number);
            if (answer != null) {
                model.settled.put(message.content.callId(), answer);
            }
            possibleModels.add(model.copy());
        }
    }

    private Path copyFolder(String name) throws IOException {
        Path copy = temporaryFolder.resolve(name);
        deleteFolder(copy);
        Files.createDirectory(copy);
        for (Path file : listFiles(folder)) {
            Files.copy(file, copy.resolve(file.getFileName()));
        }
        return copy;
    }

    private static List<Path> listFiles(Path folder) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.sorted().toList();
        }
    }

    private static Path segmentIn(Path folder) throws IOException {
        return listFiles(folder).get(0);
    }

    private static void deleteFolder(Path folder) throws IOException {
        if (Files.exists(folder)) {
            try (Stream<Path> files = Files.walk(folder)) {
                for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(file);
                }
            }
        }
    }

    private static Map<Long, MessageState> replay(Path folder) throws IOException {
        Map<Long, MessageState> found = new TreeMap<>();
        try (Journal replayed = new Journal(folder, DISK_LIMIT_BYTES)) {
            replayed.unfinishedMessages().forEach(m -> found.put(m.number, MessageState.of(m)));
        }
        return found;
    }

    private static void assertReplayFinds(Model model, Path folder, String place) throws IOException {
        assertEquals(model.messages, replay(folder), place);
    }

    /**
     * Goes on with the files as a kill at a random byte of the last step's writes leaves them. Without a compaction
     * that is a part of what was appended. With one the old segment is there, and the new one in part under another
     * name, or both.
     */
    private void killDuringLastWrite(Path before, String place) throws IOException {
        Path killed = copyFolder("killed");
        Path oldSegment = segmentIn(before);
        Path newSegment = segmentIn(killed);
        if (oldSegment.getFileName().equals(newSegment.getFileName())) {
            long from = Files.size(oldSegment);
            long to = Files.size(newSegment);
            truncate(newSegment, from + random.nextLong(to - from + 1));
        } else {
            Files.copy(oldSegment, killed.resolve(oldSegment.getFileName()));
            if (random.nextBoolean()) {
                Path unfinished = killed.resolve("journal.new");
                Files.move(newSegment, unfinished);
                truncate(unfinished, random.nextLong(Files.size(unfinished) + 1));
            }
        }
        Map<Long, MessageState> found = replay(killed);
        model = possibleModels.stream().filter(possible -> possible.messages.equals(found)).findFirst()
                .orElseThrow(() -> new AssertionError(place + ": found " + found + ", possible are "
                        + possibleModels.stream().map(possible -> possible.messages).toList()));
        journal.close();
        deleteFolder(folder);
        Files.move(killed, folder);
        open(place);
    }

    private static void truncate(Path file, long bytes) throws IOException {
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.WRITE)) {
            channel.truncate(bytes);
        }
    }

    /** Goes on with a new journal of the same folder and with the messages that it finds. */
    private void restart(String place) throws IOException {
        journal.close();
        open(place);
    }

    private void open(String place) throws IOException {
        journal = new Journal(folder, DISK_LIMIT_BYTES);
        open.clear();
        open.addAll(journal.unfinishedMessages());
        Map<Long, MessageState> found = new TreeMap<>();
        open.forEach(m -> found.put(m.number, MessageState.of(m)));
        assertEquals(model.messages, found, place);
        List<String> settled = List.copyOf(model.settled.keySet());
        Map<String, CallIdHistory.Answer> foundSettled = journal.settledCallIds().entries().stream()
                .collect(Collectors.toMap(CallIdHistory.Entry::callId, CallIdHistory.Entry::answer));
        assertTrue(model.settled.entrySet().containsAll(foundSettled.entrySet()), place);
        assertTrue(foundSettled.keySet().containsAll(
                settled.subList(Math.max(0, settled.size() - MIN_CALL_IDS), settled.size())),
                () -> place + ": found " + foundSettled + " of " + settled);
    }
}
