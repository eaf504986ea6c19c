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
 *
 * <p>Only one of the two processes takes decisions. The older one, which holds the lock of its folder, does so until it
 * has handed them over. So this process serves only once it has the older one's snapshot or that one's lock; while it
 * can't reach the older process, it waits and tries again.
 */
final class PredecessorLink {
    /** How long to wait for the older process's snapshot until the wait is logged. */
    private static final long SNAPSHOT_WARNING_MILLIS = 2000;
    /** Pause between the loss of the connection, or a failure to connect, and the next attempt to connect. */
    private static final long RECONNECT_DELAY_MILLIS = 100;
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
    /** The latest connection; null until one is attempted. */
    private Channel channel;
    /** When the connection was last lost or could not be made, on {@link System#nanoTime}. */
    private long disconnectedAtNanos;
    private boolean connectFailureLogged;
    private boolean adoptionFailureLogged;
    /** The older process has sent its snapshot on the current connection, or has ended. */
    private boolean ready;
    private boolean ended;
    /** This process listens for clients. */
    private boolean listening;

    /**
     * Prepares to take over from the process that owns {@code predecessorFolder}. {@code onReady} is called whenever
     * {@link #isReady} becomes true, with the snapshot of the older process, or with null if that has ended without
     * one. {@code onPredecessorEnded} runs once the older process has ended and its messages are adopted.
     */
    PredecessorLink(EventLoop loop, Path predecessorFolder, TakeoverHandler handler,
            Consumer<HandoverSnapshot> onReady, Runnable onPredecessorEnded) {
        this.loop = loop;
        this.predecessorFolder = predecessorFolder;
        this.handler = handler;
        this.onReady = onReady;
        this.onPredecessorEnded = onPredecessorEnded;
    }

    /** Connects to the older process and asks to take over, again and again until that has ended. */
    void takeOver() {
        connect();
        loop.schedule(() -> {
            if (!ready) {
                Log.write("handover: the older process has not handed over yet; it goes on, and this one waits for that"
                        + " or for its end");
            }
        }, SNAPSHOT_WARNING_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** True while nothing of the older process keeps this one from listening for clients. */
    boolean isReady() {
        return ready;
    }

    private void connect() {
        try {
            HandoverSocketAddress socket = HandoverSocketAddress.open(predecessorFolder);
            ChannelFuture connecting = new Bootstrap().group(loop).channel(NioDomainSocketChannel.class)
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel connection) {
                            Handover.attachFrameHandler(connection, (type, in) -> {
                                // What is decoded after the close must not count: the older process may have resumed.
                                if (connection.isActive()) {
                                    onFrame(type, in);
                                }
                            });
                        }
                    }).connect(socket.address());
            channel = connecting.channel();
            connecting.addListener(connected -> {
                socket.close();
                if (connected.isSuccess()) {
                    Handover.send(channel, Handover.FrameType.TAKEOVER_REQUEST,
                            out -> out.writeInt(Handover.VERSION));
                } else {
                    logConnectFailure(connected.cause());
                }
            });
            channel.closeFuture().addListener(closed -> onChannelClosed());
        } catch (IOException | IllegalArgumentException | UnsupportedOperationException e) {
            logConnectFailure(e);
            onChannelClosed();
        }
    }

    private void logConnectFailure(Throwable cause) {
        if (!connectFailureLogged) {
            connectFailureLogged = true;
            Log.write("handover: can't connect to the older process, trying again until it has ended: " + cause);
        }
    }

    /** This process listens for clients: tells the older one, if it is connected. */
    void sendListening() {
        listening = true;
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
                if (listening) {
                    // The older process has taken its decisions again, as it lost the connection.
                    sendListening();
                }
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
        ready = true;
        onReady.accept(snapshot);
    }

    private void onChannelClosed() {
        ready = false;
        disconnectedAtNanos = System.nanoTime();
        // The older process still has them, and sends them again or leaves them in its folder.
        unstoredMessages.values().forEach(handler::dropMessage);
        unstoredMessages.clear();
        adoptOrReconnect();
    }

    /**
     * Takes over all messages of the older process once it has ended and its lock is free. Before that it may still
     * send a message that it has not released, and two processes would deliver the same message.
     */
    private void adoptOrReconnect() {
        try {
            StateFolder.LockedFolder folder = StateFolder.tryLock(predecessorFolder);
            if (folder != null) {
                adopt(folder);
                return;
            }
        } catch (IOException e) {
            logAdoptionFailure(e);
        }
        if (!ended && System.nanoTime() - disconnectedAtNanos
                >= TimeUnit.MILLISECONDS.toNanos(RECONNECT_DELAY_MILLIS)) {
            connect();
        } else {
            loop.schedule(this::adoptOrReconnect, LOCK_POLL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void logAdoptionFailure(IOException cause) {
        if (!adoptionFailureLogged) {
            adoptionFailureLogged = true;
            Log.write("handover: can't adopt the messages in folder " + predecessorFolder.getFileName()
                    + ", trying again: " + cause.getMessage());
        }
    }

    private void adopt(StateFolder.LockedFolder folder) throws IOException {
        boolean firstTry = !ended;
        ended = true;
        unreleasedMessages.values().forEach(handler::takeOwnership);
        unreleasedMessages.clear();
        if (firstTry) {
            reportReady(null);
        }
        handler.adoptFolder(folder);
        onPredecessorEnded.run();
    }
}
