package drumdeal.relay;

import drumdeal.Logic;
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
final class Relay implements AdminServer.Controls, SuccessorLink.Elder, Reload.Taker {
    // After the signal to end; the kill comes no sooner than 3.7 s after it.
    private static final long SERVE_ON_MS = 500; // new connections still come, also when operators empty the relay
    private static final long BEGIN_NOTHING_MS = 2200; // calls take about a second
    private static final long GIVE_UP_MS = 3200; // what is still open is left to the journal
    private static final long TURNED_AWAY_MS = 200; // for clients to read that a request begun is not waited for
    private static final long LOOK_MS = 20;
    /** Who sends a request as its connection closes sends it once more on a new one; nothing is won by leaving sooner. */
    private static final long COME_AGAIN_MS = 500;

    private final EventLoop loop;
    private final Config config;
    private final StateFolder state;
    private final Journal journal;
    private final Engine engine;
    private final EventLoopMonitor loopMonitor;
    private final Discovery discovery;
    private final ClientServer clients;
    private final SuccessorLink successor;
    private final List<PredecessorLink> predecessors = new ArrayList<>();
    private final Promise<Void> serving;
    private int predecessorsLeft;
    private final CountDownLatch stopped = new CountDownLatch(1);
    private Future<?> draining;
    private boolean listening;
    private long stopAt;

    Relay(EventLoop loop, Config config) throws IOException {
        this.loop = loop;
        this.config = config;
        Clock clock = new Clock();
        state = new StateFolder(config.state());
        journal = new Journal(state.own(), config.diskBytes());
        engine = new Engine(loop, clock, config, journal, Logic::new);
        discovery = new Discovery(loop, new AgentClient(loop, config.discovery()), config.settings(),
                config.known().isEmpty() ? -1 : config.knownVersion(), engine);
        engine.onListWanted(discovery::askSoon);
        loopMonitor = new EventLoopMonitor(loop, clock, engine::stalled);
        clients = new ClientServer(engine, clock, loopMonitor, config.clientConnections());
        successor = new SuccessorLink(loop, this);
        serving = loop.newPromise();
    }

    /** Resumes what the journal holds and serves. */
    void start() throws IOException {
        try {
            loop.submit(() -> {
                loopMonitor.start();
                engine.start(config.knownVersion(), config.known(), state.own());
                discovery.start();
                successor.listen(state.own());
            }).sync();
            // Answers operators before clients come: they ask whether clients may.
            if (config.admin() != null) {
                Log.line("operators at " + new AdminServer(this).listen(loop, config.admin()).sync().channel()
                        .localAddress());
            }
            loop.execute(this::takeOver);
            serving.sync();
        } catch (InterruptedException e) {
            throw new IOException("interrupted while starting", e);
        }
    }

    /** Serves at once where this is the only process, else as soon as each other one has told where it stands. */
    private void takeOver() {
        for (Path part : state.others()) {
            try (StateFolder.Part left = StateFolder.tryTake(part)) {
                if (left != null) {
                    engine.adopt(left);
                } else {
                    predecessors.add(new PredecessorLink(loop, part, engine, this::told, this::alone));
                }
            } catch (IOException e) {
                Log.line("what is left in " + part.getFileName() + " can't be adopted: " + e.getMessage());
            }
        }
        predecessorsLeft = predecessors.size();
        if (predecessorsLeft == 0) {
            listen();
        }
        predecessors.forEach(PredecessorLink::takeOver);
    }

    /** Until the other process has ended, its descriptors and this one's have one bound together. */
    private void told(Standing standing) {
        if (standing != null) {
            int taken = Config.descriptors(standing.connections());
            clients.yield(taken / 2);
            engine.yield(taken - taken / 2);
        }
        if (--predecessorsLeft == 0) {
            listen();
        }
    }

    private void alone() {
        clients.yield(0);
        engine.yield(0);
    }

    private void listen() {
        if (stopAt != 0) {
            return;
        }
        ChannelFuture bound = clients.listen(loop, config.listen());
        bound.addListener(done -> {
            if (done.isSuccess()) {
                Log.line("serving on " + bound.channel().localAddress());
                listening = true;
                predecessors.forEach(PredecessorLink::listening);
                serving.setSuccess(null);
            } else {
                serving.setFailure(done.cause());
            }
        });
    }

