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

/** One call to a host, for one message, for several, or a probe; it knows the table of outcomes. */
final class HostCall {
    private static final JsonFactory JSON = new JsonFactory();
    private static final int MAX_RESPONSE_BYTES = 64 << 10;
    private static final int ITEM_OVERHEAD_BYTES = 40;
    private static final long MAX_RETRY_AFTER_MILLIS = 3_600_000;

    private record PendingAttempt(Message.Attempt attempt, long deadline, Future<?> timeoutTimer) { }

    private final HostClient client;
    private final HostClient.Host host;
    private final long startedAt;
    /**
     * The call's time is up with that of the first of its messages. Guards against an answer after it: to the host the
     * call is over by then, so "done" in it delivers none of the others, and they would be lost. Guards also against
     * hosts that drop what is out of time and answer all the same. It harms where messages with much and with little
     * time left share a slow call that would yet be answered: the former end with the latter.
     */
    private final long deadline;
    private final long sendDeadline;
    private final String probePath;
    /** Attempts that nothing is known of yet. */
    private final Map<Message.Attempt, PendingAttempt> pendingAttempts = new LinkedHashMap<>();
    private final boolean batched;
    /** How many messages the request holds. */
    private int messageCount;
    private final Future<?> probeTimer;
    private HostConnection connection;
    private boolean sent;
    private boolean probeEnded;
    private int status;
    private LimitReport loadReport = LimitReport.NONE;
    private long retryAfter;
    private boolean slotsTaken;
    private final ByteBuf responseBody = Unpooled.buffer(0, MAX_RESPONSE_BYTES);

    /** A call for one or more attempts. */
    HostCall(HostClient client, HostClient.Host host, List<HostClient.OutgoingAttempt> outgoing) {
        this.client = client;
        this.host = host;
        startedAt = client.now();
        probePath = null;
        probeTimer = null;
        batched = outgoing.size() > 1;
        sendDeadline = outgoing.stream().mapToLong(HostClient.OutgoingAttempt::sendDeadline).min().orElse(Long.MAX_VALUE);
        deadline = outgoing.stream().mapToLong(o -> o.attempt().message.content.deadline()).min().orElse(startedAt);
        for (HostClient.OutgoingAttempt o : outgoing) {
            long span = Math.min(o.timeout(), deadline - startedAt);
            Future<?> timeout = client.schedule(span, () -> abandonAttempt(o.attempt(), Result.TIMEOUT));
            pendingAttempts.put(o.attempt(), new PendingAttempt(o.attempt(), startedAt + span, timeout));
        }
    }

    /** A probe. */
    HostCall(HostClient client, HostClient.Host host, String path, long timeout) {
        this.client = client;
        this.host = host;
        startedAt = client.now();
        deadline = startedAt + timeout;
        sendDeadline = deadline;
        probePath = path;
        batched = false;
        probeTimer = client.schedule(timeout, () -> abandon(Result.TIMEOUT));
    }

    /** About how many bytes a message takes in a call for several. */
    static int encodedSize(Message message) {
        Message.Content content = message.content;
        int key = content.idempotencyKey() == null ? 0 : content.idempotencyKey().length();
        return (content.body().length + 2) / 3 * 4 + content.callId().length() + key + ITEM_OVERHEAD_BYTES;
    }

    HostClient.Host host() {
        return host;
    }

    long startedAt() {
        return startedAt;
    }

    /** Until when it may begin. */
    long sendDeadline() {
        return sendDeadline;
    }

    boolean isSent() {
        return sent;
    }

    /** True where nothing is known yet of some message of it. */
    boolean hasPendingAttempts() {
        return !pendingAttempts.isEmpty();
    }

    void assignConnection(HostConnection carrier) {
        connection = carrier;
    }

    void markSent() {
        sent = true;
        client.callWritten(messageCount);
    }

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
        long until = pendingAttempts.values().stream().mapToLong(PendingAttempt::deadline).max().orElse(0);
        request.headers().set(ClientServer.BUDGET_HEADER, Math.max(0, until - client.now()) / 1000);
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

    /** The head of an answer; nothing of it counts before the answer is whole. */
    void receiveHead(HttpResponse response) {
        status = response.status().code();
        loadReport = loadReport(response.headers().get(ClientServer.LOAD_REPORT_HEADER));
        retryAfter = parseRetryAfter(response.headers().get("X-Come-Back-Ms"));
        slotsTaken = "1".equals(response.headers().get("X-Line-Busy"));
    }

    /** The first line of an answer: that a single message is delivered holds, whatever follows. */
    void receiveStatusLine(int code) {
        if (probePath == null && !batched && code == HttpResponseStatus.OK.code()) {
            end(Result.OK, true);
        }
    }

    /** The answer can't be read or doesn't end; the host has run the call. */
    void endInvalidResponse(int code) {
        loadReport = LimitReport.NONE;
        retryAfter = 0;
        receiveStatusLine(code);
        end(Result.ERROR);
    }

    /** Takes in a piece of the answer's body; false where it is larger than any answer may be. */
    boolean receiveBody(ByteBuf piece) {
        if (responseBody.readableBytes() + piece.readableBytes() > MAX_RESPONSE_BYTES) {
            return false;
        }
        responseBody.writeBytes(piece);
        return true;
    }

