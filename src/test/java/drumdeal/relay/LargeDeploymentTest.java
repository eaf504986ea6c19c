package drumdeal.relay;

import static drumdeal.relay.RelayProcess.await;
import static drumdeal.relay.RelayProcess.targetListJson;
import static drumdeal.relay.RelayProcess.targetJson;
import static drumdeal.relay.StubPeer.respondWith;
import static drumdeal.relay.StubPeer.respondWithStatus;
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

/** Deployments with a thousand endpoints, each with its own destination. */
class LargeDeploymentTest extends RelayTestBase {
    private static final int ENDPOINT_COUNT = 1024;

    /** The next list or change that discovery sends, once; null if there is none. */
    private final AtomicReference<String> nextListUpdate = new AtomicReference<>();

    @BeforeEach
    void prepare() throws IOException {
        prepare(new StubPeer(this::respondAsDiscovery), StubPeer.always(respondWithStatus(200)));
        IntStream.range(1, ENDPOINT_COUNT).forEach(i -> relay.addTarget("known" + i, 100 + i, "one", host));
    }

    private String respondAsDiscovery(StubPeer.Request request) {
        if (request.requestLine().startsWith("POST")) {
            return respondWithStatus(204);
        }
        String update = nextListUpdate.getAndSet(null);
        return update == null
                ? request.requestLine().contains("after=") ? StubPeer.NO_RESPONSE : respondWithStatus(503)
                : respondWith(200, update);
    }

    private static String[] targetsJson(IntFunction<String> targetByIndex) {
        return IntStream.range(0, ENDPOINT_COUNT).mapToObj(targetByIndex).toArray(String[]::new);
    }

    private void awaitMembers(int total, int unavailable) {
        await(() -> relay.fetchStats().contains("\"members\":" + total + ",\"members_unavailable\":" + unavailable));
    }

    @Test
    void thousandConfiguredEndpointsDrainInOneUpdate() throws IOException {
        nextListUpdate.set(targetListJson(2, false, targetsJson(i -> targetJson(
                i == 0 ? "h1" : "known" + i, i == 0 ? 7 : 100 + i, "one", "terminating", host.address()))));
        relay.start();
        awaitMembers(ENDPOINT_COUNT, ENDPOINT_COUNT);
    }

    @Test
    void fullListOfAThousandEndpointsReplacesAsMany() throws IOException {
        nextListUpdate.set(targetListJson(2, true, targetsJson(i -> targetJson(
                "new" + i, 2000 + i, "one", "in_service", host.address()))));
        relay.start();
        await(() -> relay.readLog().contains("discovery: version 2, " + ENDPOINT_COUNT + " entries"));
        awaitMembers(ENDPOINT_COUNT, 0);
        assertEquals(202, relay.submit("m", "safe", 2000 + ENDPOINT_COUNT - 1));
        await(() -> host.hasReceived("m"));
    }

    @Test
    void reloadWithAThousandEndpointsIsApplied() throws IOException {
        relay.start();
        relay.reconfigure(text -> text);
        await(() -> relay.readLog().contains("new settings"));
    }

    @Test
    void learnedStateOfAThousandEndpointsIsReadAfterAKill() throws IOException {
        relay.start();
        awaitMembers(ENDPOINT_COUNT, 0);
        FileTime earliestWrite = FileTime.fromMillis(System.currentTimeMillis());
        await(() -> {
            try {
                return Files.getLastModifiedTime(relay.stateFolder().resolve("health")).compareTo(earliestWrite) > 0;
            } catch (IOException e) {
                return false;
            }
        });
        relay.kill();
        relay.start();
        assertTrue(relay.readLog().contains("health: restored route state"), relay.readLog());
    }
}
