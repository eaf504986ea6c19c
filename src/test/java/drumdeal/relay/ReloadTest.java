package drumdeal.relay;

import static drumdeal.relay.RelayProcess.await;
import static drumdeal.relay.RelayProcess.targetListJson;
import static drumdeal.relay.RelayProcess.targetJson;
import static drumdeal.relay.StubPeer.respondWith;
import static drumdeal.relay.StubPeer.respondWithStatus;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Reload of the configuration, on SIGHUP, while the relay runs. */
class ReloadTest extends RelayTestBase {
    @BeforeEach
    void prepare() throws IOException {
        prepare(RelayProcess.discoveryWithoutChanges(), StubPeer.always(respondWithStatus(200)));
    }

    /** Discovery that sends the list, leaves requests for changes unanswered and acknowledges every notice. */
    private static StubPeer createDiscovery(String list) throws IOException {
        return new StubPeer(request -> request.requestLine().startsWith("POST") ? respondWithStatus(204)
                : request.requestLine().contains("after=") ? StubPeer.NO_RESPONSE : respondWith(200, list));
    }

    @Test
    void eachReloadSwitchesToTheNewDiscoveryAddress() throws IOException {
        relay.start();
        assertEquals(202, relay.submit("m0", "safe", 7));
        await(() -> host.countRequests("POST") == 1);
        String changedTarget = targetJson("h1", 7, "one", "in_service", host.address()).replace("1.0", "2.0");
        try (StubPeer secondDiscovery = createDiscovery(targetListJson(1, true, changedTarget));
                StubPeer otherHost = StubPeer.always(respondWithStatus(200));
                StubPeer thirdDiscovery = createDiscovery(targetListJson(0, true,
                        targetJson("h2", 7, "one", "in_service", otherHost.address())))) {
            relay.moveDiscovery(secondDiscovery);
            await(() -> secondDiscovery.countRequests("GET /api/targets?after=1&") > 0);
            assertEquals(202, relay.submit("m1", "safe", 7));
            await(() -> host.countRequests("POST") == 2);
            assertEquals(1, host.connections.size(), "connections to a host at an unchanged address must be kept");
            relay.moveDiscovery(thirdDiscovery);
            await(() -> thirdDiscovery.countRequests("GET /api/targets?after=0&") > 0);
            assertEquals("GET /api/targets HTTP/1.1", thirdDiscovery.requests.get(0).requestLine());
            assertEquals(202, relay.submit("m2", "safe", 7));
            await(() -> otherHost.countRequests("POST") == 1);
        }
    }

