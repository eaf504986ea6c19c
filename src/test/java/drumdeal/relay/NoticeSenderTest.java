package drumdeal.relay;

import static drumdeal.relay.RelayProcess.await;
import static drumdeal.relay.StubPeer.respondWithStatus;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.function.Function;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Notices to the platform about messages that were accepted and not delivered. */
class NoticeSenderTest extends RelayTestBase {
    @BeforeEach
    void prepare() throws IOException {
        prepare(RelayProcess.discoveryWithoutChanges(), StubPeer.always(StubPeer.CLOSE_CONNECTION));
    }

    private void respondToNotices(Function<StubPeer.Request, String> responder) {
        discovery.setResponder(request -> request.requestLine().startsWith("POST /status") ? responder.apply(request)
                : StubPeer.NO_RESPONSE);
    }

    @Test
    void pendingNoticesAreAllAcknowledgedOnceThePlatformAnswers() throws IOException {
        respondToNotices(request -> StubPeer.NO_RESPONSE);
        relay.start();
        for (String id : List.of("a", "b", "c")) {
            assertEquals(202, relay.submit(id, "unsafe", 7));
        }
        await(() -> relay.hasSentNotice("a", "dead") && relay.hasSentNotice("b", "dead")
                && relay.hasSentNotice("c", "dead"));
        assertEquals(3, relay.readOpenMessages().size(),
                "messages must stay open until their notices are acknowledged");
        respondToNotices(request -> respondWithStatus(204));
        await(() -> relay.readOpenMessages().isEmpty());
    }

    @Test
    void rejectedNoticeDoesNotHoldUpOthers() throws IOException {
        respondToNotices(request -> respondWithStatus(503));
        relay.start();
        for (String id : List.of("a", "odd", "c")) {
            assertEquals(202, relay.submit(id, "unsafe", 7));
        }
        await(() -> discovery.requests.stream().anyMatch(r -> r.body().split("\n").length == 3));
        respondToNotices(request -> respondWithStatus(request.body().contains("\"odd\"") ? 400 : 204));
        await(() -> relay.readOpenMessages().isEmpty());
        assertTrue(relay.readLog().contains("the platform rejected the notice of message odd, it is dropped"),
                relay.readLog());
    }
}
