package drumdeal.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * A client that sends hundreds of requests at once. The relay must not handle them in a single task of the event loop:
 * all other clients, and the timers that are due, would wait meanwhile. The test itself runs the tasks of the loop.
 */
class PipelinedRequestsTest {
    private static final int REQUEST_COUNT = 400;
    private static final String RESPONSE = "answer";
    private static final String FLUSH = "flush";
    private static final String OTHER_TASK = "other";

    /** The responses and flushes of the client's channel and the other task, in the order in which they happened. */
    private final List<String> events = new ArrayList<>();

    /** Adds each response and each flush to the events. */
    private final class WriteRecorder extends ChannelOutboundHandlerAdapter {
        @Override
        public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
            events.add(RESPONSE);
            ctx.write(message, promise);
        }

        @Override
        public void flush(ChannelHandlerContext ctx) {
            events.add(FLUSH);
            ctx.flush();
        }
    }

    private EmbeddedChannel createClientChannel() {
        Clock clock = new Clock();
        ClientServer server = new ClientServer(null, clock, new EventLoopMonitor(null, clock, stallMicros -> { }), 10);
        EmbeddedChannel channel = new EmbeddedChannel(new WriteRecorder());
        channel.pipeline().addLast(new ClientConnection(server, null, clock).handlers());
        channel.pipeline().fireChannelActive();
        return channel;
    }

    private long countEvents(String event) {
        return events.stream().filter(event::equals).count();
    }

    @Test
    void pipelinedRequestsLetOtherTasksRunInBetweenAndShareFlushes() {
        EmbeddedChannel client = createClientChannel();
        client.eventLoop().schedule(() -> events.add(OTHER_TASK), 0, TimeUnit.MILLISECONDS);
        client.writeInbound(Unpooled.copiedBuffer("GET /nosuch HTTP/1.1\r\nHost: x\r\n\r\n".repeat(REQUEST_COUNT),
                StandardCharsets.US_ASCII));
        client.runPendingTasks();
        assertEquals(REQUEST_COUNT, countEvents(RESPONSE));
        assertTrue(events.subList(0, events.indexOf(OTHER_TASK)).stream().filter(RESPONSE::equals).count() <= 16,
                "events before the other task: " + events.indexOf(OTHER_TASK));
        assertTrue(countEvents(FLUSH) <= REQUEST_COUNT / 4, "flushes: " + countEvents(FLUSH));
    }
}
