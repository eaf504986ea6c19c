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

/** The older process's side of an upgrade: waits for a newer one and hands over to the first that asks. */
final class SuccessorLink {
    /** A newer process that does not listen so long after it was told all is given up, and this one serves on. */
    private static final long LISTEN_TIMEOUT_MILLIS = 2000;
    /** Guards against clients that wait while hundreds of messages pass at once: neither process reads them then. */
    private static final int MAX_UNACKNOWLEDGED_MESSAGES = 16;

    /** What the relay does for its successor. */
    interface HandoverHandler {
        /** Takes no decision from now on. */
        HandoverSnapshot suspendDecisions();

        /** The successor is gone before it served: all goes on as it was. */
        void resumeDecisions();

        /** The successor listens: what is at rest, now and later, is to be passed on. */
        void handOver();

        /** The successor owns a message. */
        void onHandedOver(Message message);
    }

    private final EventLoop loop;
    private final HandoverHandler handler;
    /** Messages to be passed on, and those on the way, by their number here. */
    private final Map<Long, Message> queuedMessages = new LinkedHashMap<>();
    private final Map<Long, Message> unacknowledgedMessages = new HashMap<>();
    private Channel successorChannel;
    private boolean committed;

    SuccessorLink(EventLoop loop, HandoverHandler elder) {
        this.loop = loop;
        this.handler = elder;
    }

    /** Waits in the part of the folder that this process owns; without the socket an upgrade takes longer. */
    void listen(Path part) {
        try {
            // Guards against what a process that was killed has left there.
            Files.deleteIfExists(Handover.socketPath(part));
            new ServerBootstrap().group(loop).channel(NioServerDomainSocketChannel.class).handler(new AcceptErrorHandler())
                    .childHandler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel ch) {
                            Handover.attachFrameHandler(ch, (word, in) -> onFrame(ch, word, in));
                        }
                    }).bind(Handover.socketAddress(part)).addListener(bound -> {
                        if (!bound.isSuccess()) {
                            Log.write("no handover: " + bound.cause());
                        }
                    });
        } catch (IOException | IllegalArgumentException | UnsupportedOperationException e) {
            Log.write("no handover: " + e);
        }
    }

    private void onFrame(Channel channel, Handover.FrameType word, DataInputStream in) throws IOException {
        if (word == Handover.FrameType.TAKEOVER_REQUEST && successorChannel == null && in.readInt() == Handover.VERSION) {
            onTakeoverRequest(channel);
        } else if (word == Handover.FrameType.LISTENING && channel == successorChannel && !committed) {
            committed = true;
            handler.handOver();
        } else if (word == Handover.FrameType.MESSAGE_STORED && channel == successorChannel) {
            onMessageStored(in.readLong());
        } else {
            channel.close();
        }
    }

    private void onTakeoverRequest(Channel channel) {
        successorChannel = channel;
        HandoverSnapshot standing = handler.suspendDecisions();
        Handover.send(channel, Handover.FrameType.SNAPSHOT, standing::write);
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

    /** True once a successor serves. */
    boolean isCommitted() {
        return committed;
    }

    /** Passes on a message that is at rest: it is the successor's once that one has it in its journal. */
    void offer(Message message) {
        if (!unacknowledgedMessages.containsKey(message.number)) {
            queuedMessages.put(message.number, message);
            offerQueuedMessages();
        }
    }

    private void offerQueuedMessages() {
        Iterator<Message> next = queuedMessages.values().iterator();
        while (successorChannel.isActive() && next.hasNext() && unacknowledgedMessages.size() < MAX_UNACKNOWLEDGED_MESSAGES) {
            Message message = next.next();
            next.remove();
            // Guards against passing on what has run out of time while it waited here.
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
            offerQueuedMessages();
        }
    }

    /** Tells how a call ended that was out when the successor took over. */
    void sendOutcome(String route, Policy.Result result, long wait, long elapsed, int callsOut) {
        Handover.send(successorChannel, Handover.FrameType.OUTCOME, out -> {
            out.writeUTF(route);
            out.writeUTF(result.name());
            out.writeLong(wait);
            out.writeLong(elapsed);
            out.writeInt(callsOut);
        });
    }
}
