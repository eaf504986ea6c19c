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
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * The newer process's side of an upgrade: takes over from one older process, and adopts the messages that it leaves in
 * its process folder when it ends. Used on the event loop alone.
 */
final class PredecessorLink {
    /** How long to wait for the older process's snapshot; if that process hangs, this one serves without it. */
    private static final long SNAPSHOT_TIMEOUT_MILLIS = 2000;
    /** Pause until it is tried again to store messages for which the journal had no room. */
    private static final long STORE_RETRY_MILLIS = 50;
    /** How often to check whether the older process has ended. */
    private static final long LOCK_POLL_MILLIS = 20;

    /** What the relay does with the state and the messages of an older process. */
    interface TakeoverHandler {
        /** Applies the state of the older process, which takes no more decisions. */
        void applySnapshot(Path predecessorFolder, HandoverSnapshot snapshot);

        /**
         * Registers a message of the older process, which still owns it; null if this process holds or has held a
         * message with the same id, which its client has submitted to both.
         */
        Message receiveMessage(byte[] records) throws IOException;

        /**
         * Writes a received message to the journal; false if there is no room. Its delivery must wait for
         * {@link #takeOwnership}.
         */
        boolean storeMessage(Message message);

        /** Forgets a received message that is not stored. */
        void dropMessage(Message message);

        /** The older process no longer holds the message: its delivery continues in this one. */
        void takeOwnership(Message message);

        /**
         * A call of the older process has ended. {@code waitMicros} is the wait that the host asked for, 0 if none,
         * {@code elapsedMicros} the time that the call took, and {@code callsInFlight} the number of calls that the
         * older process still has in flight.
         */
        void onPredecessorOutcome(String route, Policy.Result result, long waitMicros, long elapsedMicros,
                int callsInFlight);

        /**
         * The older process has ended: takes over the messages left in its folder, which this process has locked, and
         * closes the folder in the end, also if it throws.
         */
        void adoptFolder(StateFolder.LockedFolder folder) throws IOException;
    }

    private final EventLoop loop;
    private final Path predecessorFolder;
    private final TakeoverHandler handler;
    private final Consumer<HandoverSnapshot> onReady;
    private final Runnable onPredecessorEnded;
    /** Messages that this process's journal has no room for yet, by their number in the older process, in its order. */
    private final Map<Long, Message> unstoredMessages = new LinkedHashMap<>();
    private boolean storeRetryScheduled;
    private boolean storeWaitLogged;
    /** Messages stored here that the older process has not released yet, by their number in that process. */
    private final Map<Long, Message> unreleasedMessages = new HashMap<>();
    /** Null until {@link #takeOver}, and after it if no connection could be attempted. */
    private Channel channel;
    private boolean readyReported;

    /**
     * Prepares to take over from the process that owns {@code predecessorFolder}. {@code onReady} is called once, as
     * soon as this process may listen for clients, with the snapshot of the older one, or with null if there is
     * none. {@code onPredecessorEnded} runs once the older process has ended and its messages are adopted.
     */
    PredecessorLink(EventLoop loop, Path predecessorFolder, TakeoverHandler handler,
            Consumer<HandoverSnapshot> onReady, Runnable onPredecessorEnded) {
        this.loop = loop;
        this.predecessorFolder = predecessorFolder;
        this.handler = handler;
        this.onReady = onReady;
        this.onPredecessorEnded = onPredecessorEnded;
    }

