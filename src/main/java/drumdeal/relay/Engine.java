package drumdeal.relay;

import drumdeal.Policy;
import drumdeal.Policy.Event;
import drumdeal.Policy.LimitReport;
import drumdeal.Policy.Result;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/**
 * Drives the decision module: gathers what has come in into rounds and carries out what the module answers.
 * It owns the table of messages and takes no decision of its own. Everything runs on one event loop.
 */
final class Engine implements Policy.Actions, HostClient.ResultListener, Discovery.Listener, PredecessorLink.TakeoverHandler {
    /** When a message that the module has left open past its deadline is ended: in time for its notice. */
    private static final long OVERDUE_GRACE_MICROS = 200_000;
    private static final long RETRY_AFTER_MICROS = 1_000_000;
    /** How long passes may take while messages are still taken on; clients wait 400 ms for their answer. */
    private static final long MAX_READ_DELAY_MICROS = 400_000;
    private static final long COUNTERS_LOG_INTERVAL_MILLIS = 2000;
    private static final long ROUTE_STATE_WRITE_INTERVAL_MILLIS = 1000;

    private final EventLoop loop;
    private final Clock clock;
    private final long diskBytes;
    private final Journal journal;
    private final Policy policy;
    private final HostClient hostClient;
    private final NoticeSender noticeSender;
    private final RequestClassRegistry requestClasses;
    private final DeadlineMargin deadlineMargin = new DeadlineMargin();
    private final Set<Integer> knownDestinations = new HashSet<>();
    private final Map<Long, Message> messagesByNumber = new LinkedHashMap<>();
    private final Map<String, Message> messagesByCallId = new HashMap<>();
    private final Map<String, List<HostClient.OutgoingAttempt>> outgoingByRoute = new LinkedHashMap<>();
    private final IntervalCounters counters = new IntervalCounters();
    private final Stats stats = new Stats();
    private Policy.Settings settings;
    private long roundDelayMicros;
    private List<Event> pendingEvents = new ArrayList<>();
    private List<Message> acceptedThisRound = new ArrayList<>();
    private long nextNumber;
    private int openMessageCount;
    private int attemptsInFlight;
    private boolean roundScheduled;
    /** Another process takes the decisions. */
    private boolean decisionsSuspended;
    private boolean newAttemptsStopped;
    private SuccessorLink successor;
    private long listVersion = -1;
    private boolean ready;
    private boolean listReceived;
    private Runnable listRequester = () -> { };

    Engine(EventLoop loop, Clock clock, Config config, Journal journal, Function<Policy.Settings, Policy> module) {
        this.loop = loop;
        this.clock = clock;
        diskBytes = config.diskBytes();
        settings = config.settings();
        roundDelayMicros = config.roundDelayMicros();
        this.journal = journal;
        policy = module.apply(config.settings());
        hostClient = new HostClient(loop, clock, config, this);
        noticeSender = new NoticeSender(loop, new AgentClient(loop, config.discoveryAddress()), this::onNoticeAcknowledged);
        requestClasses = new RequestClassRegistry(settings);
        stats.registerClasses(requestClasses.classNames());
        nextNumber = journal.nextMessageNumber();
    }

    /** Whom to ask for the list sooner than it would come by itself. */
    void setListRequester(Runnable ask) {
        listRequester = ask;
    }

    /** Takes other settings whole: what is taken on from now on goes by them. */
    void reconfigure(Config next) {
        settings = next.settings();
        roundDelayMicros = next.roundDelayMicros();
        requestClasses.update(settings, clock.micros());
        stats.registerClasses(requestClasses.classNames());
        stats.countReload();
        hostClient.applySettings(next);
        noticeSender.moveTo(next.discoveryAddress());
        addEvent(new Policy.SettingsChanged(settings));
    }

    /** The event loop has stood still for a span up to now. */
    void onLoopStall(long span) {
        deadlineMargin.recordStall(clock.micros(), span);
    }

    /** A configuration was turned down. */
    void onReloadFailed() {
        stats.countReloadError();
    }

