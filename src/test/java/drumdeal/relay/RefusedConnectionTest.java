package drumdeal.relay;

import static drumdeal.relay.RelayProcess.await;
import static drumdeal.relay.StubPeer.respondWithStatus;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import drumdeal.Policy;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Messages whose host refuses connections, or does not answer them, across the end of the process. */
class RefusedConnectionTest extends RelayTestBase {
    private static final Pattern FAILED_CONNECTS = Pattern.compile("CONNECT_FAILED (\\d+)");
    private static final int MAX_ATTEMPTS = 12;
    private static final int CONNECT_TIMEOUT_MILLIS = 300;

    @BeforeEach
    void prepare() throws IOException {
        prepare(RelayProcess.discoveryWithoutChanges(), StubPeer.always(respondWithStatus(200)));
    }

    /** A socket whose port is taken, and refuses connections as nobody listens on it. */
    private static Socket refusingPort() throws IOException {
        Socket socket = new Socket();
        socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        return socket;
    }

    /** Makes the configuration list the host at another port. */
    private void listHostAtPort(int port) {
        relay.editConfiguration(text -> text.replace(host.address(), "127.0.0.1:" + port)
                .replace("\"connect-timeout-s\":1.5", "\"connect-timeout-s\":20"));
    }

    private void listHost() {
        relay.editConfiguration(text -> text);
    }

    private int countFailedConnects() {
        Matcher counts = FAILED_CONNECTS.matcher(relay.readLog());
        int sum = 0;
        while (counts.find()) {
            sum += Integer.parseInt(counts.group(1));
        }
        return sum;
    }

    /** Guards against connecting again and again, thousands of times a second, with one attempt that does not end. */
    /** Starts the relay with a host that answers; that gets the message. */
    private void assertDeliveredAfterRestart() throws IOException {
        listHost();
        relay.start();
        await(() -> host.hasReceived("u1"));
        assertFalse(relay.hasSentNotice("u1", "dead"));
    }

    @Test
    void eachRefusedConnectionEndsOneAttempt() throws IOException {
        try (Socket refusing = refusingPort()) {
            listHostAtPort(refusing.getLocalPort());
            assertEquals(202, relay.start().submit("u1", "unsafe", 7));
            await(() -> countFailedConnects() > 0);
            int failedConnects = countFailedConnects();
            List<Message> open = relay.readOpenMessages();
            assertEquals(1, open.size(), "open messages");
            int attempts = open.get(0).attempts.size();
            assertTrue(failedConnects <= attempts && attempts <= MAX_ATTEMPTS,
                    failedConnects + " failed connects, " + attempts + " attempts");
        }
    }

    /** Guards against taking a refused call for one that may have run: its message was given up after a kill. */
    @Test
    void messageWhoseConnectionsWereRefusedIsDeliveredAfterAKill() throws IOException {
        try (Socket refusing = refusingPort()) {
            listHostAtPort(refusing.getLocalPort());
            assertEquals(202, relay.start().submit("u1", "unsafe", 7));
            await(() -> countFailedConnects() > 0);
            relay.kill();
            List<Message> open = relay.readOpenMessages();
            assertEquals(1, open.size(), "open messages");
            assertTrue(open.get(0).attempts.stream()
                    .allMatch(attempt -> attempt.result == Policy.Result.CONNECT_FAILED));
        }
        assertDeliveredAfterRestart();
    }

    /** The same for a planned restart. */
    @Test
    void messageWhoseConnectionsWereRefusedIsDeliveredAfterAPlannedRestart() throws Exception {
        try (Socket refusing = refusingPort()) {
            listHostAtPort(refusing.getLocalPort());
            assertEquals(202, relay.start().submit("u1", "unsafe", 7));
            await(() -> countFailedConnects() > 0);
            relay.terminate();
            assertTrue(relay.waitForExit());
        }
        assertDeliveredAfterRestart();
    }

    /** Guards against taking a call that still waited for its connection for one that may have run. */
    @Test
    void messageWhoseCallWaitedForItsConnectionIsDeliveredAfterAKill() throws IOException {
        List<Socket> queued = new ArrayList<>();
        try (ServerSocket unresponsive = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            fillAcceptQueue(unresponsive, queued);
            listHostAtPort(unresponsive.getLocalPort());
            assertEquals(202, relay.start().submit("u1", "unsafe", 7));
            await(() -> relay.readLog().contains(" 1 calls without one"));
            relay.kill();
        } finally {
            for (Socket socket : queued) {
                socket.close();
            }
        }
        assertDeliveredAfterRestart();
    }

    /** Connects to a server that accepts nothing until its system leaves a further connection unanswered. */
    private static void fillAcceptQueue(ServerSocket server, List<Socket> queued) throws IOException {
        while (true) {
            Socket socket = new Socket();
            queued.add(socket);
            try {
                socket.connect(server.getLocalSocketAddress(), CONNECT_TIMEOUT_MILLIS);
            } catch (SocketTimeoutException e) {
                return;
            }
        }
    }
}
