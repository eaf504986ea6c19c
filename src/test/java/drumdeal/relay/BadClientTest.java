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
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Clients that send malformed requests, too much data or nothing at all. */
class BadClientTest extends RelayTestBase {
    private final List<Socket> openSockets = new ArrayList<>();

    @BeforeEach
    void prepare() throws IOException {
        prepare(RelayProcess.discoveryWithoutChanges(), StubPeer.always(respondWithStatus(200)));
    }

    @AfterEach
    void closeSockets() throws IOException {
        for (Socket socket : openSockets) {
            socket.close();
        }
    }

    /** Opens a client connection that is closed after the test. */
    private Socket connect() throws IOException {
        Socket socket = relay.connect();
        openSockets.add(socket);
        return socket;
    }

    /** Reads a byte; -1 if the relay has closed or reset the connection. */
    private static int readByte(Socket socket) throws IOException {
        try {
            return socket.getInputStream().read();
        } catch (SocketException e) {
            return -1;
        }
    }

    @Test
    void clientThatSendsNothingIsDisconnected() throws IOException {
        relay.start();
        assertEquals(-1, readByte(connect()));
    }

    @Test
    void manyClientsConnectingAtOnceStayWithinTheDescriptorLimit() throws IOException {
        relay.start();
        relay.pause();
        for (int i = 0; i < 400; i++) {
            connect();
        }
        relay.resume();
        int maxDescriptors = 0;
        for (Socket socket : openSockets) {
            maxDescriptors = Math.max(maxDescriptors, relay.countOpenDescriptors());
            assertEquals(-1, readByte(socket));
        }
        assertTrue(maxDescriptors <= 256, "open descriptors: " + maxDescriptors);
    }

    @Test
    void slowClientIsServedAmongManyThatNeverFinishARequest() throws IOException {
        relay.start();
        String message = RelayProcess.messageRequest("slow", "safe", 7, 20_000, "hello");
        Socket slow = connect();
        int sentCount = 0;
        for (int i = 0; i < 300; i++) {
            connect().getOutputStream().write("POST /api HTTP/1.1\r\nHost:".getBytes());
            if (i % 15 == 0) {
                slow.getOutputStream().write(message.charAt(sentCount++));
                // Once this is answered, the relay has accepted all connections that were opened before.
                relay.exchange("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n");
            }
        }
        assertEquals(202, relay.submit("quick", "safe", 7), "a request that arrives whole is accepted");
        assertEquals(202, RelayProcess.exchange(slow, message.substring(sentCount)).status());
    }

    @Test
    void relaySurvivesALackOfDescriptors() throws IOException {
        relay.descriptorLimit(100).start();
        for (int i = 0; i < 200; i++) {
            connect();
        }
        await(() -> relay.readLog().contains("can't accept"));
        closeSockets();
        assertEquals(202, relay.submit("after", "safe", 7));
        await(() -> host.requests.size() == 1);
    }

    @Test
    void clientThatStopsInTheMiddleOfARequestGetsStatus408AndIsDisconnected() throws IOException {
        relay.start();
        for (String partialRequest : List.of("POST /api HT",
                RelayProcess.messageRequest("h1", "safe", 7, 1000, "hello").replace("hello", "h"))) {
            Socket socket = connect();
            assertEquals(408, RelayProcess.exchange(socket, partialRequest).status());
            assertEquals(-1, readByte(socket));
        }
        Socket socket = connect();
        assertEquals(202,
                RelayProcess.exchange(socket, RelayProcess.messageRequest("w1", "safe", 7, 20_000, "x")).status());
        assertEquals(408, RelayProcess.exchange(socket, "POST").status(), "a later request times out too");
    }

    @Test
    void oversizedBodyIsRejectedByItsLengthHeaderAndStillRead() throws IOException {
        // If the relay closed the connection with bytes unread, the client would see a reset and could lose the
        // response.
        relay.start();
        String head = RelayProcess.messageRequest("l1", "safe", 7, 1000, "").replace("Length: 0", "Length: 60000000");
        assertEquals(413, RelayProcess.exchange(connect(), head).status());
        Socket socket = connect();
        socket.getOutputStream().write(head.getBytes());
        byte[] chunk = new byte[1_000_000];
        for (int i = 0; i < 60; i++) {
            socket.getOutputStream().write(chunk);
        }
        assertEquals(413, RelayProcess.exchange(socket, "").status());
        assertEquals(-1, readByte(socket));
    }

