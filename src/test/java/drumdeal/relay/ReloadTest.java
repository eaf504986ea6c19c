package drumdeal.relay;

import static drumdeal.relay.RelayProcess.await;
import static drumdeal.relay.RelayProcess.list;
import static drumdeal.relay.RelayProcess.target;
import static drumdeal.relay.StubPeer.answer;
import static drumdeal.relay.StubPeer.status;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A configuration that is replaced while the relay runs. */
class ReloadTest extends RelayTestBase {
    @BeforeEach
    void prepare() throws IOException {
        prepare(RelayProcess.quietDiscovery(), StubPeer.always(status(200)));
    }

    /** Discovery with a list of its own, which takes every notice. */
    private static StubPeer discovery(String list) throws IOException {
        return new StubPeer(request -> request.line().startsWith("POST") ? status(204)
                : request.line().contains("after=") ? StubPeer.SILENCE : answer(200, list));
    }

    @Test
    void hangUpMovesTheWatchAgainAndAgain() throws IOException {
        relay.start();
        assertEquals(202, relay.handIn("m0", "safe", 7));
        await(() -> host.count("POST") == 1);
        String same = target("h1", 7, "one", "in_service", host.address()).replace("1.0", "2.0");
        try (StubPeer second = discovery(list(1, true, same));
                StubPeer other = StubPeer.always(status(200));
                StubPeer third = discovery(list(0, true, target("h2", 7, "one", "in_service", other.address())))) {
            relay.moveDiscovery(second);
            await(() -> second.count("GET /api/targets?after=1&") > 0);
            assertEquals(202, relay.handIn("m1", "safe", 7));
            await(() -> host.count("POST") == 2);
            assertEquals(1, host.connections.size(), "a host that stays where it is keeps its connections");
            relay.moveDiscovery(third);
            await(() -> third.count("GET /api/targets?after=0&") > 0);
            assertEquals("GET /api/targets HTTP/1.1", third.requests.get(0).line());
            assertEquals(202, relay.handIn("m2", "safe", 7));
            await(() -> other.count("POST") == 1);
        }
    }

