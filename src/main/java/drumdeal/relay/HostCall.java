package drumdeal.relay;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import drumdeal.JsonReader;
import drumdeal.Policy.LimitReport;
import drumdeal.Policy.Result;
import drumdeal.JsonDataException;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * One call to a host: for one message, for a batch of messages, or a probe. It builds the request and translates the
 * response into the results of its attempts. Unless stated otherwise, times are in microseconds on the relay's
 * {@link Clock} and durations in microseconds.
 */
final class HostCall {
    private static final JsonFactory JSON = new JsonFactory();
    private static final int MAX_RESPONSE_BYTES = 64 << 10;
    /** Allowance for the punctuation and the member names of one message in a batch. */
    private static final int ITEM_OVERHEAD_BYTES = 40;
    /** A longer retry-after delay counts as this one, an hour. */
    private static final long MAX_RETRY_AFTER_MILLIS = 3_600_000;

    /** An attempt without a result so far, the time at which it times out, and the timer for that. */
    private record PendingAttempt(Message.Attempt attempt, long deadline, Future<?> timeoutTimer) { }

    private final HostClient client;
    private final HostClient.Host host;
    private final long startedAt;
    /**
     * The earliest deadline of the call's messages, or when a probe times out. A response to a batch that comes later
     * is ignored. For the host the call is over by then, so "done" in the response does not mean that the other
     * messages were delivered, and they would be lost. Some hosts also drop messages whose time is up and still
     * respond. The drawback: if a slow call would still be answered, its messages with much time left time out together
     * with those that have little.
     */
    private final long deadline;
    /** The request must not be sent at this time or later. */
    private final long sendDeadline;
    /** Null for a call that carries messages. */
    private final String probePath;
    /** Attempts without a result so far, in the order in which they are sent; empty for a probe. */
    private final Map<Message.Attempt, PendingAttempt> pendingAttempts = new LinkedHashMap<>();
    /** True if the call started with more than one message. */
    private final boolean batched;
    /** Number of messages in the request, set when it is built; 0 for a probe. */
    private int messageCount;
    /** Null for a call that carries messages. */
    private final Future<?> probeTimer;
    /** Null until the call has a connection. */
    private HostConnection connection;
    /** True once the request was written completely; before that the host can't have run the call. */
    private boolean sent;
    private boolean probeEnded;
    private int status;
    private LimitReport loadReport = LimitReport.NONE;
    /** Delay that the host asked for before the next call, 0 if none. */
    private long retryAfter;
    /** True if the host reported that no call slot is free, which says nothing about the limit on calls a second. */
    private boolean slotsTaken;
    private final ByteBuf responseBody = Unpooled.buffer(0, MAX_RESPONSE_BYTES);

    /** A call for one or more attempts. */
    HostCall(HostClient client, HostClient.Host host, List<HostClient.OutgoingAttempt> outgoing) {
        this.client = client;
        this.host = host;
        startedAt = client.nowMicros();
        probePath = null;
        probeTimer = null;
        batched = outgoing.size() > 1;
        sendDeadline = outgoing.stream().mapToLong(HostClient.OutgoingAttempt::sendDeadline).min()
                .orElse(Long.MAX_VALUE);
        deadline = outgoing.stream().mapToLong(next -> next.attempt().message.content.deadline()).min()
                .orElse(startedAt);
        for (HostClient.OutgoingAttempt next : outgoing) {
            long timeout = Math.min(next.timeoutMicros(), deadline - startedAt);
            Future<?> timer = client.schedule(timeout, () -> abandonAttempt(next.attempt(), Result.TIMEOUT));
            pendingAttempts.put(next.attempt(), new PendingAttempt(next.attempt(), startedAt + timeout, timer));
        }
    }

    /** A probe. */
    HostCall(HostClient client, HostClient.Host host, String path, long timeout) {
        this.client = client;
        this.host = host;
        startedAt = client.nowMicros();
        deadline = startedAt + timeout;
        sendDeadline = deadline;
        probePath = path;
        batched = false;
        probeTimer = client.schedule(timeout, () -> abandon(Result.TIMEOUT));
    }

