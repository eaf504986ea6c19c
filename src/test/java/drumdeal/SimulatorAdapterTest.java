package drumdeal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.StringReader;
import java.io.StringWriter;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the conversion between the simulator's JSON lines and the events and actions of the decision module. */
class SimulatorAdapterTest {
    /** Settings with a key, "later-key", that is unknown to the adapter. */
    private static final String SETTINGS_JSON =
            "{\"me\":1,\"fleet-size\":3,\"zone\":\"x\",\"kinds\":[\"k\"],\"zones\":[\"x\"],"
            + "\"classes\":[{\"name\":\"c\",\"repeat\":\"by_key\",\"key-scope\":\"zone\",\"goal-time-s\":1.5,"
            + "\"deadline-s\":5,\"later-key\":1}],\"family-info\":{\"call-slots\":4,\"batch-by-kind\":[5],"
            + "\"routes-apart\":[true]},\"limits\":{\"max-open\":9,\"send-cap\":3},\"contract\":{\"fall-s\":2.0},"
            + "\"fees\":{}}";
    private static final String LAUNCH_MESSAGE = "[\"launch\",9," + SETTINGS_JSON + "]";

    /** Settings of the modules that were created. */
    private final List<Policy.Settings> startedSettings = new ArrayList<>();
    /** Events that the modules received. */
    private final List<Policy.Event> receivedEvents = new ArrayList<>();

    /** Processes batches, one JSON line each, and returns the replies; the modules take no action. */
    private String runBatches(String... batches) throws IOException {
        StringWriter out = new StringWriter();
        new SimulatorAdapter(settings -> {
            startedSettings.add(settings);
            return (now, events, actions) -> receivedEvents.addAll(events);
        }).run(new StringReader(String.join("\n", batches)), out);
        return out.toString();
    }

    /** A batch with the messages of one instance, number 3. */
    private static String batchJson(String... messages) {
        return "{\"t-s\":2.5,\"n\":1,\"groups\":[{\"i\":3,\"in\":[" + String.join(",", messages) + "]}]}";
    }

    @Test
    void replyToAnEmptyBatchRepeatsItsNumber() throws IOException {
        assertEquals("{\"n\":4,\"groups\":[]}\n", runBatches("{\"t-s\":8.4,\"n\":4,\"groups\":[]}"));
    }

    @Test
    void settingsAreReadAndUnknownKeysAreIgnored() throws IOException {
        runBatches(batchJson(LAUNCH_MESSAGE));
        Policy.Settings settings = startedSettings.get(0);
        assertEquals(new Policy.DestinationKind("k", true, 5), settings.kinds().get(0));
        assertEquals(1_500_000, settings.classes().get(0).goalMicros());
        assertEquals(Policy.KeyScope.ZONE, settings.classes().get(0).keyScope());
        assertEquals(2_000_000, settings.rules().collapseWindowMicros());
    }

    @Test
    void messagesAreConvertedToEvents() throws IOException {
        runBatches(batchJson(LAUNCH_MESSAGE, "[\"directory\",0,[[\"k\",\"LAME\",\"x\",null,\"h\",7,1.5]]]",
                "[\"discovery\",\"cached\",4,0]", "[\"job-in\",8,\"c\",null,\"ord\",9.25,null,7,1,\"later\"]",
                "[\"outcome\",8,300,false,\"full\",0,\"h\",0.02,{\"x0\":0.5,\"x1\":2,\"other\":1}]"));
        assertEquals(new Policy.RouteListUpdate(Policy.RouteListUpdateType.CACHED, 4,
                List.of(new Policy.ListedRoute("h", 7, "k", "x", Policy.Availability.DRAINING, 1.5))),
                receivedEvents.get(0));
        assertEquals(new Policy.RequestAccepted(8, "c", null, "ord", 9_250_000, 7), receivedEvents.get(1));
        assertEquals(new Policy.AttemptEnded(8, 0, "h", Policy.Result.FULL, false, 300_000, 20_000,
                new Policy.LimitReport(0.5, 2)), receivedEvents.get(2));
    }

    @Test
    void reusedRouteListNumberRefersToTheListReceivedLast() throws IOException {
        runBatches(batchJson(LAUNCH_MESSAGE, "[\"directory\",0,[[\"k\",\"IN\",\"x\",null,\"a\",7,1]]]",
                "[\"discovery\",\"cached\",4,0]", "[\"directory\",0,[]]", "[\"discovery\",\"full\",5,0]"));
        assertEquals(1, ((Policy.RouteListUpdate) receivedEvents.get(0)).routes().size());
        assertEquals(0, ((Policy.RouteListUpdate) receivedEvents.get(1)).routes().size());
    }

    @Test
    void detachAndLaunchInOneBatchDiscardEarlierEvents() throws IOException {
        runBatches(batchJson(LAUNCH_MESSAGE),
                batchJson("[\"reminder\",1]", "[\"detach\"]", LAUNCH_MESSAGE, "[\"reminder\",2]"));
        assertEquals(2, startedSettings.size());
        assertEquals(List.of(new Policy.TimerFired(2)), receivedEvents);
    }

    @Test
    void actionsAreWrittenInOrder() throws IOException {
        StringWriter out = new StringWriter();
        new SimulatorAdapter(settings -> (now, events, actions) -> {
            actions.startAttempt(8, "h", 80_000);
            actions.sendPeerNote(-1, new byte[] {10});
            actions.failRequest(8);
        }).run(new StringReader(batchJson(LAUNCH_MESSAGE)), out);
        assertEquals("{\"n\":1,\"groups\":[{\"i\":3,\"cmds\":[[\"place\",8,\"h\",0.08],[\"memo-to\",\"*\",\"0a\"],"
                + "[\"end-failed\",8]]}]}\n", out.toString());
    }

    @Test
    void exceptionOfTheModuleIsReported() throws IOException {
        StringWriter out = new StringWriter();
        new SimulatorAdapter(settings -> (now, events, actions) -> {
            throw new IllegalStateException("broken");
        }).run(new StringReader(batchJson(LAUNCH_MESSAGE)), out);
        assertTrue(out.toString().contains("[\"internal-error\",\"java.lang.IllegalStateException: broken\"]"));
    }

    @Test
    void errorSaysWhichInputIsMalformed() {
        assertErrorContains("line 1: not JSON", "{\"t-s\":");
        assertErrorContains("line 1: batch: value n must be a whole number", "{\"t-s\":1,\"groups\":[]}");
        assertErrorContains("unknown event nonsense", batchJson(LAUNCH_MESSAGE, "[\"nonsense\",1]"));
        assertErrorContains("dropped: value 1 must be a whole number", batchJson(LAUNCH_MESSAGE, "[\"dropped\"]"));
        assertErrorContains("call-slots: must be above 0",
                batchJson(LAUNCH_MESSAGE.replace("\"call-slots\":4", "\"call-slots\":0")));
    }

    /** Checks that the adapter rejects an input with a message that contains a text. */
    private void assertErrorContains(String expected, String input) {
        JsonDataException thrown = assertThrows(JsonDataException.class,
                () -> new SimulatorAdapter(DeliveryPolicy::new).run(new StringReader(input), new StringWriter()));
        assertTrue(thrown.getMessage().contains(expected), thrown.getMessage());
    }
}
