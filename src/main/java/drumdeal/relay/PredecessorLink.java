package drumdeal.relay;

import drumdeal.Policy;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioDomainSocketChannel;
import java.io.DataInputStream;
import java.io.IOException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** The newer process's side of an upgrade: takes over from the older one, and from what it leaves behind. */
final class PredecessorLink {
    /** Guards against an older process that hangs: the newer one then serves without what that one knows. */
    private static final long SNAPSHOT_TIMEOUT_MILLIS = 2000;
    private static final long LOCK_POLL_MILLIS = 20;

    /** What the relay takes over. */
    interface TakeoverHandler {
        void applySnapshot(HandoverSnapshot standing);

        /** Puts a message into the journal, to be run once it was let go. */
        Message storeMessage(byte[] records) throws IOException;

        void takeOwnership(Message message);

        void onPredecessorOutcome(String route, Policy.Result result, long wait, long elapsed, int callsOut);

        /** The older process has ended; what it has left in its part is adopted. */
        void adoptFolder(StateFolder.LockedFolder part) throws IOException;
    }

    private final EventLoop loop;
    private final Path predecessorFolder;
    private final TakeoverHandler handler;
    private final Consumer<HandoverSnapshot> onReady;
    private final Runnable onPredecessorEnded;
    /** Messages that the older process has not let go of yet, by their number there. */
    private final Map<Long, Message> unreleasedMessages = new HashMap<>();
    private Channel channel;
    private boolean readyReported;

    /**
     * {@code next} is told once, as soon as this process may listen for clients, where the other one stands, or null
     * where that is not known; {@code gone} runs once that one has ended.
     */
    PredecessorLink(EventLoop loop, Path part, TakeoverHandler heir, Consumer<HandoverSnapshot> next, Runnable gone) {
        this.loop = loop;
        this.predecessorFolder = part;
        this.handler = heir;
        this.onReady = next;
        this.onPredecessorEnded = gone;
    }

    void takeOver() {
        ChannelFuture opening;
        try {
            opening = new Bootstrap().group(loop).channel(NioDomainSocketChannel.class)
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel ch) {
                            Handover.attachFrameHandler(ch, PredecessorLink.this::onFrame);
                        }
                    }).connect(Handover.socketAddress(predecessorFolder));
        } catch (IllegalArgumentException | UnsupportedOperationException e) {
            Log.write("no handover: " + e);
            onChannelClosed();
            return;
        }
        channel = opening.channel();
        opening.addListener(connected -> {
            if (connected.isSuccess()) {
                Handover.send(channel, Handover.FrameType.TAKEOVER_REQUEST, out -> out.writeInt(Handover.VERSION));
            } else {
                Log.write("no handover: " + connected.cause());
            }
        });
        channel.closeFuture().addListener(ended -> onChannelClosed());
        loop.schedule(() -> {
            if (!readyReported) {
                channel.close();
            }
        }, SNAPSHOT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** This process listens for clients. */
    void sendListening() {
        if (channel != null && channel.isActive()) {
            Handover.send(channel, Handover.FrameType.LISTENING, out -> { });
        }
    }

    private void onFrame(Handover.FrameType word, DataInputStream in) throws IOException {
        switch (word) {
            case SNAPSHOT -> {
                HandoverSnapshot standing = HandoverSnapshot.read(in);
                handler.applySnapshot(standing);
                reportReady(standing);
            }
            case MESSAGE -> {
                long number = in.readLong();
                unreleasedMessages.put(number, handler.storeMessage(in.readAllBytes()));
                Handover.send(channel, Handover.FrameType.MESSAGE_STORED, out -> out.writeLong(number));
            }
            case MESSAGE_RELEASED -> {
                Message message = unreleasedMessages.remove(in.readLong());
                if (message != null) {
                    handler.takeOwnership(message);
                }
            }
            case OUTCOME -> handler.onPredecessorOutcome(in.readUTF(), Policy.Result.valueOf(in.readUTF()), in.readLong(),
                    in.readLong(), in.readInt());
            default -> throw new IOException("unexpected " + word);
        }
    }

    private void reportReady(HandoverSnapshot standing) {
        if (!readyReported) {
            readyReported = true;
            onReady.accept(standing);
        }
    }

    private void onChannelClosed() {
        reportReady(null);
        adoptOnceUnlocked();
    }

    /** Adopts once the older process has ended: while it lives it may yet send what it has not let go of. */
    private void adoptOnceUnlocked() {
        try (StateFolder.LockedFolder left = StateFolder.tryLock(predecessorFolder)) {
            if (left != null) {
                unreleasedMessages.values().forEach(handler::takeOwnership);
                unreleasedMessages.clear();
                handler.adoptFolder(left);
                onPredecessorEnded.run();
                return;
            }
        } catch (IOException e) {
            Log.write("handover: what is left in " + predecessorFolder.getFileName() + " can't be adopted: " + e.getMessage());
        }
        loop.schedule(this::adoptOnceUnlocked, LOCK_POLL_MILLIS, TimeUnit.MILLISECONDS);
    }
}
