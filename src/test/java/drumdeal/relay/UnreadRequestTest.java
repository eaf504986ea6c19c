package drumdeal.relay;

import static drumdeal.relay.RelayProcess.await;
import static drumdeal.relay.StubPeer.respondWithStatus;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Requests that wait unread while the relay gets no CPU time: the wait counts against their budget. */
class UnreadRequestTest extends RelayTestBase {
    private static final int BUDGET_MILLIS = 20_000;

    private int submissionCount;
    /** Lower bound on the time for which the last message stayed unread. */
    private long unreadMillis;

    @BeforeEach
    void prepare() throws IOException {
        prepare(RelayProcess.discoveryWithoutChanges(), StubPeer.always(respondWithStatus(200)));
        relay.start();
    }

    /**
     * Submits a message that stays unread while the relay is paused, on a connection opened before the pause or during
     * it, and measures for how long it stays unread.
     */
    private RelayProcess.Response submitUnread(boolean connectBeforePause, long minUnreadMillis)
            throws IOException, InterruptedException {
        String message = RelayProcess.messageRequest("id" + submissionCount++, "unsafe", 7, BUDGET_MILLIS, "hello");
        Socket earlierSocket = connectBeforePause ? relay.connect() : null;
        if (connectBeforePause) {
            RelayProcess.exchange(earlierSocket, "GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n");
        }
        relay.pause();
        try (Socket socket = connectBeforePause ? earlierSocket : relay.connect()) {
            socket.getOutputStream().write(message.getBytes(StandardCharsets.ISO_8859_1));
            long writtenAtNanos = System.nanoTime();
            Thread.sleep(minUnreadMillis);
            unreadMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - writtenAtNanos);
            relay.resume();
            return RelayProcess.exchange(socket, "");
        }
    }

    private void assertUnreadTimeCountsAgainstBudget(boolean connectBeforePause)
            throws IOException, InterruptedException {
        // On a busy machine a request may wait so long that the relay rejects it; then another one is submitted.
        while (submitUnread(connectBeforePause, 150).status() != 202) {
            assertTrue(submissionCount < 20, "every request was rejected");
        }
        await(() -> host.requests.size() == 1);
        int sentBudgetMillis = Integer.parseInt(host.requests.get(0).headers().get("x-budget-ms"));
        assertTrue(sentBudgetMillis <= BUDGET_MILLIS - unreadMillis,
                "unread for " + unreadMillis + " ms, budget in ms: " + sentBudgetMillis);
    }

    @Test
    void timeForWhichARequestIsUnreadCountsAgainstItsBudget() throws IOException, InterruptedException {
        assertUnreadTimeCountsAgainstBudget(true);
    }

    @Test
    void timeForWhichAConnectionIsNotAcceptedCountsAgainstTheBudget() throws IOException, InterruptedException {
        assertUnreadTimeCountsAgainstBudget(false);
    }

    @Test
    void requestUnreadForTooLongIsRejected() throws IOException, InterruptedException {
        RelayProcess.Response response = submitUnread(true, 500);
        assertEquals(503, response.status());
        assertTrue(response.head().toLowerCase(Locale.ROOT).contains("retry-after"), response.head());
        assertEquals(503, submitUnread(false, 500).status());
        assertEquals(0, host.requests.size());
    }
}
