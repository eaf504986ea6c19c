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
    private static final int MOST_PARTS = 4;
    private static final String LOCK = "owner.lock";

    /** A part that this process owns until it lets go of the lock. */
    record Part(Path folder, FileLock lock) implements AutoCloseable {
        @Override
        public void close() throws IOException {
            lock.acquiredBy().close();
        }
    }

    private final Path root;
    private final Part own;

    /** Takes the first part that nobody owns. */
    StateFolder(Path root) throws IOException {
        this.root = root;
        Part free = null;
        for (int i = 0; i < MOST_PARTS && free == null; i++) {
            free = tryTake(part(i));
        }
        if (free == null) {
            throw new IOException("every part of " + root + " is in use");
        }
        own = free;
    }

    private Path part(int number) {
        return number == 0 ? root : root.resolve(Integer.toString(number));
    }

    Path own() {
        return own.folder();
    }

    /** The parts that other processes own or have left behind. */
    List<Path> others() {
        List<Path> others = new ArrayList<>();
        for (int i = 0; i < MOST_PARTS; i++) {
            if (!part(i).equals(own.folder()) && Files.exists(part(i).resolve(LOCK))) {
                others.add(part(i));
            }
        }
        return others;
    }

    /** Takes a part; null while another process owns it. */
    static Part tryTake(Path folder) throws IOException {
        Files.createDirectories(folder);
        FileChannel channel = FileChannel.open(folder.resolve(LOCK), StandardOpenOption.CREATE,
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
        return lock == null ? null : new Part(folder, lock);
    }
}
