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

/**
 * Sends a notice of each message that ended undelivered to the platform and repeats it until it is acknowledged. One
 * request is in flight at a time and carries many notices.
 */
final class NoticeSender {
    /**
     * A message without a notice counts as lost 300 ms after its deadline. The agent usually responds at once, so a
     * request without a response is repeated, twice within that time: it may carry the notices of many messages that
     * ended at the same moment. The time-out doubles with each further failure, so that an agent that has become slow
     * gets the time to respond.
     */
    private static final long INITIAL_TIMEOUT_MILLIS = 80;
    private static final long MAX_TIMEOUT_MILLIS = 640;
    /** Bounds the shift that doubles the time-out. */
    private static final int MAX_TIMEOUT_DOUBLINGS = 8;
    /** Pause before a request is repeated that failed for another reason than a time-out. */
    private static final long RETRY_PAUSE_MILLIS = 50;
    /** Keeps a request body, with ids of up to 200 characters, within the limit of 64 KiB. */
    private static final int MAX_NOTICES_PER_REQUEST = 200;
    /** One line is logged per this many failures in succession. */
    private static final int FAILURES_PER_LOG_LINE = 4;
    private static final long MICROS_PER_MILLI = 1000;
    private static final int STATUS_NO_CONTENT = 204;
    private static final int STATUS_BAD_REQUEST = 400;

    private final EventLoop loop;
    private final Discovery.Agent agent;
    private final Consumer<Message> onAcknowledged;
    private final JsonFactory jsonFactory = new JsonFactory();
    /** Messages whose notice is not acknowledged yet, by their number, in the order in which they ended. */
    private final Map<Long, Message> unacknowledged = new LinkedHashMap<>();
    /** Limit of notices in the next request; 1 after a request that the platform could not read. */
    private int batchLimit = MAX_NOTICES_PER_REQUEST;
    /** True while a request is in flight or a retry is scheduled. */
    private boolean sending;
    private int consecutiveFailures;

    /** Passes each message whose notice was acknowledged to a consumer. */
    NoticeSender(EventLoop loop, Discovery.Agent agent, Consumer<Message> onAcknowledged) {
        this.loop = loop;
        this.onAcknowledged = onAcknowledged;
        this.agent = agent;
    }

    /** Sends the notice of a message's end. While a request is in flight, it waits for the next one. */
    void send(Message message) {
        unacknowledged.put(message.number, message);
        if (!sending) {
            sendNextBatch();
        }
    }

    /** Uses another address from now on. A request without a response is repeated there. */
    void moveTo(InetSocketAddress address) {
        agent.moveTo(address);
    }

    private void sendNextBatch() {
        sending = !unacknowledged.isEmpty();
        if (sending) {
            List<Message> batch = unacknowledged.values().stream().limit(batchLimit).toList();
            agent.request(HttpMethod.POST, "/status", toJsonLines(batch), timeoutMillis(),
                    (status, body) -> onResponse(batch, status));
        }
    }

    private long timeoutMillis() {
        return Math.min(MAX_TIMEOUT_MILLIS,
                INITIAL_TIMEOUT_MILLIS << Math.min(consecutiveFailures, MAX_TIMEOUT_DOUBLINGS));
    }

    private void onResponse(List<Message> batch, int status) {
        // A notice that the platform can't read would hold up all others, so it is dropped if it is rejected alone.
        boolean dropped = status == STATUS_BAD_REQUEST && batch.size() == 1;
        if (status == STATUS_NO_CONTENT || dropped) {
            if (dropped) {
                Log.write("the platform rejected the notice of message " + batch.get(0).content.callId()
                        + ", it is dropped");
            }
            batchLimit = MAX_NOTICES_PER_REQUEST;
            consecutiveFailures = 0;
            batch.forEach(message -> unacknowledged.remove(message.number));
            batch.forEach(onAcknowledged);
            sendNextBatch();
            return;
        }
        if (status == STATUS_BAD_REQUEST) {
            batchLimit = 1;
        }
        // Single losses are usual on the network, and the next request makes up for them, so they are not logged.
        if (++consecutiveFailures % FAILURES_PER_LOG_LINE == 0) {
            Log.write(unacknowledged.size() + " notices are not acknowledged after " + consecutiveFailures
                    + " failed requests and are sent again, status " + status);
        }
        // After a time-out the request is repeated without a further pause.
        loop.schedule(this::sendNextBatch, status == AgentClient.TIMED_OUT ? 0 : RETRY_PAUSE_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /** One JSON object per line; retry delays are rounded up to milliseconds. */
    private String toJsonLines(List<Message> batch) {
        StringWriter text = new StringWriter();
        for (Message message : batch) {
            try (JsonGenerator line = jsonFactory.createGenerator(text)) {
                line.writeStartObject();
                line.writeStringField("ref", message.content.callId());
                line.writeStringField("result", message.nonDelivery.rejected() ? "bounced" : "dead");
                if (message.nonDelivery.rejected() && message.nonDelivery.retryAfterMicros() > 0) {
                    line.writeNumberField("wait_ms",
                            (message.nonDelivery.retryAfterMicros() + MICROS_PER_MILLI - 1) / MICROS_PER_MILLI);
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
