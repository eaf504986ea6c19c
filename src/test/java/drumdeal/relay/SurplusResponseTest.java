package drumdeal.relay;

import static drumdeal.relay.RelayProcess.await;
import static drumdeal.relay.StubPeer.respondWith;
import static drumdeal.relay.StubPeer.respondWithStatus;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Good responses that bring more than belongs to them: they count, and the surplus counts for nothing. */
class SurplusResponseTest extends RelayTestBase {
    private static final int TIMEOUT_SECONDS = 30;
    private static final String FAILURE = respondWithStatus(500);

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    @AfterEach
    void endGroup() {
        group.shutdownGracefully();
    }

    @BeforeEach
    void prepare() throws IOException {
        prepare(RelayProcess.discoveryWithoutChanges(), StubPeer.always(respondWithStatus(200)));
        relay.addTarget("m1", 8, "many", host);
    }

    /** What may follow a response: a second copy, another response, noise, the start of a line, much noise. */
    private static List<String> surplusFor(String response) {
        return List.of(response, FAILURE, "\u0001noise\r\n\r\n", "HTTP/1.1 2", "n".repeat(100_000));
    }

    /** Guards against a delivered payment that counts as failed, or is sent again, because of what follows its 200. */
    @Test
    void deliveryCountsWhateverFollowsItsResponse() throws IOException {
        relay.start();
        List<String> ids = new ArrayList<>();
        for (String surplus : surplusFor(respondWithStatus(200))) {
            host.setResponder(request -> respondWithStatus(200) + surplus);
            String id = "d" + ids.size();
            ids.add(id);
            assertEquals(202, relay.submit(id, "unsafe", 7));
            await(() -> host.countCalls(id) == 1 && relay.readOpenMessages().isEmpty());
        }
        ids.forEach(id -> assertEquals(1, host.countCalls(id)));
        assertEquals(0, discovery.countRequests("POST"), "no notices, as all messages count as delivered");
    }

    /** Guards against a payment that ends as one that may have run although its host has turned it away. */
    @Test
    void refusalCountsWhateverFollowsItsResponse() throws IOException {
        relay.start();
        List<String> refusals = List.of(respondWithStatus(503), respondWithStatus(429, "X-Come-Back-Ms: 100"),
                respondWithStatus(503, "X-Line-Busy: 1"));
        int count = 0;
        for (String refusal : refusals) {
            for (String surplus : surplusFor(refusal)) {
                String id = "r" + count++;
                host.setResponder(request -> id.equals(request.callId()) && host.countCalls(id) == 1 ? refusal + surplus
                        : respondWithStatus(200));
                assertEquals(202, relay.submit(id, "unsafe", 7));
                await(() -> host.countCalls(id) == 2 && relay.readOpenMessages().isEmpty());
                assertFalse(relay.hasSentNotice(id, "dead"), id);
            }
        }
    }

    /** Guards against a batch that counts as unreadable because of what follows its response. */
    @Test
    void batchResponseCountsWhateverFollows() throws IOException {
        relay.start();
        int count = 0;
        for (String surplus : surplusFor(respondWithStatus(200))) {
            String first = "b" + count++;
            String second = "b" + count++;
            String response = respondWith(200, "[{\"id\":\"" + first + "\",\"state\":\"done\"},{\"id\":\"" + second
                    + "\",\"state\":\"done\"}]") + surplus;
            host.setResponder(request -> request.requestLine().contains("many") ? response
                    : respondWithStatus(200) + surplus);
            assertEquals(202, relay.submit(first, "unsafe", 8));
            assertEquals(202, relay.submit(second, "unsafe", 8));
            await(() -> relay.readOpenMessages().isEmpty());
        }
        assertEquals(0, discovery.countRequests("POST"), "no notices, as all messages count as delivered");
    }

    /**
     * Guards against surplus behind a response of the agent that is taken for the response to the next request: a
     * notice would count as received that the platform never got.
     */
    @Test
    void agentRequestIsAnsweredByItsOwnResponseAlone() throws Exception {
        for (String surplus : surplusFor(respondWithStatus(204))) {
            try (StubPeer agent = new StubPeer(request -> request.requestLine().contains("first")
                    ? respondWithStatus(204) + surplus : respondWithStatus(503))) {
                assertEquals(List.of(204, 503), requestTwice(agent), "surplus " + surplus.length());
            }
        }
    }

    /** Guards against a notice that counts as received although its request was cut off behind a second copy. */
    @Test
    void agentRequestThatIsCutOffIsNotAnsweredByASecondCopy() throws Exception {
        try (StubPeer agent = new StubPeer(request -> request.requestLine().contains("first")
                        ? respondWithStatus(204).repeat(2) : StubPeer.CLOSE_CONNECTION)) {
            assertEquals(List.of(204, AgentClient.CONNECTION_LOST), requestTwice(agent));
        }
    }

    /** The statuses of a request and of another one that is sent as soon as the first is answered. */
    private List<Integer> requestTwice(StubPeer agent) throws Exception {
        EventLoop loop = group.next();
        AgentClient client = new AgentClient(loop, Config.parseAddress(agent.address()));
        CompletableFuture<List<Integer>> statuses = new CompletableFuture<>();
        long timeoutMillis = TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS);
        loop.execute(() -> client.request(HttpMethod.POST, "/first", "", timeoutMillis, (first, firstBody) ->
                client.request(HttpMethod.POST, "/second", "", timeoutMillis, (second, secondBody) ->
                        statuses.complete(List.of(first, second)))));
        return statuses.get(2 * TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }
}
