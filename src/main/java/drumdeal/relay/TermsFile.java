package drumdeal.relay;

import java.io.ByteArrayInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Stores the terms that bind in a file of the process folder, so that they outlive the process: another one of the
 * relay that starts with new settings has to follow those that clients may still use as well.
 *
 * <p>The file holds a version (int), a CRC-32 of what follows (int), and a {@link TermsHistory.Snapshot}.
 */
final class TermsFile {
    private static final int VERSION = 1;
    private static final int HEADER_BYTES = 2 * Integer.BYTES;
    private static final String FILE_NAME = "terms";

    private TermsFile() { }

    /**
     * Replaces the file and returns the bytes of disk to reserve for it and its next replacement. If writing fails, a
     * process that starts with other settings takes the terms in the former file for ones that bind.
     */
    static long write(Path folder, TermsHistory.Snapshot snapshot) {
        byte[] payload = Handover.toBytes(snapshot::write);
        byte[] file = ByteBuffer.allocate(HEADER_BYTES + payload.length).putInt(VERSION).putInt(RecordReader.checksum(payload, 0))
                .put(payload).array();
        try {
            StateFolder.replaceFile(folder.resolve(FILE_NAME), file);
        } catch (IOException e) {
            Log.write("terms: can't write the terms that bind: " + e.getMessage());
        }
        return StateFolder.bytesToReserve(file.length);
    }

    /** Returns the terms that a process wrote; null if there are none, or if they can't be read, which is logged. */
    static TermsHistory.Snapshot read(Path folder) {
        Path path = folder.resolve(FILE_NAME);
        if (!Files.exists(path)) {
            return null;
        }
        try {
            ByteBuffer file = ByteBuffer.wrap(StateFolder.readFile(path));
            if (file.remaining() < HEADER_BYTES || file.getInt() != VERSION) {
                throw new IOException("the file has an unknown version");
            }
            int storedChecksum = file.getInt();
            byte[] payload = new byte[file.remaining()];
            file.get(payload);
            if (storedChecksum != RecordReader.checksum(payload, 0)) {
                throw new IOException("the checksum of the file is wrong");
            }
            return TermsHistory.Snapshot.read(new DataInputStream(new ByteArrayInputStream(payload)));
        } catch (IOException e) {
            Log.write("terms: starting without stored terms: " + e.getMessage());
            return null;
        }
    }

    /** Deletes the file of a process that has ended, once another one has what it says. */
    static void delete(Path folder) throws IOException {
        Files.deleteIfExists(folder.resolve(FILE_NAME));
    }
}
