package drumdeal.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import drumdeal.DeliveryPolicy;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** An engine without connections to clients: the test plays their requests and responses on its event loop. */
class EngineTest {
    private static final int DESTINATION = 7;
    private static final int TIMEOUT_SECONDS = 30;

    @TempDir
    Path folder;
    private final MultiThreadIoEventLoopGroup eventLoops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) eventLoops.next();
    private final Clock clock = new Clock();
    private Journal journal;
    private Engine engine;

    /** A client that notes what it is answered. */
    private static final class Client implements Message.ClientReply {
        final BlockingQueue<String> answers = new LinkedBlockingQueue<>();

        @Override
        public void sendAccepted() {
            answers.add("accepted");
        }

        @Override
        public void sendRejected(long retryAfterMicros) {
            answers.add("rejected");
        }

        @Override
        public void sendFailed() {
            answers.add("failed");
        }

        @Override
        public boolean hasClientLeft() {
            return false;
        }
    }

    @BeforeEach
    void createEngine() throws Exception {
        journal = new Journal(folder, 1 << 20);
        Target refusing = TestConfig.target("h", DESTINATION, TestConfig.UNUSED_ADDRESS);
        onLoop(() -> {
            engine = new Engine(loop, clock, TestConfig.create(), journal, DeliveryPolicy::new);
            engine.start(1, List.of(refusing), folder, List.of());
            engine.startDecisions();
            return null;
        });
    }

    @AfterEach
    void close() throws Exception {
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        journal.close();
    }

    private <T> T onLoop(Callable<T> step) throws ExecutionException, InterruptedException {
        return loop.submit(step).get();
    }

    private Message submit(String id, Client client) throws ExecutionException, InterruptedException {
        return onLoop(() -> {
            long deadline = clock.micros() + 20_000_000;
            Message.Content content = new Message.Content(id, TestConfig.REQUEST_CLASS, null, null, deadline,
                    DESTINATION, new byte[5]);
            return engine.acceptMessage(content, engine.termsFor(content), clock.micros(), client);
        });
    }

    /** Guards against the loss of a message whose client has read on a second connection that it is accepted. */
    @Test
    void messageThatWasConfirmedAgainIsKeptWhenTheFirstResponseIsNotTaken() throws Exception {
        Client first = new Client();
        Message message = submit("u1", first);
        assertNotNull(message);
        assertEquals("accepted", first.answers.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        Client second = new Client();
        assertNull(submit("u1", second));
        assertEquals("accepted", second.answers.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        List<Message> open = onLoop(() -> {
            engine.withdraw(message);
            return new ArrayList<>(journal.unfinishedMessages());
        });
        assertEquals(List.of(message), open);
    }
}
