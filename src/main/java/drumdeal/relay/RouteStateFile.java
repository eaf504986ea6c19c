package drumdeal.relay;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.zip.CRC32;

/**
 * Stores what the decision module has learned of its routes in a file that survives the process. Without it, a fleet
 * whose relays are all killed at once would restart with every circuit closed and no limit on any route's rate.
 *
 * <p>The file holds a version (int), the time of writing (long, microseconds of the {@link Clock}), a CRC-32 of that
 * time and the state (int), and the state as the decision module encodes it.
 */
final class RouteStateFile {
    /** State older than this is not used: outages and lowered limits last seconds. */
    static final long MAX_AGE_MICROS = 15_000_000;
    private static final int VERSION = 1;
    /** The file may take the disk limit divided by this; while it is replaced, the new file exists beside it. */
    private static final int DISK_LIMIT_DIVISOR = 8;
    /** Version, time of writing, checksum. */
    private static final int HEADER_BYTES = Integer.BYTES + Long.BYTES + Integer.BYTES;
    private static final String FILE_NAME = "health";

    private RouteStateFile() { }

    /**
     * Replaces the file and returns the bytes of disk to reserve for it and its next replacement; 0 if the state is too
     * large to be written. If writing fails, the next process may start without the state.
     */
    static long write(Path folder, byte[] state, long nowMicros, long diskLimitBytes) {
        if (HEADER_BYTES + state.length > diskLimitBytes / DISK_LIMIT_DIVISOR) {
            Log.write("health: route state not written, its share of the disk is too small for " + state.length
                    + " bytes");
            return 0;
        }
        byte[] file = ByteBuffer.allocate(HEADER_BYTES + state.length).putInt(VERSION).putLong(nowMicros)
                .putInt(checksum(state, nowMicros)).put(state).array();
        try {
            StateFolder.replaceFile(folder.resolve(FILE_NAME), file);
        } catch (IOException e) {
            Log.write("health: can't write the route state: " + e.getMessage());
        }
        return StateFolder.bytesToReserve(file.length);
    }

    /** Returns the state that the last process wrote. If it can't be used, logs the reason and returns null. */
    static byte[] read(Path folder, long nowMicros, long diskLimitBytes) {
        try {
            Path path = folder.resolve(FILE_NAME);
            if (!Files.exists(path)) {
                return reportUnusable("there is no file");
            }
            if (Files.size(path) > diskLimitBytes / DISK_LIMIT_DIVISOR) {
                return reportUnusable("the file is too large");
            }
            ByteBuffer file = ByteBuffer.wrap(StateFolder.readFile(path));
            if (file.remaining() < HEADER_BYTES) {
                return reportUnusable("the file is shorter than its header");
            }
            int version = file.getInt();
            long writtenAtMicros = file.getLong();
            int storedChecksum = file.getInt();
            byte[] state = new byte[file.remaining()];
            file.get(state);
            if (version != VERSION) {
                return reportUnusable("the file has unknown version " + version);
            }
            if (storedChecksum != checksum(state, writtenAtMicros)) {
                return reportUnusable("the checksum of the file is wrong");
            }
            long ageMicros = nowMicros - writtenAtMicros;
            if (ageMicros > MAX_AGE_MICROS || ageMicros < 0) {
                return reportUnusable("the file is " + ageMicros / 1000 + " ms old");
            }
            Log.write("health: restored route state from " + ageMicros / 1000 + " ms ago");
            return state;
        } catch (IOException e) {
            return reportUnusable(e.toString());
        }
    }

    private static byte[] reportUnusable(String reason) {
        Log.write("health: starting without stored route state: " + reason);
        return null;
    }

    private static int checksum(byte[] state, long writtenAtMicros) {
        CRC32 crc = new CRC32();
        crc.update(ByteBuffer.allocate(Long.BYTES).putLong(writtenAtMicros).array());
        crc.update(state);
        return (int) crc.getValue();
    }
}