    @Override
    public Standing stopDeciding() {
        Log.line("another process takes over");
        return engine.stopDeciding(clients.connections());
    }

    @Override
    public void decideAgain() {
        Log.line("the other process is gone, this one serves on");
        engine.decideAgain();
    }

    @Override
    public void passOn() {
        clients.sendAway();
        engine.passOn(successor);
        // After this pass has read what it found; nothing may be read while another read is under way.
        loop.execute(() -> {
            clients.stopListening();
            clients.drain();
            leaveWhenDone();
        });
    }

    @Override
    public void passedOn(Message message) {
        engine.passedOn(message);
    }

    /** Leaves once nothing is owed here any more: the other process goes by all bounds again only then. */
    private void leaveWhenDone() {
        if (clients.isDeserted() && engine.isIdle()) {
            Log.line("all is passed on");
            stopped.countDown();
            // Guards against an exit that waits for the loop while the loop waits for the exit.
            new Thread(() -> System.exit(0), "leave").start();
        } else {
            loop.schedule(this::leaveWhenDone, LOOK_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** Takes over the address of discovery and all settings; addresses and limits of its own stay. */
    @Override
    public void taken(Config next) {
        loop.execute(() -> {
            Log.line("new settings, " + next.settings().classes().size() + " classes; discovery is at "
                    + next.discovery());
            engine.retune(next);
            discovery.moveTo(next.discovery(), next.settings());
        });
    }

    @Override
    public void turnedDown(String why) {
        loop.execute(() -> {
            Log.line("the old configuration stays in force: " + why);
            engine.notRetuned();
        });
    }

    @Override
    public boolean takesClients() {
        return listening && engine.isReady() && clients.isWelcoming();
    }

    @Override
    public String stats() {
        return engine.stats();
    }

    @Override
    public void empty() {
        if (draining == null) {
            clients.sendAway();
            draining = loop.schedule(clients::drain, SERVE_ON_MS, TimeUnit.MILLISECONDS);
            Log.line("clients are sent away");
        }
    }

    @Override
    public void refill() {
        if (draining != null && stopAt == 0 && !successor.isCommitted()) {
            draining.cancel(false);
            draining = null;
            clients.welcome();
            Log.line("clients are taken again");
        }
    }

    /** Ends service without breaking a promise; returns when the process may end. */
    void stop() {
        loop.execute(() -> {
            stopAt = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(GIVE_UP_MS);
            if (clients.hasStoppedListening()) {
                Log.line("told to end before clients could come");
            }
            empty();
            // Guards against calls that a process begins which has served nobody and has no time to hear of them.
            loop.schedule(engine::beginNothing, listening ? BEGIN_NOTHING_MS : 0, TimeUnit.MILLISECONDS);
            loop.schedule(this::endWhenDone, listening ? SERVE_ON_MS : 0, TimeUnit.MILLISECONDS);
        });
        try {
            stopped.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void endWhenDone() {
        boolean late = System.nanoTime() >= stopAt;
        // Guards against leaving to be adopted what is just being passed on: that comes all at once.
        boolean done = engine.isIdle() || !successor.isCommitted() && engine.beginsNothing() && engine.isQuiet();
        if (late || done && clients.isDeserted(COME_AGAIN_MS)) {
            // Guards against ending with clients who have come since the loop looked, and have no answer yet.
            clients.stopListening();
            clients.readNow();
        }
        if (late) {
            clients.turnAway();
        }
        boolean left = clients.connections() == 0
                || System.nanoTime() >= stopAt + TimeUnit.MILLISECONDS.toNanos(TURNED_AWAY_MS);
        if (clients.hasStoppedListening() && (done && clients.isDeserted() || late && !clients.isAnswering() && left)) {
            stopped.countDown();
        } else {
            loop.schedule(this::endWhenDone, LOOK_MS, TimeUnit.MILLISECONDS);
        }
    }
}
