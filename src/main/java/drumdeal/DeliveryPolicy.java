// The interface is in Policy.java: settings, events and actions. docs/design.md explains the mechanism.
package drumdeal;

import drumdeal.DeliveryState.*;
import java.nio.ByteBuffer;
import java.util.*;

/** Every decision of a relay: which route, when, how long, and whether to hold, refuse or fail. */
public final class DeliveryPolicy implements Policy {
    // Circuit.
    private static final int FAILURES_TO_OPEN = 3; // the source's
    private static final double CALLS_PER_FAILURE = 2; // calls in ten seconds that ask for one failure more
    private static final long MIN_OPEN_MICROS = 2_000_000; // outages last seconds
    private static final long TRIAL_SPACING_MICROS = 1_000_000; // between tests when all relays test one destination
    private static final double JITTER_RATIO = 1; // those that learned the same at once don't return at once
    private static final double UNHEALTHY_ERROR_RATIO = 0.5; // the source's error rate, which also opens
    private static final double MOVING_AVERAGE_WEIGHT = 0.2; // about the last five calls count

    // Score.
    private static final double MAX_SCORE_GAP = 20; // the source's span of the draw
    private static final long FAST_RESPONSE_MICROS = 1_000_000; // the source's bonus
    private static final long SLOW_RESPONSE_MICROS = 5_000_000; // the source's penalty
    private static final double SLOW_RESPONSE_RATIO = 3; // times the destination's best that count as sluggish
    private static final double MAX_ZONE_BONUS = 8; // tilts the draw to near or cheap routes, can't decide it

    // Pace.
    private static final double PACING_GROWTH_RATIO_PER_SECOND = 0.1; // the source's, at first
    private static final double PACING_GROWTH_GAIN_PER_SECOND = 1; // more by each second: what was cut may have room again
    private static final double PACING_REGAIN_RATIO_PER_SECOND = 1; // doubling each second, to what was refused last
    private static final double PACING_REGAIN_SHARE = 0.8; // of that: the rest is for slow growth to find
    private static final double MAX_GROWTH_RATIO_PER_SERVED_CALL = 0.05; // at most by one serve
    private static final double MAX_REGAIN_RATIO_PER_SERVED_CALL = 0.25; // likewise, to what was refused last
    private static final double MIN_PACING_CUT_RATIO = 0.5; // at most, where next to nothing is served
    private static final double MIN_FLEET_CALLS_PER_SECOND = 3; // of all relays, after refusals
    private static final long MAX_GROWTH_SPAN_MICROS = 2_000_000; // one serve after a long rest proves little
    private static final long MIN_CUT_INTERVAL_MICROS = 500_000; // refusals so soon after a cut were sent before it
    private static final long CONNECTION_BACKOFF_MICROS = 100_000; // about a call: a connection may be free after it
    private static final int MAX_CONNECTION_BACKOFF_DOUBLINGS = 4; // at most
    private static final long OUTAGE_RETRY_AFTER_MICROS = 2_500_000; // longer than a counting window: the destination is shut
    private static final long OUTAGE_REFUSAL_SPAN_MICROS = 3_000_000; // refusals without a serve for so long: as good as shut

    // Release after an outage.
    private static final double SLOW_START_MARGIN_RATIO = 0.9; // of the rule's budget
    private static final double MIN_FLEET_SLOW_START_PER_SECOND = 0.75; // of all relays where nothing else is known
    private static final double ROUGH_RATE_DIVISOR = 1.5; // a rough rate may be half too high

    // Time-outs and silence.
    private static final long MIN_TIMEOUT_MICROS = 4_000_000; // slow calls must not be sent twice
    private static final long MIN_OVERDUE_MICROS = 2_500_000; // later than most goals
    private static final double OVERDUE_RATIO = 8; // times the usual response: work varies that much
    private static final long MIN_CANCEL_AGE_MICROS = 1_000_000; // others want the slot and another attempt may follow
    private static final long MIN_LOSSY_CANCEL_AGE_MICROS = 400_000; // and answers get lost
    private static final double CANCEL_AGE_RATIO = 5;
    private static final long MIN_TRIAL_TIMEOUT_MICROS = 1_500_000; // a longer test has told enough
    private static final double TRIAL_TIMEOUT_RATIO = 4; // where the usual response is long
    private static final double MAX_TIMEOUT_SHARE = 0.7; // of the longest deadline, or of its own
    private static final long INITIAL_RESPONSE_MICROS = 400_000; // response before the first answer
    private static final long STALE_RESPONSE_MICROS = 5_000_000; // a response so old says nothing of now

    // Overload.
    private static final double OVERLOAD_EXPIRED_SHARE = 0.02; // of a destination's messages that run out of time
    private static final double MIN_SIGNIFICANT_LOSSES = 3; // in ten seconds: fewer say little

    // Slots.
    private static final double MAX_SLOT_SHARE = 0.5; // of one destination
    private static final double MAX_SCARCE_SLOT_SHARE = 0.2; // of a slow one, and of any while few slots are left
    private static final double SLOTS_SCARCE_FROM_SHARE = 0.75; // of the slots out: those left are for other destinations

    // Restarts.
    private static final long RESUMED_CALL_LEAD_MICROS = 1_000_000; // before its end what a restart found is called
    private static final double RESUMED_CALL_LEAD_RATIO = 2; // where the usual response is long
    private static final long RESTART_MICROS = 3_500_000; // until the next process can call

    // Notes.
    private static final long COORDINATION_MICROS = 10_000_000; // how long trouble told of makes all ask for turns
    private static final long TOKEN_TIMEOUT_MICROS = 8_000_000; // a turn so late is lost: a relay goes by its own pace
    private static final double COORDINATOR_CUT_RATIO = 0.8; // gentle, as a keeper hears the refusals of all
    private static final double MAX_LIMIT_RATIO = 2; // a rough rate may be this much too low

    private static final long RATE_TIME_CONSTANT_MICROS = DecayingRate.DEFAULT_TIME_CONSTANT_MICROS; // a relay may call a destination once in so long
    private static final double MIN_OBSERVED_SHARE = 0.4; // of a span: a first burst is not what is usual
    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final long WAITING_HORIZON_MICROS = 2_000_000; // what those that wait now may wait longer
    private static final long WAKE_UP_TIMER = 1; // timer of whatever is due next
    private static final long SUBSCRIBE_TIMER = 2; // timer of the list
    private static final long SUBSCRIBE_RETRY_MICROS = 3_000_000; // far within the span of the rule

    private Settings settings;
    private final SplittableRandom random;
    private final Map<String, RequestClass> classes = new HashMap<>();
    private final Map<String, DestinationKind> kinds = new HashMap<>();
    private final Map<String, Route> routes = new LinkedHashMap<>();
    private final Map<Integer, Destination> destinations = new LinkedHashMap<>();
    private final Map<Integer, LimitGroup> groups = new HashMap<>();
    private final Set<LimitGroup> coordinatedGroups = new LinkedHashSet<>();
    private final Map<Long, Request> requests = new HashMap<>();
    private final Map<String, KeyQueue> keyQueues = new HashMap<>();
    private static final Comparator<Request> BY_EXPIRY =
            Comparator.<Request>comparingLong(r -> r.expiresAt).thenComparingLong(r -> r.id);
    private final TreeSet<Request> requestsByExpiry = new TreeSet<>(BY_EXPIRY);
    private final ResumedRequests resumedRequests = new ResumedRequests();
    /** Destinations with messages waiting: a round costs what these cost, however many are known. */
    private final Set<Destination> waitingDestinations = new LinkedHashSet<>();
    /** Calls out, oldest first; each takes a slot. */
    private final Set<Call> callsInFlight = new LinkedHashSet<>();
    /** Calls out for long by their route's measure: those answered after all, and those never. */
    private final DecayingRate lateAnswerRate = new DecayingRate(0);
    private final DecayingRate lostAnswerRate = new DecayingRate(0);
    private long longestTimeLimitMicros;
    private long now;
    private Actions actions;
    private int openRequestCount;
    /** Calls out at another process of this relay that this one takes over from; they hold slots. */
    private int predecessorCallsInFlight;
    private long wakeUpAt = Long.MAX_VALUE;
    private boolean subscriptionRequested;
    private boolean shuttingDown;
    /** Since when there is news that was not heard, and from when on it counts as told. */
    private long listStaleSince;
    private long listExpiresAt = Long.MAX_VALUE;

