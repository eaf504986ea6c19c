package drumdeal.relay;

import static drumdeal.relay.RelayProcess.await;
import static drumdeal.relay.StubPeer.answer;
import static drumdeal.relay.StubPeer.status;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Discovery's agent closes a connection that rests just as the next call goes on it. */
class AgentCrossingTest extends RelayTestBase {
    @BeforeEach
    void prepare() throws IOException {
        prepare(RelayProcess.quietDiscovery(), StubPeer.always(status(200)));
    }

    @Test
    void agentThatClosesItsConnectionAsTheNextCallIsWrittenIsAskedAgainAtOnce() throws IOException {
        AtomicInteger watches = new AtomicInteger();
        discovery.answer(request -> request.line().startsWith("POST") ? status(204)
                : switch (watches.incrementAndGet()) {
                    case 1 -> answer(200, RelayProcess.list(1, false));
                    case 2 -> StubPeer.CLOSE;
                    default -> StubPeer.SILENCE;
                });
        relay.start();
        await(() -> discovery.count("GET /api/targets?after=1&") == 3);
        assertFalse(relay.log().contains("no list"), relay.log());
        assertEquals(2, discovery.connections.size());
    }

    @Test
    void noticeWhoseConnectionClosesAsItIsWrittenIsToldAgainAtOnce() throws IOException {
        AtomicInteger notices = new AtomicInteger();
        discovery.answer(request -> !request.line().startsWith("POST") ? StubPeer.SILENCE
                : notices.incrementAndGet() == 2 ? StubPeer.CLOSE : status(204));
        host.answer(request -> status(504));
        relay.configured(text -> text.replace("\"send-cap\":12", "\"send-cap\":1")).start();
        takenOn("n1");
        await(() -> discovery.requests.stream().anyMatch(r -> r.body().contains("n1-")));
        takenOn("n2");
        await(() -> discovery.count("POST /status") == 3);
        assertEquals(2, discovery.requests.stream().filter(r -> r.body().contains("n2")).count());
    }

    @Test
    void answerThatIsCutInTheMiddleIsAskedForAgainAndAnIndentedOneIsRead() throws IOException {
        AtomicInteger watches = new AtomicInteger();
        String news = answer(200, RelayProcess.list(2, false,
                RelayProcess.target("h1", 7, "one", "terminating", host.address())).replace("{", "{\n  ").replace(",", " ,\n  ")
                .replace(":", ": ").replace("127.0.0.1: ", "127.0.0.1:"));
        discovery.answer(request -> request.line().startsWith("POST") ? status(204)
                : switch (watches.incrementAndGet()) {
                    case 1 -> cut(news);
                    case 2 -> news;
                    default -> StubPeer.SILENCE;
                });
        relay.start();
        await(() -> relay.log().contains("discovery: version 2, 1 changes"));
        assertTrue(relay.log().contains("no list"), relay.log());
        assertTrue(relay.stats().contains("\"members_unavailable\":1"), relay.stats());
        assertEquals(202, relay.handIn("held", "safe", 7));
        assertEquals(0, host.requests.size(), "it drains");
    }

    /** Writes a part of an answer, behind which the connection closes. */
    private String cut(String answer) {
        try {
            discovery.connections.get(discovery.connections.size() - 1).getOutputStream()
                    .write(answer.substring(0, answer.length() / 2).getBytes());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return StubPeer.CLOSE;
    }

    /** A relay that is short of CPU may refuse a message at the door: its client comes again. */
    private void takenOn(String id) {
        AtomicInteger tries = new AtomicInteger();
        await(() -> {
            try {
                return relay.handIn(id + "-" + tries.incrementAndGet(), "safe", 7) == 202;
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        });
    }
}
