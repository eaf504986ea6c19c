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
 * Drives the decision module: collects events into rounds, passes each round to the module and carries out the
 * actions that the module chooses. The engine owns the table of messages and takes no decision of its own.
 * All its methods run on one event loop.
 */
final class Engine
        implements Policy.Actions, HostClient.ResultListener, Discovery.Listener, PredecessorLink.TakeoverHandler,
        FolderAdoption.MessageOwner {
    /**
     * How long after its deadline a message that the module has left open is ended. The notice of its end then still
     * reaches the platform in time.
     */
    private static final long OVERDUE_GRACE_MICROS = 200_000;
    /** The retry delay sent to a client whose message was not accepted. */
    private static final long RETRY_AFTER_MICROS = 1_000_000;
    /** How long a request may have lain unread and still be accepted. Clients wait 400 ms for their response. */
    private static final long MAX_READ_DELAY_MICROS = 400_000;
    /**
     * Memory that all messages may take. The limit on the disk does not bound it, nor does the limit on open messages:
     * those whose notice is not acknowledged are held as well.
     */
    private static final long MAX_MESSAGE_BYTES = Runtime.getRuntime().maxMemory() / 4;
    private static final long COUNTERS_LOG_INTERVAL_MILLIS = 2000;
    private static final long ROUTE_STATE_WRITE_INTERVAL_MILLIS = 1000;
    /** A timer that the module does not use; its event only starts a round. */
    private static final long UNUSED_TIMER = 0;

    private final EventLoop loop;
    private final Clock clock;
    private final long diskBytes;
    private final Journal journal;
    private final Policy policy;
    private final HostClient hostClient;
    private final NoticeSender noticeSender;
    private final RequestClassRegistry requestClasses;
    private final DeadlineMargin deadlineMargin = new DeadlineMargin();
    /** Every destination that a route list has named since the start of the process. */
    private final Set<Integer> knownDestinations = new HashSet<>();
    /** Messages that are not settled, by their number in this process's journal, oldest first. */
    private final Map<Long, Message> messagesByNumber = new LinkedHashMap<>();
    private final SubmittedCallIds callIds;
    /** Attempts that the current round starts; they are sent at its end, those of one route together. */
    private final Map<String, List<HostClient.OutgoingAttempt>> outgoingByRoute = new LinkedHashMap<>();
    private final IntervalCounters counters = new IntervalCounters();
    private final Stats stats = new Stats();
    private Policy.Settings settings;
    /** The process folder; set by {@link #start}. */
    private Path ownFolder;
    /** Bytes of disk to reserve for the two files of the process folder beside the journal. */
    private long routeStateFileBytes;
    private long termsFileBytes;
    /** Time from the first event of a round until the round runs. */
    private long roundDelayMicros;
    /** Events for the next round, in order of arrival. */
    private List<Event> pendingEvents = new ArrayList<>();
    /** Messages accepted since the last round; their clients are answered at the end of the next one. */
    private List<Message> acceptedThisRound = new ArrayList<>();
    private long nextNumber;
    /** Messages that are neither delivered nor ended undelivered. */
    private int openMessageCount;
    private int attemptsInFlight;
    private boolean roundScheduled;
    /** False until this process listens for clients; before, an older process may take the decisions. */
    private boolean decisionsStarted;
    /** True while a newer process takes the decisions; events are then kept for a later round. */
    private boolean decisionsSuspended;
    /** True once this process is about to end and starts no more attempts. */
    private boolean newAttemptsStopped;
    /** The process that takes over from this one; null until it listens for clients. */
    private SuccessorLink successor;
    /** Version of the last route list; -1 if there is none. */
    private long listVersion = -1;
    /** True once there is a route list, from discovery or from before the start. */
    private boolean ready;
    /** True once discovery itself has sent a list, so that destinations not in it are unknown. */
    private boolean listReceived;
    /** Makes discovery fetch the list sooner than scheduled. */
    private Runnable listRequester = () -> { };

    Engine(EventLoop loop, Clock clock, Config config, Journal journal,
            Function<Policy.Settings, Policy> policyFactory) {
        this.loop = loop;
        this.clock = clock;
        diskBytes = config.diskBytes();
        settings = config.settings();
        roundDelayMicros = config.roundDelayMicros();
        this.journal = journal;
        callIds = new SubmittedCallIds(clock, journal.settledCallIds());
        policy = policyFactory.apply(config.settings());
        hostClient = new HostClient(loop, clock, config, this);
        noticeSender = new NoticeSender(loop, new AgentClient(loop, config.discoveryAddress()),
                this::onNoticeAcknowledged);
        requestClasses = new RequestClassRegistry(settings);
        stats.registerClasses(requestClasses.classNames());
        nextNumber = journal.nextMessageNumber();
    }

    /** Sets what is run to make discovery fetch the route list sooner than scheduled. */
    void setListRequester(Runnable requester) {
        listRequester = requester;
    }

    /** Replaces all settings. Messages accepted from now on are handled by the new ones. */
    void reconfigure(Config newConfig) {
        settings = newConfig.settings();
        roundDelayMicros = newConfig.roundDelayMicros();
        requestClasses.update(settings, clock.micros());
        writeTerms();
        stats.registerClasses(requestClasses.classNames());
        stats.countReload();
        hostClient.applySettings(newConfig);
        noticeSender.moveTo(newConfig.discoveryAddress());
        addEvent(new Policy.SettingsChanged(settings));
    }

    /** The event loop has just stalled for {@code stallMicros}. */
    void onLoopStall(long stallMicros) {
        deadlineMargin.recordStall(clock.micros(), stallMicros);
    }

    /** A new configuration was invalid and is not used. */
    void onReloadFailed() {
        stats.countReloadError();
    }

    /**
     * Restores the route list known from before ({@code knownTargets} may be empty), what an earlier process learned of
     * its routes, the terms of earlier settings that clients may still use, and the unfinished messages of the journal.
     * {@code otherFolders} are the process folders of other processes, which run or have ended.
     */
    void start(long knownVersion, List<Target> knownTargets, Path stateFolder, List<Path> otherFolders) {
        ownFolder = stateFolder;
        addStoredTerms(stateFolder);
        otherFolders.forEach(this::addStoredTerms);
        writeTerms();
        loop.scheduleAtFixedRate(this::logCounters, COUNTERS_LOG_INTERVAL_MILLIS, COUNTERS_LOG_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
        if (!knownTargets.isEmpty()) {
            updateTargets(Policy.RouteListUpdateType.CACHED, knownVersion, knownTargets);
        }
        byte[] learnedState = RouteStateFile.read(stateFolder, clock.micros(), diskBytes);
        if (learnedState != null) {
            addEvent(new Policy.LearnedStateRestored(learnedState, 0));
            addEvent(new Policy.PredecessorEnded());
        }
        loop.scheduleAtFixedRate(() -> writeRouteState(stateFolder), ROUTE_STATE_WRITE_INTERVAL_MILLIS,
                ROUTE_STATE_WRITE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        for (Message message : journal.unfinishedMessages()) {
            indexMessage(message);
            resumeMessage(message);
        }
    }

    private void writeRouteState(Path stateFolder) {
        // While another process takes the decisions, this one learns nothing more: its state would be written with the
        // current time although it is out of date.
        if (decisionsStarted && !decisionsSuspended) {
            routeStateFileBytes =
                    RouteStateFile.write(stateFolder, policy.encodeLearnedState(), clock.micros(), diskBytes);
            journal.budget().reserveForOtherFiles(routeStateFileBytes + termsFileBytes);
        }
    }

    /** Follows the terms that a process has left in its folder, as far as they still bind. */
    private void addStoredTerms(Path processFolder) {
        TermsHistory.Snapshot stored = TermsFile.read(processFolder);
        if (stored != null) {
            requestClasses.history().addFrom(stored, clock.micros());
        }
    }

    private void writeTerms() {
        termsFileBytes = TermsFile.write(ownFolder, requestClasses.history().snapshot(clock.micros()));
        journal.budget().reserveForOtherFiles(routeStateFileBytes + termsFileBytes);
    }

    /** Continues a message of another process: sends its notice if its end is decided, else continues its delivery. */
    private void resumeMessage(Message message) {
        message.owned = true;
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
                .map(attempt -> new Policy.PastAttempt(attempt.route, attempt.sentAt, attempt.result)).toList()));
    }

    @Override
    public void adoptFolder(StateFolder.LockedFolder lockedFolder) throws IOException {
        new FolderAdoption(loop, clock, journal, this, lockedFolder).start(diskBytes);
        addEvent(new Policy.PredecessorEnded());
    }

    @Override
    public Message registerIfUnknown(Message message) {
        return callIds.isKnown(message.content.callId()) ? null : register(message);
    }

    /** Gives a message of another process a number of this one. A client that resends it is answered from now on. */
    private Message register(Message message) {
        Message renumbered = message.withNumber(nextNumber++);
        indexMessage(renumbered);
        return renumbered;
    }

    @Override
    public Message receiveMessage(byte[] records) throws IOException {
        return registerIfUnknown(Journal.unpack(records));
    }

    @Override
    public boolean storeMessage(Message message) {
        return journal.recordAdopted(List.of(message));
    }

    @Override
    public void dropMessage(Message message) {
        messagesByNumber.remove(message.number);
        callIds.returnToPredecessor(message);
    }

    @Override
    public void takeOwnership(Message message) {
        resumeMessage(message);
        offerToSuccessor(message);
    }

    @Override
    public void applySnapshot(Path predecessorFolder, HandoverSnapshot snapshot) {
        journal.budget().shareWithRunning(predecessorFolder);
        if (!listReceived && !snapshot.targets().isEmpty()) {
            updateTargets(Policy.RouteListUpdateType.CACHED, snapshot.listVersion(), snapshot.targets());
        }
        callIds.addOfPredecessor(snapshot.callIds());
        if (snapshot.terms() != null) {
            requestClasses.history().addFrom(snapshot.terms(), clock.micros());
            writeTerms();
        }
        addEvent(new Policy.LearnedStateRestored(snapshot.learnedState(), snapshot.callsInFlight()));
    }

    @Override
    public void onPredecessorOutcome(String route, Result result, long retryAfterMicros, long elapsedMicros,
            int predecessorCallsInFlight) {
        if (retryAfterMicros > 0) {
            hostClient.applyRetryAfter(route, retryAfterMicros);
        }
        addEvent(new Policy.PredecessorCallEnded(route, result, retryAfterMicros, elapsedMicros,
                predecessorCallsInFlight));
    }

    void reserveDescriptors(int descriptors) {
        hostClient.reserveDescriptors(descriptors);
    }

    /**
     * Runs a last round and returns the state that another process needs to take the decisions. Later events are kept
     * for the round after {@link #resumeDecisions}.
     */
    HandoverSnapshot suspendDecisions(int clientConnections) {
        runRound();
        decisionsSuspended = true;
        return new HandoverSnapshot(listVersion, hostClient.targets(), policy.encodeLearnedState(),
                hostClient.callsInFlight(), clientConnections + hostClient.connectionCount(),
                requestClasses.history().snapshot(clock.micros()), callIds.entries());
    }

    /** Takes decisions from now on, starting with a round for the events that were kept. */
    void startDecisions() {
        decisionsStarted = true;
        addEvent(new Policy.TimerFired(UNUSED_TIMER));
    }

    /** Takes decisions again, starting with a round for the events that were kept. */
    void resumeDecisions() {
        decisionsSuspended = false;
        addEvent(new Policy.TimerFired(UNUSED_TIMER));
    }

    /**
     * Leaves all further decisions to another process. It gets each message as soon as nothing in this process still
     * depends on it: see {@link #offerToSuccessor}.
     */
    void handOver(SuccessorLink link) {
        successor = link;
        journal.budget().startHandover();
        hostClient.disableKeepAlive();
        List.copyOf(messagesByNumber.values()).forEach(this::offerToSuccessor);
    }

    /**
     * Offers a message that this process owns, whose end is not decided, whose client has its response, and that has no
     * attempt in flight.
     */
    private void offerToSuccessor(Message message) {
        boolean transferable = message.owned && message.pendingReply == null && message.nonDelivery == null
                && !message.finished && !message.hasAttemptsInFlight();
        if (successor != null && transferable) {
            successor.offer(message);
        }
    }

    /** Another process owns a message now. */
    void onHandedOver(Message message) {
        if (message.nonDelivery == null && !message.finished) {
            message.handedOver = true;
            finishMessage(message);
        }
    }

    /** Logs how many messages are open and what was counted since the last line, unless both are zero. */
    private void logCounters() {
        String counts = counters.formatAndReset();
        if (openMessageCount > 0 || !counts.isEmpty()) {
            Log.write("held " + openMessageCount + ", calls " + attemptsInFlight + " of "
                    + settings.limits().callSlots() + ", " + hostClient.connectionSummary() + mostAwaitedDestination()
                    + (counts.isEmpty() ? "" : "; " + counts));
        }
    }

    /** The totals since the start of the process and the current figures, for operators. */
    String statsJson() {
        return stats.toJson(openMessageCount, hostClient.hostCount(), policy.countUnavailableRoutes(clock.micros()));
    }

    /** Log text that names the destination that most messages wait for; empty if no two wait for the same one. */
    private String mostAwaitedDestination() {
        Map<Integer, Integer> waitingByDestination = new HashMap<>();
        for (Message message : messagesByNumber.values()) {
            if (!message.hasAttemptsInFlight() && message.nonDelivery == null) {
                waitingByDestination.merge(message.content.destination(), 1, Integer::sum);
            }
        }
        return waitingByDestination.entrySet().stream().max(Map.Entry.comparingByValue())
                .filter(entry -> entry.getValue() > 1)
                .map(entry -> ", " + entry.getValue() + " wait for destination " + entry.getKey()).orElse("");
    }

    /** True once a route list is known, so that messages can be accepted. */
    boolean isReady() {
        return ready;
    }

    /** True if this process holds no message: no delivery, response or notice is outstanding. */
    boolean hasNoMessages() {
        return messagesByNumber.isEmpty();
    }

    /**
     * Starts no more attempts. An attempt that is cut off by the end of the process may have been executed, so a
     * message that may take effect only once could not be delivered any more. Open messages stay in the journal.
     */
    void stopNewAttempts() {
        newAttemptsStopped = true;
        addEvent(new Policy.ShutdownStarted());
    }

    /** True if this process starts no more attempts. */
    boolean hasStoppedNewAttempts() {
        return newAttemptsStopped || decisionsSuspended;
    }

    /** True if no attempt is in flight and no client of an accepted message waits for its response. */
    boolean hasNothingInFlight() {
        return attemptsInFlight == 0 && acceptedThisRound.isEmpty();
    }

    /**
     * The terms on which a message is accepted. Null if its class or tenant is unknown, if it lacks the idempotency
     * key that its class needs, or if discovery has sent its list and the destination is unknown.
     */
    Policy.RequestTerms termsFor(Message.Content content) {
        boolean destinationMayExist = knownDestinations.contains(content.destination()) || !listReceived;
        return destinationMayExist ? requestClasses.termsFor(content, clock.micros()) : null;
    }

    /**
     * Accepts a message and returns it, or answers the client at once and returns null. {@code unreadSince} is the
     * earliest time at which the bytes that are read now can have arrived. The client of an accepted message is
     * answered at the end of the round. If it disconnects before that, the message is withdrawn; if the message ends
     * in that round, the response says so.
     */
    Message acceptMessage(Message.Content content, Policy.RequestTerms terms, long unreadSince,
            Message.ClientReply reply) {
        Message existing = callIds.find(content.callId());
        withdrawIfClientLeft(existing);
        CallIdHistory.Answer known = callIds.answerFor(content.callId());
        if (known != null) {
            answerRepetition(existing, known, reply);
            return null;
        }
        // A list from before a restart may lack a newer destination, so the client gets a rejection and may retry.
        boolean destinationKnown = knownDestinations.contains(content.destination());
        // Rejects a request that may have lain unread too long: a relay so short of CPU can't deliver what it accepts,
        // and the client may have stopped waiting. A request that has only just arrived can be rejected too, as
        // nothing but its earliest possible arrival is known.
        long now = clock.micros();
        boolean unreadTooLong = now - unreadSince > MAX_READ_DELAY_MICROS;
        long margin = deadlineMargin.marginFor(now, content.deadline() - now);
        Message message = new Message(nextNumber, content.withEarlierDeadline(margin),
                DeadlineMargin.shortenDeadline(terms, margin));
        message.clientDeadline = content.deadline();
        String rejectionReason = !ready ? "not ready" : unreadTooLong ? "behind"
                : !destinationKnown ? "unknown destination"
                : openMessageCount >= settings.limits().maxOpenRequests() ? "full"
                : journal.unfinishedBytes() + content.body().length > MAX_MESSAGE_BYTES ? "message memory"
                : !journal.recordAccepted(message) ? "no disk" : null;
        if (rejectionReason != null) {
            countTurnedAway(rejectionReason);
            stats.countRejected(content.requestClass());
            reply.sendRejected(RETRY_AFTER_MICROS);
            return null;
        }
        counters.count("taken");
        nextNumber++;
        openMessageCount++;
        message.pendingReply = reply;
        message.owned = true;
        indexMessage(message);
        acceptedThisRound.add(message);
        startOverdueTimer(message);
        addEvent(acceptedEvent(message));
        return message;
    }

    /** Withdraws a message whose client has left before its response, which may not have been noticed yet. */
    private void withdrawIfClientLeft(Message message) {
        if (message != null && message.pendingReply != null && message.pendingReply.hasClientLeft()) {
            withdraw(message);
        }
    }

    /** Answers a client that submits a message again; {@code existing} is null if the message is settled. */
    private void answerRepetition(Message existing, CallIdHistory.Answer answer, Message.ClientReply reply) {
        counters.count("submitted again");
        if (answer == CallIdHistory.Answer.FAILED) {
            reply.sendFailed();
            return;
        }
        if (existing != null) {
            existing.confirmedAgain = true;
        }
        reply.sendAccepted();
    }

    /** Counts a request that is not accepted. */
    void countTurnedAway(String reason) {
        counters.count("turned away: " + reason);
    }

    private void indexMessage(Message message) {
        messagesByNumber.put(message.number, message);
        callIds.add(message);
    }

    private static Policy.RequestAccepted acceptedEvent(Message message) {
        Message.Content content = message.content;
        return new Policy.RequestAccepted(message.number, content.requestClass(), content.tenant(),
                content.idempotencyKey(), content.deadline(), content.destination(), message.terms);
    }

    /**
     * The client disconnected before its response: its message is dropped, unless its end is decided, or the client has
     * read on another connection that it is accepted.
     */
    void withdraw(Message message) {
        message.pendingReply = null;
        boolean open = messagesByNumber.containsKey(message.number) && message.nonDelivery == null
                && !message.finished;
        if (open && !message.confirmedAgain) {
            counters.count("withdrawn");
            message.withdrawn = true;
            addEvent(new Policy.RequestWithdrawn(message.number));
            finishMessage(message);
        }
    }

    /** Ends a message that the module has left open past its deadline, for example after an error in a round. */
    private void startOverdueTimer(Message message) {
        long delay = message.content.deadline() + OVERDUE_GRACE_MICROS - clock.micros();
        message.overdueTimer = loop.schedule(() -> {
            // Lack of CPU may have delayed the round in which the module would have rejected the message. A rejected
            // message can safely be submitted again, a failed one can't, so the round runs first.
            runRound();
            if (message.nonDelivery == null && !message.finished) {
                Log.write("message " + message.content.callId()
                        + " is still open after its deadline; it ends as failed");
                endUndelivered(message.number, new Message.NonDelivery(false, 0));
            }
        }, Math.max(OVERDUE_GRACE_MICROS, delay), TimeUnit.MICROSECONDS);
    }

    private void addEvent(Event event) {
        pendingEvents.add(event);
        if (!roundScheduled) {
            roundScheduled = true;
            // A client's disconnection may have arrived and not been read yet. The round waits for the full delay, so
            // that the disconnection is read before the client would be answered.
            loop.schedule(this::runRound, roundDelayMicros, TimeUnit.MICROSECONDS);
        }
    }

    /** Passes the pending events to the module, then answers the clients of new messages and sends the attempts. */
    private void runRound() {
        roundScheduled = false;
        long now = clock.micros();
        List<Message> accepted = acceptedThisRound;
        acceptedThisRound = new ArrayList<>();
        try {
            if (decisionsStarted && !decisionsSuspended) {
                List<Event> events = pendingEvents;
                pendingEvents = new ArrayList<>();
                policy.onRound(now, events, this);
            }
        } catch (RuntimeException e) {
            // One bad event must not end the relay and with it the delivery of all its messages.
            Log.write("a decision round failed, the relay goes on: " + e + " at "
                    + List.of(e.getStackTrace()).stream().findFirst().orElse(null));
        }
        for (Message message : accepted) {
            if (message.pendingReply != null) {
                Message.ClientReply reply = message.pendingReply;
                message.pendingReply = null;
                reply.sendAccepted();
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
    public void startAttempt(long id, String route, long timeout, long sendDeadline) {
        Message message = messagesByNumber.get(id);
        if (message == null || message.nonDelivery != null) {
            return;
        }
        long now = clock.micros();
        Message.Attempt attempt = message.addAttempt(route, now);
        message.attemptStarted();
        attemptsInFlight++;
        long remainingMicros = message.content.deadline() - now;
        if (remainingMicros <= 0) {
            attemptEnded(attempt, Result.NOT_SENT, false, 0, LimitReport.NONE);
            return;
        }
        outgoingByRoute.computeIfAbsent(route, r -> new ArrayList<>())
                .add(new HostClient.OutgoingAttempt(attempt,
                        timeout > 0 ? Math.min(timeout, remainingMicros) : remainingMicros, sendDeadline));
    }

    /**
     * Records an attempt in the journal. One that is not in it is not sent: after a restart the relay would not know of
     * it. One that is not sent is not in it without its result: after a restart it would count as one that may have run.
     */
    @Override
    public boolean recordAttempt(Message.Attempt attempt) {
        Message message = attempt.message;
        return message.nonDelivery == null && !message.finished && journal.recordAttempt(attempt);
    }

    @Override
    public void attemptEnded(Message.Attempt attempt, Result result, boolean endsMessage, long retryAfterMicros,
            LimitReport report) {
        Message message = attempt.message;
        counters.count(result.name());
        attempt.result = result;
        message.attemptEnded();
        attemptsInFlight--;
        boolean late = result == Result.OK && clock.micros() > message.clientDeadline;
        if (late) {
            // A delivery after the client's deadline does not count as one: the message has failed.
            journal.recordResult(attempt);
            endUndelivered(message.number, new Message.NonDelivery(false, 0));
        } else if (endsMessage && message.nonDelivery == null && !message.finished) {
            if (result == Result.OK) {
                stats.countCompleted(message.content.requestClass());
            } else {
                stats.countFailed(message.content.requestClass());
            }
            finishMessage(message);
        } else if (!message.finished) {
            journal.recordResult(attempt);
        }
        boolean requestClosed = message.finished || message.nonDelivery != null;
        long elapsedMicros = clock.micros() - attempt.sentAt;
        if (successor == null) {
            addEvent(new Policy.AttemptEnded(message.number, attempt.number, attempt.route, result, requestClosed,
                    retryAfterMicros, elapsedMicros, report));
        } else {
            successor.sendOutcome(attempt.route, result, retryAfterMicros, elapsedMicros, hostClient.callsInFlight());
            offerToSuccessor(message);
        }
        removeIfSettled(message);
    }

    @Override
    public void callWritten(int messages) {
        stats.countWritten(messages);
    }

    @Override
    public void probeEnded(String route, Result result, long retryAfterMicros, long elapsedMicros, LimitReport report) {
        addEvent(new Policy.ProbeEnded(route, result, retryAfterMicros, elapsedMicros, report));
    }

    /** Closes a message for which neither a delivery nor a notice is outstanding. */
    private void finishMessage(Message message) {
        // A running timer would keep the message and its body in memory until its deadline.
        message.overdueTimer.cancel(false);
        message.finished = true;
        openMessageCount--;
        recordDone(message);
        removeIfSettled(message);
    }

    private void recordDone(Message message) {
        journal.recordDone(message, message.handedOver ? null : SubmittedCallIds.answerAfterSettlement(message));
    }

    /** Forgets a message once it is finished and its last attempt has ended. */
    private void removeIfSettled(Message message) {
        if (message.finished && !message.hasAttemptsInFlight() && messagesByNumber.containsKey(message.number)) {
            messagesByNumber.remove(message.number);
            callIds.settle(message);
        }
    }

    /**
     * Ends a message without delivery, unless its end is decided. A client that still waits gets the end as its
     * response; otherwise the platform gets a notice.
     */
    private void endUndelivered(long id, Message.NonDelivery nonDelivery) {
        Message message = messagesByNumber.get(id);
        if (message == null || message.nonDelivery != null || message.finished) {
            return;
        }
        message.nonDelivery = nonDelivery;
        if (nonDelivery.rejected()) {
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
        Message.ClientReply reply = message.pendingReply;
        message.pendingReply = null;
        finishMessage(message);
        if (nonDelivery.rejected()) {
            reply.sendRejected(nonDelivery.retryAfterMicros());
        } else {
            reply.sendFailed();
        }
    }

    /** The platform has received the notice of a message's end. */
    private void onNoticeAcknowledged(Message message) {
        message.finished = true;
        recordDone(message);
        removeIfSettled(message);
    }

    @Override
    public void updateTargets(Policy.RouteListUpdateType type, long version, List<Target> targets) {
        targets.forEach(target -> knownDestinations.add(target.listed().destination()));
        hostClient.updateTargets(type, targets);
        ready = true;
        listVersion = version;
        listReceived |= type != Policy.RouteListUpdateType.CACHED;
        addEvent(new Policy.RouteListUpdate(type, version, targets.stream().map(Target::listed).toList()));
    }

    /**
     * A list with the current changes counts as delivered in {@code dueInMicros}. Routes that drain may be used for
     * the drain grace after that. Half of the grace is kept in reserve for a reload signal that was read late.
     */
    @Override
    public void listStale(long dueInMicros) {
        long now = clock.micros();
        addEvent(new Policy.RouteListStale(now, now + dueInMicros + settings.rules().drainGraceMicros() / 2));
    }

    @Override
    public void cancelAttempt(long id, int attempt) {
        Message message = messagesByNumber.get(id);
        if (message != null && attempt < message.attempts.size()) {
            hostClient.cancel(message.attempts.get(attempt));
        }
    }

    @Override
    public void rejectRequest(long id, long retryAfterMicros) {
        endUndelivered(id, new Message.NonDelivery(true, retryAfterMicros));
    }

    @Override
    public void failRequest(long id) {
        endUndelivered(id, new Message.NonDelivery(false, 0));
    }

    @Override
    public void setTimer(long timer, long delayMicros) {
        loop.schedule(() -> addEvent(new Policy.TimerFired(timer)), delayMicros, TimeUnit.MICROSECONDS);
    }

    @Override
    public void sendProbe(String route) {
        hostClient.probe(route);
    }

    @Override
    public void closeIdleConnections(String route) {
        hostClient.closeIdle(route);
    }

    /** Does nothing: relays on sockets send no notes to each other. */
    @Override
    public void sendPeerNote(int relay, byte[] bytes) { }

    /** Does nothing: {@link Discovery} always keeps the route list up to date. */
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