    /** A module that starts knowing only its settings. */
    public DeliveryPolicy(Settings settings) {
        random = new SplittableRandom(settings.seed());
        applySettings(settings);
    }

    /** Takes settings whole; what requests were accepted under and what routes have shown stays. */
    private void applySettings(Settings newSettings) {
        settings = newSettings;
        classes.clear();
        newSettings.classes().forEach(requestClass -> classes.put(requestClass.name(), requestClass));
        longestTimeLimitMicros =
                newSettings.classes().stream().mapToLong(RequestClass::timeLimitMicros).max().orElseThrow();
        kinds.clear();
        newSettings.kinds().forEach(kind -> kinds.put(kind.name(), kind));
        routes.values().forEach(route -> route.zoneBonus = zoneBonus(route.zone));
    }

    @Override
    public void onRound(long now, List<Event> events, Actions actions) {
        this.now = now;
        this.actions = actions;
        subscribeIfRequired();
        for (Event event : events) {
            handle(event);
        }
        endExpired();
        if (!events.stream().allMatch(DeliveryPolicy::isCoordinationStart)) {
            if (!shuttingDown) {
                dispatch();
            }
            scheduleWakeUp();
        }
    }

    /** What drains, has an open circuit or told to wait; not what only waits for its pace or a slot. */
    @Override
    public int countUnavailableRoutes(long now) {
        return (int) routes.values().stream().filter(r -> r.inRouteList)
                .filter(r -> !r.listedInService || now < r.group.retryAfterUntil || isCircuitTripped(r))
                .count();
    }

    /** Guards against a fleet whose every guard costs every relay a round's work: it lets nothing new go. */
    private static boolean isCoordinationStart(Event event) {
        return event instanceof PeerNote e && e.payload().length > 0
                && PeerNoteType.fromOrdinal(e.payload()[0]) == PeerNoteType.COORDINATION_START;
    }

    private void handle(Event event) {
        if (event instanceof RequestAccepted e) {
            onRequestAccepted(e);
        } else if (event instanceof RequestResumed e) {
            onRequestResumed(e);
        } else if (event instanceof AttemptEnded e) {
            onAttemptEnded(e);
        } else if (event instanceof RequestWithdrawn e) {
            Optional.ofNullable(requests.get(e.id())).filter(r -> !r.done).ifPresent(this::finish);
        } else if (event instanceof TimerFired e) {
            onTimerFired(e.timer());
        } else if (event instanceof RouteListUpdate e) {
            onRouteListUpdate(e);
        } else if (event instanceof RouteListStale e) {
            listStaleSince = e.staleSince();
            listExpiresAt = e.expiresAt();
        } else if (event instanceof ShutdownStarted) {
            shuttingDown = true;
        } else if (event instanceof ProbeEnded e) {
            onProbeEnded(e);
        } else if (event instanceof SettingsChanged e) {
            applySettings(e.settings());
        } else if (event instanceof LearnedStateRestored e) {
            LearnedStateCodec.restore(e.learnedState(), destinations, groups, routes);
            predecessorCallsInFlight = e.predecessorCallsInFlight();
        } else if (event instanceof PredecessorCallEnded e) {
            onPredecessorCallEnded(e);
        } else if (event instanceof PredecessorEnded) {
            predecessorCallsInFlight = 0;
            routes.values().forEach(this::clearPredecessorTrial);
        } else if (event instanceof PeerNote e && e.payload().length == Integer.BYTES + 1) {
            ByteBuffer note = ByteBuffer.wrap(e.payload());
            onPeerNote(e.fromRelay(), PeerNoteType.fromOrdinal(note.get()), note.getInt());
        }
    }

    @Override
    public byte[] encodeLearnedState() {
        return LearnedStateCodec.encode(destinations, groups, routes);
    }

    /** Waits told and failures there bind here as well; it is one relay to its endpoints. */
    private void onPredecessorCallEnded(PredecessorCallEnded e) {
        predecessorCallsInFlight = e.predecessorCallsInFlight();
        Route route = routes.get(e.route());
        if (route != null) {
            applyRetryAfter(route.group, e.retryAfterMicros());
            boolean tooEarly = e.result() == Result.TIMEOUT && e.elapsedMicros() < trialTimeoutMicros(route);
            Call call = new Call(route, now - e.elapsedMicros(), hasPredecessorTrial(route));
            recordResult(call, tooEarly ? Result.NOT_SENT : e.result(), e.retryAfterMicros(),
                    e.elapsedMicros(), LimitReport.NONE);
        }
    }

    private boolean hasPredecessorTrial(Route route) {
        return (route.circuit.trialInFlight || route.group.circuit.trialInFlight)
                && callsInFlight.stream().noneMatch(call -> call.trial && call.route.group == route.group);
    }

    /** Guards against a circuit that stays half-open for a test that its process took with it. */
    private void clearPredecessorTrial(Route route) {
        if (hasPredecessorTrial(route)) {
            route.circuit.trialInFlight = false;
            route.group.circuit.trialInFlight = false;
        }
    }

    /** How many calls this process may have out. */
    private int slotLimit() {
        return settings.limits().callSlots() - predecessorCallsInFlight;
    }

    private void onRequestAccepted(RequestAccepted e) {
        addRequest(e);
        if (openRequestCount >= settings.limits().maxOpenRequests()) {
            shedLeastValuable();
        }
    }

    /** Past attempts count on; one without a known result may have run and can't be answered any more. */
    private void onRequestResumed(RequestResumed e) {
        Request request = addRequest(e.request());
        for (PastAttempt past : e.attempts()) {
            Attempt attempt = new Attempt(new Call(routes.get(past.route()), past.sentAt(), false));
            attempt.result = past.result() == null ? Result.RESET : past.result();
            request.attempts.add(attempt);
            pauseKeyQueueIfUncertain(request, attempt.result);
        }
        resumedRequests.add(request, e.attempts().stream().allMatch(p -> p.result() == Result.NOT_SENT));
        // Guards against a list from before that lacks its destination; the next call for it may be long off.
        if (request.destination.routes.values().stream().noneMatch(route -> route.listedInService)) {
            actions.fetchRouteList();
        }
        dequeue(request);
        requeueOrEnd(request);
    }

    /**
     * What a restart found is tried at the last, whatever the pace; where a circuit came back open as early
     * as a cold destination bears it: a fleet that owes much there would push it over at the end.
     */
    private void callResumedRequests() {
        for (Request request : resumedRequests.untriedRequests.stream().filter(this::isNextForKey)
                .sorted(BY_EXPIRY).toList()) {
            List<Route> callable = request.destination.routes.values().stream()
                    .filter(r -> isInService(r) && now >= resumedCallAt(request, r)).toList();
            if (!callable.isEmpty() && callsInFlight.size() < slotLimit()) {
                Route route = drawRoute(callable);
                boolean cold = isCircuitTripped(route) || isInSlowStart(route.group.slowStartedAt);
                route.group.nextResumedCallAt =
                        cold ? now + intervalMicros(slowStartRate(route.group, now)) : now;
                startCall(request, route, false);
            }
        }
    }

    private static boolean isCircuitTripped(Route route) {
        return route.circuit.state != CircuitState.CLOSED || route.group.circuit.state != CircuitState.CLOSED;
    }

    private long resumedCallAt(Request request, Route route) {
        // Guards against calls that hold their slots to the end while nothing answers.
        boolean callEarly = isCircuitTripped(route) && request.requestClass.idempotency() != Idempotency.ONCE
                && !exceedsSlotShare(route.group, route);
        long latest = request.deadline - (long) Math.max(RESUMED_CALL_LEAD_MICROS,
                RESUMED_CALL_LEAD_RATIO * expectedResponseMicros(route));
        return Math.max(callEarly ? now : latest,
                Math.max(route.group.retryAfterUntil, route.group.nextResumedCallAt));
    }