    /** Takes in the list known from before, what was learned of its routes, and what the journal holds. */
    void start(long knownVersion, List<Target> known, Path health) {
        loop.scheduleAtFixedRate(this::logCounters, COUNTERS_LOG_INTERVAL_MILLIS, COUNTERS_LOG_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        if (!known.isEmpty()) {
            updateTargets(Policy.RouteListUpdateType.CACHED, knownVersion, known);
        }
        byte[] learned = RouteStateFile.read(health, clock.micros(), diskBytes);
        if (learned != null) {
            addEvent(new Policy.LearnedStateRestored(learned, 0));
            addEvent(new Policy.PredecessorEnded());
        }
        loop.scheduleAtFixedRate(() -> writeRouteState(health), ROUTE_STATE_WRITE_INTERVAL_MILLIS, ROUTE_STATE_WRITE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        journal.unfinishedMessages().forEach(this::resumeMessage);
    }

    private void writeRouteState(Path health) {
        // Guards against what this process no longer learns: another one decides for it.
        if (!decisionsSuspended) {
            journal.reserveForOtherFiles(RouteStateFile.write(health, policy.encodeLearnedState(), clock.micros(), diskBytes));
        }
    }

    /** Goes on with a message that another process took on. */
    private void resumeMessage(Message message) {
        indexMessage(message);
        if (message.nonDelivery != null) {
            noticeSender.send(message);
        } else {
            openMessageCount++;
            startOverdueTimer(message);
            addResumedEvent(message);
        }
    }

    private void addResumedEvent(Message message) {
        addEvent(new Policy.RequestResumed(acceptedEvent(message), message.attempts.stream()
                .map(a -> new Policy.PastAttempt(a.route, a.sentAt, a.result)).toList()));
    }

    /** Takes up what a process that has ended left open, in a part that this one owns now. */
    @Override
    public void adoptFolder(StateFolder.LockedFolder part) throws IOException {
        List<Message> left = Journal.readUnfinishedMessages(part.folder(), diskBytes);
        journal.useWholeDisk();
        // Guards against what was passed on already when the process ended, before it could note that.
        left.stream().filter(message -> !messagesByCallId.containsKey(message.content.callId()))
                .forEach(message -> resumeMessage(renumberAndJournal(message)));
        Journal.deleteSegments(part.folder());
        if (!left.isEmpty()) {
            Log.write("adopted " + left.size() + " messages that another process left");
        }
        addEvent(new Policy.PredecessorEnded());
    }

    private Message renumberAndJournal(Message message) {
        Message own = message.withNumber(nextNumber++);
        if (!journal.recordAdopted(own)) {
            Log.write("no room to record message " + message.content.callId() + " of another process");
        }
        return own;
    }

    @Override
    public Message storeMessage(byte[] records) throws IOException {
        Message message = renumberAndJournal(Journal.unpack(records));
        // A client that sends it once more since its connection closed is answered from here.
        indexMessage(message);
        return message;
    }

    @Override
    public void takeOwnership(Message message) {
        resumeMessage(message);
    }

    @Override
    public void applySnapshot(HandoverSnapshot standing) {
        journal.shareDisk(false);
        if (!listReceived && !standing.targets().isEmpty()) {
            updateTargets(Policy.RouteListUpdateType.CACHED, standing.listVersion(), standing.targets());
        }
        addEvent(new Policy.LearnedStateRestored(standing.learnedState(), standing.callsInFlight()));
    }

    @Override
    public void onPredecessorOutcome(String route, Result result, long wait, long elapsed, int callsOut) {
        if (wait > 0) {
            hostClient.applyRetryAfter(route, wait);
        }
        addEvent(new Policy.PredecessorCallEnded(route, result, wait, elapsed, callsOut));
    }

    void reserveDescriptors(int descriptors) {
        hostClient.reserveDescriptors(descriptors);
    }

    /** Takes the last decisions and tells where all stands; what happens from now on waits for the next ones. */
    HandoverSnapshot suspendDecisions(int clients) {
        runRound();
        decisionsSuspended = true;
        return new HandoverSnapshot(listVersion, hostClient.targets(), policy.encodeLearnedState(), hostClient.callsInFlight(),
                clients + hostClient.connections());
    }

    /** Takes decisions again, on what has happened meanwhile first. */
    void resumeDecisions() {
        decisionsSuspended = false;
        addEvent(new Policy.TimerFired(0));
    }

    /** Leaves every further decision to another process, which gets each message as soon as it is at rest. */
    void handOver(SuccessorLink link) {
        successor = link;
        journal.shareDisk(true);
        hostClient.disableKeepAlive();
        List.copyOf(messagesByNumber.values()).forEach(this::offerToSuccessor);
    }

    private void offerToSuccessor(Message message) {
        boolean atRest = message.pendingReply == null && message.nonDelivery == null && !message.finished && !message.hasAttemptsInFlight();
        if (successor != null && atRest) {
            successor.offer(message);
        }
    }

    /** Another process owns a message now. */
    void onHandedOver(Message message) {
        if (message.nonDelivery == null && !message.finished) {
            finishMessage(message);
        }
    }

    /** Tells staff where messages are and what has become of others; nothing while there is nothing to tell. */
    private void logCounters() {
        String counts = counters.formatAndReset();
        if (openMessageCount > 0 || !counts.isEmpty()) {
            Log.write("held " + openMessageCount + ", calls " + attemptsInFlight + " of " + settings.limits().callSlots() + ", "
                    + hostClient.connectionSummary() + mostAwaitedDestination() + (counts.isEmpty() ? "" : "; " + counts));
        }
    }

    /** The figures that operators ask for. */
    String statsJson() {
        return stats.toJson(openMessageCount, hostClient.hostCount(), policy.countUnavailableRoutes(clock.micros()));
    }

    /** The destination that most messages wait for, where many do. */
    private String mostAwaitedDestination() {
        Map<Integer, Integer> waiting = new HashMap<>();
        for (Message message : messagesByNumber.values()) {
            if (!message.hasAttemptsInFlight() && message.nonDelivery == null) {
                waiting.merge(message.content.destination(), 1, Integer::sum);
            }
        }
        return waiting.entrySet().stream().max(Map.Entry.comparingByValue()).filter(most -> most.getValue() > 1)
                .map(most -> ", " + most.getValue() + " wait for destination " + most.getKey()).orElse("");
    }

    boolean isReady() {
        return ready;
    }

    /** True where nothing is owed any more. */
    boolean hasNoMessages() {
        return messagesByNumber.isEmpty();
    }

    /**
     * Begins nothing new from now on: an attempt that the end of the process cuts off may have run, so a
     * message that may take effect only once would be lost by it. What is held waits in the journal.
     */
    void stopNewAttempts() {
        newAttemptsStopped = true;
        addEvent(new Policy.ShutdownStarted());
    }

    /** True where nothing more begins here. */
    boolean hasStoppedNewAttempts() {
        return newAttemptsStopped || decisionsSuspended;
    }

    /** True where no attempt is out and no client waits for an answer. */
    boolean hasNothingInFlight() {
        return attemptsInFlight == 0 && acceptedThisRound.isEmpty();
    }

    /**
     * The terms for a message: null where its class or its tenant is not known, or it lacks the key it needs, or where
     * its destination is not known, unless discovery is still to tell its list.
     */
    Policy.RequestTerms termsFor(Message.Content content) {
        boolean mayBeReached = knownDestinations.contains(content.destination()) || !listReceived;
        return mayBeReached ? requestClasses.termsFor(content, clock.micros()) : null;
    }

    /**
     * Takes a message on, whose bytes may have lain unread since a time, and returns it; its client is answered at
     * the end of the round, so that one who leaves meanwhile is noticed and one whose message ends at once hears
     * that instead. Null where the client has its answer already.
     */
    Message acceptMessage(Message.Content content, Policy.RequestTerms terms, long unreadSince, Message.ClientReply client) {
        Message same = messagesByCallId.get(content.callId());
        if (same != null) {
            // Guards against a client that sends a request once more since its connection closed on it. One
            // whose own client may yet withdraw it, or that is over, is not taken on.
            if (same.pendingReply == null && same.nonDelivery == null && !same.finished) {
                client.sendAccepted();
            } else {
                client.sendFailed();
            }
            return null;
        }
        // Guards against a list from before a restart: a destination may be new since, so this is no failure.
        boolean reachable = knownDestinations.contains(content.destination());
        // Guards against promises that a relay short of CPU can't keep, and against clients that have left by now:
        // what may have lain unread so long is refused at once. It harms where the client has come just now.
        long now = clock.micros();
        boolean behind = now - unreadSince > MAX_READ_DELAY_MICROS;
        long margin = deadlineMargin.marginFor(now, content.deadline() - now);
        Message message = new Message(nextNumber, content.withEarlierDeadline(margin), DeadlineMargin.shortenDeadline(terms, margin));
        message.clientDeadline = content.deadline();
        String obstacle = !ready ? "not ready" : behind ? "behind" : !reachable ? "unknown destination"
                : openMessageCount >= settings.limits().maxOpenRequests() ? "full" : !journal.recordAccepted(message) ? "no disk" : null;
        if (obstacle != null) {
            counters.count("turned away: " + obstacle);
            stats.countRejected(content.requestClass());
            client.sendRejected(RETRY_AFTER_MICROS);
            return null;
        }
        counters.count("taken");
        nextNumber++;
        openMessageCount++;
        message.pendingReply = client;
        indexMessage(message);
        acceptedThisRound.add(message);
        startOverdueTimer(message);
        addEvent(acceptedEvent(message));
        return message;
    }

    private void indexMessage(Message message) {
        messagesByNumber.put(message.number, message);
        messagesByCallId.put(message.content.callId(), message);
    }

    private static Policy.RequestAccepted acceptedEvent(Message message) {
        Message.Content content = message.content;
        return new Policy.RequestAccepted(message.number, content.requestClass(), content.tenant(), content.idempotencyKey(),
                content.deadline(), content.destination(), message.terms);
    }

    /** The client left before its answer: nothing is owed to it. */
    void withdraw(Message message) {
        message.pendingReply = null;
        if (messagesByNumber.containsKey(message.number) && message.nonDelivery == null && !message.finished) {
            counters.count("withdrawn");
            addEvent(new Policy.RequestWithdrawn(message.number));
            finishMessage(message);
        }
    }

    /** Guards against a message that an error in a round has left behind. */
    private void startOverdueTimer(Message message) {
        long delay = message.content.deadline() + OVERDUE_GRACE_MICROS - clock.micros();
        message.overdueTimer = loop.schedule(() -> {
            // Guards against failing what may be refused, only as no round has come to it for want of CPU.
            runRound();
            if (message.nonDelivery == null && !message.finished) {
                Log.write("message " + message.content.callId() + " is overdue");
                endUndelivered(message.number, new Message.NonDelivery(false, 0));
            }
        }, Math.max(OVERDUE_GRACE_MICROS, delay), TimeUnit.MICROSECONDS);
    }

    private void addEvent(Event event) {
        pendingEvents.add(event);
        if (!roundScheduled) {
            roundScheduled = true;
            // Guards, by a whole period, against answering a client whose leaving has come but is not read yet.
            loop.schedule(this::runRound, roundDelayMicros, TimeUnit.MICROSECONDS);
        }
    }

    private void runRound() {
        roundScheduled = false;
        long now = clock.micros();
        List<Message> arrived = acceptedThisRound;
        acceptedThisRound = new ArrayList<>();
        try {
            if (!decisionsSuspended) {
                List<Event> came = pendingEvents;
                pendingEvents = new ArrayList<>();
                policy.onRound(now, came, this);
            }
        } catch (RuntimeException e) {
            // Guards against one bad event that would end the relay and all that it holds.
            Log.write("a round failed: " + e + " at " + List.of(e.getStackTrace()).stream().findFirst().orElse(null));
        }
        for (Message message : arrived) {
            if (message.pendingReply != null) {
                Message.ClientReply client = message.pendingReply;
                message.pendingReply = null;
                client.sendAccepted();
            }
            offerToSuccessor(message);
        }
        sendBatches();
    }

    private void sendBatches() {
        Map<String, List<HostClient.OutgoingAttempt>> batches = new LinkedHashMap<>(outgoingByRoute);
        outgoingByRoute.clear();
        batches.forEach(hostClient::send);
    }

    @Override
    public void startAttempt(long id, String route, long timeout) {
        startAttempt(id, route, timeout, Long.MAX_VALUE);
    }

    @Override
    public void startAttempt(long id, String route, long timeout, long until) {
        Message message = messagesByNumber.get(id);
        if (message == null || message.nonDelivery != null) {
            return;
        }
        long now = clock.micros();
        Message.Attempt attempt = message.addAttempt(route, now);
        message.attemptStarted();
        attemptsInFlight++;
        long left = message.content.deadline() - now;
        if (left <= 0 || !journal.recordAttempt(attempt)) {
            // Guards against an attempt that a restart would know nothing of.
            attemptEnded(attempt, Result.NOT_SENT, false, 0, LimitReport.NONE);
            return;
        }
        outgoingByRoute.computeIfAbsent(route, r -> new ArrayList<>())
                .add(new HostClient.OutgoingAttempt(attempt, timeout > 0 ? Math.min(timeout, left) : left, until));
    }

    @Override
    public void attemptEnded(Message.Attempt attempt, Result result, boolean over, long wait, LimitReport report) {
        Message message = attempt.message;
        counters.count(result.name());
        attempt.result = result;
        message.attemptEnded();
        attemptsInFlight--;
        boolean late = result == Result.OK && clock.micros() > message.clientDeadline;
        if (late) {
            // Guards against a delivery that comes after the time that its client counts: that is none.
            journal.recordResult(attempt);
            endUndelivered(message.number, new Message.NonDelivery(false, 0));
        } else if (over && message.nonDelivery == null && !message.finished) {
            if (result == Result.OK) {
                stats.countCompleted(message.content.requestClass());
            } else {
                stats.countFailed(message.content.requestClass());
            }
            finishMessage(message);
        } else if (!message.finished) {
            journal.recordResult(attempt);
        }
        boolean closed = message.finished || message.nonDelivery != null;
        long elapsed = clock.micros() - attempt.sentAt;
        if (successor == null) {
            addEvent(new Policy.AttemptEnded(message.number, attempt.number, attempt.route, result, closed, wait, elapsed,
                    report));
        } else {
            successor.sendOutcome(attempt.route, result, wait, elapsed, hostClient.callsInFlight());
            offerToSuccessor(message);
        }
        removeIfSettled(message);
    }

    @Override
    public void callWritten(int messages) {
        stats.countWritten(messages);
    }

    @Override
    public void probeEnded(String route, Result result, long wait, long elapsed, LimitReport report) {
        addEvent(new Policy.ProbeEnded(route, result, wait, elapsed, report));
    }

    /** Nothing more is owed for a message, and no notice either. */
    private void finishMessage(Message message) {
        // Guards against timers that hold every message, body and all, until its time is up.
        message.overdueTimer.cancel(false);
        message.finished = true;
        openMessageCount--;
        journal.recordDone(message);
        removeIfSettled(message);
    }

    private void removeIfSettled(Message message) {
        if (message.finished && !message.hasAttemptsInFlight()) {
            messagesByNumber.remove(message.number);
            messagesByCallId.remove(message.content.callId(), message);
        }
    }

    private void endUndelivered(long id, Message.NonDelivery end) {
        Message message = messagesByNumber.get(id);
        if (message == null || message.nonDelivery != null || message.finished) {
            return;
        }
        message.nonDelivery = end;
        if (end.rejected()) {
            counters.count("refused");
            stats.countRejected(message.content.requestClass());
        } else {
            counters.count("failed");
            stats.countFailed(message.content.requestClass());
        }
        if (message.pendingReply == null) {
            message.overdueTimer.cancel(false);
            openMessageCount--;
            journal.recordEnd(message);
            noticeSender.send(message);
            return;
        }
        Message.ClientReply client = message.pendingReply;
        message.pendingReply = null;
        finishMessage(message);
        if (end.rejected()) {
            client.sendRejected(end.retryAfter());
        } else {
            client.sendFailed();
        }
    }

    private void onNoticeAcknowledged(Message message) {
        message.finished = true;
        journal.recordDone(message);
        removeIfSettled(message);
    }

    @Override
    public void updateTargets(Policy.RouteListUpdateType kind, long version, List<Target> targets) {
        targets.forEach(target -> knownDestinations.add(target.listed().destination()));
        hostClient.updateTargets(kind, targets);
        ready = true;
        listVersion = version;
        listReceived |= kind != Policy.RouteListUpdateType.CACHED;
        addEvent(new Policy.RouteListUpdate(kind, version, targets.stream().map(Target::listed).toList()));
    }

    /** Guards, by half of the grace, against a signal that was read late. */
    @Override
    public void listStale(long in) {
        long now = clock.micros();
        addEvent(new Policy.RouteListStale(now, now + in + settings.rules().drainGraceMicros() / 2));
    }

    @Override
    public void cancelAttempt(long id, int attempt) {
        Message message = messagesByNumber.get(id);
        if (message != null && attempt < message.attempts.size()) {
            hostClient.cancel(message.attempts.get(attempt));
        }
    }

    @Override
    public void rejectRequest(long id, long retryIn) {
        endUndelivered(id, new Message.NonDelivery(true, retryIn));
    }

    @Override
    public void failRequest(long id) {
        endUndelivered(id, new Message.NonDelivery(false, 0));
    }

    @Override
    public void setTimer(long name, long delay) {
        loop.schedule(() -> addEvent(new Policy.TimerFired(name)), delay, TimeUnit.MICROSECONDS);
    }

    @Override
    public void sendProbe(String route) {
        hostClient.probe(route);
    }

    @Override
    public void closeIdleConnections(String route) {
        hostClient.closeIdle(route);
    }

    /** Relays on sockets have no way to talk to each other. */
    @Override
    public void sendPeerNote(int relay, byte[] bytes) { }

    /** The watch on discovery runs all the time. */
    @Override
    public void setRouteListSubscription(boolean on) { }

    @Override
    public void fetchRouteList() {
        listRequester.run();
    }

    @Override
    public void log(String text) {
        Log.write(text);
    }
}
