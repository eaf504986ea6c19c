package drumdeal.relay;

import drumdeal.DeliveryPolicy;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Promise;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** The relay: creates its components, starts them, hands over to a newer process and stops. */
final class Relay implements AdminServer.Controls, SuccessorLink.HandoverHandler, ConfigReloader.Listener {
    // The first three delays count from the end signal; the process is killed 3.7 s after it at the earliest.
    /** Until idle connections are closed: clients still connect until then. Also used when operators drain it. */
    private static final long DRAIN_DELAY_MILLIS = 500;
    /** Until no more attempts are started, so that those in flight can end: a call takes about a second. */
    private static final long STOP_ATTEMPTS_DELAY_MILLIS = 2200;
    /** Until the process ends with messages still open; they stay in the journal. */
    private static final long STOP_TIMEOUT_MILLIS = 3200;
    /** After the time-out, for clients to read that their incomplete request was rejected. */
    private static final long REJECTION_GRACE_MILLIS = 200;
    private static final long POLL_INTERVAL_MILLIS = 20;
    /**
     * A client that sends a request while its connection closes sends it again on a new one, so the relay stays for a
     * while after the last client. Ending sooner has no benefit.
     */
    private static final long RECONNECT_GRACE_MILLIS = 500;

    private final EventLoop loop;
    private final Config config;
    private final StateFolder stateFolder;
    private final Journal journal;
    private final Engine engine;
    private final EventLoopMonitor loopMonitor;
    private final Discovery discovery;
    private final ClientServer clientServer;
    private final SuccessorLink successor;
    private final List<PredecessorLink> predecessors = new ArrayList<>();
    /** Completed once the relay listens for clients, or can't. */
    private final Promise<Void> servingPromise;
    /** Released when the process may end. */
    private final CountDownLatch exitLatch = new CountDownLatch(1);
    /** Null while the relay is not draining. */
    private Future<?> drainTimer;
    private boolean listening;
    private boolean listenRequested;
    /** When the process ends at the latest, on {@link System#nanoTime}; 0 until the end signal. */
    private long stopDeadlineNanos;

    Relay(EventLoop loop, Config config) throws IOException {
        this.loop = loop;
        this.config = config;
        Clock clock = new Clock();
        stateFolder = new StateFolder(config.stateFolder());
        journal = new Journal(stateFolder.ownFolder(), config.diskBytes());
        engine = new Engine(loop, clock, config, journal, DeliveryPolicy::new);
        discovery = new Discovery(loop, new AgentClient(loop, config.discoveryAddress()), config.settings(),
                config.knownTargets().isEmpty() ? -1 : config.knownListVersion(), engine);
        engine.setListRequester(discovery::requestSoon);
        loopMonitor = new EventLoopMonitor(loop, clock, engine::onLoopStall);
        clientServer = new ClientServer(engine, clock, loopMonitor, config.maxClientConnections());
        successor = new SuccessorLink(loop, this);
        servingPromise = loop.newPromise();
    }

    /** Resumes the messages of the journal and returns once the relay listens for clients. */
    void start() throws IOException {
        try {
            loop.submit(() -> {
                loopMonitor.checkPeriodically();
                engine.start(config.knownListVersion(), config.knownTargets(), stateFolder.ownFolder(),
                        stateFolder.otherFolders());
                discovery.start();
                successor.listen(stateFolder.ownFolder());
            }).sync();
            // Operators are answered before clients can connect, as they ask whether clients may.
            if (config.adminAddress() != null) {
                Log.write("operators at " + new AdminServer(this).listen(loop, config.adminAddress()).sync().channel()
                        .localAddress());
            }
            loop.execute(this::takeOverFromPredecessors);
            servingPromise.sync();
        } catch (InterruptedException e) {
            throw new IOException("interrupted while starting", e);
        }
    }

    /**
     * Adopts the folders of processes that have ended. Listens for clients, and takes decisions, at once if no other
     * process is running, else as soon as each has sent its state or has ended.
     */
    private void takeOverFromPredecessors() {
        for (Path folder : stateFolder.otherFolders()) {
            StateFolder.LockedFolder lockedFolder = null;
            try {
                lockedFolder = StateFolder.tryLock(folder);
            } catch (IOException e) {
                Log.write("state folder " + folder.getFileName() + " can't be locked, its process counts as running: "
                        + e.getMessage());
            }
            if (lockedFolder == null) {
                predecessors.add(new PredecessorLink(loop, folder, engine, this::onPredecessorReady,
                        this::onPredecessorGone));
            } else {
                adoptFolder(lockedFolder);
            }
        }
        if (predecessors.isEmpty()) {
            listenForClients();
        }
        predecessors.forEach(PredecessorLink::takeOver);
    }

    private void adoptFolder(StateFolder.LockedFolder folder) {
        try {
            engine.adoptFolder(folder);
        } catch (IOException e) {
            Log.write("state folder " + folder.folder().getFileName()
                    + " can't be adopted, its messages stay there: " + e.getMessage());
        }
    }

    /**
     * A predecessor has sent its state, or has ended ({@code snapshot} is null). Until it has ended, the limit of
     * descriptors holds for both processes together: half of what it uses is deducted from the limit for clients, half
     * from the limit for hosts.
     */
    private void onPredecessorReady(HandoverSnapshot snapshot) {
        if (snapshot != null) {
            int descriptors = Config.descriptorsFor(snapshot.connections());
            clientServer.reserveDescriptors(descriptors / 2);
            engine.reserveDescriptors(descriptors - descriptors / 2);
        }
        if (predecessors.stream().allMatch(PredecessorLink::isReady)) {
            listenForClients();
        }
    }

