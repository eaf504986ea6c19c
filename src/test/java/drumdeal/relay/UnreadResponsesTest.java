package drumdeal.relay;

import static drumdeal.relay.RelayProcess.await;
import static drumdeal.relay.StubPeer.respondWithStatus;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntFunction;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Clients that send requests one behind the other, as fast as they can, and read no response. */
class UnreadResponsesTest extends RelayTestBase {
    /** More than the system holds for a connection, and than the relay's heap holds of responses to it. */
    private static final int MAX_SENT_BYTES = 60_000_000;
    private static final int PIECE_BYTES = 16_000;
    private static final int SEVERAL_CLIENTS = 3;

    private final List<Thread> clients = new ArrayList<>();
    private final List<Socket> sockets = new ArrayList<>();
    private final AtomicInteger closedClients = new AtomicInteger();

    @BeforeEach
    void prepare() throws IOException {
        prepare(RelayProcess.discoveryWithoutChanges(), StubPeer.always(respondWithStatus(200)));
        relay.jvmOptions("-Xmx16m", "-XX:MaxDirectMemorySize=4m", "-Dio.netty.allocator.type=unpooled").start();
    }

    @AfterEach
    void closeClients() throws IOException, InterruptedException {
        for (Socket socket : sockets) {
            socket.close();
        }
        for (Thread client : clients) {
            client.join(TimeUnit.SECONDS.toMillis(30));
        }
    }

    /** Starts a client that sends request after request until the relay closes its connection. */
    private void startClient(Socket socket, IntFunction<String> request) {
        sockets.add(socket);
        Thread client = new Thread(() -> {
            try {
                int sentBytes = 0;
                for (int number = 0; sentBytes < MAX_SENT_BYTES;) {
                    StringBuilder piece = new StringBuilder();
                    while (piece.length() < PIECE_BYTES) {
                        piece.append(request.apply(number++));
                    }
                    socket.getOutputStream().write(piece.toString().getBytes(StandardCharsets.ISO_8859_1));
                    sentBytes += piece.length();
                }
            } catch (IOException e) {
                closedClients.incrementAndGet();
            }
        });
        client.setDaemon(true);
        clients.add(client);
        client.start();
    }

    /** Each of the clients is closed, and another is served all the time and afterwards. */
    private void assertClientsClosedAndOthersServed() {
        await(() -> {
            String id = relay.submitUntilAccepted("sound" + System.nanoTime(), "safe", 7);
            await(() -> host.hasReceived(id));
            return closedClients.get() == clients.size();
        });
        String id = relay.submitUntilAccepted("later", "safe", 7);
        await(() -> host.hasReceived(id));
        assertTrue(relay.isAlive());
        assertFalse(relay.readLog().contains("OutOfMemoryError"), relay.readLog());
    }

    /** Guards against responses that pile up until the relay ends for lack of heap. */
    @Test
    void clientThatReadsNoResponseToUnknownPathsIsClosed() throws IOException {
        startClient(relay.connect(), number -> "GET /unknown HTTP/1.1\r\nHost: x\r\n\r\n");
        assertClientsClosedAndOthersServed();
    }

    @Test
    void clientThatReadsNoResponseToImproperMessagesIsClosed() throws IOException {
        startClient(relay.connect(), number -> "POST /api HTTP/1.1\r\nHost: x\r\n\r\n");
        assertClientsClosedAndOthersServed();
    }

    @Test
    void clientsThatReadNoResponseToEverNewNamesAreClosed() throws IOException {
        for (int i = 0; i < SEVERAL_CLIENTS; i++) {
            startClient(relay.connect(), number -> "POST /api HTTP/1.1\r\nX-Call-Id: m" + number + "\r\nX-Call-Class: c"
                    + number + "\r\nX-Caller: t" + number + "\r\nX-Budget-Ms: 9\r\nX-Consignee: dest=" + number
                    + "\r\n\r\n");
        }
        assertClientsClosedAndOthersServed();
    }

    @Test
    void clientThatReadsNoInterimResponseIsClosed() throws IOException {
        startClient(relay.connect(), number -> "POST /api HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\n"
                + "Content-Length: 1\r\n\r\nx");
        assertClientsClosedAndOthersServed();
    }

    /** The operators' door: a request that is too large is answered on its own, before what follows. */
    @Test
    void operatorsThatReadNoResponseAreClosed() throws IOException {
        for (int i = 0; i < SEVERAL_CLIENTS; i++) {
            startClient(relay.connectToAdmin(), number -> "POST /stats HTTP/1.1\r\nHost: x\r\n"
                    + "Expect: 100-continue\r\nContent-Length: 5000\r\n\r\n");
        }
        assertClientsClosedAndOthersServed();
    }
}