    private Request addRequest(RequestAccepted e) {
        RequestClass requestClass = classes.get(e.requestClassName());
        if (requestClass == null && e.terms() == null) {
            throw new IllegalArgumentException("unknown request class " + e.requestClassName());
        }
        RequestTerms terms = e.terms() != null ? e.terms()
                : new RequestTerms(requestClass, settings.limits().maxAttempts());
        Request request = new Request(e, terms, getOrCreateDestination(e.destination()));
        requests.put(request.id, request);
        requestsByExpiry.add(request);
        countEvent(request.destination.acceptedRate);
        openRequestCount++;
        enqueue(request);
        if (request.orderKey != null) {
            keyQueues.computeIfAbsent(request.orderKey, k -> new KeyQueue()).requests.add(request);
        }
        return request;
    }

    private void enqueue(Request request) {
        request.destination.waiting.add(request);
        waitingDestinations.add(request.destination);
    }

    private void dequeue(Request request) {
        request.destination.waiting.remove(request);
        if (request.destination.waiting.isEmpty()) {
            waitingDestinations.remove(request.destination);
        }
    }

    private Destination getOrCreateDestination(int number) {
        return destinations.computeIfAbsent(number, n -> new Destination(now));
    }

    /** Guards against a full buffer, which would turn away worthy requests at the door unseen. */
    private void shedLeastValuable() {
        waitingDestinations.stream().flatMap(destination -> destination.waiting.stream())
                .filter(r -> !r.resumedUntried && isSafeToReject(r))
                .min(Comparator.comparingDouble(r -> valueAt(r, now))).ifPresent(this::endUndelivered);
    }

    private boolean isSafeToReject(Request request) {
        return firstPossiblyExecutedAttempt(request) == null
                || isRepeatableAnywhere(request.requestClass) && now < repeatableUntil(request);
    }

    private static boolean isRepeatableAnywhere(RequestClass type) {
        return type.idempotency() == Idempotency.REPEATABLE
                || type.idempotency() == Idempotency.BY_KEY && type.keyScope() == KeyScope.ALL;
    }

    /** Ends a request that has no attempt out, undelivered. */
    private void endUndelivered(Request request) {
        if (isSafeToReject(request)) {
            actions.rejectRequest(request.id,
                    settings.limits().mayAdviseRetryDelay() ? retryDelayMicros(request) : 0);
        } else {
            actions.failRequest(request.id);
        }
        finish(request);
    }

    /** When a route of the request's destination may be free again: what the client had better wait for. */
    private long retryDelayMicros(Request request) {
        long freeAt = request.destination.routes.values().stream().filter(route -> route.listedInService)
                .mapToLong(this::usableOrTrialAt).min().orElse(Long.MAX_VALUE);
        return freeAt == Long.MAX_VALUE ? MICROS_PER_SECOND : Math.max(MICROS_PER_SECOND / 2, freeAt - now);
    }

    private void finish(Request request) {
        request.done = true;
        Optional.ofNullable(resumedRequests.recordTriedOrEnded(request, false)).ifPresent(actions::log);
        openRequestCount--;
        dequeue(request);
        requestsByExpiry.remove(request);
        forgetIfSettled(request);
    }

    /** Forgets a finished request once no attempt of it is out. */
    private void forgetIfSettled(Request request) {
        if (!request.done || request.attemptsInFlight > 0) {
            return;
        }
        requests.remove(request.id);
        KeyQueue queue = request.orderKey == null ? null : keyQueues.get(request.orderKey);
        if (queue != null) {
            queue.requests.remove(request);
            if (queue.requests.isEmpty() && queue.pausedUntil <= now) {
                keyQueues.remove(request.orderKey);
            }
        }
    }

    private boolean isNextForKey(Request request) {
        if (request.orderKey == null) {
            return true;
        }
        KeyQueue queue = keyQueues.get(request.orderKey);
        return queue.requests.peek() == request && (!request.attempts.isEmpty() || queue.pausedUntil <= now);
    }

    /** Guards, in a process that ends, against leaving to the next one what it can't try in time any more. */
    private boolean isExpired(Request request) {
        return request.expiresAt <= now + (shuttingDown ? RESTART_MICROS : 0);
    }

    /** Ends what has run out of time; an attempt still out reports its own time-out. */
    private void endExpired() {
        while (!requestsByExpiry.isEmpty() && isExpired(requestsByExpiry.first())) {
            Request request = requestsByExpiry.pollFirst();
            if (request.attemptsInFlight == 0) {
                countEvent(request.destination.expiredRate);
                endUndelivered(request);
            }
        }
    }

    /** What a request would earn if it were delivered at a time. */
    private double valueAt(Request request, long deliveredAt) {
        RequestClass type = request.requestClass;
        long age = deliveredAt - request.acceptedAt;
        if (age <= type.goalMicros()) {
            return type.value();
        }
        if (deliveredAt >= request.deadline) {
            return 0;
        }
        double lateness = age - type.goalMicros();
        double share = settings.lateValueHalves()
                ? Math.max(type.lateValueShare(), Math.pow(0.5, lateness / Math.max(1, type.goalMicros())))
                : 1 - (1 - type.lateValueShare()) * lateness / (type.timeLimitMicros() - type.goalMicros());
        return type.value() * share;
    }

    private void onAttemptEnded(AttemptEnded e) {
        Request request = requests.get(e.requestId());
        if (request == null || e.attemptIndex() >= request.attempts.size()) {
            return;
        }
        Attempt attempt = request.attempts.get(e.attemptIndex());
        if (attempt.result != null) {
            return;
        }
        attempt.result = e.result();
        request.attemptsInFlight--;
        Call call = attempt.call;
        if (--call.pendingAttempts == 0) {
            callsInFlight.remove(call);
            call.route.callsInFlight.remove(call);
            call.route.group.callsInFlight--;
        }
        // Guards against a wait told to only some of the requests of one call.
        applyRetryAfter(call.route.group, e.retryAfterMicros());
        if (!call.resultRecorded) {
            call.resultRecorded = true;
            // Guards against blaming a route for a message that was sent shortly before its time was up.
            boolean tooEarly = e.result() == Result.TIMEOUT
                    && e.elapsedMicros() < trialTimeoutMicros(request, call.route);
            countLateOrLostAnswer(call, e.result(), e.elapsedMicros());
            recordResult(call, tooEarly ? Result.NOT_SENT : e.result(), e.retryAfterMicros(),
                    e.elapsedMicros(), e.report());
        }
        forgetIfUnlisted(call.route);
        pauseKeyQueueIfUncertain(request, e.result());
        if (request.done) {
            forgetIfSettled(request);
        } else if (e.requestClosed()) {
            finish(request);
        } else if (request.attemptsInFlight == 0) {
            requeueOrEnd(request);
        }
    }

    private void applyRetryAfter(LimitGroup group, long retryAfter) {
        if (retryAfter > 0) {
            group.retryAfterUntil = Math.max(group.retryAfterUntil, now + retryAfter);
        }
    }

    private void pauseKeyQueueIfUncertain(Request request, Result result) {
        boolean answered = result == Result.OK || result == Result.ERROR;
        if (request.orderKey != null && !answered && !result.provesNoEffect()) {
            keyQueues.get(request.orderKey).pausedUntil = now + settings.rules().orderPauseMicros();
            actions.setTimer(WAKE_UP_TIMER, settings.rules().orderPauseMicros());
        }
    }

    private static Attempt firstPossiblyExecutedAttempt(Request request) {
        return request.attempts.stream().filter(past -> past.result == null || !past.result.provesNoEffect())
                .findFirst().orElse(null);
    }

    private void requeueOrEnd(Request request) {
        // Guards against a message that waits for an attempt which its class allows no more.
        requestsByExpiry.remove(request);
        request.expiresAt = Math.min(request.deadline, repeatableUntil(request));
        requestsByExpiry.add(request);
        if (isExpired(request) || request.attempts.size() >= request.maxAttempts) {
            endUndelivered(request);
        } else {
            enqueue(request);
        }
    }

    /** Lets one call's result count for its route and its group. */
    private void recordResult(Call call, Result result, long retryAfter, long elapsed, LimitReport report) {
        Route route = call.route;
        LimitGroup group = route.group;
        if (report.ratePerSecond() > 0) {
            group.reportedRate = report.ratePerSecond();
        }
        if (call.trial) {
            route.circuit.trialInFlight = false;
            group.circuit.trialInFlight = false;
        }
        switch (result) {
            case OK -> onServed(call, elapsed);
            case ERROR, TIMEOUT, CONNECT_FAILED, CANCELLED -> onFailed(call, 1);
            // Guards against taking connections that break for a route that fails: that one refuses new ones.
            case RESET -> onFailed(call, 0);
            case FULL -> onRefused(call, retryAfter);
            case CROWDED -> onCrowded(call);
            case NOT_SENT -> { }
        }
        if (result == Result.OK || result == Result.ERROR || result == Result.FULL) {
            route.lastAnsweredAt = now;
        }
    }