    /** Connects to the older process and asks to take over. */
    void takeOver() {
        ChannelFuture connecting;
        try {
            connecting = new Bootstrap().group(loop).channel(NioDomainSocketChannel.class)
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel connection) {
                            Handover.attachFrameHandler(connection, PredecessorLink.this::onFrame);
                        }
                    }).connect(Handover.socketAddress(predecessorFolder));
        } catch (IllegalArgumentException | UnsupportedOperationException e) {
            Log.write("handover: can't connect to the older process, starting without its snapshot: " + e);
            onChannelClosed();
            return;
        }
        channel = connecting.channel();
        connecting.addListener(connected -> {
            if (connected.isSuccess()) {
                Handover.send(channel, Handover.FrameType.TAKEOVER_REQUEST, out -> out.writeInt(Handover.VERSION));
            } else {
                Log.write("handover: can't connect to the older process, starting without its snapshot: "
                        + connected.cause());
            }
        });
        channel.closeFuture().addListener(closed -> onChannelClosed());
        loop.schedule(() -> {
            if (!readyReported) {
                channel.close();
            }
        }, SNAPSHOT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Notifies the older process, if connected, that this one listens for clients. */
    void sendListening() {
        if (channel != null && channel.isActive()) {
            Handover.send(channel, Handover.FrameType.LISTENING, out -> { });
        }
    }

    private void onFrame(Handover.FrameType type, DataInputStream in) throws IOException {
        switch (type) {
            case SNAPSHOT -> {
                HandoverSnapshot snapshot = HandoverSnapshot.read(in);
                handler.applySnapshot(predecessorFolder, snapshot);
                reportReady(snapshot);
            }
            case MESSAGE -> {
                long number = in.readLong();
                Message message = handler.receiveMessage(in.readAllBytes());
                if (message == null) {
                    // The older process gives up its copy: the one here is the only one that is delivered.
                    acknowledge(number);
                } else {
                    unstoredMessages.put(number, message);
                    storeMessages();
                }
            }
            case MESSAGE_RELEASED -> {
                Message message = unreleasedMessages.remove(in.readLong());
                if (message != null) {
                    handler.takeOwnership(message);
                }
            }
            case OUTCOME -> handler.onPredecessorOutcome(in.readUTF(), Policy.Result.valueOf(in.readUTF()),
                    in.readLong(), in.readLong(), in.readInt());
            default -> throw new IOException("unexpected frame " + type);
        }
    }

    /**
     * Stores received messages and acknowledges them. Without room in the journal the rest waits and is not
     * acknowledged: until then the older process owns them, and they stay in its journal.
     */
    private void storeMessages() {
        Iterator<Map.Entry<Long, Message>> unstored = unstoredMessages.entrySet().iterator();
        while (channel.isActive() && unstored.hasNext()) {
            Map.Entry<Long, Message> received = unstored.next();
            if (!handler.storeMessage(received.getValue())) {
                scheduleStoreRetry();
                return;
            }
            unstored.remove();
            long number = received.getKey();
            unreleasedMessages.put(number, received.getValue());
            acknowledge(number);
        }
    }

    private void acknowledge(long number) {
        Handover.send(channel, Handover.FrameType.MESSAGE_STORED, out -> out.writeLong(number));
    }

    private void scheduleStoreRetry() {
        if (!storeWaitLogged) {
            storeWaitLogged = true;
            Log.write("no room in the journal for messages of the older process, they wait there");
        }
        if (!storeRetryScheduled) {
            storeRetryScheduled = true;
            loop.schedule(() -> {
                storeRetryScheduled = false;
                storeMessages();
            }, STORE_RETRY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void reportReady(HandoverSnapshot snapshot) {
        if (!readyReported) {
            readyReported = true;
            onReady.accept(snapshot);
        }
    }

    private void onChannelClosed() {
        reportReady(null);
        adoptOnceUnlocked();
    }

    /**
     * Takes over all messages of the older process once it has ended and its lock is free. Before that it may still
     * send a message that it has not released, and two processes would deliver the same message.
     */
    private void adoptOnceUnlocked() {
        try {
            StateFolder.LockedFolder folder = StateFolder.tryLock(predecessorFolder);
            if (folder != null) {
                adopt(folder);
                return;
            }
        } catch (IOException e) {
            Log.write("handover: can't adopt the messages in folder " + predecessorFolder.getFileName()
                    + ", trying again: " + e.getMessage());
        }
        loop.schedule(this::adoptOnceUnlocked, LOCK_POLL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void adopt(StateFolder.LockedFolder folder) throws IOException {
        unreleasedMessages.values().forEach(handler::takeOwnership);
        unreleasedMessages.clear();
        // These are in the folder, unless the older process has ended them.
        unstoredMessages.values().forEach(handler::dropMessage);
        unstoredMessages.clear();
        handler.adoptFolder(folder);
        onPredecessorEnded.run();
    }
}