    @Test
    void requestWithAmbiguousOrInvalidLengthIsRejected() throws IOException {
        relay.start();
        String validRequest = RelayProcess.messageRequest("d1", "safe", 7, 1000,
                "0\r\n\r\nGET /-/ready HTTP/1.1\r\n\r\n");
        // A peer that takes this body for a chunked one finds it empty and followed by a second request.
        String lengthHeader = "Content-Length: 30\r\n";
        assertTrue(validRequest.contains(lengthHeader), validRequest);
        for (String lengthHeaders : List.of(
                lengthHeader + "Transfer-Encoding: chunked\r\n", lengthHeader + lengthHeader,
                "Transfer-Encoding: chunked\r\n" + lengthHeader, "Content-Length: -5\r\n", "Content-Length: 0x5\r\n",
                lengthHeader + "Content-Length: 5\r\n", lengthHeader + "Transfer-Encoding: xchunked\r\n",
                "Transfer-Encoding: identity\r\n", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n")) {
            Socket socket = connect();
            assertEquals(400,
                    RelayProcess.exchange(socket, validRequest.replace(lengthHeader, lengthHeaders)).status(),
                    lengthHeaders);
            assertEquals(-1, readByte(socket), lengthHeaders);
        }
        assertEquals(505, RelayProcess.exchange(connect(), validRequest.replace("HTTP/1.1", "HTTP/1.0")).status());
        assertEquals(0, host.countRequests("POST"));
    }

    @Test
    void idOfAnotherClientsOpenRequestIsRejected() throws IOException {
        relay.roundPeriodSeconds("1").start();
        Socket first = connect();
        first.getOutputStream().write(RelayProcess.messageRequest("same", "safe", 7, 20_000, "x").getBytes());
        await(() -> !relay.readOpenMessages().isEmpty());
        assertEquals(500, relay.submit("same", "safe", 7));
        assertEquals(202, RelayProcess.exchange(first, "").status());
        await(() -> host.countRequests("POST") == 1);
    }

    @Test
    void hundredsOfPipelinedRequestsAreAllAnswered() throws IOException {
        relay.start();
        Socket socket = connect();
        StringBuilder requests = new StringBuilder();
        for (int i = 0; i < 400; i++) {
            requests.append(RelayProcess.messageRequest("p" + i, i % 2 == 0 ? "safe" : "nosuch", 7, 20_000, "x"));
        }
        assertTrue(RelayProcess.exchange(socket, requests.toString()).status() >= 202);
        for (int i = 1; i < 400; i++) {
            int status = RelayProcess.exchange(socket, "").status();
            assertTrue(i % 2 == 0 ? status == 202 || status == 503 : status == 400, i + ": " + status);
        }
    }

    @Test
    void requestsAfterOneWithConnectionCloseAreIgnored() throws IOException {
        relay.start();
        StringBuilder requests = new StringBuilder(RelayProcess.messageRequest("last", "safe", 7, 20_000, "x")
                .replace("Host: app.svc", "Host: app.svc\r\nConnection: close"));
        for (int i = 0; i < 20; i++) {
            requests.append(RelayProcess.messageRequest("behind" + i, "safe", 7, 20_000, "x"));
        }
        Socket socket = connect();
        assertEquals(202, RelayProcess.exchange(socket, requests.toString()).status());
        assertEquals(-1, readByte(socket));
        await(() -> host.hasReceived("last"));
        assertEquals(202, relay.submit("after", "safe", 7));
        await(() -> host.hasReceived("after"));
        assertEquals(2, host.countRequests("POST /receive"));
    }

    @Test
    void silentClientsAndIncompleteBodiesDoNotBlockOtherClients() throws IOException {
        relay.start();
        for (int i = 0; i < 300; i++) {
            connect();
        }
        assertEquals(202, relay.submit("r1", "safe", 7));
        String request = RelayProcess.messageRequest("b", "safe", 7, 1000, "x".repeat(65_000));
        for (int i = 0; i < 300; i++) {
            try {
                connect().getOutputStream().write(request.substring(0, request.length() - 1).getBytes());
            } catch (SocketException e) {
                // The relay had no room for this connection and has closed it.
            }
        }
        assertEquals(202, relay.submit("r2", "safe", 7));
        assertTrue(relay.isAlive());
    }
}
