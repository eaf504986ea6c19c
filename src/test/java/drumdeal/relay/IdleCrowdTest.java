package drumdeal.relay;

import static drumdeal.relay.RelayProcess.await;
import static drumdeal.relay.RelayProcess.list;
import static drumdeal.relay.RelayProcess.target;
import static drumdeal.relay.StubPeer.answer;
import static drumdeal.relay.StubPeer.status;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Idle clients take every connection that there is for them while discovery is gone. */
class IdleCrowdTest extends RelayTestBase {
    /** As the configuration says, and no more. */
    private static final int DESCRIPTORS = 256;
    private static final int CLIENTS = 400;

    private final List<Socket> clients = new ArrayList<>();
    private volatile boolean back;

    @BeforeEach
    void prepare() throws IOException {
        prepare(new StubPeer(this::discover), new StubPeer(request -> status("fails".equals(request.id()) ? 500 : 200)));
        relay.descriptors(DESCRIPTORS);
    }

    @AfterEach
    void leave() throws IOException {
        for (Socket client : clients) {
            client.close();
        }
    }

    private String discover(StubPeer.Request request) {
        if (request.line().startsWith("POST")) {
            return status(204);
        }
        String known = target("h1", 7, "one", "in_service", host.address());
        String added = target("h2", 9, "one", "in_service", host.address());
        return back ? answer(200, list(2, true, known, added)) : status(503);
    }

    @Test
    void callsNoticesAndDiscoveryKeepDescriptorsOfTheirOwn() throws IOException {
        relay.start();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(relay.connect());
        }
        assertEquals(202, relay.handIn("served", "safe", 7));
        assertEquals(202, relay.handIn("fails", "unsafe", 7));
        await(() -> host.hasCallFor("served"));
        await(() -> relay.noticed("fails", "dead"));
        await(() -> relay.journaled().isEmpty());
        back = true;
        await(() -> relay.log().contains("discovery: version 2"));
        assertEquals(202, relay.handIn("new", "safe", 9));
        await(() -> host.hasCallFor("new"));
        assertTrue(relay.openDescriptors() <= DESCRIPTORS, "descriptors: " + relay.openDescriptors());
    }
}
