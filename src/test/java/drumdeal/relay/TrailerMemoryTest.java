package drumdeal.relay;

import static drumdeal.relay.RelayProcess.await;
import static drumdeal.relay.StubPeer.respondWithStatus;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The memory of heads and trailers that are not complete, with many connections. */
class TrailerMemoryTest extends RelayTestBase {
    private static final int DESCRIPTORS = 1400;
    /** Below the limit of client connections that follows from the descriptors. */
    private static final int BAD_CLIENTS = 700;

    private static String fields(int count) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < count; i++) {
            text.append("a").append(i).append(":b").append(i).append("\r\n");
        }
        return text.toString();
    }

    /** Guards against fields of trailers that no limit counts until the request is complete. */
    @Test
    void fieldsOfIncompleteTrailersAreLimitedTogether() throws IOException {
        prepare(RelayProcess.discoveryWithoutChanges(), StubPeer.always(respondWithStatus(200)));
        relay.editConfiguration(text -> text.replace("\"sockets\":256", "\"sockets\":" + DESCRIPTORS))
                .descriptorLimit(DESCRIPTORS).jvmOptions("-Xmx26m", "-Dio.netty.allocator.type=unpooled").start();
        String request = RelayProcess.messageRequest("bad", "safe", 7, 1000, "").replace("Content-Length: 0\r\n",
                "Transfer-Encoding: chunked\r\n" + fields(88)) + "1\r\nx\r\n0\r\n" + fields(98);
        List<Socket> badClients = new ArrayList<>();
        try {
            for (int i = 0; i < BAD_CLIENTS; i++) {
                Socket socket = relay.connect();
                badClients.add(socket);
                send(socket, request);
            }
            String id = relay.submitUntilAccepted("sound", "safe", 7);
            await(() -> host.hasReceived(id));
            assertTrue(relay.isAlive());
            assertFalse(relay.readLog().contains("OutOfMemoryError"), relay.readLog());
        } finally {
            for (Socket socket : badClients) {
                socket.close();
            }
        }
    }

    private static void send(Socket socket, String text) throws IOException {
        try {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        } catch (SocketException e) {
            // The relay has rejected the request before it was written whole.
        }
    }
}
