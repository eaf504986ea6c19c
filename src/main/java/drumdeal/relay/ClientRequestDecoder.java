package drumdeal.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * Decodes the requests of one client connection. Decoding pauses while the connection has enough requests to handle;
 * the bytes behind them stay undecoded.
 */
final class ClientRequestDecoder extends HttpRequestDecoder {
    /** Heads with more fields are malformed: each field takes far more memory than bytes on the network. */
    private static final int MAX_HEADER_FIELDS = 100;

    /** Memory that a header field takes beside its name and value. */
    private static final int FIELD_OVERHEAD_BYTES = 160;

    /** The cause of a head or trailer that is malformed only as clients' input takes too much memory. */
    static final class InputMemoryException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        InputMemoryException() {
            super("the input of clients takes too much memory", null, false, false);
        }
    }

    private final BooleanSupplier mayDecode;
    private ChannelHandlerContext context;
    private boolean paused;
    private boolean discarding;

    /**
     * Decodes a part only while {@code mayDecode} returns true. {@code inputShare} counts the fields of a head or
     * trailer until it is complete.
     */
    ClientRequestDecoder(BooleanSupplier mayDecode, InputBudget.Share inputShare) {
        super(new HttpDecoderConfig()
                .setHeadersFactory(new LimitedHeadersFactory(DefaultHttpHeadersFactory.headersFactory(), inputShare))
                .setTrailersFactory(
                        new LimitedHeadersFactory(DefaultHttpHeadersFactory.trailersFactory(), inputShare)));
        this.mayDecode = mayDecode;
    }

    /** True if bytes were left undecoded because the connection had enough requests. */
    boolean isPaused() {
        return paused;
    }

    /** Decodes bytes that were left undecoded. Must not be called while a part is handled. */
    void resume() throws Exception {
        paused = false;
        channelRead(context, Unpooled.EMPTY_BUFFER);
        InboundCopyHandler.trim(internalBuffer());
    }

    /** Bytes received and not decoded. */
    int undecodedBytes() {
        return actualReadableBytes();
    }

    /** Drops undecoded bytes and all that are received from now on. */
    void discardInput() {
        if (!discarding) {
            discarding = true;
            // In a later task, as the decoder may be decoding these bytes.
            context.executor().execute(this::releaseDiscarded);
        }
    }

    private void releaseDiscarded() {
        ByteBuf buffer = internalBuffer();
        buffer.skipBytes(buffer.readableBytes());
        InboundCopyHandler.trim(buffer);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) throws Exception {
        context = ctx;
        super.handlerAdded(ctx);
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf bytes, List<Object> out) throws Exception {
        if (discarding) {
            bytes.skipBytes(bytes.readableBytes());
        } else if (mayDecode.getAsBoolean()) {
            super.decode(ctx, bytes, out);
        } else {
            paused = true;
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) throws Exception {
        InboundCopyHandler.trim(internalBuffer());
        super.channelReadComplete(ctx);
    }

    /**
     * Leaves both headers in place, so that {@link ClientRequest} sees and rejects the request: only one of the two
     * lengths can be right.
     */
    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) { }

    /** The memory that a header field takes, in bytes. */
    static int fieldBytes(CharSequence name, CharSequence value) {
        return name.length() + value.length() + FIELD_OVERHEAD_BYTES;
    }

    /** Creates header fields that refuse to grow beyond {@link #MAX_HEADER_FIELDS} or the memory of clients' input. */
    private record LimitedHeadersFactory(DefaultHttpHeadersFactory validation, InputBudget.Share inputShare)
            implements HttpHeadersFactory {
        @Override
        public HttpHeaders newHeaders() {
            return new LimitedHeaders(validation, inputShare);
        }

        @Override
        public HttpHeaders newEmptyHeaders() {
            return new LimitedHeaders(validation, inputShare);
        }
    }

    private static final class LimitedHeaders extends DefaultHttpHeaders {
        private final InputBudget.Share inputShare;

        LimitedHeaders(DefaultHttpHeadersFactory validation, InputBudget.Share inputShare) {
            super(validation.getNameValidator(), validation.getValueValidator());
            this.inputShare = inputShare;
        }

        @Override
        public HttpHeaders add(CharSequence name, Object value) {
            if (size() >= MAX_HEADER_FIELDS) {
                throw new TooLongHttpHeaderException("more than " + MAX_HEADER_FIELDS + " header fields");
            }
            if (!inputShare.tryAddField(fieldBytes(name, value.toString()))) {
                throw new InputMemoryException();
            }
            return super.add(name, value);
        }
    }
}