    /** Approximate size of a message in a batch, in bytes; the body is sent in Base64, four bytes for each three. */
    static int encodedSize(Message message) {
        Message.Content content = message.content;
        int key = content.idempotencyKey() == null ? 0 : content.idempotencyKey().length();
        return (content.body().length + 2) / 3 * 4 + content.callId().length() + key + ITEM_OVERHEAD_BYTES;
    }

    HostClient.Host host() {
        return host;
    }

    /** When the call was created; it may wait for a connection after that. */
    long startedAt() {
        return startedAt;
    }

    /** The request must not be sent at this time or later. */
    long sendDeadline() {
        return sendDeadline;
    }

    /** True once the request was written completely. */
    boolean isSent() {
        return sent;
    }

    /** True while at least one attempt has no result. */
    boolean hasPendingAttempts() {
        return !pendingAttempts.isEmpty();
    }

    /** Records the attempts, which are about to be sent, and ends those that must not be; false if none is left. */
    boolean recordAttempts() {
        for (Message.Attempt attempt : List.copyOf(pendingAttempts.keySet())) {
            if (!client.recordAttempt(attempt)) {
                end(attempt, Result.NOT_SENT, false);
            }
        }
        return probePath != null || hasPendingAttempts();
    }

    /** Sets the connection on which the call is about to be sent. */
    void assignConnection(HostConnection assigned) {
        connection = assigned;
    }

    /** Called once the request was written completely. */
    void markSent() {
        sent = true;
        client.callWritten(messageCount);
    }

    /** Builds the HTTP request for the attempts that are still pending, or for the probe. */
    FullHttpRequest buildRequest() {
        if (probePath != null) {
            return buildRequest(HttpMethod.GET, probePath, new byte[0]);
        }
        FullHttpRequest request;
        messageCount = batched ? pendingAttempts.size() : 1;
        if (batched) {
            request = buildRequest(HttpMethod.POST, "/receive-many", buildBatchBody());
            request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
        } else {
            Message.Content content = pendingAttempts.keySet().iterator().next().message.content;
            request = buildRequest(HttpMethod.POST, "/receive", content.body());
            request.headers().set(ClientServer.CALL_ID_HEADER, content.callId());
            if (content.idempotencyKey() != null) {
                request.headers().set(ClientServer.IDEMPOTENCY_KEY_HEADER, content.idempotencyKey());
            }
        }
        long latestDeadline = pendingAttempts.values().stream().mapToLong(PendingAttempt::deadline).max().orElse(0);
        request.headers().set(ClientServer.BUDGET_HEADER, Math.max(0, latestDeadline - client.nowMicros()) / 1000);
        return request;
    }

