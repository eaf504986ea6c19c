// Implements the interface in Policy.java, which declares the settings, events and actions.
package drumdeal;

import drumdeal.DeliveryState.*;
import java.nio.ByteBuffer;
import java.util.*;

/** Takes every decision of a relay: which route, when, for how long, and whether to hold, reject or fail. */
public final class DeliveryPolicy implements Policy {
    // Circuit breakers
    private static final int FAILURES_TO_OPEN = 3; // in a row
    private static final double CALLS_PER_FAILURE = 2; // calls in ten seconds for each failure needed to open
    private static final long MIN_OPEN_MICROS = 2_000_000; // outages last for seconds
    private static final long TRIAL_SPACING_MICROS = 1_000_000; // between trials if all relays try one group
    private static final double JITTER_RATIO = 1; // keeps relays that fail together from returning together
    private static final double UNHEALTHY_ERROR_RATIO = 0.5; // a higher error rate also opens the circuit
    private static final double MOVING_AVERAGE_WEIGHT = 0.2; // of the latest call: about the last five count

    // Route scores
    private static final double MAX_SCORE_GAP = 20; // routes further below the best one get no calls
    private static final long FAST_RESPONSE_MICROS = 1_000_000; // a faster route gets a bonus
    private static final long SLOW_RESPONSE_MICROS = 5_000_000; // a slower route gets a penalty
    private static final double SLOW_RESPONSE_RATIO = 3; // so does one slower than the fastest by this factor
    private static final double MAX_ZONE_BONUS = 8; // favors near or cheap routes; too small to decide alone

    // Pacing and slow start
    private static final double PACING_GROWTH_RATIO_PER_SECOND = 0.1; // at first, after a cut
    private static final double PACING_GROWTH_GAIN_PER_SECOND = 1; // growth speeds up: capacity may be back
    private static final double PACING_REGAIN_RATIO_PER_SECOND = 1; // doubles, up to the last refused rate
    private static final double PACING_REGAIN_SHARE = 0.8; // of the last refused rate, then slow growth
    private static final double MAX_GROWTH_RATIO_PER_SERVED_CALL = 0.05; // bounds what one served call adds
    private static final double MAX_REGAIN_RATIO_PER_SERVED_CALL = 0.25; // same, up to the last refused rate
    private static final double MIN_PACING_CUT_RATIO = 0.5; // kept by a cut where next to nothing is served
    private static final double MIN_FLEET_CALLS_PER_SECOND = 3; // of all relays together, after refusals
    private static final long MAX_GROWTH_SPAN_MICROS = 2_000_000; // a served call after idling proves little
    private static final long MIN_CUT_INTERVAL_MICROS = 500_000; // calls refused so soon were sent before it
    private static final long CONNECTION_BACKOFF_MICROS = 100_000; // about one call: a connection may be free
    private static final int MAX_CONNECTION_BACKOFF_DOUBLINGS = 4;
    private static final long OUTAGE_RETRY_AFTER_MICROS = 2_500_000; // beyond any limit's window: an outage
    private static final long OUTAGE_REFUSAL_SPAN_MICROS = 3_000_000; // refusals alone so long: an outage
    private static final double SLOW_START_MARGIN_RATIO = 0.9; // of the load that the service rules allow
    private static final double MIN_FLEET_SLOW_START_PER_SECOND = 0.75; // of all relays, if nothing is known
    private static final double ROUGH_RATE_DIVISOR = 1.5; // a rough rate may be half too high