    private void onServed(Call call, long elapsed) {
        Route route = call.route;
        LimitGroup group = route.group;
        route.lastServedCallSentAt = Math.max(route.lastServedCallSentAt, call.sentAt);
        route.errorRate *= 1 - MOVING_AVERAGE_WEIGHT;
        route.responseMicros = route.responseMicros == 0 ? elapsed
                : route.responseMicros + MOVING_AVERAGE_WEIGHT * (elapsed - route.responseMicros);
        group.consecutiveRefusals = 0;
        route.consecutiveCrowdedResults = 0;
        if (group.reportsTrialResult || group.circuit.state != CircuitState.CLOSED) {
            group.reportsTrialResult = false;
            reportToCoordinator(group, PeerNoteType.CALL_SERVED);
        }
        countEvent(group.servedRate);
        if (call.sentAt >= group.lastCutAt) {
            group.servedSinceCut++;
        }
        growPacingRate(group);
        closeCircuit(call, group.circuit, route);
        if (route.circuit != group.circuit) {
            closeCircuit(call, route.circuit, route);
        }
    }

    /** Regrowth since a time, for a span that the serves seen speak for. */
    private double growthFactor(long since) {
        return Math.pow(1 + PACING_GROWTH_RATIO_PER_SECOND,
                Math.min(MAX_GROWTH_SPAN_MICROS, now - since) / (double) MICROS_PER_SECOND);
    }

    /**
     * Quickly to what went before the last cut, then slowly, and less so the longer nothing is refused.
     * Guards, by a bound for each serve, against a fleet of relays that call seldom: each would double its
     * pace by one, and all would go above the limit together, again and again. Harms where a limit is back.
     */
    private void growPacingRate(LimitGroup group) {
        double span = Math.min(MAX_GROWTH_SPAN_MICROS, now - group.lastGrownAt) / (double) MICROS_PER_SECOND;
        double secondsSinceCut = Math.min(now - group.lastCutAt,
                (double) group.servedSinceCut * MAX_GROWTH_SPAN_MICROS) / MICROS_PER_SECOND;
        double regainTarget = group.refusedPacingRate * PACING_REGAIN_SHARE;
        if (group.pacingRate < regainTarget) {
            double factor = Math.min(1 + MAX_REGAIN_RATIO_PER_SERVED_CALL,
                    Math.pow(1 + PACING_REGAIN_RATIO_PER_SECOND, span));
            group.pacingRate = Math.min(regainTarget, group.pacingRate * factor);
        } else {
            double factor = Math.pow(1 + PACING_GROWTH_RATIO_PER_SECOND,
                    span * (1 + secondsSinceCut * PACING_GROWTH_GAIN_PER_SECOND));
            group.pacingRate *= Math.min(1 + MAX_GROWTH_RATIO_PER_SERVED_CALL, factor);
        }
        group.lastGrownAt = now;
    }

    private void closeCircuit(Call call, CircuitBreaker circuit, Route route) {
        circuit.consecutiveFailures = 0;
        if (circuit.state == CircuitState.CLOSED) {
            return;
        }
        boolean sentBeforeOpening = call.sentAt < circuit.openedAt;
        if (sentBeforeOpening && !circuit.openedBySilence) {
            return;
        }
        circuit.state = CircuitState.CLOSED;
        route.errorRate = 0;
        if (circuit == route.group.circuit) {
            if (!sentBeforeOpening) {
                route.group.slowStartedAt = now;
                route.group.nextCallAt = now + intervalMicros(slowStartRate(route.group, now));
            }
            actions.log("serves again: " + route.name);
        }
    }

    private void onFailed(Call call, int weight) {
        Route route = call.route;
        LimitGroup group = route.group;
        route.errorRate += MOVING_AVERAGE_WEIGHT * (1 - route.errorRate);
        route.circuit.consecutiveFailures += weight;
        boolean unhealthy = route.circuit.consecutiveFailures >= failuresToOpen(group)
                || route.errorRate > UNHEALTHY_ERROR_RATIO;
        if (unhealthy || route.circuit.state != CircuitState.CLOSED && call.trial) {
            openCircuit(route.circuit, group, false, 0);
        }
        if (group.circuit != route.circuit) {
            group.circuit.consecutiveFailures += weight;
            boolean noneClosed = group.routes.stream()
                    .noneMatch(other -> other.listedInService && other.circuit.state == CircuitState.CLOSED);
            if (group.circuit.consecutiveFailures >= FAILURES_TO_OPEN || noneClosed) {
                openCircuit(group.circuit, group, false, 0);
            }
        }
        if (group.reportsTrialResult || route.circuit.state == CircuitState.OPEN) {
            reportToCoordinator(group, PeerNoteType.CALL_FAILED);
        }
        if (isInSlowStart(group.slowStartedAt)) {
            // Guards against release into an outage that goes on: a failure puts the release back.
            group.slowStartedAt = now;
        }
    }

    /** Leaves the connections to others for a while: a slower pace here would not free one. */
    private void onCrowded(Call call) {
        Route route = call.route;
        openIfInOutage(route.group, 0);
        route.connectionBackoffUntil = now + jitter(CONNECTION_BACKOFF_MICROS
                << Math.min(route.consecutiveCrowdedResults++, MAX_CONNECTION_BACKOFF_DOUBLINGS));
    }

    /** Guards against a shut destination, which refuses like one above its limit but returns cold. */
    private void openIfInOutage(LimitGroup group, long retryAfter) {
        if (group.consecutiveRefusals++ == 0) {
            group.refusedSince = now;
        }
        boolean outage = retryAfter > OUTAGE_RETRY_AFTER_MICROS
                || group.consecutiveRefusals >= FAILURES_TO_OPEN
                && now - group.refusedSince >= OUTAGE_REFUSAL_SPAN_MICROS;
        if (outage || group.circuit.state != CircuitState.CLOSED) {
            openCircuit(group.circuit, group, false, retryAfter);
        }
    }

    private void onRefused(Call call, long retryAfter) {
        LimitGroup group = call.route.group;
        openIfInOutage(group, retryAfter);
        if (call.sentAt >= group.lastCutAt) {
            group.refusedSinceCut++;
            if (now - group.lastCutAt >= MIN_CUT_INTERVAL_MICROS) {
                cutPacingRate(group);
            }
        }
        long earliest = Math.max(now, group.retryAfterUntil);
        group.nextCallAt = Math.max(group.nextCallAt, earliest + jitter(intervalMicros(group.pacingRate)));
        reportToCoordinator(group, PeerNoteType.CALL_REFUSED);
    }

    /**
     * At first the limit over sender count, where one is known; then, or where none is, the part that was
     * served of what went of late. Guards against a fleet that one refusal each brings far below a limit, or
     * that stays above one, as no relay goes under its share while refused calls use the limit up.
     */
    private void cutPacingRate(LimitGroup group) {
        double limit = fleetLimitPerSecond(group);
        double rate = Math.min(group.pacingRate, recentSendRate(group));
        double servedShare = group.servedSinceCut / (double) (group.servedSinceCut + group.refusedSinceCut);
        boolean firstCut = group.pacingRate == Double.POSITIVE_INFINITY;
        group.pacingRate = limit > 0 && firstCut
                ? Math.max(limit / settings.fleetSize(), ratePerSecond(group.servedRate) / 2)
                : Math.max(MIN_FLEET_CALLS_PER_SECOND / settings.fleetSize(),
                        rate * Math.max(MIN_PACING_CUT_RATIO, servedShare));
        // Guards against a row of refusals after which nothing tells any more what had been served before it.
        group.refusedPacingRate = group.servedSinceCut > 0 ? rate : Math.max(rate, group.refusedPacingRate);
        group.lastCutAt = now;
        group.lastGrownAt = now;
        group.servedSinceCut = 0;
        group.refusedSinceCut = 0;
    }

