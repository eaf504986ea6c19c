package drumdeal.relay;

import static drumdeal.relay.RelayProcess.await;
import static drumdeal.relay.RelayProcess.targetListJson;
import static drumdeal.relay.RelayProcess.targetJson;
import static drumdeal.relay.StubPeer.respondWith;
import static drumdeal.relay.StubPeer.respondWithStatus;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Idle clients hold every connection that the relay allows to clients while discovery is unavailable. */
class IdleClientsTest extends RelayTestBase {
    /** The limit of the system, the same as in the configuration: the relay can open no descriptor beyond it. */
    private static final int DESCRIPTOR_LIMIT = 256;
    private static final int CLIENT_COUNT = 400;

    private final List<Socket> clients = new ArrayList<>();
    private volatile boolean isDiscoveryRestored;

    @BeforeEach
    void prepare() throws IOException {
        prepare(new StubPeer(this::respondAsDiscovery),
                new StubPeer(request -> respondWithStatus("fails".equals(request.callId()) ? 500 : 200)));
        relay.descriptorLimit(DESCRIPTOR_LIMIT);
    }

    @AfterEach
    void closeClients() throws IOException {
        for (Socket client : clients) {
            client.close();
        }
    }

    private String respondAsDiscovery(StubPeer.Request request) {
        if (request.requestLine().startsWith("POST")) {
            return respondWithStatus(204);
        }
        String knownTarget = targetJson("h1", 7, "one", "in_service", host.address());
        String addedTarget = targetJson("h2", 9, "one", "in_service", host.address());
        return isDiscoveryRestored ? respondWith(200, targetListJson(2, true, knownTarget, addedTarget))
                : respondWithStatus(503);
    }

    @Test
    void descriptorsStayReservedForCallsNoticesAndDiscovery() throws IOException {
        relay.start();
        for (int i = 0; i < CLIENT_COUNT; i++) {
            clients.add(relay.connect());
        }
        assertEquals(202, relay.submit("served", "safe", 7));
        assertEquals(202, relay.submit("fails", "unsafe", 7));
        await(() -> host.hasReceived("served"));
        await(() -> relay.hasSentNotice("fails", "dead"));
        await(() -> relay.readOpenMessages().isEmpty());
        isDiscoveryRestored = true;
        await(() -> relay.readLog().contains("discovery: version 2"));
        assertEquals(202, relay.submit("new", "safe", 9));
        await(() -> host.hasReceived("new"));
        assertTrue(relay.countOpenDescriptors() <= DESCRIPTOR_LIMIT,
                "open descriptors: " + relay.countOpenDescriptors());
    }
}