    private FullHttpRequest buildRequest(HttpMethod method, String path, byte[] content) {
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, path,
                Unpooled.wrappedBuffer(content));
        request.headers().set(HttpHeaderNames.HOST, host.authority());
        if (method == HttpMethod.POST) {
            HttpUtil.setContentLength(request, content.length);
        }
        return request;
    }

    private byte[] buildBatchBody() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator json = JSON.createGenerator(bytes)) {
            json.writeStartArray();
            for (Message.Attempt attempt : pendingAttempts.keySet()) {
                Message.Content content = attempt.message.content;
                json.writeStartObject();
                json.writeStringField("id", content.callId());
                if (content.idempotencyKey() != null) {
                    json.writeStringField("key", content.idempotencyKey());
                }
                json.writeBinaryField("body", content.body());
                json.writeEndObject();
            }
            json.writeEndArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    /**
     * Reads the head of the response. It is evaluated when the response is complete. Attempts that end before that
     * report its load report and retry-after delay.
     */
    void receiveHead(HttpResponse response) {
        status = response.status().code();
        loadReport = parseLoadReport(response.headers().get(ClientServer.LOAD_REPORT_HEADER));
        retryAfter = parseRetryAfter(response.headers().get("X-Come-Back-Ms"));
        slotsTaken = "1".equals(response.headers().get("X-Line-Busy"));
    }

    /** Reads the status of the response: 200 means that a single message was delivered, whatever follows. */
    void receiveStatusLine(int code) {
        if (probePath == null && !batched && code == HttpResponseStatus.OK.code()) {
            end(Result.OK, true);
        }
    }

    /**
     * Ends the call after a response that is malformed or does not end: the host may have run the call. {@code code} is
     * the status if the status line could be read.
     */
    void endInvalidResponse(int code) {
        loadReport = LimitReport.NONE;
        retryAfter = 0;
        receiveStatusLine(code);
        end(Result.ERROR);
    }

    /** Collects a piece of the response's body; false if the body becomes larger than any response may be. */
    boolean receiveBody(ByteBuf piece) {
        if (responseBody.readableBytes() + piece.readableBytes() > MAX_RESPONSE_BYTES) {
            return false;
        }
        responseBody.writeBytes(piece);
        return true;
    }

    /** Evaluates the complete response. */
    void complete() {
        if (retryAfter > 0) {
            client.applyRetryAfter(host, retryAfter);
        }
        if (probePath != null) {
            if (status == 200 && loadReport.equals(LimitReport.NONE)) {
                loadReport = parseLoadReport(responseBody.toString(StandardCharsets.UTF_8));
            }
            endProbe(status == 200 ? Result.OK : status == 503 || status == 429 ? Result.FULL : Result.ERROR);
        } else if (batched && isPastDeadline()) {
            end(Result.TIMEOUT);
        } else if (batched && status == 200) {
            applyBatchOutcomes();
            // Attempts are left only if the response can't be parsed. Their messages may have run.
            end(Result.ERROR);
        } else if (status == 503 && retryAfter == 0 && !slotsTaken && connection.isClosedAfterFirstResponse()) {
            client.connectionRejected(host);
            end(Result.CROWDED);
        } else {
            applyOutcome(status);
        }
    }

    /**
     * True if the call's time is up. The timers alone are not enough: the event loop may read a response before it
     * runs the timers that are due.
     */
    private boolean isPastDeadline() {
        return client.nowMicros() >= deadline;
    }

    /** Ends the attempts according to the HTTP status of the response. */
    private void applyOutcome(int code) {
        switch (code) {
            case 200 -> end(Result.OK, true);
            case 410 -> end(Result.NOT_SENT, true);
            case 429 -> end(Result.FULL);
            case 503 -> end(slotsTaken ? Result.NOT_SENT : Result.FULL);
            case 400, 404, 413, 504 -> end(Result.NOT_SENT);
            default -> end(Result.ERROR);
        }
    }

    /**
     * Ends each attempt according to its entry in the response. An attempt without an entry ends as ERROR, since its
     * message may have run. A response that can't be parsed ends no attempt.
     */
    private void applyBatchOutcomes() {
        Map<String, String> statesByCallId = new HashMap<>();
        try (JsonParser parser = JSON.createParser(responseBody.toString(StandardCharsets.UTF_8))) {
            parser.nextToken();
            if (!(JsonReader.readValue(parser) instanceof List<?> entries)) {
                throw new JsonDataException("not an array");
            }
            for (Object json : entries) {
                JsonReader entry = JsonReader.ofObject("answer", json);
                if (statesByCallId.put(entry.text("id"), entry.text("state")) != null) {
                    throw new JsonDataException("two entries for one message");
                }
            }
            if (parser.nextToken() != null) {
                throw new JsonDataException("data after the array");
            }
        } catch (IOException | JsonDataException e) {
            Log.write("host " + host.route() + ": invalid response to a batch, its attempts end as ERROR: "
                    + e.getMessage());
            return;
        }
        for (Message.Attempt attempt : new ArrayList<>(pendingAttempts.keySet())) {
            applyOutcome(attempt, statesByCallId.getOrDefault(attempt.message.content.callId(), "failed"));
        }
    }

    /** Ends one attempt of a batch according to the state in its entry. */
    private void applyOutcome(Message.Attempt attempt, String state) {
        switch (state) {
            case "done" -> end(attempt, Result.OK, true);
            case "busy" -> end(attempt, Result.FULL, false);
            case "void" -> end(attempt, Result.NOT_SENT, true);
            case "used_up" -> end(attempt, Result.NOT_SENT, false);
            default -> end(attempt, Result.ERROR, false);
        }
    }

    /** Ends the call after its connection closed before the response was complete. */
    void connectionLost() {
        client.closeIdle(host);
        end(sent ? Result.RESET : Result.CONNECT_FAILED);
    }

    /** Ends all pending attempts, or the probe, with the same result. */
    void end(Result result) {
        end(result, false);
    }

    private void end(Result result, boolean messageFinished) {
        if (probePath != null) {
            endProbe(result);
        }
        for (Message.Attempt attempt : new ArrayList<>(pendingAttempts.keySet())) {
            end(attempt, result, messageFinished);
        }
    }

    private void end(Message.Attempt attempt, Result result, boolean messageFinished) {
        PendingAttempt pending = pendingAttempts.remove(attempt);
        if (pending != null) {
            pending.timeoutTimer().cancel(false);
            client.attemptEnded(attempt, result, messageFinished, retryAfter, loadReport);
        }
    }

    private void endProbe(Result result) {
        if (!probeEnded) {
            probeEnded = true;
            probeTimer.cancel(false);
            client.probeEnded(this, result, retryAfter, loadReport);
        }
    }

    /**
     * Stops waiting for one attempt. After the last one the connection is closed too: otherwise the host would count a
     * call as in flight although nobody waits for it.
     */
    void abandonAttempt(Message.Attempt attempt, Result result) {
        // The response may have arrived since the event loop last read the connection.
        if (connection != null && pendingAttempts.containsKey(attempt)) {
            connection.readNow();
        }
        if (!pendingAttempts.containsKey(attempt)) {
            return;
        }
        if (pendingAttempts.size() == 1) {
            abandon(result);
        } else {
            end(attempt, sent ? result : Result.CONNECT_FAILED, false);
        }
    }

    /** Stops waiting for the call. If its request was not written completely, the host did not run it. */
    private void abandon(Result result) {
        if (connection == null) {
            end(client.removeQueuedCall(this));
            return;
        }
        if (sent) {
            Log.write("no response, closing the connection: host " + host.route() + " after "
                    + (client.nowMicros() - startedAt) / 1000 + " ms, " + connection.history());
        }
        end(sent ? result : Result.CONNECT_FAILED);
        client.closeIdle(host, startedAt);
        connection.abandonCall();
    }

    /** Milliseconds in a header as microseconds; 0 if the header is absent or malformed. */
    private static long parseRetryAfter(String text) {
        if (text == null || !text.matches("\\d{1,9}")) {
            return 0;
        }
        return Math.min(MAX_RETRY_AFTER_MILLIS, Long.parseLong(text)) * 1000;
    }

    /**
     * Parses a load report such as {@code TEXT x0=0.4, x1=25}, where {@code x0} is the share of the limit that is left
     * and {@code x1} the limit in calls a second. Values that are absent or malformed are NaN.
     */
    static LimitReport parseLoadReport(String text) {
        if (text == null) {
            return LimitReport.NONE;
        }
        double remainingShare = Double.NaN;
        double ratePerSecond = Double.NaN;
        for (String pair : text.strip().replaceFirst("^TEXT\\s", "").split(",")) {
            String[] nameAndValue = pair.strip().split("=", 2);
            double value = nameAndValue.length < 2 ? Double.NaN : parseNumber(nameAndValue[1]);
            if (nameAndValue[0].equals("x0")) {
                remainingShare = value;
            } else if (nameAndValue[0].equals("x1")) {
                ratePerSecond = value;
            }
        }
        return new LimitReport(remainingShare, ratePerSecond);
    }

    /** A number that is finite and not negative, else NaN. */
    private static double parseNumber(String text) {
        try {
            double value = Double.parseDouble(text.strip());
            return Double.isFinite(value) && value >= 0 ? value : Double.NaN;
        } catch (NumberFormatException e) {
            Log.write("ignored an invalid number in a load report: " + text);
            return Double.NaN;
        }
    }
}