    private void openCircuit(CircuitBreaker circuit, LimitGroup group, boolean bySilence, long retryAfter) {
        if (circuit.state == CircuitState.CLOSED) {
            circuit.openedAt = now;
            circuit.openedBySilence = bySilence;
            if (circuit == group.circuit) {
                if (!isInSlowStart(group.slowStartedAt)) {
                    group.usualRate = ratePerSecond(group.sentRate);
                }
                String reason = bySilence ? ", silent" : "";
                actions.log("out: " + group.routes.get(0).name + reason + " (failures in a row "
                        + circuit.consecutiveFailures + ", refusals " + group.consecutiveRefusals
                        + ", calls " + group.callsInFlight + ", pace " + (float) group.pacingRate
                        + ", usual rate " + (float) group.usualRate + ")");
            }
        }
        circuit.state = CircuitState.OPEN;
        circuit.openUntil = now + Math.max(retryAfter, trialDelayMicros(group));
    }

    /**
     * Guards against a fleet that tests a destination to death: a relay tests as often as its part of the
     * calls lets a cold destination bear. Harms what is parked at one that calls rarely: it waits long.
     */
    private long trialDelayMicros(LimitGroup group) {
        long cap = settings.fleetSize() * TRIAL_SPACING_MICROS;
        return jitter(Math.max(MIN_OPEN_MICROS, Math.min(intervalMicros(slowStartRate(group, now)), cap)));
    }

    private long jitter(long delay) {
        return (long) (delay * (1 - JITTER_RATIO / 2 + JITTER_RATIO * random.nextDouble()));
    }

    /** Who calls a destination rarely can't wait for three failures; a single error costs it a pause. */
    private int failuresToOpen(LimitGroup group) {
        double recentCalls = ratePerSecond(group.sentRate) * RATE_TIME_CONSTANT_MICROS / MICROS_PER_SECOND;
        return (int) Math.max(1, Math.min(FAILURES_TO_OPEN, recentCalls / CALLS_PER_FAILURE));
    }

    private void onProbeEnded(ProbeEnded e) {
        Route route = routes.get(e.route());
        if (route != null) {
            // Guards against calls that follow a probe which was told to wait.
            applyRetryAfter(route.group, e.retryAfterMicros());
            Call call = new Call(route, now - e.elapsedMicros(), true);
            recordResult(call, e.result(), e.retryAfterMicros(), e.elapsedMicros(), e.report());
        }
    }

    /** Calls a second that the group takes from all relays, as reported or listed; 0 where unknown. */
    private double fleetLimitPerSecond(LimitGroup group) {
        double listedRate = group.routes.stream().filter(r -> r.listedInService)
                .mapToDouble(r -> r.listedRatePerSecond).max().orElse(0);
        double hint = settings.rateHint() == RateHint.ROUGH ? listedRate / ROUGH_RATE_DIVISOR : listedRate;
        return group.reportedRate > 0 ? group.reportedRate : settings.rateHint() == RateHint.NONE ? 0 : hint;
    }

    /** Events a second over the rate's span or so, or since they are counted. */
    private double ratePerSecond(DecayingRate rate) {
        // Guards against a relay just started that takes the events of its first seconds for those of ten.
        double span = rate.timeConstantMicros;
        double observed = 1 - Math.exp(-Math.max(MIN_OBSERVED_SHARE * span, now - rate.countedSince) / span);
        return rate.count * Math.exp((rate.updatedAt - now) / span) * MICROS_PER_SECOND / span / observed;
    }

    private void countEvent(DecayingRate rate) {
        rate.count = 1 + rate.count * Math.exp((rate.updatedAt - now) / (double) rate.timeConstantMicros);
        rate.updatedAt = now;
    }

    /** What a relay sends; one that calls seldom goes by ten seconds: the call just refused tells little. */
    private double recentSendRate(LimitGroup group) {
        double othersShare = Math.max(0, 1 - 1 / Math.max(1, group.recentSentRate.count));
        return Math.max(ratePerSecond(group.sentRate), ratePerSecond(group.recentSentRate) * othersShare);
    }

    private boolean isInSlowStart(long since) {
        return now - since < settings.rules().warmUpMicros();
    }

    /** How much of its usual calls a destination bears since its return: it warms up evenly. */
    private double slowStartFactor(long since) {
        double warmShare = (now - since) / (double) Math.max(1, settings.rules().warmUpMicros());
        double capacityShare = settings.rules().coldCapacityShare() * (1 - warmShare) + warmShare;
        return SLOW_START_MARGIN_RATIO * settings.rules().collapseLoadMultiple() * capacityShare;
    }

    /** Calls a second of this relay that a group bears since its return. */
    private double slowStartRate(LimitGroup group, long since) {
        double usualRate = Math.max(group.usualRate, fleetLimitPerSecond(group) / settings.fleetSize());
        return Math.max(MIN_FLEET_SLOW_START_PER_SECOND / settings.fleetSize(),
                slowStartFactor(since) * usualRate);
    }

    private double effectivePacingRate(LimitGroup group) {
        long since = group.slowStartedAt;
        return isInSlowStart(since) ? Math.min(group.pacingRate, slowStartRate(group, since))
                : group.pacingRate;
    }

    private static long intervalMicros(double rate) {
        return (long) (MICROS_PER_SECOND / rate); // 0 where the rate is not bounded
    }

    /** When a call is overdue by its route's own measure: it will hardly be answered any more. */
    private long overdueAt(Call call) {
        return call.sentAt + capTimeoutMicros(
                Math.max(MIN_OVERDUE_MICROS, OVERDUE_RATIO * expectedResponseMicros(call.route)));
    }

    /**
     * When a call is to leave its slot to others. Guards against single calls whose answer is lost: each
     * holds a slot as long as a dozen others. A second attempt gets more time, as the work may be long.
     */
    private long cancellableAt(Call call) {
        boolean lossy = areAnswersLost();
        if (!mayRetry(call)) {
            return lossy ? call.sentAt + (long) Math.max(MIN_LOSSY_CANCEL_AGE_MICROS,
                    OVERDUE_RATIO * expectedResponseMicros(call.route)) : overdueAt(call);
        }
        return Math.min(overdueAt(call), call.sentAt + (long) Math.max(
                lossy ? MIN_LOSSY_CANCEL_AGE_MICROS : MIN_CANCEL_AGE_MICROS,
                CANCEL_AGE_RATIO * expectedResponseMicros(call.route)));
    }

    /** True where another attempt may follow each first one of a call. */
    private static boolean mayRetry(Call call) {
        return call.requests.stream()
                .allMatch(r -> r.requestClass.idempotency() != Idempotency.ONCE && r.attempts.size() == 1);
    }

    /**
     * Learns whether late answers still come. A call is lost, not slow, where its route has answered others
     * since. Calls that go early while answers get lost tell nothing: theirs might have come.
     */
    private void countLateOrLostAnswer(Call call, Result result, long elapsed) {
        if (elapsed < CANCEL_AGE_RATIO * expectedResponseMicros(call.route)
                || areAnswersLost() && mayRetry(call)) {
            return;
        }
        boolean unanswered = result == Result.TIMEOUT || result == Result.CANCELLED;
        if (result == Result.OK) {
            countEvent(lateAnswerRate);
        } else if (unanswered && call.route.lastAnsweredAt > call.sentAt) {
            countEvent(lostAnswerRate);
        }
    }

    private boolean areAnswersLost() {
        double lostRate = ratePerSecond(lostAnswerRate);
        return lostRate * RATE_TIME_CONSTANT_MICROS > MIN_SIGNIFICANT_LOSSES * MICROS_PER_SECOND
                && lostRate > ratePerSecond(lateAnswerRate);
    }

    /** True where a call has been out for such a part of its span and nothing has answered since. */
    private boolean isSilent(Route route, double share) {
        Call oldest = route.callsInFlight.peek();
        return oldest != null && route.lastAnsweredAt <= oldest.sentAt
                && now - oldest.sentAt >= share * (overdueAt(oldest) - oldest.sentAt);
    }

    /** Guards against silence, which would cost three time-outs before the circuit opens. */
    private void openIfSilent(Route route) {
        boolean enoughCalls = route.callsInFlight.size() >= Math.min(2, failuresToOpen(route.group));
        if (enoughCalls && route.circuit.state == CircuitState.CLOSED && isSilent(route, 1)) {
            openCircuit(route.circuit, route.group, true, 0);
        }
    }

