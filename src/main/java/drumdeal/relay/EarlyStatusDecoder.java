package drumdeal.relay;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Decodes HTTP responses and makes the status of the expected response available as soon as its status line has
 * arrived. The status is valid even if the rest of the head is malformed or never ends.
 */
final class EarlyStatusDecoder extends ResponseDecoder {
    /** Value of {@link #status} before the status line has arrived. */
    static final int UNKNOWN = 0;
    /** Value of {@link #status} after a malformed status line. */
    static final int UNREADABLE = -1;
    private static final int MAX_LINE_BYTES = 1024;
    private static final String VERSION_PREFIX = "HTTP/1.";
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] (\\d{3})(?: .*)?", Pattern.DOTALL);

    /** What has arrived of the current line of the head. */
    private final StringBuilder line = new StringBuilder();
    private int status;
    /** True while the head of a 1xx response is read. */
    private boolean skippingInformational;

    /** Prepares for the response to the next request. */
    void expectResponse() {
        line.setLength(0);
        status = UNKNOWN;
        skippingInformational = false;
    }

    /** The status of the expected response, {@link #UNKNOWN} or {@link #UNREADABLE}; 1xx responses are skipped. */
    int status() {
        return status;
    }

    /** True once the expected response, or a 1xx response ahead of it, has begun to arrive. */
    boolean hasBegun() {
        return status != UNKNOWN || skippingInformational || !line.isEmpty();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
        ByteBuf buffer = (ByteBuf) message;
        for (int index = buffer.readerIndex(); index < buffer.writerIndex() && status == UNKNOWN; index++) {
            scanByte((char) (buffer.getByte(index) & 0xff));
        }
        super.channelRead(ctx, message);
    }

    /** Adds a byte to the current line and evaluates the line once it ends. Empty lines ahead of a head are skipped. */
    private void scanByte(char next) {
        if (next == '\n') {
            String completeLine = line.toString().strip();
            line.setLength(0);
            if (skippingInformational) {
                skippingInformational = !completeLine.isEmpty();
            } else if (!completeLine.isEmpty()) {
                parseStatusLine(completeLine);
            }
            return;
        }
        line.append(next);
        boolean plausible = skippingInformational || VERSION_PREFIX.startsWith(
                line.substring(0, Math.min(line.length(), VERSION_PREFIX.length())).strip());
        if (!plausible || line.length() > MAX_LINE_BYTES) {
            status = UNREADABLE;
        }
    }

    private void parseStatusLine(String text) {
        Matcher matcher = STATUS_LINE.matcher(text);
        int code = matcher.matches() ? Integer.parseInt(matcher.group(1)) : UNREADABLE;
        skippingInformational = code / 100 == 1;
        status = skippingInformational ? UNKNOWN : code;
    }

    /**
     * Keeps both headers of a response with two lengths, of which only one can be true: {@link HostConnection} rejects
     * it. By default Netty removes {@code Content-Length}.
     */
    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) { }
}