    // Time-outs and unanswered calls
    private static final long MIN_TIMEOUT_MICROS = 4_000_000; // a merely slow call must not be sent twice
    private static final long MIN_OVERDUE_MICROS = 2_500_000; // longer than most goals
    private static final double OVERDUE_RATIO = 8; // times the expected response: work varies that much
    private static final long MIN_CANCEL_AGE_MICROS = 1_000_000; // slot is wanted, and a retry may follow
    private static final long MIN_LOSSY_CANCEL_AGE_MICROS = 400_000; // same, while answers get lost
    private static final double CANCEL_AGE_RATIO = 5; // times the expected response, in both cases
    private static final long MIN_TRIAL_TIMEOUT_MICROS = 1_500_000; // a longer trial tells no more
    private static final double TRIAL_TIMEOUT_RATIO = 4; // times the expected response, where longer
    private static final double MAX_TIMEOUT_SHARE = 0.7; // of the longest time limit, or of the request's own
    private static final long INITIAL_RESPONSE_MICROS = 400_000; // assumed before the first answer
    private static final long STALE_RESPONSE_MICROS = 5_000_000; // an older time says nothing of the present

    // Overload, slots and restarts
    private static final double OVERLOAD_EXPIRED_SHARE = 0.02; // of a destination's requests that expire
    private static final double MIN_SIGNIFICANT_LOSSES = 3; // in ten seconds; fewer prove little

    private static final double MAX_SLOT_SHARE = 0.5; // of all slots, for one group
    private static final double MAX_SCARCE_SLOT_SHARE = 0.2; // for a slow one, or any while slots are scarce
    private static final double SLOTS_SCARCE_FROM_SHARE = 0.75; // of the slots in use: the rest is for others

    private static final long RESUMED_CALL_LEAD_MICROS = 1_000_000; // before the deadline, for a last call
    private static final double RESUMED_CALL_LEAD_RATIO = 2; // times the expected response, where longer
    private static final long RESTART_MICROS = 3_500_000; // until the next process can make calls

    // Notes between relays
    private static final long COORDINATION_MICROS = 10_000_000; // relays ask for tokens so long after a note
    private static final long TOKEN_TIMEOUT_MICROS = 8_000_000; // then it counts as lost; own pacing applies
    private static final double COORDINATOR_CUT_RATIO = 0.8; // gentle: it receives the refusals of all relays
    private static final double MAX_LIMIT_RATIO = 2; // a rough rate may be this much too low

    private static final long RATE_TIME_CONSTANT_MICROS =
            DecayingRate.DEFAULT_TIME_CONSTANT_MICROS; // a relay may call a destination only once in so long
    private static final double MIN_OBSERVED_SHARE = 0.4; // of the time constant: a first burst is not usual
    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final long WAITING_HORIZON_MICROS = 2_000_000; // a waiting request may wait longer by this
    private static final long WAKE_UP_TIMER = 1; // for whatever is due next
    private static final long SUBSCRIBE_TIMER = 2; // for subscribing to the route list again
    private static final long SUBSCRIBE_RETRY_MICROS = 3_000_000; // well below maxDiscoveryIntervalMicros

    private Settings settings;
    private final SplittableRandom random;
    private final Map<String, RequestClass> classes = new HashMap<>();
    private final Map<String, DestinationKind> kinds = new HashMap<>();
    private final Map<String, Route> routes = new LinkedHashMap<>();
    private final Map<Integer, Destination> destinations = new LinkedHashMap<>();
    private final Map<Integer, LimitGroup> groups = new HashMap<>();
    private final Set<LimitGroup> coordinatedGroups = new LinkedHashSet<>(); // with relays awaiting tokens
    private final Map<Long, Request> requests = new HashMap<>(); // by id
    private final Map<String, KeyQueue> keyQueues = new HashMap<>(); // by order key
    private static final Comparator<Request> BY_EXPIRY =
            Comparator.<Request>comparingLong(r -> r.expiresAt).thenComparingLong(r -> r.id);
    private final TreeSet<Request> requestsByExpiry = new TreeSet<>(BY_EXPIRY);
    private final ResumedRequests resumedRequests = new ResumedRequests();
    /** Destinations with waiting requests; a round's work grows with these, not with all known ones. */
    private final Set<Destination> waitingDestinations = new LinkedHashSet<>();
    private final Set<Call> callsInFlight = new LinkedHashSet<>(); // oldest first; each holds a slot
    private final DecayingRate lateAnswerRate = new DecayingRate(0); // slow calls that were answered
    private final DecayingRate lostAnswerRate = new DecayingRate(0); // slow calls that were never answered
    private long longestTimeLimitMicros;
    private long now;
    private Actions actions;
    private int openRequestCount; // accepted or resumed, and not ended
    private int predecessorCallsInFlight; // of the process that this one replaces; they hold slots
    private long wakeUpAt = Long.MAX_VALUE; // when the wake-up timer fires; MAX_VALUE where not set
    private boolean subscriptionRequested;
    private boolean shuttingDown;
    private long listStaleSince; // from when on changes to the list may have been missed
    private long listExpiresAt = Long.MAX_VALUE; // from when on those changes count as received

