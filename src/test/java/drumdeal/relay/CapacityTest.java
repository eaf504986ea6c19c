package drumdeal.relay;

import static drumdeal.relay.RelayProcess.await;
import static drumdeal.relay.RelayProcess.list;
import static drumdeal.relay.RelayProcess.target;
import static drumdeal.relay.StubPeer.answer;
import static drumdeal.relay.StubPeer.status;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.attribute.FileTime;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.IntFunction;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Deployments with a thousand endpoints, each of a destination of its own. */
class CapacityTest extends RelayTestBase {
    private static final int SERVERS = 1024;

    /** What discovery answers next; each news is told once. */
    private final AtomicReference<String> news = new AtomicReference<>();

    @BeforeEach
    void prepare() throws IOException {
        prepare(new StubPeer(this::discover), StubPeer.always(status(200)));
        IntStream.range(1, SERVERS).forEach(i -> relay.knows("known" + i, 100 + i, "one", host));
    }

    private String discover(StubPeer.Request request) {
        if (request.line().startsWith("POST")) {
            return status(204);
        }
        String told = news.getAndSet(null);
        return told == null ? request.line().contains("after=") ? StubPeer.SILENCE : status(503) : answer(200, told);
    }

    private static String[] targets(IntFunction<String> each) {
        return IntStream.range(0, SERVERS).mapToObj(each).toArray(String[]::new);
    }

    private void awaitMembers(int all, int unavailable) {
        await(() -> relay.stats().contains("\"members\":" + all + ",\"members_unavailable\":" + unavailable));
    }

    @Test
    void thousandServersAreKnownAtTheStartAndDrainInOneChange() throws IOException {
        news.set(list(2, false, targets(i -> target(i == 0 ? "h1" : "known" + i, i == 0 ? 7 : 100 + i, "one",
                "terminating", host.address()))));
        relay.start();
        awaitMembers(SERVERS, SERVERS);
    }

    @Test
    void wholeListOfAThousandServersReplacesAsMany() throws IOException {
        news.set(list(2, true, targets(i -> target("new" + i, 2000 + i, "one", "in_service", host.address()))));
        relay.start();
        await(() -> relay.log().contains("discovery: version 2, " + SERVERS + " entries"));
        awaitMembers(SERVERS, 0);
        assertEquals(202, relay.handIn("m", "safe", 2000 + SERVERS - 1));
        await(() -> host.hasCallFor("m"));
    }

    @Test
    void newSettingsWithAThousandServersAreTaken() throws IOException {
        relay.start();
        relay.reconfigure(text -> text);
        await(() -> relay.log().contains("new settings"));
    }

    @Test
    void whatWasLearnedOfAThousandServersOutlastsAKill() throws IOException {
        relay.start();
        awaitMembers(SERVERS, 0);
        FileTime before = FileTime.fromMillis(System.currentTimeMillis());
        await(() -> {
            try {
                return Files.getLastModifiedTime(relay.state().resolve("health")).compareTo(before) > 0;
            } catch (IOException e) {
                return false;
            }
        });
        relay.kill();
        relay.start();
        assertTrue(relay.log().contains("health: as it was"), relay.log());
    }
}
