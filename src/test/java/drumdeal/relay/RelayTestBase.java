package drumdeal.relay;

import java.io.IOException;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.io.TempDir;

/**
 * Base of tests that run a relay with one host and discovery, and maybe a newer process of the relay; all are closed
 * after each test.
 */
abstract class RelayTestBase {
    @TempDir
    Path folder;
    StubPeer discovery;
    StubPeer host;
    RelayProcess relay;
    /** The newer process of an upgrade; null until a test starts one. */
    RelayProcess successor;

    /** Creates a relay, not started yet, whose configuration lists the host at destination 7. */
    void prepare(StubPeer discovery, StubPeer host) {
        this.discovery = discovery;
        this.host = host;
        relay = new RelayProcess(folder, discovery).addTarget("h1", 7, "one", host);
    }

    @AfterEach
    void closeRelayAndPeers() throws IOException {
        if (successor != null) {
            successor.close();
        }
        relay.close();
        host.close();
        discovery.close();
    }
}
