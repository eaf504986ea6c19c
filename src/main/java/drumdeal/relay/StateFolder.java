package drumdeal.relay;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;

/**
 * The folder that outlasts the process. Two versions of a relay share it during an upgrade: each writes to a part of
 * its own alone, and a lock, which goes with the process however it ends, tells whose a part is.
 */
final class StateFolder {
    private static final int MAX_PROCESS_FOLDERS = 4;
    private static final String LOCK_FILE_NAME = "owner.lock";

    /** A part that this process owns until it lets go of the lock. */
    record LockedFolder(Path folder, FileLock lock) implements AutoCloseable {
        @Override
        public void close() throws IOException {
            lock.acquiredBy().close();
        }
    }

    private final Path root;
    private final LockedFolder ownFolder;

    /** Takes the first part that nobody owns. */
    StateFolder(Path root) throws IOException {
        this.root = root;
        LockedFolder free = null;
        for (int i = 0; i < MAX_PROCESS_FOLDERS && free == null; i++) {
            free = tryLock(processFolder(i));
        }
        if (free == null) {
            throw new IOException("every part of " + root + " is in use");
        }
        ownFolder = free;
    }

    private Path processFolder(int number) {
        return number == 0 ? root : root.resolve(Integer.toString(number));
    }

    Path ownFolder() {
        return ownFolder.folder();
    }

    /** The parts that other processes own or have left behind. */
    List<Path> otherFolders() {
        List<Path> others = new ArrayList<>();
        for (int i = 0; i < MAX_PROCESS_FOLDERS; i++) {
            if (!processFolder(i).equals(ownFolder.folder()) && Files.exists(processFolder(i).resolve(LOCK_FILE_NAME))) {
                others.add(processFolder(i));
            }
        }
        return others;
    }

    /** Takes a part; null while another process owns it. */
    static LockedFolder tryLock(Path folder) throws IOException {
        Files.createDirectories(folder);
        FileChannel channel = FileChannel.open(folder.resolve(LOCK_FILE_NAME), StandardOpenOption.CREATE,
                StandardOpenOption.WRITE);
        FileLock lock = null;
        try {
            lock = channel.tryLock();
        } catch (OverlappingFileLockException e) {
            // It is this process's own.
        } finally {
            if (lock == null) {
                channel.close();
            }
        }
        return lock == null ? null : new LockedFolder(folder, lock);
    }
}
