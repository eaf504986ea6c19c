package drumdeal.relay;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.zip.CRC32;

/**
 * What the decision module has learned of its routes, in a file that outlasts the process. Guards against a fleet that
 * is killed together and comes back with every circuit closed and every pace without limit.
 */
final class Health {
    /** What is older tells nothing of now: outages and lowered limits last seconds. */
    static final long OLDEST = 15_000_000;
    private static final int VERSION = 1;
    /** Of the disk, for the file that stands; for a moment the next one stands beside it. */
    private static final int LARGEST_SHARE = 8;
    private static final int BLOCK = 512;
    private static final int HEAD = Integer.BYTES + Long.BYTES + Integer.BYTES;
    private static final String FILE = "health";

    private Health() { }

    /**
     * Replaces the file and tells how much of the disk it wants; an error costs the next process what was learned,
     * nothing else.
     */
    static long write(Path folder, byte[] memory, long now, long disk) {
        if (HEAD + memory.length > disk / LARGEST_SHARE) {
            Log.line("health: there is no room for " + memory.length + " bytes");
            return 0;
        }
        byte[] file = ByteBuffer.allocate(HEAD + memory.length).putInt(VERSION).putLong(now).putInt(sum(memory, now))
                .put(memory).array();
        Path unfinished = folder.resolve(FILE + ".new");
        try {
            Files.write(unfinished, file);
            Files.move(unfinished, folder.resolve(FILE), StandardCopyOption.ATOMIC_MOVE);
        } catch (IOException e) {
            Log.line("health: can't be written: " + e.getMessage());
        }
        return 2L * (file.length + BLOCK);
    }

    /** What the last process has learned; null, and one line for staff, where nothing of it can be relied on. */
    static byte[] read(Path folder, long now, long disk) {
        try {
            Path path = folder.resolve(FILE);
            if (!Files.exists(path)) {
                return passOver("there is no file");
            }
            if (Files.size(path) > disk / LARGEST_SHARE) {
                return passOver("the file is too large");
            }
            ByteBuffer file = ByteBuffer.wrap(Files.readAllBytes(path));
            if (file.remaining() < HEAD) {
                return passOver("the file is cut short");
            }
            int version = file.getInt();
            long writtenAt = file.getLong();
            int sum = file.getInt();
            byte[] memory = new byte[file.remaining()];
            file.get(memory);
            if (version != VERSION) {
                return passOver("the file is of version " + version);
            }
            if (sum != sum(memory, writtenAt)) {
                return passOver("the file is not whole");
            }
            long age = now - writtenAt;
            if (age > OLDEST || age < 0) {
                return passOver("the file is " + age / 1000 + " ms old");
            }
            Log.line("health: as it was " + age / 1000 + " ms ago");
            return memory;
        } catch (IOException e) {
            return passOver(e.toString());
        }
    }

    private static byte[] passOver(String why) {
        Log.line("health: nothing from before: " + why);
        return null;
    }

    private static int sum(byte[] memory, long writtenAt) {
        CRC32 crc = new CRC32();
        crc.update(ByteBuffer.allocate(Long.BYTES).putLong(writtenAt).array());
        crc.update(memory);
        return (int) crc.getValue();
    }
}