    public DeliveryPolicy(Settings settings) {
        random = new SplittableRandom(settings.seed());
        applySettings(settings);
    }

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

    /** Counts routes that drain, have an open circuit or asked to wait, not those short of rate or slots. */
    @Override
    public int countUnavailableRoutes(long now) {
        return (int) routes.values().stream().filter(r -> r.inRouteList).filter(r -> !r.listedInService
                || now < r.group.retryAfterUntil || isCircuitTripped(r)).count();
    }

    /** Such a note goes to every relay and allows no new call, so no relay spends a dispatch on it. */
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

    /** Applies the call's retry-after and result here too: to endpoints, both processes are one relay. */
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

    /** Ends a trial of the predecessor, whose result never comes; the circuit would stay half-open. */
    private void clearPredecessorTrial(Route route) {
        if (hasPredecessorTrial(route)) {
            route.circuit.trialInFlight = false;
            route.group.circuit.trialInFlight = false;
        }
    }

    private int slotLimit() {
        return settings.limits().callSlots() - predecessorCallsInFlight; // both processes share the slots
    }

    private void onRequestAccepted(RequestAccepted e) {
        addRequest(e);
        if (openRequestCount >= settings.limits().maxOpenRequests()) {
            shedLeastValuable();
        }
    }

    /** Past attempts count; one without a known result may have executed and cannot be answered any more. */
    private void onRequestResumed(RequestResumed e) {
        Request request = addRequest(e.request());
        for (PastAttempt past : e.attempts()) {
            Attempt attempt = new Attempt(new Call(routes.get(past.route()), past.sentAt(), false));
            attempt.result = past.result() == null ? Result.RESET : past.result();
            request.attempts.add(attempt);
            pauseKeyQueueIfUncertain(request, attempt.result);
        }
        resumedRequests.add(request, e.attempts().stream().allMatch(p -> p.result() == Result.NOT_SENT));
        if (request.destination.routes.values().stream().noneMatch(route -> route.listedInService)) {
            actions.fetchRouteList(); // the list may be older than the destination, its next fetch far off
        }
        dequeue(request);
        requeueOrEnd(request);
    }

    /** Calls requests found at restart whatever the pacing: shortly before their deadlines or, if a circuit
     * is open, as early as a cold destination bears: a fleet's last calls at once would overload it. */
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
        boolean callEarly = isCircuitTripped(route) && request.requestClass.idempotency() != Idempotency.ONCE
                && !exceedsSlotShare(route.group, route); // unanswered calls would hold slots to the end
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

    /** Makes room: at the limit, the relay would reject even valuable requests before they get here. */
    private void shedLeastValuable() {
        waitingDestinations.stream().flatMap(destination -> destination.waiting.stream())
                .filter(r -> !r.resumedUntried && isSafeToReject(r))
                .min(Comparator.comparingDouble(r -> valueAt(r, now))).ifPresent(this::endUndelivered);
    }

    private boolean isSafeToReject(Request request) {
        return firstPossiblyExecutedAttempt(request) == null // a client may repeat a rejected request
                || isRepeatableAnywhere(request.requestClass) && now < repeatableUntil(request);
    }

