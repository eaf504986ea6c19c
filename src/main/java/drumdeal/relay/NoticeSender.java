package drumdeal.relay;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Tells the platform of messages that ended undelivered, each until it has been heard. */
final class NoticeSender {
    /**
     * A message is lost 300 ms after its time is up, and the answer comes at once: what goes unanswered has to be said
     * again by then, twice over, as all that ended in one moment is told with one request. Twice as long after each
     * further one, so that an agent that has become slow is heard in the end.
     */
    private static final long INITIAL_TIMEOUT_MILLIS = 80;
    private static final long MAX_TIMEOUT_MILLIS = 640;
    private static final long RETRY_PAUSE_MILLIS = 50;
    /** Keeps a request, whose ids have 200 characters at the most, within the 64 KiB that a body may have. */
    private static final int MAX_NOTICES_PER_REQUEST = 200;
    private static final int FAILURES_PER_LOG_LINE = 4;
    private static final int STATUS_NO_CONTENT = 204;
    private static final int STATUS_BAD_REQUEST = 400;

    private final EventLoop loop;
    private final Discovery.Agent agent;
    private final Consumer<Message> onAcknowledged;
    private final JsonFactory json = new JsonFactory();
    /** What has not been heard yet, by number, in the order decided. */
    private final Map<Long, Message> unacknowledged = new LinkedHashMap<>();
    private int batchLimit = MAX_NOTICES_PER_REQUEST;
    private boolean sending;
    private int consecutiveFailures;

    NoticeSender(EventLoop loop, Discovery.Agent agent, Consumer<Message> heard) {
        this.loop = loop;
        this.onAcknowledged = heard;
        this.agent = agent;
    }

    /** Tells how a message ended; what is said while an earlier request is out goes with the next one. */
    void send(Message message) {
        unacknowledged.put(message.number, message);
        if (!sending) {
            sendNextBatch();
        }
    }

    /** Goes to another address from now on; what is out there unanswered is told anew. */
    void moveTo(InetSocketAddress address) {
        agent.moveTo(address);
    }

    private void sendNextBatch() {
        sending = !unacknowledged.isEmpty();
        if (sending) {
            List<Message> told = unacknowledged.values().stream().limit(batchLimit).toList();
            agent.request(HttpMethod.POST, "/status", toJsonLines(told), timeoutMillis(),
                    (status, body) -> onResponse(told, status));
        }
    }

    private long timeoutMillis() {
        return Math.min(MAX_TIMEOUT_MILLIS, INITIAL_TIMEOUT_MILLIS << Math.min(consecutiveFailures, Byte.SIZE));
    }

    private void onResponse(List<Message> told, int status) {
        // Guards against one notice that can't be read, which would hold up all that are told with it.
        boolean lost = status == STATUS_BAD_REQUEST && told.size() == 1;
        if (status == STATUS_NO_CONTENT || lost) {
            if (lost) {
                Log.write("the notice of message " + told.get(0).content.callId() + " was not understood");
            }
            batchLimit = MAX_NOTICES_PER_REQUEST;
            consecutiveFailures = 0;
            told.forEach(message -> unacknowledged.remove(message.number));
            told.forEach(onAcknowledged);
            sendNextBatch();
            return;
        }
        if (status == STATUS_BAD_REQUEST) {
            batchLimit = 1;
        }
        // One line for a loss that a second request mends would only say what the network does all day.
        if (++consecutiveFailures % FAILURES_PER_LOG_LINE == 0) {
            Log.write(unacknowledged.size() + " notices are unheard after " + consecutiveFailures + " requests in vain, status " + status);
        }
        // Silence has taken its time already.
        loop.schedule(this::sendNextBatch, status == AgentClient.TIMED_OUT ? 0 : RETRY_PAUSE_MILLIS, TimeUnit.MILLISECONDS);
    }

    private String toJsonLines(List<Message> told) {
        StringWriter text = new StringWriter();
        for (Message message : told) {
            try (JsonGenerator line = json.createGenerator(text)) {
                line.writeStartObject();
                line.writeStringField("ref", message.content.callId());
                line.writeStringField("result", message.nonDelivery.rejected() ? "bounced" : "dead");
                if (message.nonDelivery.rejected() && message.nonDelivery.retryAfter() > 0) {
                    line.writeNumberField("wait_ms", (message.nonDelivery.retryAfter() + 999) / 1000);
                }
                line.writeEndObject();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            text.append('\n');
        }
        return text.toString();
    }
}
