package drumdeal.relay;

import static drumdeal.relay.RelayProcess.await;
import static drumdeal.relay.StubPeer.respondWithStatus;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import drumdeal.Policy;
import drumdeal.Policy.LimitReport;
import drumdeal.Policy.Result;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Connections to a host that close, or bring a response, just as a call is sent on them or cancelled. The tests run
 * their steps as tasks on the event loop, so the loop reads nothing from the connections between the steps of one task.
 */
class IdleHostConnectionTest implements HostClient.ResultListener {
    private final MultiThreadIoEventLoopGroup eventLoopGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop eventLoop = (EventLoop) eventLoopGroup.next();
    private final Clock clock = new Clock();
    /** Results of the attempts that have ended, in this order. */
    private final List<Result> results = new CopyOnWriteArrayList<>();
    private StubPeer host;
    private HostClient client;

    @BeforeEach
    void createClient() throws Exception {
        host = StubPeer.always(respondWithStatus(200));
        Target target = TestConfig.target("h", 7, Config.parseAddress(host.address()));
        eventLoop.submit(() -> {
            client = new HostClient(eventLoop, clock, TestConfig.create(), this);
            client.updateTargets(Policy.RouteListUpdateType.FULL, List.of(target));
        }).sync();
    }

    @AfterEach
    void closeHostAndEventLoop() throws IOException {
        host.close();
        eventLoopGroup.shutdownGracefully();
    }

    /** Sends a message to the host in a call of its own; must run on the event loop. */
    private Message.Attempt send(String id) {
        long now = clock.micros();
        Message message = new Message(1,
                new Message.Content(id, TestConfig.REQUEST_CLASS, null, null, now + 20_000_000, 7, new byte[5]), null);
        Message.Attempt attempt = message.addAttempt("h", now);
        client.send("h", List.of(new HostClient.OutgoingAttempt(attempt, 10_000_000, Long.MAX_VALUE)));
        return attempt;
    }

    /** Delivers a message and waits until its connection is idle. */
    private void leaveConnectionIdle() throws Exception {
        eventLoop.submit(() -> send("first")).sync();
        await(() -> results.size() == 1);
        await(() -> callOnEventLoop(client::connectionSummary).contains("(1 idle)"));
    }

    /** Runs a task on the event loop and returns its result. */
    private <T> T callOnEventLoop(Callable<T> task) {
        try {
            return eventLoop.submit(task).get();
        } catch (InterruptedException | ExecutionException e) {
            throw new AssertionError(e);
        }
    }

    @Test
    void callIsNotSentOnAConnectionThatTheHostClosedSinceTheLastRead() throws Exception {
        leaveConnectionIdle();
        eventLoop.submit(() -> {
            // The event loop is running this task, so it can't read the end of the connection before the next call.
            closeHostConnections();
            send("second");
        }).sync();
        await(() -> results.size() == 2);
        assertEquals(List.of(Result.OK, Result.OK), results);
        assertEquals(2, host.connections.size());
    }

    @Test
    void callIsNotSentOnAConnectionThatTheRelayHasJustClosed() throws Exception {
        leaveConnectionIdle();
        eventLoop.submit(() -> {
            client.closeIdle("h");
            send("second");
        }).sync();
        await(() -> results.size() == 2);
        assertEquals(List.of(Result.OK, Result.OK), results);
    }

    /**
     * Bytes of a status line that no call asked for would garble the response to the next call. Then even a refusal
     * could not be parsed, and a message that may take effect only once would have to fail.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void callIsNotSentOnAConnectionOnWhichTheHostHasBegunAStatusLine(boolean inTheSameTask) throws Exception {
        leaveConnectionIdle();
        host.setResponder(request -> respondWithStatus(503));
        eventLoop.submit(() -> {
            assertTrue(writeFromHost("HTTP/1.1 5"));
            if (inTheSameTask) {
                send("second");
            }
        }).sync();
        if (!inTheSameTask) {
            await(() -> callOnEventLoop(client::connectionCount) == 0);
            eventLoop.submit(() -> send("second")).sync();
        }
        await(() -> results.size() == 2);
        assertEquals(2, host.connections.size());
        assertEquals(Result.FULL, results.get(1));
    }

    @Test
    void callWhoseConnectionClosesAfterItWasSentEndsOnceAsReset() throws Exception {
        leaveConnectionIdle();
        host.setResponder(request -> StubPeer.CLOSE_CONNECTION);
        eventLoop.submit(() -> send("second")).sync();
        await(() -> results.size() == 2);
        assertEquals(Result.RESET, results.get(1));
        eventLoop.submit(() -> { }).sync();
        assertEquals(2, results.size());
    }

    @Test
    void callWhoseResponseArrivedSinceTheLastReadIsNotCancelled() throws Exception {
        leaveConnectionIdle();
        host.setResponder(request -> StubPeer.NO_RESPONSE);
        Message.Attempt attempt = callOnEventLoop(() -> send("second"));
        await(() -> host.hasReceived("second"));
        eventLoop.submit(() -> {
            assertTrue(writeFromHost(respondWithStatus(200)));
            client.cancel(attempt);
        }).sync();
        await(() -> results.size() == 2);
        assertEquals(Result.OK, results.get(1));
    }

    @Test
    void cancelledCallEndsOnceEvenIfItsResponseStillArrives() throws Exception {
        leaveConnectionIdle();
        host.setResponder(request -> StubPeer.NO_RESPONSE);
        Message.Attempt attempt = callOnEventLoop(() -> send("second"));
        await(() -> host.hasReceived("second"));
        eventLoop.submit(() -> {
            client.cancel(attempt);
            writeFromHost(respondWithStatus(200));
        }).sync();
        eventLoop.submit(() -> { }).sync();
        assertEquals(List.of(Result.OK, Result.CANCELLED), results);
        await(() -> callOnEventLoop(client::connectionCount) == 0);
        assertEquals(0, callOnEventLoop(client::callsInFlight));
    }

    @Test
    void connectionEstablishedAfterItsCallWasCancelledIsKeptForTheNextCall() throws Exception {
        eventLoop.submit(() -> {
            // The connection can't be established yet within this task.
            client.cancel(send("late"));
        }).sync();
        await(() -> callOnEventLoop(client::connectionSummary).contains("(1 idle)"));
        assertEquals(List.of(Result.CONNECT_FAILED), results);
        assertEquals(0, callOnEventLoop(client::callsInFlight));
        eventLoop.submit(() -> send("next")).sync();
        await(() -> results.size() == 2);
        assertEquals(Result.OK, results.get(1));
        assertEquals(1, host.connections.size());
        assertEquals(1, callOnEventLoop(client::connectionCount));
    }

    /** Writes bytes from the host on its first connection; false if the connection is closed. */
    private boolean writeFromHost(String bytes) {
        try {
            host.connections.get(0).getOutputStream().write(bytes.getBytes(StandardCharsets.US_ASCII));
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /** Closes all connections on the side of the host. */
    private void closeHostConnections() {
        for (Socket connection : host.connections) {
            try {
                connection.close();
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        }
    }

    @Override
    public boolean recordAttempt(Message.Attempt attempt) {
        return true;
    }

    @Override
    public void attemptEnded(Message.Attempt attempt, Result result, boolean messageFinished, long retryAfter,
            LimitReport limitReport) {
        results.add(result);
    }

    @Override
    public void probeEnded(String route, Result result, long retryAfter, long elapsed, LimitReport limitReport) { }

    @Override
    public void callWritten(int messages) { }
}
