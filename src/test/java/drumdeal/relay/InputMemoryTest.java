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
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The memory that the input of clients and hosts takes, in a relay with little of it. */
class InputMemoryTest extends RelayTestBase {
    /** Below the limit of client connections that follows from the descriptors in the configuration. */
    private static final int BAD_CLIENTS = 90;
    private static final int LARGE_BODY_BYTES = 60_000;

    private final List<Socket> openSockets = new ArrayList<>();

    @BeforeEach
    void prepare() throws IOException {
        prepare(RelayProcess.discoveryWithoutChanges(), StubPeer.always(respondWithStatus(200)));
        // With the allocator of the deploy file, each buffer takes its own direct memory.
        relay.jvmOptions("-Xmx16m", "-XX:MaxDirectMemorySize=2m", "-Dio.netty.allocator.type=unpooled").start();
    }

    @AfterEach
    void closeSockets() throws IOException {
        for (Socket socket : openSockets) {
            socket.close();
        }
    }

    /** Connects the bad clients; each sends the same bytes and stays. */
    private void connectBadClients(String bytes) throws IOException {
        for (int i = 0; i < BAD_CLIENTS; i++) {
            Socket socket = relay.connect();
            openSockets.add(socket);
            try {
                socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
            } catch (SocketException e) {
                // The relay has rejected the request before it was written whole.
            }
        }
    }

    /** A sound client is served and every bad one gets an error or a close. */
    private void assertServedBesideBadClients() throws IOException {
        submitUntilAccepted("sound");
        for (Socket socket : openSockets) {
            int status = readStatus(socket);
            assertTrue(status == 0 || status >= 400 && status < 600, "status " + status);
        }
        submitUntilAccepted("later");
        assertTrue(relay.isAlive());
        assertFalse(relay.readLog().contains("OutOfMemoryError"), relay.readLog());
    }

    private void submitUntilAccepted(String id) {
        String acceptedId = relay.submitUntilAccepted(id, "safe", 7);
        await(() -> host.hasReceived(acceptedId));
    }

    /** The status of the next response; 0 if the relay has closed or reset the connection. */
    private static int readStatus(Socket socket) throws IOException {
        try {
            return RelayProcess.exchange(socket, "").status();
        } catch (SocketException e) {
            return 0;
        }
    }

    /** Guards against direct memory that is used up by a few bytes behind large requests: the relay then hangs. */
    @Test
    void startOfARequestBehindALargeOneTakesNoDirectMemory() throws IOException {
        String improper = RelayProcess.messageRequest("bad", "no-such-class", 7, 1000, "x".repeat(LARGE_BODY_BYTES));
        connectBadClients(improper + "POST /api HTTP");
        assertServedBesideBadClients();
    }

    /** Guards against undecoded bytes behind many pipelined requests that no limit counts. */
    @Test
    void undecodedPipelinedRequestsAreLimitedTogether() throws IOException {
        String improper = RelayProcess.messageRequest("bad", "no-such-class", 7, 1000, "");
        connectBadClients(improper.repeat(LARGE_BODY_BYTES / improper.length()) + "POST /api HTTP");
        assertServedBesideBadClients();
    }

    /** Guards against heads of very many tiny fields, which take some thirty times their size on the heap. */
    @Test
    void unfinishedHeadsWithManyFieldsDoNotExhaustTheHeap() throws IOException {
        connectBadClients("POST /api HTTP/1.1\r\n" + "a:\r\n".repeat(2000));
        assertServedBesideBadClients();
    }

    /** Guards against many fields behind a chunked body, which are kept like those of a head. */
    @Test
    void unfinishedTrailersWithManyFieldsDoNotExhaustTheHeap() throws IOException {
        String head = RelayProcess.messageRequest("bad", "safe", 7, 1000, "").replace("Content-Length: 0",
                "Transfer-Encoding: chunked");
        connectBadClients(head + "1\r\nx\r\n0\r\n" + "a:\r\n".repeat(2000));
        assertServedBesideBadClients();
    }

    /** Guards against unfinished bodies that together take all memory. */
    @Test
    void unfinishedLargeBodiesAreLimitedTogether() throws IOException {
        String request = RelayProcess.messageRequest("bad", "safe", 7, 1000, "x".repeat(LARGE_BODY_BYTES));
        connectBadClients(request.substring(0, request.length() - 1));
        assertServedBesideBadClients();
    }
}
