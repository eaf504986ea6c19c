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
    /** How long the last message stayed unread, at least. */
    private long waitedMillis;

    @BeforeEach
    void prepare() throws IOException {
        prepare(RelayProcess.discoveryWithoutChanges(), StubPeer.always(respondWithStatus(200)));
        relay.start();
    }

    /**
     * Submits a message that stays unread while the relay is paused, on a connection opened before the pause or during
     * it. Sets {@link #waitedMillis}.
     */
    private RelayProcess.Response submitUnread(boolean known, long leastMs) throws IOException, InterruptedException {
        String message = RelayProcess.messageRequest("id" + submissionCount++, "unsafe", 7, BUDGET_MILLIS, "hello");
        Socket first = known ? relay.connect() : null;
        if (known) {
            RelayProcess.exchange(first, "GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n");
        }
        relay.pause();
        try (Socket socket = known ? first : relay.connect()) {
            socket.getOutputStream().write(message.getBytes(StandardCharsets.ISO_8859_1));
            long written = System.nanoTime();
            Thread.sleep(leastMs);
            waitedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - written);
            relay.resume();
            return RelayProcess.exchange(socket, "");
        }
    }

    private void assertBudgetIncludesUnreadTime(boolean known) throws IOException, InterruptedException {
        // On a busy machine a request may wait so long that the relay rejects it; then another one is submitted.
        while (submitUnread(known, 150).status() != 202) {
            assertTrue(submissionCount < 20, "every request was rejected");
        }
        await(() -> host.requests.size() == 1);
        int budget = Integer.parseInt(host.requests.get(0).headers().get("x-budget-ms"));
        assertTrue(budget <= BUDGET_MILLIS - waitedMillis, "unread for " + waitedMillis + " ms, budget in ms: " + budget);
    }

    @Test
    void budgetIncludesTheTimeForWhichARequestIsUnread() throws IOException, InterruptedException {
        assertBudgetIncludesUnreadTime(true);
    }

    @Test
    void budgetIncludesTheTimeForWhichAConnectionIsNotAccepted() throws IOException, InterruptedException {
        assertBudgetIncludesUnreadTime(false);
    }

    @Test
    void requestOlderThanItsClientWaitsIsRejected() throws IOException, InterruptedException {
        RelayProcess.Response answer = submitUnread(true, 500);
        assertEquals(503, answer.status());
        assertTrue(answer.head().toLowerCase(Locale.ROOT).contains("retry-after"), answer.head());
        assertEquals(503, submitUnread(false, 500).status());
        assertEquals(0, host.requests.size());
    }
}
