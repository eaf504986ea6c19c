package drumdeal.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** When notices that get no answer are sent again, on a simulated clock. */
class UnansweredNoticeTest {
    /** A message counts as lost if its notice arrives later than this after its deadline. */
    private static final long NOTICE_DEADLINE_MILLIS = 300;

    private record NoticeCall(long sentAtMillis, String body, long timeoutMillis,
            AgentClient.ResponseHandler callback) { }

    private final EmbeddedChannel embeddedChannel = new EmbeddedChannel();
    private final List<NoticeCall> calls = new ArrayList<>();
    private final List<Message> acknowledged = new ArrayList<>();
    private long nowMillis;
    private NoticeSender noticeSender;

    @BeforeEach
    void prepare() {
        embeddedChannel.freezeTime();
        noticeSender = new NoticeSender(embeddedChannel.eventLoop(), new Discovery.Agent() {
            @Override
            public void request(HttpMethod method, String path, String body, long timeoutMillis,
                    AgentClient.ResponseHandler callback) {
                calls.add(new NoticeCall(nowMillis, body, timeoutMillis, callback));
            }

            @Override
            public void moveTo(InetSocketAddress address) { }
        }, acknowledged::add);
    }

    private void advanceMillis(long millis) {
        for (long end = nowMillis + millis; nowMillis < end; nowMillis++) {
            embeddedChannel.advanceTimeBy(1, TimeUnit.MILLISECONDS);
            embeddedChannel.runScheduledPendingTasks();
        }
    }

    private NoticeCall lastCall() {
        return calls.get(calls.size() - 1);
    }

    private void endMessage(String id) {
        Message message = new Message(calls.size() * 100L + acknowledged.size() + id.length(),
                new Message.Content(id, "safe", null, null, 0, 7, new byte[0]), null);
        message.nonDelivery = new Message.NonDelivery(true, 0);
        noticeSender.send(message);
    }

    /** Lets the last request time out and waits for the next one. */
    private void timeOutLastCall() {
        int callsBefore = calls.size();
        NoticeCall unanswered = lastCall();
        advanceMillis(unanswered.timeoutMillis());
        unanswered.callback().handle(AgentClient.TIMED_OUT, "");
        while (calls.size() == callsBefore) {
            advanceMillis(1);
        }
    }

    @Test
    void batchThatTimesOutTwiceIsSentAThirdTimeBeforeTheNoticeDeadline() {
        endMessage("a");
        endMessage("bb");
        endMessage("ccc");
        timeOutLastCall();
        timeOutLastCall();
        assertTrue(lastCall().sentAtMillis() < NOTICE_DEADLINE_MILLIS - 50,
                "time of the third request, in ms: " + lastCall().sentAtMillis());
        assertEquals(3, lastCall().body().lines().count(), lastCall().body());
        lastCall().callback().handle(204, "");
        assertEquals(3, acknowledged.size());
    }

    @Test
    void timeoutGrowsForASlowAgentUntilItAnswers() {
        endMessage("a");
        for (int i = 0; i < 6; i++) {
            timeOutLastCall();
        }
        assertTrue(lastCall().timeoutMillis() >= 500, "timeout in ms: " + lastCall().timeoutMillis());
        lastCall().callback().handle(204, "");
        assertEquals(1, acknowledged.size());
        endMessage("bb");
        assertTrue(lastCall().timeoutMillis() < NOTICE_DEADLINE_MILLIS / 3,
                "timeout in ms: " + lastCall().timeoutMillis());
    }
}
