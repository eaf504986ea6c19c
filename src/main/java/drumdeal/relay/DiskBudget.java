package drumdeal.relay;

import java.nio.file.Path;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Decides how much of the relay's disk limit this process's journal may take. Another process of the relay may use the
 * disk as well: during an upgrade the older one does, and after a crash its folder is there until its messages are
 * adopted. Sizes are in bytes. Not thread-safe.
 */
final class DiskBudget {
    /** Unit in which the space of a file on the disk counts. */
    static final int BLOCK_BYTES = 512;

    /** What a record is for; records that add work for the relay get less room than those that end work. */
    enum Purpose {
        /** A message that a client has submitted. */
        ACCEPTED,
        /** An attempt that is about to be sent. */
        ATTEMPT,
        /** Messages of another process, with their attempts and results. */
        ADOPTED,
        /** The same, for a journal that has no unfinished message whose end could make more room. */
        ADOPTED_INTO_EMPTY,
        /** The result of an attempt or the end of a message. */
        OUTCOME
    }

    /** Limits of the segment as shares of the budget. */
    private record Limits(double accepted, double attempt, double adopted, double adoptedIntoEmpty, double outcome) {
        double shareFor(Purpose purpose) {
            return switch (purpose) {
                case ACCEPTED -> accepted;
                case ATTEMPT -> attempt;
                case ADOPTED -> adopted;
                case ADOPTED_INTO_EMPTY -> adoptedIntoEmpty;
                case OUTCOME -> outcome;
            };
        }
    }

    /** The old and the new segment of a compaction together may take this share of the budget. */
    private static final double MAX_COMPACTION_SHARE = 0.95;
    /** Without another process: a compaction needs the other half. */
    private static final Limits SOLE_LIMITS = new Limits(0.45, 0.45, 0.4, 0.5, 0.5);
    /**
     * Beside a process that still runs. All that it holds, up to 0.5 of the disk in its segment and mostly under 0.3 in
     * unfinished messages, has to fit into the half that is left. Compactions wait until there is room for them.
     */
    private static final Limits SHARED_LIMITS = new Limits(0.45, 0.85, 0.75, 0.75, MAX_COMPACTION_SHARE);
    /** Beside the folder of a process that has ended, which goes once its messages are adopted. */
    private static final Limits ADOPTING_LIMITS =
            new Limits(0.45, 0.85, MAX_COMPACTION_SHARE, MAX_COMPACTION_SHARE, MAX_COMPACTION_SHARE);
    /** Unfinished messages may take this share; beyond it no further message is accepted. */
    private static final double MAX_UNFINISHED_SHARE = 0.3;
    /** The call ids of messages that are over may take this share; beyond it the oldest are forgotten at a restart. */
    private static final double MAX_CALL_IDS_SHARE = 0.05;
    /** The segment is compacted when records of finished messages take more than this share. */
    private static final double COMPACTION_THRESHOLD_SHARE = 0.1;

    private final long diskBytes;
    private long otherFilesBytes;
    /** Folders of processes of the relay that still run, or may do so. */
    private final Set<Path> runningFolders = new HashSet<>();
    /** Sizes of the folders of processes that have ended, whose messages are not adopted yet. */
    private final Map<Path, Long> endedFolders = new HashMap<>();
    private boolean handingOver;

    DiskBudget(long diskBytes) {
        this.diskBytes = diskBytes;
    }

    /** Reserves space for files of this process other than the journal; replaces the former reservation. */
    void reserveForOtherFiles(long bytes) {
        otherFilesBytes = bytes;
    }

    /** Another process, which owns {@code folder}, uses the disk until {@link #shareWithEnded}. */
    void shareWithRunning(Path folder) {
        runningFolders.add(folder);
    }

    /** The folder of a process that has ended takes {@code bytes} until {@link #release}. */
    void shareWithEnded(Path folder, long bytes) {
        runningFolders.remove(folder);
        endedFolders.put(folder, bytes);
    }

    /** The messages in a folder are adopted; its files take no space worth counting any more. */
    void release(Path folder) {
        endedFolders.remove(folder);
    }

    /** Hands the disk over to a newer process: this one needs no room for a second segment and compacts no more. */
    void startHandover() {
        handingOver = true;
    }

    /** The part of the disk that the journal and its compaction may take. */
    private long budgetBytes() {
        long endedBytes = 0;
        for (long folderBytes : endedFolders.values()) {
            endedBytes += folderBytes;
        }
        long runningBytes = runningFolders.isEmpty() ? 0 : diskBytes / 2;
        return Math.max(0, diskBytes - otherFilesBytes - endedBytes - runningBytes);
    }

    private Limits limits() {
        if (!runningFolders.isEmpty()) {
            return SHARED_LIMITS;
        }
        return endedFolders.isEmpty() ? SOLE_LIMITS : ADOPTING_LIMITS;
    }

    /** True if the segment may grow to {@code segmentBytes} for a record. */
    boolean allowsSegment(long segmentBytes, Purpose purpose) {
        return segmentBytes <= segmentLimit(purpose);
    }

    private double segmentLimit(Purpose purpose) {
        double limit = limits().shareFor(purpose) * budgetBytes();
        // Also what fits beside another process must not exceed the limit that holds after its end.
        double limitAlone = SOLE_LIMITS.shareFor(purpose) * (diskBytes - otherFilesBytes);
        return Math.min(limit, limitAlone);
    }

    /**
     * How many bytes the call ids of messages that are over may take in a new segment, beside the old one, so that
     * {@code requiredBytes} of other records fit into it for a purpose.
     */
    long bytesForCallIds(long segmentBytes, long requiredBytes, Purpose purpose) {
        double share = MAX_CALL_IDS_SHARE * budgetBytes();
        double roomInSegment = segmentLimit(purpose) - requiredBytes;
        double roomBesideSegment = MAX_COMPACTION_SHARE * budgetBytes() - segmentBytes - requiredBytes;
        return (long) Math.max(0, Math.min(share, Math.min(roomInSegment, roomBesideSegment)));
    }

    /** True if records of unfinished messages may take {@code bytes} once a further message is accepted. */
    boolean allowsUnfinished(long bytes) {
        return bytes <= MAX_UNFINISHED_SHARE * budgetBytes();
    }

    /** True if records of finished messages take so much that the segment should be compacted. */
    boolean isCompactionDue(long finishedBytes) {
        return finishedBytes > COMPACTION_THRESHOLD_SHARE * budgetBytes();
    }

    /** True if there is room for a segment and, beside it, for a compacted one with its unfinished messages. */
    boolean allowsCompaction(long segmentBytes, long unfinishedBytes) {
        return !handingOver && segmentBytes + unfinishedBytes <= MAX_COMPACTION_SHARE * budgetBytes();
    }
}