    @Test
    void relayWaitsForAListThatTheNewDiscoverySendsSlowly() throws IOException {
        relay.start();
        try (StubPeer otherHost = StubPeer.always(respondWithStatus(200));
                StubPeer newDiscovery = new StubPeer(request -> {
                    if (request.requestLine().contains("after=")) {
                        return StubPeer.NO_RESPONSE;
                    }
                    sleep(1000);
                    return respondWith(200, targetListJson(1, true,
                            targetJson("h2", 7, "one", "in_service", otherHost.address())));
                })) {
            relay.moveDiscovery(newDiscovery);
            await(() -> newDiscovery.countRequests("GET /api/targets?after=1&") > 0);
            assertEquals(202, relay.submit("m3", "safe", 7));
            await(() -> otherHost.countRequests("POST") == 1);
        }
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    @Test
    void noticeUnansweredAtTheOldAddressIsSentToTheNewOne() throws IOException, InterruptedException {
        discovery.setResponder(request -> StubPeer.NO_RESPONSE);
        host.setResponder(request -> StubPeer.CLOSE_CONNECTION);
        relay.start().submit("u1", "unsafe", 7);
        await(() -> relay.hasSentNotice("u1", "dead"));
        try (StubPeer newDiscovery = RelayProcess.discoveryWithoutChanges()) {
            relay.moveDiscovery(newDiscovery);
            await(() -> relay.hasSentNotice("u1", "dead"));
            await(() -> relay.readOpenMessages().isEmpty());
            relay.terminate();
            assertTrue(relay.waitForExit());
        }
    }

    @Test
    void unreadableConfigurationLeavesTheOldOneInForce() throws IOException {
        relay.start();
        relay.reconfigure(text -> "{");
        await(() -> relay.readLog().contains("new configuration rejected, the current one stays in force"));
        host.setResponder(request -> StubPeer.CLOSE_CONNECTION);
        assertEquals(202, relay.submit("u2", "unsafe", 7));
        await(() -> relay.hasSentNotice("u2", "dead"));
    }

    private static final String LATE_CLASS_JSON = "{\"name\":\"late\",\"repeat\":\"once\",\"goal-time-s\":2,"
            + "\"deadline-s\":20,\"worth\":1}";

    private static String withLateClass(String text) {
        return text.replace("\"classes\":[", "\"classes\":[" + LATE_CLASS_JSON + ",");
    }

    @Test
    void messagesOfAnAddedClassAreAcceptedUnderItsRules() throws IOException {
        host.setResponder(request -> StubPeer.CLOSE_CONNECTION);
        relay.start();
        assertEquals(400, relay.submit("l0", "late", 7));
        relay.reconfigure(ReloadTest::withLateClass);
        await(() -> relay.fetchStats().contains("\"config_reloads\":1,\"config_reload_errors\":0"));
        assertEquals(202, relay.submit("l1", "late", 7));
        await(() -> relay.hasSentNotice("l1", "dead"));
        assertEquals(1, host.requests.size(), "the class allows a single attempt");
        await(() -> relay.fetchStats().contains("\"late\":{\"completed\":0,\"rejected\":0,\"failed\":1}"));
    }

    @Test
    void reloadChangesTheMaximumNumberOfAttempts() throws IOException {
        host.setResponder(request -> respondWithStatus(503, "X-Line-Busy: 1"));
        relay.start();
        relay.reconfigure(text -> text.replace("\"send-cap\":12", "\"send-cap\":2"));
        await(() -> relay.fetchStats().contains("\"config_reloads\":1,"));
        assertEquals(202, relay.submit("n1", "safe", 7));
        await(() -> relay.hasSentNotice("n1", "bounced"));
        assertEquals(2, host.requests.size());
    }

    @Test
    void truncatedOrInvalidFileChangesNothing() throws IOException {
        relay.start();
        List<UnaryOperator<String>> invalidEdits = List.of(text -> "", text -> text.substring(0, text.length() - 1),
                text -> text + "}", text -> text.replace("\"fees\":{}", "\"other\":{}"),
                text -> text.replace("\"deadline-s\":20", "\"deadline-s\":0"),
                text -> text.replace("\"deadline-s\":20", "\"deadline-s\":-20"),
                text -> text.replace("\"deadline-s\":20", "\"deadline-s\":\"20\""),
                text -> text.replace("\"send-cap\":12,", ""), text -> text.replace(",\"worth\":1}", "}"),
                text -> text.replace("\"send-cap\":12", "\"send-cap\":0"),
                text -> text.replace("\"zones\":[\"a\"],", ""), text -> text.replace("\"accounts\"", "\"users\""));
        for (int i = 0; i < invalidEdits.size(); i++) {
            UnaryOperator<String> invalidEdit = invalidEdits.get(i);
            relay.reconfigure(text -> invalidEdit.apply(withLateClass(text)));
            String expectedStats = "\"config_reloads\":0,\"config_reload_errors\":" + (i + 1) + "}";
            await(() -> relay.fetchStats().contains(expectedStats));
        }
        assertEquals(400, relay.submit("b1", "late", 7), "no part of an invalid configuration may be applied");
        assertEquals(202, relay.submit("b2", "safe", 7));
        await(() -> host.countRequests("POST") == 1);
        assertTrue(discovery.connections.size() > 0 && relay.isAlive());
    }

    @Test
    void openMessageKeepsItsTermsAcrossAKillAfterItsClassWasRemovedOrChanged() throws IOException {
        host.setResponder(request -> StubPeer.NO_RESPONSE);
        relay.start();
        assertEquals(202, relay.submit("o1", "unsafe", 7));
        assertEquals(202, relay.submit("o2", "safe", 7));
        await(() -> host.countRequests("POST") == 2);
        UnaryOperator<String> changeClasses = text -> text.replace("\"name\":\"unsafe\"", "\"name\":\"other\"")
                .replace("\"name\":\"safe\",\"repeat\":\"repeatable\"", "\"name\":\"safe\",\"repeat\":\"once\"");
        relay.reconfigure(changeClasses);
        await(() -> relay.fetchStats().contains("\"config_reloads\":1,"));
        long removedAt = new Clock().micros();
        relay.kill();
        host.setResponder(request -> respondWithStatus(200));
        relay.start();
        await(() -> relay.hasSentNotice("o1", "dead"));
        await(() -> host.countRequests("POST") == 3);
        assertEquals("o2", host.requests.get(2).callId(), "the message was accepted as repeatable");
        await(() -> new Clock().micros() > removedAt + TermsHistory.CHANGEOVER_MICROS);
        assertEquals(400, relay.submit("o3", "unsafe", 7), "the class is removed and no client names it any more");
    }
}