    /** The answer is whole. */
    void complete() {
        if (retryAfter > 0) {
            client.applyRetryAfter(host, retryAfter);
        }
        if (probePath != null) {
            if (status == 200 && loadReport.equals(LimitReport.NONE)) {
                loadReport = loadReport(responseBody.toString(StandardCharsets.UTF_8));
            }
            endProbe(status == 200 ? Result.OK : status == 503 || status == 429 ? Result.FULL : Result.ERROR);
        } else if (batched && isPastDeadline()) {
            end(Result.TIMEOUT);
        } else if (batched && status == 200) {
            applyBatchOutcomes();
            // Guards against an answer that leaves a message out: it may have run.
            end(Result.ERROR);
        } else if (status == 503 && retryAfter == 0 && !slotsTaken && connection.isClosedAfterFirstResponse()) {
            client.connectionRejected(host);
            end(Result.CROWDED);
        } else {
            applyOutcome(status);
        }
    }

    /** Guards against an answer that was read before the timers of the same pass ran. */
    private boolean isPastDeadline() {
        return client.now() >= deadline;
    }

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

    private void applyBatchOutcomes() {
        Map<String, String> states = new HashMap<>();
        try (JsonParser parser = JSON.createParser(responseBody.toString(StandardCharsets.UTF_8))) {
            parser.nextToken();
            if (!(JsonReader.readValue(parser) instanceof List<?> entries)) {
                throw new JsonDataException("no array");
            }
            for (Object json : entries) {
                JsonReader entry = JsonReader.ofObject("answer", json);
                if (states.put(entry.text("id"), entry.text("state")) != null) {
                    throw new JsonDataException("a message is named twice");
                }
            }
            if (parser.nextToken() != null) {
                throw new JsonDataException("more than an array");
            }
        } catch (IOException | JsonDataException e) {
            Log.write("host " + host.route() + ": an answer can't be read: " + e.getMessage());
            return;
        }
        for (Message.Attempt attempt : new ArrayList<>(pendingAttempts.keySet())) {
            applyOutcome(attempt, states.getOrDefault(attempt.message.content.callId(), "failed"));
        }
    }

    private void applyOutcome(Message.Attempt attempt, String state) {
        switch (state) {
            case "done" -> end(attempt, Result.OK, true);
            case "busy" -> end(attempt, Result.FULL, false);
            case "void" -> end(attempt, Result.NOT_SENT, true);
            case "used_up" -> end(attempt, Result.NOT_SENT, false);
            default -> end(attempt, Result.ERROR, false);
        }
    }

    /** The connection broke, or ended, before the answer was whole. */
    void connectionLost() {
        client.closeIdle(host);
        end(sent ? Result.RESET : Result.CONNECT_FAILED);
    }

    /** Every attempt that is still open ends alike. */
    void end(Result result) {
        end(result, false);
    }

    private void end(Result result, boolean over) {
        if (probePath != null) {
            endProbe(result);
        }
        for (Message.Attempt attempt : new ArrayList<>(pendingAttempts.keySet())) {
            end(attempt, result, over);
        }
    }

    private void end(Message.Attempt attempt, Result result, boolean over) {
        PendingAttempt part = pendingAttempts.remove(attempt);
        if (part != null) {
            part.timeoutTimer().cancel(false);
            client.attemptEnded(attempt, result, over, retryAfter, loadReport);
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
     * Stops waiting for one attempt. With the last one the connection closes too: the host must not take a
     * call for out that nobody waits for.
     */
    void abandonAttempt(Message.Attempt attempt, Result result) {
        // Guards against giving up a call whose answer has come since this pass has read.
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

    /** Gives the whole call up. What has not left whole never ran. */
    private void abandon(Result result) {
        if (connection == null) {
            end(client.unqueue(this));
            return;
        }
        if (sent) {
            Log.write("no answer: " + host.route() + " for " + (client.now() - startedAt) / 1000 + " ms, "
                    + connection.history());
        }
        end(sent ? result : Result.CONNECT_FAILED);
        client.closeIdle(host, startedAt);
        connection.abandonCall();
    }

    private static long parseRetryAfter(String text) {
        if (text == null || !text.matches("\\d{1,9}")) {
            return 0;
        }
        return Math.min(MAX_RETRY_AFTER_MILLIS, Long.parseLong(text)) * 1000;
    }

    /** Reads a load report such as {@code TEXT x0=0.4, x1=25}; what can't be read counts as not told. */
    static LimitReport loadReport(String text) {
        if (text == null) {
            return LimitReport.NONE;
        }
        double left = Double.NaN;
        double rate = Double.NaN;
        for (String pair : text.strip().replaceFirst("^TEXT\\s", "").split(",")) {
            String[] halves = pair.strip().split("=", 2);
            double value = halves.length < 2 ? Double.NaN : parseNumber(halves[1]);
            if (halves[0].equals("x0")) {
                left = value;
            } else if (halves[0].equals("x1")) {
                rate = value;
            }
        }
        return new LimitReport(left, rate);
    }

    private static double parseNumber(String text) {
        try {
            double value = Double.parseDouble(text.strip());
            return Double.isFinite(value) && value >= 0 ? value : Double.NaN;
        } catch (NumberFormatException e) {
            Log.write("a load report can't be read: " + text);
            return Double.NaN;
        }
    }
}
