package drumdeal.relay;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;

/**
 * The folder whose files survive the process. During an upgrade two processes of one relay share it. Each writes only
 * to a process folder of its own: the root itself or one of the subfolders 1 to 3. The owner holds a lock on a file in
 * its process folder; the operating system releases the lock however the process ends.
 */
final class StateFolder {
    /** Most bytes of one read or write: the JDK copies them to direct memory, which is scarce. */
    static final int MAX_TRANSFER_BYTES = 64 << 10;
    private static final int MAX_PROCESS_FOLDERS = 4;
    private static final String LOCK_FILE_NAME = "owner.lock";

    /** A process folder that this process owns until {@link #close}. */
    record LockedFolder(Path folder, FileLock lock) implements AutoCloseable {
        @Override
        public void close() throws IOException {
            lock.acquiredBy().close();
        }
    }

    private final Path root;
    private final LockedFolder ownFolder;

    /** Locks the first process folder that no other process owns. */
    StateFolder(Path root) throws IOException {
        this.root = root;
        LockedFolder locked = null;
        for (int i = 0; i < MAX_PROCESS_FOLDERS && locked == null; i++) {
            locked = tryLock(processFolder(i));
        }
        if (locked == null) {
            throw new IOException("every process folder of " + root + " is locked by another process");
        }
        ownFolder = locked;
    }

    /** The process folder of a number from 0 to {@link #MAX_PROCESS_FOLDERS} - 1; 0 is the root. */
    private Path processFolder(int number) {
        return number == 0 ? root : root.resolve(Integer.toString(number));
    }

    /** The process folder that this process owns. */
    Path ownFolder() {
        return ownFolder.folder();
    }

    /** The process folders that other processes own, or owned when they ended. */
    List<Path> otherFolders() {
        List<Path> others = new ArrayList<>();
        for (int i = 0; i < MAX_PROCESS_FOLDERS; i++) {
            if (!processFolder(i).equals(ownFolder.folder())
                    && Files.exists(processFolder(i).resolve(LOCK_FILE_NAME))) {
                others.add(processFolder(i));
            }
        }
        return others;
    }

    /** Replaces a file as a whole: a kill at any time leaves the former content or the new one. */
    static void replaceFile(Path file, byte[] content) throws IOException {
        Path temporary = file.resolveSibling(file.getFileName() + ".new");
        Files.write(temporary, content);
        Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE);
    }

    /** The bytes of disk that a file of {@code fileBytes} may take, together with its next replacement. */
    static long bytesToReserve(long fileBytes) {
        // Each file's last block is only partly used.
        return 2 * (fileBytes + DiskBudget.BLOCK_BYTES);
    }

    /**
     * Reads a whole file in pieces of a bounded size: the JDK reads into direct memory, which is scarce, and takes as
     * much of it as one read asks for.
     */
    static byte[] readFile(Path file) throws IOException {
        try (InputStream in = new BufferedInputStream(Files.newInputStream(file))) {
            return in.readAllBytes();
        }
    }

    /** Locks a process folder; null while it is owned, by another process or by this one. */
    static LockedFolder tryLock(Path folder) throws IOException {
        Files.createDirectories(folder);
        FileChannel channel = FileChannel.open(folder.resolve(LOCK_FILE_NAME), StandardOpenOption.CREATE,
                StandardOpenOption.WRITE);
        FileLock lock = null;
        try {
            lock = channel.tryLock();
        } catch (OverlappingFileLockException e) {
            // This process holds the lock already.
        } finally {
            if (lock == null) {
                channel.close();
            }
        }
        return lock == null ? null : new LockedFolder(folder, lock);
    }
}
