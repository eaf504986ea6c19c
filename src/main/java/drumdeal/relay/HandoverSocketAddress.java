package drumdeal.relay;

import java.io.IOException;
import java.net.UnixDomainSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * An address by which the socket of the handover in a process folder can be bound or connected to. The system limits
 * the path in such an address to some 100 bytes; a longer one is shortened by a symbolic link in the folder for
 * temporary files, which is there until {@link #close}. The socket itself always lies in the process folder.
 */
final class HandoverSocketAddress implements AutoCloseable {
    /** Linux takes 107 bytes, others a few less. */
    private static final int MAX_PATH_BYTES = 100;
    private static final String SOCKET_NAME = "handover.sock";
    private static final String LINK_NAME = "folder";

    private final UnixDomainSocketAddress address;
    /** Holds the link; null if the path is short enough without. */
    private final Path temporaryFolder;

    private HandoverSocketAddress(Path path, Path temporaryFolder) {
        address = UnixDomainSocketAddress.of(path);
        this.temporaryFolder = temporaryFolder;
    }

    /** Makes an address for the socket in a process folder; fails if it needs a link that can't be made. */
    static HandoverSocketAddress open(Path processFolder) throws IOException {
        Path path = pathIn(processFolder);
        if (path.toString().getBytes(StandardCharsets.UTF_8).length <= MAX_PATH_BYTES) {
            return new HandoverSocketAddress(path, null);
        }
        Path temporaryFolder = Files.createTempDirectory("drumdeal");
        Path link = temporaryFolder.resolve(LINK_NAME);
        Files.createSymbolicLink(link, processFolder.toAbsolutePath());
        return new HandoverSocketAddress(pathIn(link), temporaryFolder);
    }

    /** The path of the socket in a process folder. */
    static Path pathIn(Path processFolder) {
        return processFolder.resolve(SOCKET_NAME);
    }

    UnixDomainSocketAddress address() {
        return address;
    }

    /** Removes the link; the address can't be used any more. */
    @Override
    public void close() {
        if (temporaryFolder == null) {
            return;
        }
        try {
            Files.deleteIfExists(temporaryFolder.resolve(LINK_NAME));
            Files.deleteIfExists(temporaryFolder);
        } catch (IOException e) {
            Log.write("handover: can't remove a temporary link: " + e);
        }
    }
}
