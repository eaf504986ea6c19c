package drumdeal.relay;

import static drumdeal.relay.RelayProcess.await;
import static drumdeal.relay.StubPeer.respondWithStatus;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The admin server: health check, statistics, draining, and its availability beside many clients. */
class AdminTest extends RelayTestBase {
    private static final String READY_REQUEST = "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n";

    @BeforeEach
    void prepare() throws IOException {
        prepare(RelayProcess.discoveryWithoutChanges(), StubPeer.always(respondWithStatus(200)));
    }

    private static boolean isClosed(Socket socket) throws IOException {
        try {
            return socket.getInputStream().read() < 0;
        } catch (SocketException e) {
            return true;
        }
    }

    @Test
    void unknownPathsWrongMethodsAndMalformedRequestsAreRejected() throws IOException {
        relay.start();
        assertEquals(200, relay.sendAdminRequest("GET", "/healthcheck"));
        assertEquals(404, relay.sendAdminRequest("GET", "/nosuch"));
        assertEquals(405, relay.sendAdminRequest("GET", "/healthcheck/fail"));
        assertEquals(405, relay.sendAdminRequest("POST", "/stats"));
        try (Socket socket = relay.connectToAdmin()) {
            assertEquals(400, RelayProcess.exchange(socket, "\u0001\u0002\r\n\r\n").status());
        }
        assertEquals(200, relay.sendAdminRequest("GET", "/healthcheck"));
    }

    @Test
    void idleAndIncompleteConnectionsAreClosedAndDoNotBlockOthers() throws IOException {
        relay.start();
        List<Socket> idle = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            Socket socket = relay.connectToAdmin();
            idle.add(socket);
            if (i % 2 == 0) {
                socket.getOutputStream().write("GET /healthch".getBytes());
            }
        }
        assertEquals(200, relay.sendAdminRequest("GET", "/healthcheck"));
        for (Socket socket : idle) {
            assertTrue(isClosed(socket));
            socket.close();
        }
    }

    @Test
    void adminServerAnswersWhileClientsUseAllTheirDescriptors() throws IOException {
        relay.start();
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            clients.add(relay.connect());
        }
        assertEquals(200, relay.sendAdminRequest("GET", "/healthcheck"));
        assertTrue(relay.countOpenDescriptors() <= 256);
        for (Socket socket : clients) {
            socket.close();
        }
    }

    @Test
    void statsCountHowMessagesEndedSinceTheStart() throws IOException {
        host.setResponder(request -> request.callId().startsWith("u") ? StubPeer.CLOSE_CONNECTION
                : respondWithStatus(200));
        relay.start();
        relay.submit("s1", "safe", 7);
        relay.submit("s2", "safe", 7);
        relay.submit("u1", "unsafe", 7);
        assertEquals(503, relay.submit("k1", "keyed", 99));
        await(() -> relay.fetchStats().contains("\"unsafe\":{\"completed\":0,\"rejected\":0,\"failed\":1}"));
        await(() -> relay.fetchStats().contains("\"safe\":{\"completed\":2,\"rejected\":0,\"failed\":0}"));
        String stats = relay.fetchStats();
        assertTrue(stats.contains("\"keyed\":{\"completed\":0,\"rejected\":1,\"failed\":0}"), stats);
        assertTrue(stats.contains("\"upstream_requests\":3,\"pending\":0,\"members\":1,"), stats);
        assertTrue(stats.contains("\"config_reloads\":0,\"config_reload_errors\":0}"), stats);
        // The counters in the log are reset every two seconds; these are not.
        await(() -> relay.readLog().contains("taken 3"));
        assertTrue(relay.fetchStats().contains("\"safe\":{\"completed\":2,"));
    }

    @Test
    void endpointThatRefusesConnectionsIsCountedAsUnavailable() throws IOException {
        host.close();
        relay.start();
        assertTrue(relay.fetchStats().contains("\"members_unavailable\":0"));
        for (int i = 0; i < 4; i++) {
            assertEquals(202, relay.submit("m" + i, "safe", 7));
        }
        await(() -> relay.fetchStats().contains("\"pending\":4,\"members\":1,\"members_unavailable\":1"));
    }

    @Test
    void drainingRelayIsNotReadyAndClosesConnectionsUntilDrainingIsStopped() throws IOException {
        relay.start();
        try (Socket idle = relay.connect()) {
            assertEquals(200, RelayProcess.exchange(idle, READY_REQUEST).status());
            assertEquals(200, relay.sendAdminRequest("POST", "/healthcheck/fail"));
            assertEquals(503, relay.exchange(READY_REQUEST).status());
            assertEquals(503, relay.sendAdminRequest("GET", "/healthcheck"));
            assertEquals(202, relay.submit("late", "safe", 7), "a client that connects nevertheless must be served");
            assertTrue(isClosed(idle), "the idle connection must be closed");
        }
        try (Socket late = relay.connect()) {
            String head = RelayProcess.exchange(late, RelayProcess.messageRequest("l2", "safe", 7, 9000, "x")).head();
            assertTrue(head.toLowerCase().contains("connection: close"), head);
        }
        assertEquals(200, relay.sendAdminRequest("POST", "/healthcheck/ok"));
        assertEquals(200, relay.sendAdminRequest("GET", "/healthcheck"));
        try (Socket again = relay.connect()) {
            assertEquals(200, RelayProcess.exchange(again, READY_REQUEST).status());
            assertEquals(200, RelayProcess.exchange(again, READY_REQUEST).status(),
                    "connections must be kept open again");
        }
    }
}
