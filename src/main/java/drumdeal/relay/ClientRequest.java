package drumdeal.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A client's HTTP request: checks that its body can be read safely, collects the body and parses the message. */
final class ClientRequest {
    private static final int MAX_BODY_BYTES = 64 << 10;
    /** Call ids and idempotency keys. */
    private static final Pattern IDENTIFIER_PATTERN = Pattern.compile("[\\x21-\\x7e]{1,200}");
    private static final Pattern MILLIS_PATTERN = Pattern.compile("\\d{1,9}");
    /** The number of the destination among other parameters of the header. */
    private static final Pattern DESTINATION_PATTERN = Pattern.compile("(?:.*[;,\\s])?dest=(\\d{1,9})(?:[;,\\s].*)?");

    private final HttpRequest head;
    private final InputBudget.Share inputShare;
    /** Bytes that {@link #inputShare} counts for this request. */
    private int reservedBytes;
    private final ByteBuf body = Unpooled.buffer(0, MAX_BODY_BYTES);
    /** The earliest time at which the last byte can have arrived, in microseconds of {@link Clock}. */
    private long earliestArrival;

    /** A request without its body so far; {@code inputShare} counts the memory of its connection's input. */
    ClientRequest(HttpRequest head, InputBudget.Share inputShare) {
        this.head = head;
        this.inputShare = inputShare;
    }

    HttpRequest head() {
        return head;
    }

    /** The status with which the request is rejected because of its head alone; null if its body can be read. */
    HttpResponseStatus rejectionStatus() {
        if (head.decoderResult().isFailure()) {
            return HttpResponseStatus.BAD_REQUEST;
        }
        // In HTTP/1.0 the decoder accepts repeated lengths and takes the first.
        if (!head.protocolVersion().equals(HttpVersion.HTTP_1_1)) {
            return HttpResponseStatus.HTTP_VERSION_NOT_SUPPORTED;
        }
        List<String> lengths = head.headers().getAll(HttpHeaderNames.CONTENT_LENGTH);
        List<String> codings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        // With two lengths, or a coding other than chunked, another party may see the body end elsewhere, and a second
        // request could be smuggled in it.
        if (lengths.size() + codings.size() > 1
                || codings.size() == 1 && !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0))) {
            return HttpResponseStatus.BAD_REQUEST;
        }
        // The decoder has checked that a length is a number.
        return lengths.size() == 1 && Long.parseLong(lengths.get(0)) > MAX_BODY_BYTES
                ? HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE : null;
    }

    /** False if a piece would make the body larger than any body may be. */
    boolean fits(ByteBuf piece) {
        return piece.readableBytes() <= body.maxWritableBytes();
    }

    /** Counts the memory of the head; false if clients' input takes too much memory. */
    boolean tryReserveHead() {
        int bytes = head.uri().length();
        for (Map.Entry<String, String> field : head.headers()) {
            bytes += ClientRequestDecoder.fieldBytes(field.getKey(), field.getValue());
        }
        return tryReserve(bytes);
    }

    /** Appends a piece that fits; false, and nothing is appended, if clients' input takes too much memory. */
    boolean tryAppendBody(ByteBuf piece) {
        if (!tryReserve(piece.readableBytes())) {
            return false;
        }
        body.writeBytes(piece);
        return true;
    }

    private boolean tryReserve(int bytes) {
        if (!inputShare.tryAddRequestBytes(bytes)) {
            return false;
        }
        reservedBytes += bytes;
        return true;
    }

    /** The request is handled or dropped: its memory is no longer counted. */
    void releaseMemory() {
        inputShare.removeRequestBytes(reservedBytes);
        reservedBytes = 0;
    }

    /** The request is complete; its last byte can't have arrived before {@code time}. */
    void setEarliestArrival(long time) {
        earliestArrival = time;
    }

    /**
     * The message that the request contains, or null if a header is missing or invalid. Its deadline counts from the
     * earliest time at which the request can have arrived, so time that the request lay unread is part of its budget.
     */
    Message.Content parseContent() {
        HttpHeaders headers = head.headers();
        String callId = headers.get(ClientServer.CALL_ID_HEADER, "");
        String requestClass = headers.get("X-Call-Class", "");
        String tenant = headers.get("X-Caller");
        String idempotencyKey = headers.get(ClientServer.IDEMPOTENCY_KEY_HEADER);
        String budgetMillis = headers.get(ClientServer.BUDGET_HEADER, "");
        Matcher destination = DESTINATION_PATTERN.matcher(headers.get("X-Consignee", ""));
        if (!IDENTIFIER_PATTERN.matcher(callId).matches() || !MILLIS_PATTERN.matcher(budgetMillis).matches()
                || !destination.matches()
                || idempotencyKey != null && !IDENTIFIER_PATTERN.matcher(idempotencyKey).matches()) {
            return null;
        }
        long deadline = earliestArrival + Long.parseLong(budgetMillis) * 1000;
        return new Message.Content(callId, requestClass, tenant, idempotencyKey, deadline,
                Integer.parseInt(destination.group(1)), ByteBufUtil.getBytes(body));
    }
}
