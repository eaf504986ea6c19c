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

/** When notices that go unanswered are told again, on a clock of the test's own. */
class SilentNoticeTest {
    /** After its time a message that nobody has heard of is lost. */
    private static final long LOST_MS = 300;

    private record Told(long at, String body, long timeout, AgentClient.Answer answer) { }

    private final EmbeddedChannel time = new EmbeddedChannel();
    private final List<Told> told = new ArrayList<>();
    private final List<Message> heard = new ArrayList<>();
    private long now;
    private Notices notices;

    @BeforeEach
    void prepare() {
        time.freezeTime();
        notices = new Notices(time.eventLoop(), new Discovery.Agent() {
            @Override
            public void request(HttpMethod method, String path, String body, long timeoutMs, AgentClient.Answer answer) {
                told.add(new Told(now, body, timeoutMs, answer));
            }

            @Override
            public void moveTo(InetSocketAddress next) { }
        }, heard::add);
    }

    private void pass(long millis) {
        for (long end = now + millis; now < end; now++) {
            time.advanceTimeBy(1, TimeUnit.MILLISECONDS);
            time.runScheduledPendingTasks();
        }
    }

    private Told last() {
        return told.get(told.size() - 1);
    }

    private void end(String id) {
        Message message = new Message(told.size() * 100L + heard.size() + id.length(),
                new Message.Content(id, "safe", null, null, 0, 7, new byte[0]), null);
        message.end = new Message.End(true, 0);
        notices.send(message);
    }

    /** No answer comes to the last request; the next one follows. */
    private void fallSilent() {
        int before = told.size();
        Told silent = last();
        pass(silent.timeout());
        silent.answer().come(AgentClient.SILENT, "");
        while (told.size() == before) {
            pass(1);
        }
    }

    @Test
    void clumpWhoseNoticesFallSilentTwiceIsToldAThirdTimeBeforeItIsLost() {
        end("a");
        end("bb");
        end("ccc");
        fallSilent();
        fallSilent();
        assertTrue(last().at() < LOST_MS - 50, "told again after ms: " + last().at());
        assertEquals(3, last().body().lines().count(), last().body());
        last().answer().come(204, "");
        assertEquals(3, heard.size());
    }

    @Test
    void agentThatHasBecomeSlowIsWaitedForLongerUntilItAnswers() {
        end("a");
        for (int times = 0; times < 6; times++) {
            fallSilent();
        }
        assertTrue(last().timeout() >= 500, "patience " + last().timeout());
        last().answer().come(204, "");
        assertEquals(1, heard.size());
        end("bb");
        assertTrue(last().timeout() < LOST_MS / 3, "patience " + last().timeout());
    }
}
