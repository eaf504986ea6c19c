package drumdeal.relay;

import drumdeal.Policy;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerDomainSocketChannel;
import java.io.DataInputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.LinkOption;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
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

    /** How often to check that the socket is still there. */
    private static final long SOCKET_CHECK_INTERVAL_MILLIS = 1000;

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
    /** Null until the socket is bound for the first time. */
    private Channel serverChannel;
    /** Identifies the file of the socket; null if that is not bound. */
    private Object socketFileKey;
    private boolean bindFailureLogged;
    /** Null until a newer process asks to take over, and again after it disconnects. */
    private Channel successorChannel;
    /** Messages may be sent to the successor. */
    private boolean successorListening;
    /** The successor listens for clients; the handover can't be undone any more. */
    private boolean committed;

    SuccessorLink(EventLoop loop, HandoverHandler handler) {
        this.loop = loop;
        this.handler = handler;
    }

    /**
     * Listens on the socket in this process's own folder, and again if the socket is removed or replaced. While that
     * fails, a newer process does not serve: it waits until it reaches this one, or this one has ended.
     */
    void listen(Path ownFolder) {
        if (!isSocketInPlace(ownFolder)) {
            bind(ownFolder);
        }
        loop.schedule(() -> listen(ownFolder), SOCKET_CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private boolean isSocketInPlace(Path ownFolder) {
        return serverChannel != null && serverChannel.isActive() && socketFileKey != null
                && socketFileKey.equals(readFileKey(HandoverSocketAddress.pathIn(ownFolder)));
    }

    /** Identifies a file; null if there is none. */
    private static Object readFileKey(Path file) {
        try {
            return Files.readAttributes(file, BasicFileAttributes.class, LinkOption.NOFOLLOW_LINKS).fileKey();
        } catch (IOException e) {
            return null;
        }
    }

    private void bind(Path ownFolder) {
        if (serverChannel != null) {
            serverChannel.close();
        }
        try {
            // A process that was killed leaves its socket file behind, and binding to it would fail.
            Files.deleteIfExists(HandoverSocketAddress.pathIn(ownFolder));
            HandoverSocketAddress socket = HandoverSocketAddress.open(ownFolder);
            ChannelFuture binding = new ServerBootstrap().group(loop).channel(NioServerDomainSocketChannel.class)
                    .handler(new AcceptErrorHandler()).childHandler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel connection) {
                            Handover.attachFrameHandler(connection, (type, in) -> onFrame(connection, type, in));
                            closeUnlessSuccessor(connection);
                        }
                    }).bind(socket.address());
            serverChannel = binding.channel();
            binding.addListener(bound -> {
                socket.close();
                socketFileKey = readFileKey(HandoverSocketAddress.pathIn(ownFolder));
                if (!bound.isSuccess()) {
                    logBindFailure(bound.cause());
                }
            });
        } catch (IOException | IllegalArgumentException | UnsupportedOperationException e) {
            logBindFailure(e);
        }
    }

    private void logBindFailure(Throwable cause) {
        if (!bindFailureLogged) {
            bindFailureLogged = true;
            Log.write("handover: can't listen, trying again; until then a newer process waits and does not serve: "
                    + cause);
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
        } else if (type == Handover.FrameType.LISTENING && channel == successorChannel && !successorListening) {
            onSuccessorListening();
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
            if (channel != successorChannel || !successorListening) {
                channel.close();
            }
        }, LISTEN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void onSuccessorListening() {
        successorListening = true;
        if (committed) {
            sendQueuedMessages();
        } else {
            committed = true;
            handler.handOver();
        }
    }

    /**
     * Before the successor has listened, this process resumes its decisions. After that it takes none any more, even if
     * the successor has ended: another one may ask to take over.
     */
    private void onSuccessorClosed() {
        successorChannel = null;
        successorListening = false;
        if (committed) {
            queuedMessages.putAll(unacknowledgedMessages);
            unacknowledgedMessages.clear();
        } else {
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
        while (successorListening && successorChannel.isActive() && queued.hasNext()
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
     * the number of calls still in flight here. Without a successor nothing is reported.
     */
    void sendOutcome(String route, Policy.Result result, long waitMicros, long elapsedMicros, int callsInFlight) {
        if (successorChannel == null) {
            return;
        }
        Handover.send(successorChannel, Handover.FrameType.OUTCOME, out -> {
            out.writeUTF(route);
            out.writeUTF(result.name());
            out.writeLong(waitMicros);
            out.writeLong(elapsedMicros);
            out.writeInt(callsInFlight);
        });
    }
}
