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

/** The relay as a whole: puts its parts together, starts them and ends them. */
final class Relay implements AdminServer.Controls, SuccessorLink.HandoverHandler, ConfigReloader.Listener {
    // After the signal to end; the kill comes no sooner than 3.7 s after it.
    private static final long DRAIN_DELAY_MILLIS = 500; // new connections still come, also when operators empty the relay
    private static final long STOP_ATTEMPTS_DELAY_MILLIS = 2200; // calls take about a second
    private static final long STOP_TIMEOUT_MILLIS = 3200; // what is still open is left to the journal
    private static final long REJECTION_GRACE_MILLIS = 200; // for clients to read that a request begun is not waited for
    private static final long POLL_INTERVAL_MILLIS = 20;
    /** Who sends a request as its connection closes sends it once more on a new one; nothing is won by leaving sooner. */
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
    private final Promise<Void> servingPromise;
    private int pendingPredecessors;
    private final CountDownLatch exitLatch = new CountDownLatch(1);
    private Future<?> drainTimer;
    private boolean listening;
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

    /** Resumes what the journal holds and serves. */
    void start() throws IOException {
        try {
            loop.submit(() -> {
                loopMonitor.checkPeriodically();
                engine.start(config.knownListVersion(), config.knownTargets(), stateFolder.ownFolder());
                discovery.start();
                successor.listen(stateFolder.ownFolder());
            }).sync();
            // Answers operators before clients come: they ask whether clients may.
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

    /** Serves at once where this is the only process, else as soon as each other one has told where it stands. */
    private void takeOverFromPredecessors() {
        for (Path part : stateFolder.otherFolders()) {
            try (StateFolder.LockedFolder left = StateFolder.tryLock(part)) {
                if (left != null) {
                    engine.adoptFolder(left);
                } else {
                    predecessors.add(new PredecessorLink(loop, part, engine, this::onPredecessorAnswered, this::onPredecessorGone));
                }
            } catch (IOException e) {
                Log.write("what is left in " + part.getFileName() + " can't be adopted: " + e.getMessage());
            }
        }
        pendingPredecessors = predecessors.size();
        if (pendingPredecessors == 0) {
            listenForClients();
        }
        predecessors.forEach(PredecessorLink::takeOver);
    }

    /** Until the other process has ended, its descriptors and this one's have one bound together. */
    private void onPredecessorAnswered(HandoverSnapshot standing) {
        if (standing != null) {
            int taken = Config.descriptorsFor(standing.connections());
            clientServer.reserveDescriptors(taken / 2);
            engine.reserveDescriptors(taken - taken / 2);
        }
        if (--pendingPredecessors == 0) {
            listenForClients();
        }
    }

    private void onPredecessorGone() {
        clientServer.reserveDescriptors(0);
        engine.reserveDescriptors(0);
    }

    private void listenForClients() {
        if (stopDeadlineNanos != 0) {
            return;
        }
        ChannelFuture bound = clientServer.listen(loop, config.listenAddress());
        bound.addListener(done -> {
            if (done.isSuccess()) {
                Log.write("serving on " + bound.channel().localAddress());
                listening = true;
                predecessors.forEach(PredecessorLink::sendListening);
                servingPromise.setSuccess(null);
            } else {
                servingPromise.setFailure(done.cause());
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
        Log.write("the other process is gone, this one serves on");
        engine.resumeDecisions();
    }

    @Override
    public void handOver() {
        clientServer.markUnready();
        engine.handOver(successor);
        // After this pass has read what it found; nothing may be read while another read is under way.
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

    /** Leaves once nothing is owed here any more: the other process goes by all bounds again only then. */
    private void exitWhenHandedOver() {
        if (clientServer.hasNoActiveClients() && engine.hasNoMessages()) {
            Log.write("all is passed on");
            exitLatch.countDown();
            // Guards against an exit that waits for the loop while the loop waits for the exit.
            new Thread(() -> System.exit(0), "leave").start();
        } else {
            loop.schedule(this::exitWhenHandedOver, POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** Takes over the address of discovery and all settings; addresses and limits of its own stay. */
    @Override
    public void onConfigReloaded(Config next) {
        loop.execute(() -> {
            Log.write("new settings, " + next.settings().classes().size() + " classes; discovery is at "
                    + next.discoveryAddress());
            engine.reconfigure(next);
            discovery.moveTo(next.discoveryAddress(), next.settings());
        });
    }

    @Override
    public void onConfigRejected(String why) {
        loop.execute(() -> {
            Log.write("the old configuration stays in force: " + why);
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
            Log.write("clients are sent away");
        }
    }

    @Override
    public void stopDraining() {
        if (drainTimer != null && stopDeadlineNanos == 0 && !successor.isCommitted()) {
            drainTimer.cancel(false);
            drainTimer = null;
            clientServer.markReady();
            Log.write("clients are taken again");
        }
    }

    /** Ends service without breaking a promise; returns when the process may end. */
    void stop() {
        loop.execute(() -> {
            stopDeadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(STOP_TIMEOUT_MILLIS);
            if (clientServer.hasStoppedListening()) {
                Log.write("told to end before clients could come");
            }
            startDraining();
            // Guards against calls that a process begins which has served nobody and has no time to hear of them.
            loop.schedule(engine::stopNewAttempts, listening ? STOP_ATTEMPTS_DELAY_MILLIS : 0, TimeUnit.MILLISECONDS);
            loop.schedule(this::exitWhenDrained, listening ? DRAIN_DELAY_MILLIS : 0, TimeUnit.MILLISECONDS);
        });
        try {
            exitLatch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void exitWhenDrained() {
        boolean late = System.nanoTime() >= stopDeadlineNanos;
        // Guards against leaving to be adopted what is just being passed on: that comes all at once.
        boolean done = engine.hasNoMessages() || !successor.isCommitted() && engine.hasStoppedNewAttempts() && engine.hasNothingInFlight();
        if (late || done && clientServer.hasNoActiveClients(RECONNECT_GRACE_MILLIS)) {
            // Guards against ending with clients who have come since the loop looked, and have no answer yet.
            clientServer.stopListening();
            clientServer.readNow();
        }
        if (late) {
            clientServer.rejectIncompleteRequests();
        }
        boolean left = clientServer.connectionCount() == 0
                || System.nanoTime() >= stopDeadlineNanos + TimeUnit.MILLISECONDS.toNanos(REJECTION_GRACE_MILLIS);
        if (clientServer.hasStoppedListening() && (done && clientServer.hasNoActiveClients() || late && !clientServer.hasPendingResponses() && left)) {
            exitLatch.countDown();
        } else {
            loop.schedule(this::exitWhenDrained, POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }
}
