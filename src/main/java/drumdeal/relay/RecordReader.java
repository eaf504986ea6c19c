package drumdeal.relay;

import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.zip.CRC32;

/**
 * Reads journal records one after another. It never asks for more than one record at once: the JDK reads a file into
 * direct memory, which is scarce, and takes as much of it as one read asks for. Not thread-safe.
 */
final class RecordReader {
    /** Length of the payload (int), CRC-32 of the payload (int). */
    static final int HEADER_BYTES = 2 * Integer.BYTES;
    /** No record is as large: a body has 64 KiB at most, the head of a request a few more. A longer one is corrupt. */
    private static final int MAX_PAYLOAD_BYTES = 1 << 20;

    private final DataInputStream in;
    private final long size;
    private long position;

    /** Reads records from a stream that holds {@code size} bytes. */
    RecordReader(InputStream stream, long size) {
        in = new DataInputStream(new BufferedInputStream(stream));
        this.size = size;
    }

    /** The number of bytes up to the end of the last record that {@link #next} has returned. */
    long position() {
        return position;
    }

    /** The payload of the next record; null at the end, or if the record is incomplete or its checksum is wrong. */
    byte[] next() throws IOException {
        long remaining = size - position - HEADER_BYTES;
        if (remaining < 0) {
            return null;
        }
        int length = in.readInt();
        int expectedChecksum = in.readInt();
        if (length <= 0 || length > Math.min(remaining, MAX_PAYLOAD_BYTES)) {
            return null;
        }
        byte[] payload = new byte[length];
        in.readFully(payload);
        if (checksum(payload, 0) != expectedChecksum) {
            return null;
        }
        position += HEADER_BYTES + length;
        return payload;
    }

    /** The CRC-32 of the bytes from {@code offset} on. */
    static int checksum(byte[] bytes, int offset) {
        CRC32 crc = new CRC32();
        crc.update(bytes, offset, bytes.length - offset);
        return (int) crc.getValue();
    }
}