    /** Expected response time; what has not been tried lately is taken as well again, so that it is tried. */
    private double expectedResponseMicros(Route route) {
        boolean stale = route.callsInFlight.isEmpty() && now - route.lastAnsweredAt > STALE_RESPONSE_MICROS;
        return route.responseMicros == 0 || stale ? INITIAL_RESPONSE_MICROS : route.responseMicros;
    }

    private boolean areSlotsScarce() {
        return callsInFlight.size() > slotLimit() * SLOTS_SCARCE_FROM_SHARE;
    }

    /** Guards against one destination, above all a slow one, that holds every slot. */
    private boolean exceedsSlotShare(LimitGroup group, Route route) {
        int slotCount = settings.limits().callSlots();
        boolean slow = route.responseMicros > SLOW_RESPONSE_MICROS / 2 || isSilent(route, 0.5);
        boolean restricted = slow || areSlotsScarce();
        double share = restricted ? MAX_SCARCE_SLOT_SHARE : MAX_SLOT_SHARE;
        return group.callsInFlight >= (int) Math.ceil(slotCount * share);
    }

    /** Guards against a drain that counts as told unheard: what has served since does not drain. */
    private boolean isInService(Route route) {
        return route.listedInService && now < inServiceUntil(route);
    }

    private long inServiceUntil(Route route) {
        return route.lastServedCallSentAt >= listStaleSince ? Long.MAX_VALUE : listExpiresAt;
    }

    private boolean isUsable(Route route) {
        LimitGroup group = route.group;
        openIfSilent(route);
        return isInService(route) && now >= group.retryAfterUntil && now >= route.connectionBackoffUntil
                && mayCallNow(group) && !isCircuitTripped(route) && !(route.callsInFlight.size() >= 2
                        && isSilent(route, 0.5)) && !exceedsSlotShare(group, route);
    }

    private double score(Route route, double fastest) {
        double score = 100 - route.errorRate * 50 - route.circuit.consecutiveFailures * 10;
        score -= route.errorRate > UNHEALTHY_ERROR_RATIO ? 50 : 0;
        score += expectedResponseMicros(route) < FAST_RESPONSE_MICROS ? 20 : 0;
        score -= expectedResponseMicros(route) > Math.min(SLOW_RESPONSE_MICROS,
                SLOW_RESPONSE_RATIO * Math.max(INITIAL_RESPONSE_MICROS, fastest)) ? 30 : 0;
        return Math.max(0, score + route.zoneBonus);
    }

    private double zoneBonus(String zone) {
        double highestPrice = settings.zones().stream().mapToDouble(Zone::attemptPrice).max().orElse(0);
        if (highestPrice > 0) {
            double price = settings.zones().stream().filter(z -> z.name().equals(zone))
                    .mapToDouble(Zone::attemptPrice).findFirst().orElse(highestPrice);
            return MAX_ZONE_BONUS * (1 - price / highestPrice);
        }
        return zone.equals(settings.zone()) ? MAX_ZONE_BONUS : 0;
    }

    /** True where the repeat rules let the request go to the route now. */
    private boolean isAllowedByRepeatRules(Request request, Route route) {
        Attempt first = firstPossiblyExecutedAttempt(request);
        if (first == null || request.requestClass.idempotency() == Idempotency.REPEATABLE) {
            return true;
        }
        return now < repeatableUntil(request) && switch (request.requestClass.keyScope()) {
            case ALL -> true;
            case ZONE -> first.call.route != null && first.call.route.zone.equals(route.zone);
            case CELL -> first.call.route == route;
        };
    }

    /** Until when another attempt may leave; that of a class which may take effect once is over at once. */
    private static long repeatableUntil(Request request) {
        Attempt first = request.requestClass.idempotency() == Idempotency.REPEATABLE ? null
                : firstPossiblyExecutedAttempt(request);
        long window = request.requestClass.idempotency() == Idempotency.ONCE ? 0
                : request.requestClass.dedupWindowMicros();
        return first == null ? Long.MAX_VALUE : first.call.sentAt + window;
    }

    private Route pickRoute(Request request, List<Route> usable) {
        List<Route> allowed = new ArrayList<>(
                usable.stream().filter(r -> isAllowedByRepeatRules(request, r)).toList());
        if (allowed.size() > 1) {
            allowed.remove(request.lastRoute());
        }
        return drawRoute(allowed);
    }

    private Route drawRoute(List<Route> candidates) {
        double fastest = candidates.stream().mapToDouble(this::expectedResponseMicros).min().orElse(0);
        double[] scores = candidates.stream().mapToDouble(route -> score(route, fastest)).toArray();
        double highest = Arrays.stream(scores).max().orElse(0);
        double sum = 0;
        for (int i = 0; i < scores.length; i++) {
            scores[i] = scores[i] < highest - MAX_SCORE_GAP ? 0 : scores[i] + 1;
            // Guards against slots held by far routes, while near ones serve several calls in the same time.
            scores[i] /= areSlotsScarce() ? expectedResponseMicros(candidates.get(i)) : 1;
            sum += scores[i];
        }
        double point = random.nextDouble() * sum;
        int i = 0;
        while (i < scores.length - 1 && point >= scores[i]) {
            point -= scores[i++];
        }
        return candidates.get(i);
    }

    private record Candidate(Request request, Route route, double lossFromWaiting) { }

    private void dispatch() {
        var candidates = new PriorityQueue<>(Comparator.comparingDouble(Candidate::lossFromWaiting)
                .reversed().thenComparingLong(c -> c.request.id));
        coordinatedGroups.forEach(this::grantTokens);
        coordinatedGroups.removeIf(group -> group.coordinator.waitingRelays.isEmpty());
        callResumedRequests();
        for (Destination destination : List.copyOf(waitingDestinations)) {
            sendDueTrials(destination);
            addCandidate(destination, candidates);
        }
        while (!candidates.isEmpty() && callsInFlight.size() < slotLimit()) {
            Candidate next = candidates.poll();
            startCall(next.request, next.route, false);
            addCandidate(next.request.destination, candidates);
        }
        cancelOverdueCalls(candidates.size());
        waitingDestinations.forEach(this::requestTokens);
    }

    /** Guards against calls whose answers are lost, which would hold every slot until their time is up. */
    private void cancelOverdueCalls(int wanted) {
        if (wanted == 0 || !settings.limits().mayCancel()) {
            return;
        }
        List<Call> overdue = callsInFlight.stream()
                .filter(call -> !call.cancelRequested && cancellableAt(call) <= now).limit(wanted).toList();
        for (Call call : overdue) {
            call.cancelRequested = true;
            for (Request request : call.requests) {
                for (int i = 0; i < request.attempts.size(); i++) {
                    if (request.attempts.get(i).call == call && request.attempts.get(i).result == null) {
                        actions.cancelAttempt(request.id, i);
                    }
                }
            }
        }
    }

    private void addCandidate(Destination destination, PriorityQueue<Candidate> candidates) {
        if (destination.waiting.isEmpty()) {
            return;
        }
        List<Route> usable = destination.routes.values().stream().filter(this::isUsable).toList();
        if (usable.isEmpty()) {
            return;
        }
        Request best = null;
        double highestLoss = -1;
        for (Request request : destination.waiting) {
            // What a restart has found goes first, by its end: it is owed a try, and older than the rest.
            double loss = request.resumedUntried ? Double.MAX_VALUE : lossFromWaiting(request, usable.get(0));
            boolean earlier = best != null && loss == highestLoss && request.deadline < best.deadline;
            if ((loss > highestLoss || earlier) && isNextForKey(request)
                    && canBeAnsweredInTime(request, usable.get(0))
                    && usable.stream().anyMatch(route -> isAllowedByRepeatRules(request, route))) {
                best = request;
                highestLoss = loss;
            }
        }
        if (best != null) {
            candidates.add(new Candidate(best, pickRoute(best, usable), highestLoss));
        }
    }

