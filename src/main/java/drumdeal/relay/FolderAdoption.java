package drumdeal.relay;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * Adopts the unfinished messages in the folder of a process that has ended. This process records them in its own
 * journal, all together, and only then deliveries continue and the folder's journal is deleted: a kill at any time
 * leaves each message in a journal. Without room for the records the messages wait in the folder; those whose time is
 * up meanwhile are ended, as a message that is past its deadline is not attempted any more, whoever finds it.
 */
final class FolderAdoption {
    /** Pause until it is tried again to record the messages; the end of other messages makes room. */
    private static final long RETRY_INTERVAL_MILLIS = 100;

    /** The owner of this process's messages. */
    interface MessageOwner {
        /** Registers a message of another process under a number of this one; null if it is known already. */
        Message registerIfUnknown(Message message);

        /** From now on this process delivers a registered message. */
        void takeOwnership(Message message);
    }

    private final EventLoop loop;
    private final Clock clock;
    private final Journal journal;
    private final MessageOwner owner;
    private final StateFolder.LockedFolder lockedFolder;
    private final List<Message> messages = new ArrayList<>();
    private List<CallIdHistory.Entry> settledCallIds = List.of();
    private boolean waitLogged;

    /** Prepares to adopt a folder that this process has locked. */
    FolderAdoption(EventLoop loop, Clock clock, Journal journal, MessageOwner owner,
            StateFolder.LockedFolder lockedFolder) {
        this.loop = loop;
        this.clock = clock;
        this.journal = journal;
        this.owner = owner;
        this.lockedFolder = lockedFolder;
    }

    /**
     * Reads the folder and adopts its messages, at once if there is room. If the folder can't be read, gives it up and
     * throws.
     */
    void start(long diskBytes) throws IOException {
        Journal.Contents contents;
        try {
            contents = Journal.read(lockedFolder.folder(), diskBytes);
            journal.budget().shareWithEnded(lockedFolder.folder(), Journal.sizeOnDisk(lockedFolder.folder()));
        } catch (IOException e) {
            lockedFolder.close();
            throw e;
        }
        for (Message message : contents.unfinishedMessages()) {
            // The other process may have handed a message over and ended before it could record that.
            Message registered = owner.registerIfUnknown(message);
            if (registered != null) {
                messages.add(registered);
            }
        }
        settledCallIds = contents.settledCallIds();
        settledCallIds.forEach(entry -> journal.settledCallIds().add(entry, clock.micros()));
        adoptOrWait();
    }

    private void adoptOrWait() {
        messages.removeIf(message -> message.finished);
        if (!journal.recordAdopted(messages)) {
            logWait();
            endOverdue();
            loop.schedule(this::adoptOrWait, RETRY_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        if (!messages.isEmpty()) {
            Log.write("adopted " + messages.size() + " unfinished messages of a process that has ended");
        }
        takeOwnership(message -> true);
        journal.recordAdoptedCallIds(settledCallIds);
        releaseFolder();
    }

    private void logWait() {
        if (!waitLogged) {
            waitLogged = true;
            Log.write("no room in the journal for " + messages.size()
                    + " unfinished messages of a process that has ended, they wait in its folder");
        }
    }

    private void endOverdue() {
        long now = clock.micros();
        takeOwnership(message -> message.content.deadline() <= now);
    }

    private void takeOwnership(Predicate<Message> condition) {
        messages.stream().filter(message -> !message.owned).filter(condition).forEach(owner::takeOwnership);
    }

    /** Deletes what the folder holds and gives it up; its messages would otherwise be adopted once more. */
    private void releaseFolder() {
        try {
            Journal.deleteSegments(lockedFolder.folder());
            TermsFile.delete(lockedFolder.folder());
            journal.budget().release(lockedFolder.folder());
            lockedFolder.close();
        } catch (IOException e) {
            Log.write("state folder " + lockedFolder.folder().getFileName() + " can't be cleared, trying again: "
                    + e.getMessage());
            loop.schedule(this::releaseFolder, RETRY_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }
}