    @Test
    void listThatTheNewDiscoveryTellsSlowlyIsWaitedFor() throws IOException {
        relay.start();
        try (StubPeer other = StubPeer.always(status(200));
                StubPeer next = new StubPeer(request -> {
                    if (request.line().contains("after=")) {
                        return StubPeer.SILENCE;
                    }
                    pause(1000);
                    return answer(200, list(1, true, target("h2", 7, "one", "in_service", other.address())));
                })) {
            relay.moveDiscovery(next);
            await(() -> next.count("GET /api/targets?after=1&") > 0);
            assertEquals(202, relay.handIn("m3", "safe", 7));
            await(() -> other.count("POST") == 1);
        }
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    @Test
    void noticeThatTheOldAddressLeftUnansweredGoesToTheNewOne() throws IOException, InterruptedException {
        discovery.answer(request -> StubPeer.SILENCE);
        host.answer(request -> StubPeer.CLOSE);
        relay.start().handIn("u1", "unsafe", 7);
        await(() -> relay.noticed("u1", "dead"));
        try (StubPeer next = RelayProcess.quietDiscovery()) {
            relay.moveDiscovery(next);
            await(() -> relay.noticed("u1", "dead"));
            await(() -> relay.journaled().isEmpty());
            relay.terminate();
            assertTrue(relay.hasEnded());
        }
    }

    @Test
    void configurationThatCannotBeReadLeavesTheOldOneInForce() throws IOException {
        relay.start();
        relay.reconfigure(text -> "{");
        await(() -> relay.log().contains("the old configuration stays in force"));
        host.answer(request -> StubPeer.CLOSE);
        assertEquals(202, relay.handIn("u2", "unsafe", 7));
        await(() -> relay.noticed("u2", "dead"));
    }

    private static final String LATE_CLASS = "{\"name\":\"late\",\"repeat\":\"once\",\"goal-time-s\":2,"
            + "\"deadline-s\":20,\"worth\":1}";

    private static String withLateClass(String text) {
        return text.replace("\"classes\":[", "\"classes\":[" + LATE_CLASS + ",");
    }

    @Test
    void classThatIsAddedIsTakenOnByItsOwnRules() throws IOException {
        host.answer(request -> StubPeer.CLOSE);
        relay.start();
        assertEquals(400, relay.handIn("l0", "late", 7));
        relay.reconfigure(ReloadTest::withLateClass);
        await(() -> relay.stats().contains("\"config_reloads\":1,\"config_reload_errors\":0"));
        assertEquals(202, relay.handIn("l1", "late", 7));
        await(() -> relay.noticed("l1", "dead"));
        assertEquals(1, host.requests.size(), "it may be sent once");
        await(() -> relay.stats().contains("\"late\":{\"completed\":0,\"rejected\":0,\"failed\":1}"));
    }

    @Test
    void numberOfAttemptsChanges() throws IOException {
        host.answer(request -> status(503, "X-Line-Busy: 1"));
        relay.start();
        relay.reconfigure(text -> text.replace("\"send-cap\":12", "\"send-cap\":2"));
        await(() -> relay.stats().contains("\"config_reloads\":1,"));
        assertEquals(202, relay.handIn("n1", "safe", 7));
        await(() -> relay.noticed("n1", "bounced"));
        assertEquals(2, host.requests.size());
    }

    @Test
    void fileThatIsNotWholeOrMakesNoSenseChangesNothing() throws IOException {
        relay.start();
        List<UnaryOperator<String>> broken = List.of(text -> "", text -> text.substring(0, text.length() - 1),
                text -> text + "}", text -> text.replace("\"fees\":{}", "\"other\":{}"),
                text -> text.replace("\"deadline-s\":20", "\"deadline-s\":0"),
                text -> text.replace("\"deadline-s\":20", "\"deadline-s\":-20"),
                text -> text.replace("\"deadline-s\":20", "\"deadline-s\":\"20\""),
                text -> text.replace("\"send-cap\":12,", ""), text -> text.replace(",\"worth\":1}", "}"),
                text -> text.replace("\"send-cap\":12", "\"send-cap\":0"),
                text -> text.replace("\"zones\":[\"a\"],", ""), text -> text.replace("\"accounts\"", "\"users\""));
        for (int i = 0; i < broken.size(); i++) {
            UnaryOperator<String> spoil = broken.get(i);
            relay.reconfigure(text -> spoil.apply(withLateClass(text)));
            String errors = "\"config_reloads\":0,\"config_reload_errors\":" + (i + 1) + "}";
            await(() -> relay.stats().contains(errors));
        }
        assertEquals(400, relay.handIn("b1", "late", 7), "nothing of them is taken");
        assertEquals(202, relay.handIn("b2", "safe", 7));
        await(() -> host.count("POST") == 1);
        assertTrue(discovery.connections.size() > 0 && relay.isAlive());
    }

    @Test
    void openMessageKeepsItsClassWhenThatIsDroppedAlsoAcrossARestart() throws IOException {
        host.answer(request -> StubPeer.SILENCE);
        relay.start();
        assertEquals(202, relay.handIn("o1", "unsafe", 7));
        assertEquals(202, relay.handIn("o2", "safe", 7));
        await(() -> host.count("POST") == 2);
        UnaryOperator<String> dropped = text -> text.replace("\"name\":\"unsafe\"", "\"name\":\"other\"")
                .replace("\"name\":\"safe\",\"repeat\":\"repeatable\"", "\"name\":\"safe\",\"repeat\":\"once\"");
        relay.reconfigure(dropped);
        await(() -> relay.stats().contains("\"config_reloads\":1,"));
        relay.kill();
        host.answer(request -> status(200));
        relay.start();
        await(() -> relay.noticed("o1", "dead"));
        await(() -> host.count("POST") == 3);
        assertEquals("o2", host.requests.get(2).id(), "it was taken on as one that may be repeated");
        assertEquals(400, relay.handIn("o3", "unsafe", 7));
    }
}
