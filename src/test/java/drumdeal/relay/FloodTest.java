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

/** A client that sends hundreds of requests at once, on an event loop whose steps the test takes. */
class FloodTest {
    private static final int REQUESTS = 400;
    private static final String ANSWER = "answer";
    private static final String FLUSH = "flush";
    private static final String OTHER = "other";

    private final List<String> order = new ArrayList<>();

    private final class Recorder extends ChannelOutboundHandlerAdapter {
        @Override
        public void write(ChannelHandlerContext ctx, Object bytes, ChannelPromise promise) {
            order.add(ANSWER);
            ctx.write(bytes, promise);
        }

        @Override
        public void flush(ChannelHandlerContext ctx) {
            order.add(FLUSH);
            ctx.flush();
        }
    }

    private EmbeddedChannel client() {
        Clock clock = new Clock();
        ClientServer server = new ClientServer(null, clock, new EventLoopMonitor(null, clock, span -> { }), 10);
        EmbeddedChannel channel = new EmbeddedChannel(new Recorder());
        channel.pipeline().addLast(new ClientConnection(server, null, clock).handlers());
        channel.pipeline().fireChannelActive();
        return channel;
    }

    private long count(String event) {
        return order.stream().filter(event::equals).count();
    }

    @Test
    void requestsThatComeAtOnceLeaveTurnsToOthers() {
        EmbeddedChannel client = client();
        client.eventLoop().schedule(() -> order.add(OTHER), 0, TimeUnit.MILLISECONDS);
        client.writeInbound(Unpooled.copiedBuffer("GET /nosuch HTTP/1.1\r\nHost: x\r\n\r\n".repeat(REQUESTS),
                StandardCharsets.US_ASCII));
        client.runPendingTasks();
        assertEquals(REQUESTS, count(ANSWER));
        assertTrue(order.subList(0, order.indexOf(OTHER)).stream().filter(ANSWER::equals).count() <= 16,
                "answers before the others' turn: " + order.indexOf(OTHER));
        assertTrue(count(FLUSH) <= REQUESTS / 4, "writes to the network: " + count(FLUSH));
    }
}