    private static boolean isRepeatableAnywhere(RequestClass type) {
        return type.idempotency() == Idempotency.REPEATABLE
                || type.idempotency() == Idempotency.BY_KEY && type.keyScope() == KeyScope.ALL;
    }

    private void endUndelivered(Request request) {
        if (isSafeToReject(request)) {
            actions.rejectRequest(request.id,
                    settings.limits().mayAdviseRetryDelay() ? retryDelayMicros(request) : 0);
        } else {
            actions.failRequest(request.id);
        }
        finish(request);
    }

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

    /** While shutting down, true also for a request that the next process could not call in time. */
    private boolean isExpired(Request request) {
        return request.expiresAt <= now + (shuttingDown ? RESTART_MICROS : 0);
    }

    /** Ends requests out of time; one with an attempt in flight ends when that reports its time-out. */
    private void endExpired() {
        while (!requestsByExpiry.isEmpty() && isExpired(requestsByExpiry.first())) {
            Request request = requestsByExpiry.pollFirst();
            if (request.attemptsInFlight == 0) {
                countEvent(request.destination.expiredRate);
                endUndelivered(request);
            }
        }
    }

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
        double share = settings.lateValueHalves() // with each further goal span; else it falls evenly
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
        applyRetryAfter(call.route.group, e.retryAfterMicros()); // each of a call's attempts may bring one
        if (!call.resultRecorded) {
            call.resultRecorded = true;
            boolean tooEarly = e.result() == Result.TIMEOUT // due to the deadline, not to the route
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
        requestsByExpiry.remove(request); // it must not wait for an attempt that its class forbids
        request.expiresAt = Math.min(request.deadline, repeatableUntil(request));
        requestsByExpiry.add(request);
        if (isExpired(request) || request.attempts.size() >= request.maxAttempts) {
            endUndelivered(request);
        } else {
            enqueue(request);
        }
    }

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
            case RESET -> onFailed(call, 0); // healthy routes break connections too; failed ones refuse them
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

    private double growthFactor(long since) {
        return Math.pow(1 + PACING_GROWTH_RATIO_PER_SECOND,
                Math.min(MAX_GROWTH_SPAN_MICROS, now - since) / (double) MICROS_PER_SECOND);
    }

