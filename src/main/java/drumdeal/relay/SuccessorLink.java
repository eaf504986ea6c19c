package drumdeal.relay;

import drumdeal.Policy;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerDomainSocketChannel;
import java.io.DataInputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The older process's side of an upgrade: waits for a newer process and hands over to the first that asks. Used on the
 * event loop alone.
 */
final class SuccessorLink {
    /**
     * How long a newer process may take from the snapshot until it listens for clients. If it takes longer, its
     * connection is closed and this process resumes its decisions.
     */
    private static final long LISTEN_TIMEOUT_MILLIS = 2000;
    /**
     * Limit on messages sent to the newer process and not acknowledged. With hundreds at once both processes would be
     * busy with them and read no requests, and clients would wait.
     */
    private static final int MAX_UNACKNOWLEDGED_MESSAGES = 16;

    /** What the relay does during a handover. */
    interface HandoverHandler {
        /** Suspends the relay's decisions and returns its state for the successor. */
        HandoverSnapshot suspendDecisions();

        /** The successor disconnected before it listened for clients: this process resumes its decisions. */
        void resumeDecisions();

        /**
         * The successor listens for clients: messages are to be passed to {@link #offer}, each as soon as its client
         * has its answer and no attempt is in flight.
         */
        void handOver();

        /** The successor has the message in its journal and owns it now. */
        void onHandedOver(Message message);
    }

    private final EventLoop loop;
    private final HandoverHandler handler;
    /** Messages still to be sent, by their number in this process. */
    private final Map<Long, Message> queuedMessages = new LinkedHashMap<>();
    /** Messages sent and not acknowledged yet, by their number in this process. */
    private final Map<Long, Message> unacknowledgedMessages = new HashMap<>();
    /** Null until a newer process asks to take over, and again after it disconnects early. */
    private Channel successorChannel;
    /** The successor listens for clients; the handover can't be undone any more. */
    private boolean committed;

    SuccessorLink(EventLoop loop, HandoverHandler handler) {
        this.loop = loop;
        this.handler = handler;
    }

    /** Listens on the socket in this process's own folder. If that fails, an upgrade only takes longer. */
    void listen(Path ownFolder) {
        try {
            // A process that was killed leaves its socket file behind, and binding to it would fail.
            Files.deleteIfExists(Handover.socketPath(ownFolder));
            new ServerBootstrap().group(loop).channel(NioServerDomainSocketChannel.class)
                    .handler(new AcceptErrorHandler()).childHandler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel connection) {
                            Handover.attachFrameHandler(connection, (type, in) -> onFrame(connection, type, in));
                            closeUnlessSuccessor(connection);
                        }
                    }).bind(Handover.socketAddress(ownFolder)).addListener(bound -> {
                        if (!bound.isSuccess()) {
                            Log.write("handover: can't listen, an upgrade will take longer: " + bound.cause());
                        }
                    });
        } catch (IOException | IllegalArgumentException | UnsupportedOperationException e) {
            Log.write("handover: can't listen, an upgrade will take longer: " + e);
        }
    }

    /** Closes a connection on which nobody asks to take over. */
    private void closeUnlessSuccessor(Channel connection) {
        loop.schedule(() -> {
            if (connection != successorChannel) {
                connection.close();
            }
        }, LISTEN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void onFrame(Channel channel, Handover.FrameType type, DataInputStream in) throws IOException {
        if (type == Handover.FrameType.TAKEOVER_REQUEST && successorChannel == null
                && in.readInt() == Handover.VERSION) {
            onTakeoverRequest(channel);
        } else if (type == Handover.FrameType.LISTENING && channel == successorChannel && !committed) {
            committed = true;
            handler.handOver();
        } else if (type == Handover.FrameType.MESSAGE_STORED && channel == successorChannel) {
            onMessageStored(in.readLong());
        } else {
            channel.close();
        }
    }

    private void onTakeoverRequest(Channel channel) {
        successorChannel = channel;
        HandoverSnapshot snapshot = handler.suspendDecisions();
        Handover.send(channel, Handover.FrameType.SNAPSHOT, snapshot::write);
        channel.closeFuture().addListener(closed -> onSuccessorClosed());
        loop.schedule(() -> {
            if (!committed) {
                channel.close();
            }
        }, LISTEN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void onSuccessorClosed() {
        if (!committed) {
            successorChannel = null;
            handler.resumeDecisions();
        }
    }

    /** True once a successor listens for clients. */
    boolean isCommitted() {
        return committed;
    }

    /**
     * Queues a message for the successor, unless it has been sent already. The message's client must have its answer,
     * and no attempt may be in flight. The successor owns the message once it has it in its journal.
     */
    void offer(Message message) {
        if (!unacknowledgedMessages.containsKey(message.number)) {
            queuedMessages.put(message.number, message);
            sendQueuedMessages();
        }
    }

    private void sendQueuedMessages() {
        Iterator<Message> queued = queuedMessages.values().iterator();
        while (successorChannel.isActive() && queued.hasNext()
                && unacknowledgedMessages.size() < MAX_UNACKNOWLEDGED_MESSAGES) {
            Message message = queued.next();
            queued.remove();
            // A message whose time ran out while it was queued has ended here and must not be handed over.
            if (message.nonDelivery == null && !message.finished) {
                unacknowledgedMessages.put(message.number, message);
                byte[] records = Journal.pack(message);
                Handover.send(successorChannel, Handover.FrameType.MESSAGE, out -> {
                    out.writeLong(message.number);
                    out.write(records);
                });
            }
        }
    }

    private void onMessageStored(long number) {
        Message message = unacknowledgedMessages.remove(number);
        if (message != null) {
            handler.onHandedOver(message);
            Handover.send(successorChannel, Handover.FrameType.MESSAGE_RELEASED, out -> out.writeLong(number));
            sendQueuedMessages();
        }
    }

    /**
     * Reports the result of a call that was in flight when the successor took over. {@code waitMicros} is the wait that
     * the host asked for, 0 if none, {@code elapsedMicros} the time that the call took, and {@code callsInFlight}
     * the number of calls still in flight here.
     */
    void sendOutcome(String route, Policy.Result result, long waitMicros, long elapsedMicros, int callsInFlight) {
        Handover.send(successorChannel, Handover.FrameType.OUTCOME, out -> {
            out.writeUTF(route);
            out.writeUTF(result.name());
            out.writeLong(waitMicros);
            out.writeLong(elapsedMicros);
            out.writeInt(callsInFlight);
        });
    }
}