    private void onPredecessorGone() {
        clientServer.reserveDescriptors(0);
        engine.reserveDescriptors(0);
    }

    private void listenForClients() {
        if (stopDeadlineNanos != 0 || listenRequested) {
            return;
        }
        listenRequested = true;
        ChannelFuture bindFuture = clientServer.listen(loop, config.listenAddress());
        bindFuture.addListener(future -> {
            if (future.isSuccess()) {
                Log.write("serving on " + bindFuture.channel().localAddress());
                listening = true;
                engine.startDecisions();
                predecessors.forEach(PredecessorLink::sendListening);
                servingPromise.setSuccess(null);
            } else {
                servingPromise.setFailure(future.cause());
            }
        });
    }

    @Override
    public HandoverSnapshot suspendDecisions() {
        Log.write("another process takes over");
        return engine.suspendDecisions(clientServer.connectionCount());
    }

    @Override
    public void resumeDecisions() {
        Log.write("the successor disconnected before it served clients, this process takes the decisions again");
        engine.resumeDecisions();
    }

    @Override
    public void handOver() {
        clientServer.markUnready();
        engine.handOver(successor);
        // As a later task: this pass first reads what has arrived, and stopListening(), which reads as well, must not
        // run while a channel is being read.
        loop.execute(() -> {
            clientServer.stopListening();
            clientServer.drain();
            exitWhenHandedOver();
        });
    }

    @Override
    public void onHandedOver(Message message) {
        engine.onHandedOver(message);
    }

    /** Ends the process once it has no client and no message. Until then the successor works with lower limits. */
    private void exitWhenHandedOver() {
        if (clientServer.hasServedAllClients() && engine.hasNoMessages()) {
            Log.write("all is passed on");
            exitLatch.countDown();
            // Not on the event loop: System.exit() waits for the shutdown hook, which needs the loop, so each would
            // wait for the other.
            new Thread(() -> System.exit(0), "leave").start();
        } else {
            loop.schedule(this::exitWhenHandedOver, POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** Applies the settings and the address of discovery; the relay's own addresses and limits stay as they are. */
    @Override
    public void onConfigReloaded(Config newConfig) {
        loop.execute(() -> {
            Log.write("new settings, " + newConfig.settings().classes().size() + " classes; discovery is at "
                    + newConfig.discoveryAddress());
            engine.reconfigure(newConfig);
            discovery.moveTo(newConfig.discoveryAddress(), newConfig.settings());
        });
    }

    @Override
    public void onConfigRejected(String reason) {
        loop.execute(() -> {
            Log.write("new configuration rejected, the current one stays in force: " + reason);
            engine.onReloadFailed();
        });
    }

    @Override
    public boolean isAcceptingClients() {
        return listening && engine.isReady() && clientServer.isMarkedReady();
    }

    @Override
    public String statsJson() {
        return engine.statsJson();
    }

    @Override
    public void startDraining() {
        if (drainTimer == null) {
            clientServer.markUnready();
            drainTimer = loop.schedule(clientServer::drain, DRAIN_DELAY_MILLIS, TimeUnit.MILLISECONDS);
            Log.write("draining: clients are sent to other relays");
        }
    }

    @Override
    public void stopDraining() {
        if (drainTimer != null && stopDeadlineNanos == 0 && !successor.isCommitted()) {
            drainTimer.cancel(false);
            drainTimer = null;
            clientServer.markReady();
            Log.write("draining is cancelled, the relay is ready for clients again");
        }
    }

    /**
     * Drains the relay and returns when the process may end. Accepted messages that are still open stay in the journal.
     */
    void stop() {
        loop.execute(() -> {
            stopDeadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(STOP_TIMEOUT_MILLIS);
            if (clientServer.hasStoppedListening()) {
                Log.write("end signal received before the relay listened for clients");
            }
            startDraining();
            // A process that has not listened yet has served no client. It starts no attempt and ends at once, as it
            // would not be there for the results.
            loop.schedule(engine::stopNewAttempts, listening ? STOP_ATTEMPTS_DELAY_MILLIS : 0, TimeUnit.MILLISECONDS);
            loop.schedule(this::exitWhenDrained, listening ? DRAIN_DELAY_MILLIS : 0, TimeUnit.MILLISECONDS);
        });
        try {
            exitLatch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Lets the process end once messages and clients allow it, or at the time-out; polls until then. */
    private void exitWhenDrained() {
        boolean timedOut = System.nanoTime() >= stopDeadlineNanos;
        // During a handover the process waits until all messages are handed over: the successor would have to adopt
        // those left behind all at once.
        boolean drained = engine.hasNoMessages()
                || !successor.isCommitted() && engine.hasStoppedNewAttempts() && engine.hasNothingInFlight();
        if (timedOut || drained && clientServer.hasNoActiveClients(RECONNECT_GRACE_MILLIS)) {
            // Clients may have connected, or sent a request, since the loop last polled.
            clientServer.stopListening();
            clientServer.readNow();
        }
        if (timedOut) {
            clientServer.rejectIncompleteRequests();
        }
        boolean clientsGone = clientServer.connectionCount() == 0
                || System.nanoTime() >= stopDeadlineNanos + TimeUnit.MILLISECONDS.toNanos(REJECTION_GRACE_MILLIS);
        if (drained && clientServer.hasServedAllClients() || timedOut && clientServer.hasStoppedListening()
                && !clientServer.hasPendingResponses() && clientsGone) {
            exitLatch.countDown();
        } else {
            loop.schedule(this::exitWhenDrained, POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }
}