    /** Grows quickly to near the last refused rate, then slowly, but faster the longer nothing is refused.
     * The bound for each served call keeps relays that call rarely from doubling their rates by one call and
     * exceeding the limit together, again and again. The price is slower growth once a limit is back. */
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
            return; // an answer to an older call only disproves silence
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
        route.circuit.consecutiveFailures += weight; // 0 for a broken connection
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
            group.slowStartedAt = now; // the outage may go on: the slow start begins again
        }
    }

    /** Leaves the connections to other relays for a while; a lower pacing rate would not free one. */
    private void onCrowded(Call call) {
        Route route = call.route;
        openIfInOutage(route.group, 0);
        route.connectionBackoffUntil = now + jitter(CONNECTION_BACKOFF_MICROS
                << Math.min(route.consecutiveCrowdedResults++, MAX_CONNECTION_BACKOFF_DOUBLINGS));
    }

    /** A destination in an outage may refuse as if above its limit, but returns cold: it needs slow start. */
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

    /** The first cut goes to this relay's share of a known limit, others to the served part of the recent
     * rate. Thus one refusal at each relay does not take the fleet far below the limit. Relays can go below
     * their shares, as refused calls use up the limit too and the fleet would otherwise stay above it. */
    private void cutPacingRate(LimitGroup group) {
        double limit = fleetLimitPerSecond(group);
        double rate = Math.min(group.pacingRate, recentSendRate(group));
        double servedShare = group.servedSinceCut / (double) (group.servedSinceCut + group.refusedSinceCut);
        boolean firstCut = group.pacingRate == Double.POSITIVE_INFINITY;
        group.pacingRate = limit > 0 && firstCut
                ? Math.max(limit / settings.fleetSize(), ratePerSecond(group.servedRate) / 2)
                : Math.max(MIN_FLEET_CALLS_PER_SECOND / settings.fleetSize(),
                        rate * Math.max(MIN_PACING_CUT_RATIO, servedShare));
        // In a run of refusals, only the highest rate still tells what was served before it.
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
                    group.usualRate = ratePerSecond(group.sentRate); // a slow start shows no usual rate
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

    /** A relay tries as often as its share of what a cold destination bears: the trials of a whole fleet
     * could keep it down. The price: at a relay that calls it rarely, requests wait long. */
    private long trialDelayMicros(LimitGroup group) {
        long cap = settings.fleetSize() * TRIAL_SPACING_MICROS;
        return jitter(Math.max(MIN_OPEN_MICROS, Math.min(intervalMicros(slowStartRate(group, now)), cap)));
    }

    private long jitter(long delay) {
        return (long) (delay * (1 - JITTER_RATIO / 2 + JITTER_RATIO * random.nextDouble()));
    }

    /** Fewer where calls are rare, as three would take too long; the price: one error costs a pause. */
    private int failuresToOpen(LimitGroup group) {
        double recentCalls = ratePerSecond(group.sentRate) * RATE_TIME_CONSTANT_MICROS / MICROS_PER_SECOND;
        return (int) Math.max(1, Math.min(FAILURES_TO_OPEN, recentCalls / CALLS_PER_FAILURE));
    }

    private void onProbeEnded(ProbeEnded e) {
        Route route = routes.get(e.route());
        if (route != null) {
            applyRetryAfter(route.group, e.retryAfterMicros()); // calls must wait as well
            Call call = new Call(route, now - e.elapsedMicros(), true);
            recordResult(call, e.result(), e.retryAfterMicros(), e.elapsedMicros(), e.report());
        }
    }

    /** Calls per second that the group takes from all relays, as reported or listed; 0 where unknown. */
    private double fleetLimitPerSecond(LimitGroup group) {
        double listedRate = group.routes.stream().filter(r -> r.listedInService)
                .mapToDouble(r -> r.listedRatePerSecond).max().orElse(0);
        double hint = settings.rateHint() == RateHint.ROUGH ? listedRate / ROUGH_RATE_DIVISOR : listedRate;
        return group.reportedRate > 0 ? group.reportedRate : settings.rateHint() == RateHint.NONE ? 0 : hint;
    }

    /** Events per second over about the rate's time constant, or since counting began if that is less. */
    private double ratePerSecond(DecayingRate rate) {
        double span = rate.timeConstantMicros; // a relay just started has counted for less than this
        double observed = 1 - Math.exp(-Math.max(MIN_OBSERVED_SHARE * span, now - rate.countedSince) / span);
        return rate.count * Math.exp((rate.updatedAt - now) / span) * MICROS_PER_SECOND / span / observed;
    }

    private void countEvent(DecayingRate rate) {
        rate.count = 1 + rate.count * Math.exp((rate.updatedAt - now) / (double) rate.timeConstantMicros);
        rate.updatedAt = now;
    }

    /** Calls sent per second of late; where few, over ten seconds, as the one just refused tells little. */
    private double recentSendRate(LimitGroup group) {
        double othersShare = Math.max(0, 1 - 1 / Math.max(1, group.recentSentRate.count));
        return Math.max(ratePerSecond(group.sentRate), ratePerSecond(group.recentSentRate) * othersShare);
    }

    private boolean isInSlowStart(long since) {
        return now - since < settings.rules().warmUpMicros();
    }

    /** Share of its usual rate that a destination bears; it warms up evenly from its return. */
    private double slowStartFactor(long since) {
        double warmShare = (now - since) / (double) Math.max(1, settings.rules().warmUpMicros());
        double capacityShare = settings.rules().coldCapacityShare() * (1 - warmShare) + warmShare;
        return SLOW_START_MARGIN_RATIO * settings.rules().collapseLoadMultiple() * capacityShare;
    }

    private double slowStartRate(LimitGroup group, long since) {
        double usualRate = Math.max(group.usualRate, fleetLimitPerSecond(group) / settings.fleetSize());
        return Math.max(MIN_FLEET_SLOW_START_PER_SECOND / settings.fleetSize(), // this relay's share
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

    private long overdueAt(Call call) {
        return call.sentAt + capTimeoutMicros( // an answer after that is unlikely
                Math.max(MIN_OVERDUE_MICROS, OVERDUE_RATIO * expectedResponseMicros(call.route)));
    }

    /** When a call may lose its slot to a waiting request: with its answer lost, it would hold the slot as
     * long as a dozen others. A second attempt gets more time, as the work may be long. */
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

    private static boolean mayRetry(Call call) {
        return call.requests.stream() // each is on its first attempt and may have another
                .allMatch(r -> r.requestClass.idempotency() != Idempotency.ONCE && r.attempts.size() == 1);
    }

    /** An unanswered call is lost, not slow, if its route answered others since. One that may be cancelled
     * early while answers get lost is not counted: its answer might have come. */
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

    /** True if nothing was answered for this share of the time from the oldest call until it is overdue. */
    private boolean isSilent(Route route, double share) {
        Call oldest = route.callsInFlight.peek();
        return oldest != null && route.lastAnsweredAt <= oldest.sentAt
                && now - oldest.sentAt >= share * (overdueAt(oldest) - oldest.sentAt);
    }

    /** Saves the three time-outs that a silent route would cost before its circuit opens. */
    private void openIfSilent(Route route) {
        boolean enoughCalls = route.callsInFlight.size() >= Math.min(2, failuresToOpen(route.group));
        if (enoughCalls && route.circuit.state == CircuitState.CLOSED && isSilent(route, 1)) {
            openCircuit(route.circuit, route.group, true, 0);
        }
    }

    /** An idle route's old response time is ignored, so that the route is tried again. */
    private double expectedResponseMicros(Route route) {
        boolean stale = route.callsInFlight.isEmpty() && now - route.lastAnsweredAt > STALE_RESPONSE_MICROS;
        return route.responseMicros == 0 || stale ? INITIAL_RESPONSE_MICROS : route.responseMicros;
    }

    private boolean areSlotsScarce() {
        return callsInFlight.size() > slotLimit() * SLOTS_SCARCE_FROM_SHARE;
    }

    /** True if the group has its share of slots: one destination, above all a slow one, must not hold all. */
    private boolean exceedsSlotShare(LimitGroup group, Route route) {
        int slotCount = settings.limits().callSlots();
        boolean slow = route.responseMicros > SLOW_RESPONSE_MICROS / 2 || isSilent(route, 0.5);
        boolean restricted = slow || areSlotsScarce();
        double share = restricted ? MAX_SCARCE_SLOT_SHARE : MAX_SLOT_SHARE;
        return group.callsInFlight >= (int) Math.ceil(slotCount * share);
    }

    /** False where a drain may have been missed, unless the route served a call sent since that time. */
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

    /** Until when the next attempt may leave; already past once a request of class ONCE may have executed. */
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
            allowed.remove(request.lastRoute()); // a retry prefers another route
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
            // Slow routes would hold scarce slots while fast ones serve several calls in the same time.
            scores[i] /= areSlotsScarce() ? expectedResponseMicros(candidates.get(i)) : 1;
            sum += scores[i];
        }
        double point = random.nextDouble() * sum; // a route's chance is proportional to its score
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

    /** Frees as many slots as wanted; calls with lost answers would hold them all until their time-outs. */
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
            // Requests found at restart go first, by deadline: each is to be tried, and they are the oldest.
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

    /** Value lost if others go first for a while. Where requests expire, one that waits counts as lost:
     * saving the oldest each time would deliver all of them late. */
    private double lossFromWaiting(Request request, Route route) {
        long answeredAt = now + (long) expectedResponseMicros(route);
        Destination destination = request.destination;
        double expiredRate = ratePerSecond(destination.expiredRate);
        boolean overloaded = expiredRate > OVERLOAD_EXPIRED_SHARE * ratePerSecond(destination.acceptedRate)
                && expiredRate * RATE_TIME_CONSTANT_MICROS > MIN_SIGNIFICANT_LOSSES * MICROS_PER_SECOND;
        return valueAt(request, answeredAt)
                - (overloaded ? 0 : valueAt(request, answeredAt + WAITING_HORIZON_MICROS));
    }

    private boolean canBeAnsweredInTime(Request request, Route route) {
        return request.resumedUntried || request.deadline - now > expectedResponseMicros(route) / 2;
    }

    /** Within the pacing rate and, while relays use tokens, with a token or after waiting for one in vain. */
    private boolean mayCallNow(LimitGroup group) {
        return now >= group.nextCallAt && (now >= group.coordinatedUntil || now < group.tokenValidUntil
                || group.tokenRequested && !isAwaitingToken(group));
    }

    /** Each of hundreds of relays sees too little to keep to a limit or to detect an outage. Where notes are
     * allowed, they report to the group's coordinator, which all know by the group's number and which grants
     * tokens one at a time. A lost note or a dead coordinator costs {@link #TOKEN_TIMEOUT_MICROS}. */
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
            sendPeerNote(-1, PeerNoteType.COORDINATION_START, group.number); // to all relays
        }
    }

    /** Grants the tokens that are due: for trials while the destination fails, then at the rate it bears. */
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
            // One dead route must not be tried again and again on behalf of its whole group.
            boolean hasBetter = groupTripped && route.group.routes.stream().anyMatch(r -> r.listedInService
                    && r.circuit.consecutiveFailures < route.circuit.consecutiveFailures);
            if (isInService(route) && !hasBetter && isReadyForTrial(circuit)
                    && now >= route.group.retryAfterUntil && callsInFlight.size() < slotLimit()) {
                sendTrial(destination, route, circuit);
            }
        }
    }

    private void sendTrial(Destination destination, Route route, CircuitBreaker circuit) {
        Request chosen = destination.waiting.stream()
                .filter(r -> isNextForKey(r) && isAllowedByRepeatRules(r, route)
                        && r.deadline - now >= trialTimeoutMicros(r, route)) // or its time-out tells nothing
                .min(Comparator.comparingInt(DeliveryPolicy::trialCost)).orElse(null);
        if (chosen == null) {
            return;
        }
        circuit.trialInFlight = true;
        // A request that may not be repeated elsewhere would have no route left after a failed trial.
        if (!isRepeatableAnywhere(chosen.requestClass) && settings.limits().mayProbe()) {
            countEvent(route.group.sentRate);
            actions.sendProbe(route.name);
        } else {
            startCall(chosen, route, true);
        }
    }

    /** Lowest for the request that loses least by a failed attempt. */
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
        int maxAdded = trial || kind == null ? 0 : kind.maxBatchSize() - 1; // a trial carries one request
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
            return 0; // until the deadline
        }
        double timeout = Math.max(MIN_TIMEOUT_MICROS, OVERDUE_RATIO * expectedResponseMicros(call.route));
        return call.trial || isCircuitTripped(call.route) ? trialTimeoutMicros(call.route)
                : (long) Math.min(timeout, MAX_TIMEOUT_SHARE * request.requestClass.timeLimitMicros());
    }

    /** Beyond the time that requests have, silence could open no circuit and no trial could close one. */
    private long capTimeoutMicros(double timeout) {
        return (long) Math.min(timeout, MAX_TIMEOUT_SHARE * longestTimeLimitMicros);
    }

    /** Shorter for brief requests: if a destination gets no others, they must open and test its circuit. */
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

    /** A list that changes all day must not fill the memory; requests keep what they need of a route. */
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

    /** When the route may next be called or tried, if it waits only for time; else {@code Long.MAX_VALUE}. */
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