    /**
     * What a request loses if others go first for a while. Where messages run out of time, one that waits is
     * lost: saving the oldest each time would deliver all of them late.
     */
    private double lossFromWaiting(Request request, Route route) {
        long answeredAt = now + (long) expectedResponseMicros(route);
        Destination destination = request.destination;
        double expiredRate = ratePerSecond(destination.expiredRate);
        boolean overloaded = expiredRate > OVERLOAD_EXPIRED_SHARE * ratePerSecond(destination.acceptedRate)
                && expiredRate * RATE_TIME_CONSTANT_MICROS > MIN_SIGNIFICANT_LOSSES * MICROS_PER_SECOND;
        return valueAt(request, answeredAt)
                - (overloaded ? 0 : valueAt(request, answeredAt + WAITING_HORIZON_MICROS));
    }

    /** Guards against calls that can't be answered in time any more. */
    private boolean canBeAnsweredInTime(Request request, Route route) {
        return request.resumedUntried || request.deadline - now > expectedResponseMicros(route) / 2;
    }

    /** Within pace; while all ask for turns, with a turn or after waiting for one in vain. */
    private boolean mayCallNow(LimitGroup group) {
        return now >= group.nextCallAt && (now >= group.coordinatedUntil || now < group.tokenValidUntil
                || group.tokenRequested && !isAwaitingToken(group));
    }

    /**
     * Guards, where relays may send notes, against hundreds of relays that each see too little to keep a pace
     * or to find an outage: trouble is told to the group's keeper, which all know by the group's number and
     * which gives turns one at a time. A lost note, or a dead keeper, costs {@link #TOKEN_TIMEOUT_MICROS}.
     */
    private void reportToCoordinator(LimitGroup group, PeerNoteType type) {
        if (!settings.limits().mayNotifyPeers()) {
            return;
        }
        if (type != PeerNoteType.CALL_SERVED) {
            group.tokenRequested = true;
            group.tokenRequestedAt = now;
        }
        sendPeerNote(Math.floorMod(group.number, settings.fleetSize()), type, group.number);
    }

    private void sendPeerNote(int relay, PeerNoteType type, int groupNumber) {
        if (relay == settings.relayIndex()) {
            onPeerNote(relay, type, groupNumber);
        } else {
            ByteBuffer note = ByteBuffer.allocate(Integer.BYTES + 1);
            actions.sendPeerNote(relay, note.put((byte) type.ordinal()).putInt(groupNumber).array());
        }
    }

    private void onPeerNote(int fromRelay, PeerNoteType type, int groupNumber) {
        LimitGroup group = groups.get(groupNumber);
        if (group == null) {
            return;
        }
        switch (type) {
            case TOKEN_GRANT, TRIAL_GRANT -> onTokenGranted(group, type == PeerNoteType.TRIAL_GRANT);
            case COORDINATION_START -> group.coordinatedUntil = now + COORDINATION_MICROS;
            case TOKEN_REQUEST, CALL_REFUSED, CALL_FAILED, CALL_SERVED -> coordinate(group, fromRelay, type);
            case UNKNOWN -> { }
        }
    }

    private void onTokenGranted(LimitGroup group, boolean trial) {
        group.tokenRequested = false;
        group.reportsTrialResult = trial;
        group.nextCallAt = now;
        group.tokenValidUntil = now + MICROS_PER_SECOND;
        group.circuit.openUntil = now;
        group.routes.forEach(route -> route.circuit.openUntil = now);
    }

    private void coordinate(LimitGroup group, int fromRelay, PeerNoteType type) {
        TokenCoordinator coordinator = group.coordinator;
        if (type == PeerNoteType.CALL_SERVED) {
            coordinator.recoveredAt =
                    coordinator.failures >= FAILURES_TO_OPEN ? now : coordinator.recoveredAt;
            coordinator.failures = 0;
            return;
        }
        coordinator.failures += type == PeerNoteType.CALL_FAILED ? 1 : 0;
        if (type == PeerNoteType.CALL_REFUSED && now - coordinator.lastCutAt >= MIN_CUT_INTERVAL_MICROS) {
            coordinator.limitFactor *= COORDINATOR_CUT_RATIO;
            coordinator.lastCutAt = now;
        }
        coordinator.waitingRelays.add(fromRelay);
        coordinatedGroups.add(group);
        if (now - coordinator.announcedAt > COORDINATION_MICROS - MICROS_PER_SECOND
                && (type != PeerNoteType.TOKEN_REQUEST || coordinator.waitingRelays.size() > 1)) {
            coordinator.announcedAt = now;
            group.coordinatedUntil = now + COORDINATION_MICROS;
            sendPeerNote(-1, PeerNoteType.COORDINATION_START, group.number);
        }
    }

    /** Gives the turns that are due: tests while a destination fails, then as many as it bears. */
    private void grantTokens(LimitGroup group) {
        TokenCoordinator coordinator = group.coordinator;
        while (!coordinator.waitingRelays.isEmpty() && now >= coordinator.nextTokenAt) {
            int relay = coordinator.waitingRelays.iterator().next();
            coordinator.waitingRelays.remove(relay);
            boolean down = coordinator.failures >= FAILURES_TO_OPEN;
            coordinator.nextTokenAt = Math.max(coordinator.nextTokenAt, now - MICROS_PER_SECOND / 2)
                    + (down ? TRIAL_SPACING_MICROS : intervalMicros(tokenRatePerSecond(group, coordinator)));
            sendPeerNote(relay, down ? PeerNoteType.TRIAL_GRANT : PeerNoteType.TOKEN_GRANT, group.number);
        }
    }

    private double tokenRatePerSecond(LimitGroup group, TokenCoordinator coordinator) {
        double limit = fleetLimitPerSecond(group) == 0 ? MIN_FLEET_CALLS_PER_SECOND
                : fleetLimitPerSecond(group);
        coordinator.limitFactor =
                Math.min(MAX_LIMIT_RATIO, coordinator.limitFactor * growthFactor(coordinator.lastGrownAt));
        coordinator.lastGrownAt = now;
        boolean warm = !isInSlowStart(coordinator.recoveredAt);
        return limit * (warm ? coordinator.limitFactor
                : Math.min(coordinator.limitFactor, slowStartFactor(coordinator.recoveredAt)));
    }

    private boolean isAwaitingToken(LimitGroup group) {
        return group.tokenRequested && now < group.tokenRequestedAt + TOKEN_TIMEOUT_MICROS;
    }

    private void requestTokens(Destination destination) {
        for (Route route : destination.routes.values()) {
            LimitGroup group = route.group;
            if (route.listedInService && now < group.coordinatedUntil && !isAwaitingToken(group)
                    && now >= group.tokenValidUntil) {
                reportToCoordinator(group, PeerNoteType.TOKEN_REQUEST);
            }
        }
    }

    private boolean isReadyForTrial(CircuitBreaker circuit) {
        if (circuit.state == CircuitState.OPEN && now >= circuit.openUntil) {
            circuit.state = CircuitState.HALF_OPEN;
        }
        return circuit.state == CircuitState.HALF_OPEN && !circuit.trialInFlight;
    }

    private void sendDueTrials(Destination destination) {
        for (Route route : destination.routes.values()) {
            boolean groupTripped = route.group.circuit.state != CircuitState.CLOSED;
            CircuitBreaker circuit = groupTripped ? route.group.circuit : route.circuit;
            // Guards against a group that is tested again and again by its one dead route.
            boolean hasBetter = groupTripped && route.group.routes.stream().anyMatch(r -> r.listedInService
                    && r.circuit.consecutiveFailures < route.circuit.consecutiveFailures);
            if (isInService(route) && !hasBetter && isReadyForTrial(circuit)
                    && now >= route.group.retryAfterUntil && callsInFlight.size() < slotLimit()) {
                sendTrial(destination, route, circuit);
            }
        }
    }

    private void sendTrial(Destination destination, Route route, CircuitBreaker circuit) {
        // Guards against a test that only tells that its message's time was up.
        Request chosen = destination.waiting.stream()
                .filter(r -> isNextForKey(r) && isAllowedByRepeatRules(r, route)
                        && r.deadline - now >= trialTimeoutMicros(r, route))
                .min(Comparator.comparingInt(DeliveryPolicy::trialCost)).orElse(null);
        if (chosen == null) {
            return;
        }
        circuit.trialInFlight = true;
        // Guards against a test in vain that leaves a request with nowhere to go.
        if (!isRepeatableAnywhere(chosen.requestClass) && settings.limits().mayProbe()) {
            countEvent(route.group.sentRate);
            actions.sendProbe(route.name);
        } else {
            startCall(chosen, route, true);
        }
    }

