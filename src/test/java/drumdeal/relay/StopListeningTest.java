package drumdeal.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Clients that connect while the relay stops listening. The test runs the steps on the event loop, in one task, so that
 * the selector can't poll in between.
 */
class StopListeningTest {
    private static final int TIMEOUT_MILLIS = 30_000;
    /** More than Netty accepts in one pass of the loop. */
    private static final int CLIENT_COUNT = 40;

    private final MultiThreadIoEventLoopGroup eventLoops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = eventLoops.next();
    private ClientServer server;
    private InetSocketAddress address;

    @BeforeEach
    void listen() throws InterruptedException {
        Clock clock = new Clock();
        server = new ClientServer(null, clock, new EventLoopMonitor(loop, clock, stallMicros -> { }),
                2 * CLIENT_COUNT);
        InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        address = (InetSocketAddress) server.listen(loop, anyPort).sync().channel().localAddress();
    }

    @AfterEach
    void shutDown() {
        eventLoops.shutdownGracefully();
    }

    private <T> T onLoop(Callable<T> step) throws ExecutionException, InterruptedException {
        return loop.submit(step).get();
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(address.getAddress(), address.getPort());
        socket.setSoTimeout(TIMEOUT_MILLIS);
        return socket;
    }

    private static void assertServed(Socket client) throws IOException {
        try (client) {
            client.getOutputStream().write("GET /nosuch HTTP/1.1\r\nHost: x\r\n\r\n"
                    .getBytes(StandardCharsets.US_ASCII));
            byte[] statusLine = client.getInputStream().readNBytes("HTTP/1.1 404".length());
            assertEquals("HTTP/1.1 404", new String(statusLine, StandardCharsets.US_ASCII));
        }
    }

    private void assertStopsListening() throws ExecutionException, InterruptedException {
        long deadline = System.nanoTime() + TIMEOUT_MILLIS * 1_000_000L;
        while (!onLoop(server::hasStoppedListening) && System.nanoTime() < deadline) {
            Thread.onSpinWait();
        }
        assertThrows(ConnectException.class, this::connect);
    }

    @Test
    void clientThatConnectsBeforeTheNextPollIsServed() throws Exception {
        Socket client = onLoop(() -> {
            server.stopListening();
            Socket waiting = connect();
            assertFalse(server.hasServedAllClients(), "the process would end with a client that waits to be accepted");
            return waiting;
        });
        assertServed(client);
        assertStopsListening();
    }

    @Test
    void clientsThatConnectBeforeTheNextPollAreServedWhateverTheirNumber() throws Exception {
        Socket[] clients = onLoop(() -> {
            server.stopListening();
            Socket[] waiting = new Socket[CLIENT_COUNT];
            for (int i = 0; i < waiting.length; i++) {
                waiting[i] = connect();
            }
            return waiting;
        });
        for (Socket client : clients) {
            assertServed(client);
        }
        assertStopsListening();
    }

    @Test
    void serverWithoutWaitingClientsStops() throws Exception {
        onLoop(() -> {
            server.stopListening();
            server.stopListening();
            return null;
        });
        assertStopsListening();
    }
}