    /** Tests go by the request that loses least by an attempt in vain. */
    private static int trialCost(Request request) {
        int cost = request.requestClass.idempotency().ordinal() * 100 + request.attempts.size();
        return cost + (firstPossiblyExecutedAttempt(request) == null ? 0 : 50);
    }

    private void startCall(Request request, Route route, boolean trial) {
        Call call = new Call(route, now, trial);
        callsInFlight.add(call);
        route.group.callsInFlight++;
        route.callsInFlight.add(call);
        countEvent(route.group.sentRate);
        countEvent(route.group.recentSentRate);
        route.group.tokenValidUntil = now;
        route.group.nextCallAt = Math.max(route.group.nextCallAt, now)
                + intervalMicros(effectivePacingRate(route.group));
        addToCall(request, call);
        DestinationKind kind = kinds.get(route.kind);
        int maxAdded = trial || kind == null ? 0 : kind.maxBatchSize() - 1;
        if (maxAdded > 0) {
            for (Request other : List.copyOf(request.destination.waiting)) {
                if (call.pendingAttempts <= maxAdded && isNextForKey(other)
                        && isAllowedByRepeatRules(other, route)) {
                    addToCall(other, call);
                }
            }
        }
    }

    private void addToCall(Request request, Call call) {
        dequeue(request);
        Optional.ofNullable(resumedRequests.recordTriedOrEnded(request, true)).ifPresent(actions::log);
        long startUntil = Math.min(repeatableUntil(request), inServiceUntil(call.route));
        request.attempts.add(new Attempt(call));
        request.attemptsInFlight++;
        call.pendingAttempts++;
        call.requests.add(request);
        actions.startAttempt(request.id, call.route.name, attemptTimeoutMicros(request, call), startUntil);
    }

    private long attemptTimeoutMicros(Request request, Call call) {
        boolean lastAttempt = request.requestClass.idempotency() == Idempotency.ONCE
                || request.attempts.size() >= request.maxAttempts;
        if (lastAttempt) {
            return 0;
        }
        double timeout = Math.max(MIN_TIMEOUT_MICROS, OVERDUE_RATIO * expectedResponseMicros(call.route));
        return call.trial || isCircuitTripped(call.route) ? trialTimeoutMicros(call.route)
                : (long) Math.min(timeout, MAX_TIMEOUT_SHARE * request.requestClass.timeLimitMicros());
    }

    /** Guards against spans that no message has: no circuit would open by silence, nor close by a test. */
    private long capTimeoutMicros(double timeout) {
        return (long) Math.min(timeout, MAX_TIMEOUT_SHARE * longestTimeLimitMicros);
    }

    /** Guards against a destination that gets only brief messages of a mixed lot: none opens or tests it. */
    private long trialTimeoutMicros(Request request, Route route) {
        return Math.min(trialTimeoutMicros(route), request.requestClass.timeLimitMicros() / 2);
    }

    private long trialTimeoutMicros(Route route) {
        return capTimeoutMicros(
                Math.max(MIN_TRIAL_TIMEOUT_MICROS, TRIAL_TIMEOUT_RATIO * expectedResponseMicros(route)));
    }

    private void onRouteListUpdate(RouteListUpdate e) {
        if (e.type() == RouteListUpdateType.FAILED) {
            actions.setTimer(SUBSCRIBE_TIMER, jitter(SUBSCRIBE_RETRY_MICROS));
            return;
        }
        listExpiresAt = Long.MAX_VALUE;
        if (e.type() != RouteListUpdateType.CHANGES) {
            routes.values().forEach(route -> {
                route.listedInService = false;
                route.inRouteList = false;
            });
        }
        for (ListedRoute entry : e.routes()) {
            Route route = routes.computeIfAbsent(entry.route(), name -> newRoute(entry));
            route.listedInService = entry.availability() == Availability.LISTED;
            route.inRouteList = entry.availability() != Availability.REMOVED;
            route.listedRatePerSecond = entry.ratePerSecond();
        }
        List.copyOf(routes.values()).forEach(this::forgetIfUnlisted);
    }

    /**
     * Guards against a list that changes all day: a route is forgotten once it is in no list, no call to it
     * is out and no wait that it told runs. Requests keep what they need of it.
     */
    private void forgetIfUnlisted(Route route) {
        LimitGroup group = route.group;
        if (route.inRouteList || !route.callsInFlight.isEmpty() || now < group.retryAfterUntil) {
            return;
        }
        routes.remove(route.name);
        route.destination.routes.remove(route.name);
        group.routes.remove(route);
        if (group.routes.isEmpty() && route.circuit == group.circuit) {
            groups.remove(group.number);
        }
    }

    private Route newRoute(ListedRoute entry) {
        Destination destination = getOrCreateDestination(entry.destination());
        DestinationKind kind = kinds.get(entry.kind());
        boolean ownLimit = kind != null && kind.hasPerRouteLimits();
        int groupNumber = ownLimit ? entry.route().hashCode() : entry.destination();
        LimitGroup group = groups.computeIfAbsent(groupNumber, n -> new LimitGroup(n, now));
        Route route = new Route(entry, destination, group, ownLimit);
        route.zoneBonus = zoneBonus(route.zone);
        group.routes.add(route);
        destination.routes.put(route.name, route);
        return route;
    }

    private void subscribeIfRequired() {
        if (settings.mustSubscribe() && !subscriptionRequested) {
            subscriptionRequested = true;
            actions.setRouteListSubscription(true);
        }
    }

    private void onTimerFired(long timer) {
        if (timer == WAKE_UP_TIMER) {
            wakeUpAt = now >= wakeUpAt ? Long.MAX_VALUE : wakeUpAt;
            keyQueues.values().removeIf(queue -> queue.requests.isEmpty() && queue.pausedUntil <= now);
        } else if (timer == SUBSCRIBE_TIMER) {
            subscriptionRequested = !settings.mustSubscribe();
            subscribeIfRequired();
        }
    }

    private void scheduleWakeUp() {
        long nextDue = requestsByExpiry.isEmpty() ? Long.MAX_VALUE : requestsByExpiry.first().expiresAt;
        for (Request request : resumedRequests.untriedRequests) {
            for (Route route : request.destination.routes.values()) {
                long callAt = resumedCallAt(request, route);
                nextDue = callAt > now ? Math.min(nextDue, callAt) : nextDue;
            }
        }
        nextDue = Math.min(nextDue, coordinatedGroups.stream()
                .mapToLong(group -> group.coordinator.nextTokenAt).min().orElse(nextDue));
        for (Destination destination : waitingDestinations) {
            for (Route route : destination.routes.values()) {
                nextDue = Math.min(nextDue, route.listedInService ? usableOrTrialAt(route) : Long.MAX_VALUE);
            }
        }
        for (Call call : waitingDestinations.isEmpty() ? List.<Call>of() : callsInFlight) {
            for (long dueAt : new long[] {cancellableAt(call), overdueAt(call)}) {
                nextDue = dueAt > now ? Math.min(nextDue, dueAt) : nextDue;
            }
        }
        if (nextDue < wakeUpAt) {
            wakeUpAt = Math.max(nextDue, now + 1);
            actions.setTimer(WAKE_UP_TIMER, wakeUpAt - now);
        }
    }

    /** When the route may be used or tested next, if only time stands in the way. */
    private long usableOrTrialAt(Route route) {
        LimitGroup group = route.group;
        long tokenWaitUntil = Math.min(group.coordinatedUntil,
                group.tokenRequested ? group.tokenRequestedAt + TOKEN_TIMEOUT_MICROS : Long.MAX_VALUE);
        long usableAt = Math.max(Math.max(group.nextCallAt, group.retryAfterUntil),
                Math.max(tokenWaitUntil, route.connectionBackoffUntil));
        if (route.circuit.state == CircuitState.OPEN) {
            usableAt = Math.max(group.retryAfterUntil, route.circuit.openUntil);
        }
        if (group.circuit.state == CircuitState.OPEN) {
            usableAt = Math.max(group.retryAfterUntil, group.circuit.openUntil);
        }
        return usableAt > now ? usableAt : Long.MAX_VALUE;
    }
}
