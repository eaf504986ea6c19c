// Implements the interface in Policy.java, which declares the settings, events and actions.
package drumdeal;

import drumdeal.DeliveryState.*;
import java.nio.ByteBuffer;
import java.util.*;

/**
 * Takes every decision of a relay: which route a request is sent to, when and with which time-out, and
 * whether a request is held, rejected or failed. Times and durations are in microseconds, on the clock of
 * the rounds.
 */
public final class DeliveryPolicy implements Policy {
    // Circuit breaker

    /** Failures in a row that open a circuit; fewer if calls are rare, see {@link #failuresToOpen}. */
    private static final int FAILURES_TO_OPEN = 3;
    /** Calls within ten seconds for each failure that is required to open a circuit. */
    private static final double CALLS_PER_FAILURE = 2;
    /** Cost of a request in the choice for a trial, for each step from REPEATABLE through BY_KEY to ONCE. */
    private static final int IDEMPOTENCY_TRIAL_COST = 100;
    /** Further cost of a request that may already have executed. */
    private static final int POSSIBLY_EXECUTED_TRIAL_COST = 50;
    /** Shortest time that a circuit stays open before a trial. Outages last for seconds. */
    private static final long MIN_OPEN_MICROS = 2_000_000;
    /** Time between the trials of one group if all relays try it. */
    private static final long TRIAL_SPACING_MICROS = 1_000_000;
    /**
     * Width of the random spread of a delay, relative to the delay: 1 means from half of it to one and a half
     * times it. The spread keeps relays that notice a failure at the same moment from returning at the same
     * moment.
     */
    private static final double JITTER_RATIO = 1;
    /** Error rate of a route, from 0 to 1, above which its circuit opens even without failures in a row. */
    private static final double UNHEALTHY_ERROR_RATIO = 0.5;
    /** Weight of the latest call in moving averages: about the last five calls count. */
    private static final double MOVING_AVERAGE_WEIGHT = 0.2;

    // Score and route selection

    /** Score of a route without errors, bonus or penalty. */
    private static final int BASE_SCORE = 100;
    /** Penalty of a route whose error rate is 1; a lower error rate counts in proportion. */
    private static final int ERROR_RATE_PENALTY = 50;
    /** Penalty for each failure in a row. */
    private static final int CONSECUTIVE_FAILURE_PENALTY = 10;
    /** Further penalty if the error rate is above {@link #UNHEALTHY_ERROR_RATIO}. */
    private static final int UNHEALTHY_PENALTY = 50;
    /** A route whose score is further below the best one than this gets no calls. */
    private static final double MAX_SCORE_GAP = 20;
    /** A route with a shorter expected response time gets {@link #FAST_RESPONSE_BONUS}. */
    private static final long FAST_RESPONSE_MICROS = 1_000_000;
    /** Bonus of a fast route. */
    private static final int FAST_RESPONSE_BONUS = 20;
    /** A route with a longer expected response time gets {@link #SLOW_RESPONSE_PENALTY}. */
    private static final long SLOW_RESPONSE_MICROS = 5_000_000;
    /**
     * So does a route that is slower by more than this factor than the fastest of the routes compared, or
     * than {@link #INITIAL_RESPONSE_MICROS} if that is longer.
     */
    private static final double SLOW_RESPONSE_RATIO = 3;
    /** Penalty of a slow route. */
    private static final int SLOW_RESPONSE_PENALTY = 30;
    /** Highest bonus for a near or cheap zone: it shifts the choice, but cannot decide it alone. */
    private static final double MAX_ZONE_BONUS = 8;

    // Pacing

    /** Growth of the pacing rate per second just after a cut. */
    private static final double PACING_GROWTH_RATIO_PER_SECOND = 0.1;
    /**
     * Increase of this growth, as a multiple of it, for each second since the cut: the longer nothing is
     * refused, the likelier the destination has capacity again.
     */
    private static final double PACING_GROWTH_GAIN_PER_SECOND = 1;
    /** Growth per second (1 means doubling) while the rate is well below the one last refused. */
    private static final double PACING_REGAIN_RATIO_PER_SECOND = 1;
    /** Share of the last refused rate that is regained quickly; slow growth finds the rest. */
    private static final double PACING_REGAIN_SHARE = 0.8;
    /** Most that one served call adds to the pacing rate in slow growth. */
    private static final double MAX_GROWTH_RATIO_PER_SERVED_CALL = 0.05;
    /** Most that one served call adds while the rate is regained quickly. */
    private static final double MAX_REGAIN_RATIO_PER_SERVED_CALL = 0.25;
    /** A cut to the served share of the rate keeps at least this much, even if hardly anything is served. */
    private static final double MIN_SHARE_KEPT_BY_CUT = 0.5;
    /**
     * Lowest rate after refusals, of all relays together; also the base rate of tokens if no limit is known.
     */
    private static final double MIN_FLEET_CALLS_PER_SECOND = 3;
    /**
     * Longest time for which one served call allows growth: a call served after a long idle time proves
     * little.
     */
    private static final long MAX_GROWTH_SPAN_MICROS = 2_000_000;
    /** Shortest time between two cuts: a call refused sooner may have been sent before the first cut. */
    private static final long MIN_CUT_INTERVAL_MICROS = 500_000;
    /**
     * Pause after a call found all connections of its destination taken. It lasts for about one call, after
     * which a connection may be free.
     */
    private static final long CONNECTION_BACKOFF_MICROS = 100_000;
    /** How often this pause doubles at most while the connections stay taken. */
    private static final int MAX_CONNECTION_BACKOFF_DOUBLINGS = 4;
    /** A longer retry-after time means an outage, as it exceeds the counting window of any limit. */
    private static final long OUTAGE_RETRY_AFTER_MICROS = 2_500_000;
    /**
     * At least {@link #FAILURES_TO_OPEN} refusals over this time, without a served call, are treated as an
     * outage.
     */
    private static final long OUTAGE_REFUSAL_SPAN_MICROS = 3_000_000;

    // Slow start after an outage

    /** Share that is used of the load allowed by the service rules. */
    private static final double SLOW_START_MARGIN_RATIO = 0.9;
    /** Lowest rate of a slow start, of all relays together; used if no rate is known. */
    private static final double MIN_FLEET_SLOW_START_PER_SECOND = 0.75;
    /** A listed rate that is only rough is divided by this, as it may be half too high. */
    private static final double ROUGH_RATE_DIVISOR = 1.5;

    // Time-outs and silence

    /**
     * Shortest time-out of a call that may be repeated: a call that is merely slow must not be sent twice.
     */
    private static final long MIN_TIMEOUT_MICROS = 4_000_000;
    /** Shortest time after which a call is overdue. It is longer than the goals of most classes. */
    private static final long MIN_OVERDUE_MICROS = 2_500_000;
    /** Multiple of the expected response time after which a call is overdue: work varies that much. */
    private static final double OVERDUE_RATIO = 8;
    /**
     * A route that answers nothing counts as slow once this share of the time until its oldest call is
     * overdue has passed. From then on it gets no further calls if two are in flight.
     */
    private static final double SUSPECTED_SILENCE_SHARE = 0.5;
    /** Shortest age at which a call is cancelled if another request wants its slot and a retry may follow. */
    private static final long MIN_CANCEL_AGE_MICROS = 1_000_000;
    /** The same while answers get lost, then also for calls that no retry may follow. */
    private static final long MIN_LOSSY_CANCEL_AGE_MICROS = 400_000;
    /**
     * Both ages as a multiple of the expected response time, if that is longer; {@link #OVERDUE_RATIO}
     * applies if no retry may follow.
     */
    private static final double CANCEL_AGE_RATIO = 5;
    /** Shortest time-out of a trial. Waiting longer for an answer reveals nothing more. */
    private static final long MIN_TRIAL_TIMEOUT_MICROS = 1_500_000;
    /** The same as a multiple of the expected response time, if that is longer. */
    private static final double TRIAL_TIMEOUT_RATIO = 4;
    /**
     * Longest time-out as a share of a time limit: the longest one of all classes, or that of the request's
     * own class.
     */
    private static final double MAX_TIMEOUT_SHARE = 0.7;
    /** Expected response time of a route before its first answer. */
    private static final long INITIAL_RESPONSE_MICROS = 400_000;
    /** A response time as old as this says nothing about the present. */
    private static final long STALE_RESPONSE_MICROS = 5_000_000;

    // Overload

    /** A destination is overloaded if a larger share than this of its requests expires. */
    private static final double OVERLOAD_EXPIRED_SHARE = 0.02;
    /** Fewer losses within ten seconds are too few to draw conclusions from. */
    private static final double MIN_SIGNIFICANT_LOSSES = 3;

    // Slots

    /** Most slots that one group may hold, as a share of all. */
    private static final double MAX_SLOT_SHARE = 0.5;
    /** The same for a slow group, and for any group while slots are scarce. */
    private static final double MAX_SCARCE_SLOT_SHARE = 0.2;
    /** Slots are scarce if a larger share than this is in use: the rest is for other destinations. */
    private static final double SLOTS_SCARCE_FROM_SHARE = 0.75;

    // Restarts

    /** How long before its deadline a resumed request is sent regardless of the pacing rate. */
    private static final long RESUMED_CALL_LEAD_MICROS = 1_000_000;
    /** The same as a multiple of the expected response time, if that is longer. */
    private static final double RESUMED_CALL_LEAD_RATIO = 2;
    /** Time that a restart takes until the next process can make calls. */
    private static final long RESTART_MICROS = 3_500_000;

    // Token coordination between relays

    /** How long all relays request tokens for a group after a note that coordination has started. */
    private static final long COORDINATION_MICROS = 10_000_000;
    /** A token that has not arrived after this time counts as lost; only the own pacing rate applies then. */
    private static final long TOKEN_TIMEOUT_MICROS = 8_000_000;
    /**
     * Share of the limit that remains after a refusal. The cut is small, as a coordinator receives the
     * refusals of all relays.
     */
    private static final double COORDINATOR_CUT_RATIO = 0.8;
    /** Highest multiple of the known limit that is granted: a rough rate may be this much too low. */
    private static final double MAX_LIMIT_RATIO = 2;
    /**
     * Tokens that fell due within this time before now are granted at once, earlier ones not at all. This
     * limits the burst after a time in which none were requested.
     */
    private static final long MAX_TOKEN_BURST_MICROS = 500_000;

    // Timers and general

    /** Time constant of event rates. A relay may call a destination only once in this time. */
    private static final long RATE_TIME_CONSTANT_MICROS = DecayingRate.DEFAULT_TIME_CONSTANT_MICROS;
    /**
     * Shortest time over which a rate is computed, as a share of its time constant. A first burst of events
     * would otherwise be taken for the usual rate.
     */
    private static final double MIN_OBSERVED_SHARE = 0.4;
    private static final long MICROS_PER_SECOND = 1_000_000;
    /** Assumed further wait of a request if others go first; used to compare what waiting costs. */
    private static final long WAITING_HORIZON_MICROS = 2_000_000;
    /** Number of the timer for whatever is due next. */
    private static final long WAKE_UP_TIMER = 1;
    /** Number of the timer for subscribing to the route list again. */
    private static final long SUBSCRIBE_TIMER = 2;
    /** Delay before subscribing again, far below {@link ServiceRules#maxDiscoveryIntervalMicros}. */
    private static final long SUBSCRIBE_RETRY_MICROS = 3_000_000;

    private Settings settings;
    private final SplittableRandom random;
    private final Map<String, RequestClass> classes = new HashMap<>();
    private final Map<String, DestinationKind> kinds = new HashMap<>();
    private final Map<String, Route> routes = new LinkedHashMap<>();
    private final Map<Integer, Destination> destinations = new LinkedHashMap<>();
    private final Map<Integer, LimitGroup> groups = new HashMap<>();
    /** Groups that this relay coordinates and for which relays await tokens. */
    private final Set<LimitGroup> coordinatedGroups = new LinkedHashSet<>();
    /** By id. */
    private final Map<Long, Request> requests = new HashMap<>();
    /** By order key. */
    private final Map<String, KeyQueue> keyQueues = new HashMap<>();
    private static final Comparator<Request> BY_EXPIRY =
            Comparator.<Request>comparingLong(r -> r.expiresAt).thenComparingLong(r -> r.id);
    private final TreeSet<Request> requestsByExpiry = new TreeSet<>(BY_EXPIRY);
    private final ResumedRequests resumedRequests = new ResumedRequests();
    /**
     * Destinations with waiting requests. The work of a round grows with their number, however many
     * destinations are known.
     */
    private final Set<Destination> waitingDestinations = new LinkedHashSet<>();
    /** Calls in flight, oldest first; each holds a slot. */
    private final Set<Call> callsInFlight = new LinkedHashSet<>();
    /** Calls that took much longer than expected of their route, and were served after all. */
    private final DecayingRate lateAnswerRate = new DecayingRate(0);
    /** Calls that took much longer than expected of their route, and were never answered. */
    private final DecayingRate lostAnswerRate = new DecayingRate(0);
    /** The longest time limit of all request classes. */
    private long longestTimeLimitMicros;
    /** Time of the current round, in microseconds. */
    private long now;
    private Actions actions;
    /** Requests accepted or resumed that have not ended. */
    private int openRequestCount;
    /** Calls that the predecessor, the previous process of this relay, has in flight. They hold slots. */
    private int predecessorCallsInFlight;
    /** When the wake-up timer fires; {@code Long.MAX_VALUE} if it is not set. */
    private long wakeUpAt = Long.MAX_VALUE;
    private boolean subscriptionRequested;
    private boolean shuttingDown;
    /** From when on changes to the route list may have been missed. */
    private long listStaleSince;
    /**
     * From when on the missed changes count as received; {@code Long.MAX_VALUE} while the list is up to date.
     */
    private long listExpiresAt = Long.MAX_VALUE;

    /** Creates a policy that knows nothing but its settings. */
    public DeliveryPolicy(Settings settings) {
        random = new SplittableRandom(settings.seed());
        applySettings(settings);
    }

    /** Replaces all settings. Accepted requests keep their terms, and what was learned of routes remains. */
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

    /**
     * Counts the listed routes that drain, have an open or half-open circuit or asked to wait, but not those
     * that only wait for their pacing rate or a slot.
     */
    @Override
    public int countUnavailableRoutes(long now) {
        return (int) routes.values().stream().filter(r -> r.inRouteList).filter(r -> !r.listedInService
                || now < r.group.retryAfterUntil || isCircuitTripped(r)).count();
    }

    /**
     * True for a note that starts coordination of a group. It allows no new call, and every relay gets it:
     * without this check, each one would cost a full dispatch at every relay of the fleet.
     */
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
            Optional.ofNullable(requests.get(e.id())).filter(r -> !r.ended).ifPresent(this::finish);
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

    /**
     * Applies the retry-after time and the result of a call of the predecessor here too: to the endpoints,
     * both processes are one relay.
     */
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

    /**
     * True if a trial is marked as in flight and no call of this process to the route's group is that trial.
     */
    private boolean hasPredecessorTrial(Route route) {
        return (route.circuit.trialInFlight || route.group.circuit.trialInFlight)
                && callsInFlight.stream().noneMatch(call -> call.trial && call.route.group == route.group);
    }

    /**
     * Clears the mark of a trial that the predecessor started. Its result will never arrive, and the circuit
     * would stay half-open.
     */
    private void clearPredecessorTrial(Route route) {
        if (hasPredecessorTrial(route)) {
            route.circuit.trialInFlight = false;
            route.group.circuit.trialInFlight = false;
        }
    }

    /** How many calls this process may have in flight: it shares the slots with its predecessor. */
    private int slotLimit() {
        return settings.limits().callSlots() - predecessorCallsInFlight;
    }

    private void onRequestAccepted(RequestAccepted e) {
        addRequest(e);
        if (openRequestCount >= settings.limits().maxOpenRequests()) {
            shedLeastValuable();
        }
    }

    /**
     * Continues a request from before a restart. Its past attempts count. One without a known result may have
     * executed and can no longer be answered.
     */
    private void onRequestResumed(RequestResumed e) {
        Request request = addRequest(e.request());
        for (PastAttempt past : e.attempts()) {
            Attempt attempt = new Attempt(new Call(routes.get(past.route()), past.sentAt(), false));
            attempt.result = past.result() == null ? Result.RESET : past.result();
            request.attempts.add(attempt);
            pauseKeyQueueIfUncertain(request, attempt.result);
        }
        resumedRequests.add(request, e.attempts().stream().allMatch(p -> p.result() == Result.NOT_SENT));
        // The restored list may be older than the destination, and its next regular fetch may be far off.
        if (request.destination.routes.values().stream().noneMatch(route -> route.listedInService)) {
            actions.fetchRouteList();
        }
        dequeue(request);
        requeueOrEnd(request);
    }

    /**
     * Sends untried resumed requests shortly before their deadlines, regardless of the pacing rate. While a
     * circuit is open or half-open, they are sent earlier, at the rate of a slow start. Otherwise a fleet
     * with many such requests would overload the destination with all of them at their deadlines.
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

    /** True if the circuit of the route or of its group is open or half-open. */
    private static boolean isCircuitTripped(Route route) {
        return route.circuit.state != CircuitState.CLOSED || route.group.circuit.state != CircuitState.CLOSED;
    }

    /**
     * When an untried resumed request may be sent to the route, regardless of the pacing rate. If a circuit
     * is tripped, that is at once, unless the class is ONCE or the group holds its share of the slots: while
     * nothing answers, such calls hold their slots until they time out.
     */
    private long resumedCallAt(Request request, Route route) {
        boolean callEarly = isCircuitTripped(route) && request.requestClass.idempotency() != Idempotency.ONCE
                && !exceedsSlotShare(route.group, route);
        long latest = request.deadline - (long) Math.max(RESUMED_CALL_LEAD_MICROS,
                RESUMED_CALL_LEAD_RATIO * expectedResponseMicros(route));
        return Math.max(callEarly ? now : latest,
                Math.max(route.group.retryAfterUntil, route.group.nextResumedCallAt));
    }

    /**
     * Tracks a request and queues it. Its class may be missing from the settings only if it brings its own
     * terms.
     */
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
        request.destination.waitingRequests.add(request);
        waitingDestinations.add(request.destination);
    }

    private void dequeue(Request request) {
        request.destination.waitingRequests.remove(request);
        if (request.destination.waitingRequests.isEmpty()) {
            waitingDestinations.remove(request.destination);
        }
    }

    private Destination getOrCreateDestination(int number) {
        return destinations.computeIfAbsent(number, n -> new Destination(now));
    }

    /**
     * Rejects the waiting request of the lowest value, to make room. With its buffer full, the relay would
     * reject new requests regardless of their value. Untried resumed requests are kept, and so are those
     * that cannot be rejected safely.
     */
    private void shedLeastValuable() {
        waitingDestinations.stream().flatMap(destination -> destination.waitingRequests.stream())
                .filter(r -> !r.resumedUntried && isSafeToReject(r))
                .min(Comparator.comparingDouble(r -> valueAt(r, now))).ifPresent(this::endUndelivered);
    }

    /**
     * True if the client may safely repeat the request: it has certainly not executed, or a repeat has no
     * further effect.
     */
    private boolean isSafeToReject(Request request) {
        return firstPossiblyExecutedAttempt(request) == null
                || isRepeatableAnywhere(request.requestClass) && now < repeatableUntil(request);
    }

    /** True if a request of the class may be sent again to any route of its destination. */
    private static boolean isRepeatableAnywhere(RequestClass type) {
        return type.idempotency() == Idempotency.REPEATABLE
                || type.idempotency() == Idempotency.BY_KEY && type.keyScope() == KeyScope.ALL;
    }

    /**
     * Rejects a request if the client may safely repeat it, else fails it. No attempt of it may be in flight.
     */
    private void endUndelivered(Request request) {
        if (isSafeToReject(request)) {
            actions.rejectRequest(request.id,
                    settings.limits().mayAdviseRetryDelay() ? retryDelayMicros(request) : 0);
        } else {
            actions.failRequest(request.id);
        }
        finish(request);
    }

    /**
     * How long the client should wait before it repeats the request: until a route of the destination may be
     * usable again, but at least half a second; one second if that time is unknown.
     */
    private long retryDelayMicros(Request request) {
        long freeAt = request.destination.routes.values().stream().filter(route -> route.listedInService)
                .mapToLong(this::usableOrTrialAt).min().orElse(Long.MAX_VALUE);
        return freeAt == Long.MAX_VALUE ? MICROS_PER_SECOND : Math.max(MICROS_PER_SECOND / 2, freeAt - now);
    }

    /** Marks an open request as ended and stops scheduling it. */
    private void finish(Request request) {
        request.ended = true;
        Optional.ofNullable(resumedRequests.recordTriedOrEnded(request, false)).ifPresent(actions::log);
        openRequestCount--;
        dequeue(request);
        requestsByExpiry.remove(request);
        forgetIfSettled(request);
    }

    /** Forgets an ended request once no attempt of it is in flight. */
    private void forgetIfSettled(Request request) {
        if (!request.ended || request.attemptsInFlight > 0) {
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

    /**
     * True unless the request must wait for an earlier one of its key, or for the pause after an attempt of
     * the key whose outcome is unknown. The pause holds back only first attempts.
     */
    private boolean isNextForKey(Request request) {
        if (request.orderKey == null) {
            return true;
        }
        KeyQueue queue = keyQueues.get(request.orderKey);
        return queue.requests.peek() == request && (!request.attempts.isEmpty() || queue.pausedUntil <= now);
    }

    /**
     * True if the request is out of time. While shutting down, that includes a request that the next process
     * could not call in time.
     */
    private boolean isExpired(Request request) {
        return request.expiresAt <= now + (shuttingDown ? RESTART_MICROS : 0);
    }

    /**
     * Ends requests that are out of time. One with an attempt in flight ends when that attempt does.
     */
    private void endExpired() {
        while (!requestsByExpiry.isEmpty() && isExpired(requestsByExpiry.first())) {
            Request request = requestsByExpiry.pollFirst();
            if (request.attemptsInFlight == 0) {
                countEvent(request.destination.expiredRate);
                endUndelivered(request);
            }
        }
    }

    /**
     * Value of the request if it is delivered at a time: full until its goal, then falling, and 0 from its
     * deadline on.
     */
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
        // Halves with each further goal duration, or falls evenly; in both cases to the late share.
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
        // The retry-after time may have been given to only some of the requests of a call.
        applyRetryAfter(call.route.group, e.retryAfterMicros());
        if (!call.resultRecorded) {
            call.resultRecorded = true;
            // The route is not to blame for a request that was sent shortly before its deadline.
            boolean tooEarly = e.result() == Result.TIMEOUT
                    && e.elapsedMicros() < trialTimeoutMicros(request, call.route);
            countLateOrLostAnswer(call, e.result(), e.elapsedMicros());
            recordResult(call, tooEarly ? Result.NOT_SENT : e.result(), e.retryAfterMicros(),
                    e.elapsedMicros(), e.report());
        }
        forgetIfUnlisted(call.route);
        pauseKeyQueueIfUncertain(request, e.result());
        if (request.ended) {
            forgetIfSettled(request);
        } else if (e.requestClosed()) {
            finish(request);
        } else if (request.attemptsInFlight == 0) {
            requeueOrEnd(request);
        }
    }

    /** Holds back calls to the group for the time that it asked for; 0 if it asked for none. */
    private void applyRetryAfter(LimitGroup group, long retryAfter) {
        if (retryAfter > 0) {
            group.retryAfterUntil = Math.max(group.retryAfterUntil, now + retryAfter);
        }
    }

    /**
     * Pauses the request's key for the time that the service rules require if the attempt was not answered
     * but may have executed.
     */
    private void pauseKeyQueueIfUncertain(Request request, Result result) {
        boolean answered = result == Result.OK || result == Result.ERROR;
        if (request.orderKey != null && !answered && !result.provesNoEffect()) {
            keyQueues.get(request.orderKey).pausedUntil = now + settings.rules().orderPauseMicros();
            actions.setTimer(WAKE_UP_TIMER, settings.rules().orderPauseMicros());
        }
    }

    /** The oldest attempt whose result does not prove that it had no effect; null if there is none. */
    private static Attempt firstPossiblyExecutedAttempt(Request request) {
        return request.attempts.stream().filter(past -> past.result == null || !past.result.provesNoEffect())
                .findFirst().orElse(null);
    }

    /** Queues a request for its next attempt, or ends it if no further attempt is allowed. */
    private void requeueOrEnd(Request request) {
        // It must not wait until its deadline for an attempt that its class does not allow any more.
        requestsByExpiry.remove(request);
        request.expiresAt = Math.min(request.deadline, repeatableUntil(request));
        requestsByExpiry.add(request);
        if (isExpired(request) || request.attempts.size() >= request.maxAttempts) {
            endUndelivered(request);
        } else {
            enqueue(request);
        }
    }

    /** Applies the result of a call, once for the whole call, to its route and its group. */
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
            // Healthy routes break connections too, whereas a failed one refuses new connections.
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

    /** Factor of slow growth since the given time, over at most {@link #MAX_GROWTH_SPAN_MICROS}. */
    private double growthFactor(long since) {
        return Math.pow(1 + PACING_GROWTH_RATIO_PER_SECOND,
                Math.min(MAX_GROWTH_SPAN_MICROS, now - since) / (double) MICROS_PER_SECOND);
    }

    /**
     * Raises the pacing rate after a served call: quickly to near the last refused rate, then slowly, but
     * faster the longer nothing is refused. The bound for each served call is for relays that call rarely.
     * Without it, one call could double the rate of each, and together they would exceed the limit again and
     * again. The price is slower growth once a destination has capacity again.
     */
    private void growPacingRate(LimitGroup group) {
        double span = Math.min(MAX_GROWTH_SPAN_MICROS, now - group.pacingRateUpdatedAt)
                / (double) MICROS_PER_SECOND;
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
        group.pacingRateUpdatedAt = now;
    }

    /**
     * Closes the circuit after a served call. A call sent before the circuit opened closes it only if it was
     * opened because of missing answers.
     */
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
            actions.log("circuit closed: " + route.name);
        }
    }

    /**
     * Counts a failed call; a weight of 0 counts in the error rate, but not as one of the failures in a row.
     */
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
            // The outage may go on, so the slow start begins again.
            group.slowStartedAt = now;
        }
    }

    /**
     * Leaves the connections of the route to other relays for a while. A lower pacing rate here would not
     * free one.
     */
    private void onCrowded(Call call) {
        Route route = call.route;
        openIfInOutage(route.group, 0);
        route.connectionBackoffUntil = now + jitter(CONNECTION_BACKOFF_MICROS
                << Math.min(route.consecutiveCrowdedResults++, MAX_CONNECTION_BACKOFF_DOUBLINGS));
    }

    /**
     * Opens the circuit of the group if its refusals indicate an outage. A destination in an outage refuses
     * calls like one above its limit, but it returns cold and needs a slow start.
     */
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

    /**
     * Delays the next call after a refusal. Also cuts the pacing rate, unless the call was sent before the
     * last cut or that cut was less than {@link #MIN_CUT_INTERVAL_MICROS} ago.
     */
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
     * Cuts the pacing rate. The first cut goes to this relay's share of the limit, if one is known, or to
     * half the served rate if that is higher. Any other cut goes to the served part of the recent rate. Thus
     * one refusal at each relay does not take the fleet far below the limit. Nor does the fleet stay above
     * it, as it would if no relay went below its share while refused calls use up the limit too.
     */
    private void cutPacingRate(LimitGroup group) {
        double limit = fleetLimitPerSecond(group);
        double rate = Math.min(group.pacingRate, recentSendRate(group));
        double servedShare = group.servedSinceCut / (double) (group.servedSinceCut + group.refusedSinceCut);
        boolean firstCut = group.pacingRate == Double.POSITIVE_INFINITY;
        group.pacingRate = limit > 0 && firstCut
                ? Math.max(limit / settings.fleetSize(), ratePerSecond(group.servedRate) / 2)
                : Math.max(MIN_FLEET_CALLS_PER_SECOND / settings.fleetSize(),
                        rate * Math.max(MIN_SHARE_KEPT_BY_CUT, servedShare));
        // After several cuts with nothing served in between, only the highest rate still shows what was
        // served before them.
        group.refusedPacingRate = group.servedSinceCut > 0 ? rate : Math.max(rate, group.refusedPacingRate);
        group.lastCutAt = now;
        group.pacingRateUpdatedAt = now;
        group.servedSinceCut = 0;
        group.refusedSinceCut = 0;
    }

    /**
     * Opens the circuit, or keeps it open, until the next trial is due, at the earliest after {@code
     * retryAfter}. {@code bySilence} is true if the route answers nothing.
     */
    private void openCircuit(CircuitBreaker circuit, LimitGroup group, boolean bySilence, long retryAfter) {
        if (circuit.state == CircuitState.CLOSED) {
            circuit.openedAt = now;
            circuit.openedBySilence = bySilence;
            if (circuit == group.circuit) {
                // The rate during a slow start is not the usual one.
                if (!isInSlowStart(group.slowStartedAt)) {
                    group.usualRate = ratePerSecond(group.sentRate);
                }
                String reason = bySilence ? ", no answers" : "";
                actions.log("circuit opened: " + group.routes.get(0).name + reason + " (failures in a row "
                        + circuit.consecutiveFailures + ", refusals " + group.consecutiveRefusals
                        + ", calls in flight " + group.callsInFlight
                        + ", pacing rate " + (float) group.pacingRate
                        + ", usual rate " + (float) group.usualRate + ")");
            }
        }
        circuit.state = CircuitState.OPEN;
        circuit.openUntil = now + Math.max(retryAfter, trialDelayMicros(group));
    }

    /**
     * Time until the next trial: the interval between calls of a slow start, within bounds, as the trials of
     * all relays together could keep the destination down. The price is that requests wait long at a relay
     * that calls the destination rarely.
     */
    private long trialDelayMicros(LimitGroup group) {
        long cap = settings.fleetSize() * TRIAL_SPACING_MICROS;
        return jitter(Math.max(MIN_OPEN_MICROS, Math.min(intervalMicros(slowStartRate(group, now)), cap)));
    }

    /** The delay, spread at random as {@link #JITTER_RATIO} says. */
    private long jitter(long delay) {
        return (long) (delay * (1 - JITTER_RATIO / 2 + JITTER_RATIO * random.nextDouble()));
    }

    /**
     * Failures in a row that open the circuit. A relay that calls a destination rarely cannot wait for three
     * of them; the price is that a single error costs it a pause.
     */
    private int failuresToOpen(LimitGroup group) {
        double recentCalls = ratePerSecond(group.sentRate) * RATE_TIME_CONSTANT_MICROS / MICROS_PER_SECOND;
        return (int) Math.max(1, Math.min(FAILURES_TO_OPEN, recentCalls / CALLS_PER_FAILURE));
    }

    private void onProbeEnded(ProbeEnded e) {
        Route route = routes.get(e.route());
        if (route != null) {
            // Calls must wait as well if the probe was asked to.
            applyRetryAfter(route.group, e.retryAfterMicros());
            Call call = new Call(route, now - e.elapsedMicros(), true);
            recordResult(call, e.result(), e.retryAfterMicros(), e.elapsedMicros(), e.report());
        }
    }

    /** Calls per second that the group accepts from all relays, as reported or listed; 0 if unknown. */
    private double fleetLimitPerSecond(LimitGroup group) {
        double listedRate = group.routes.stream().filter(r -> r.listedInService)
                .mapToDouble(r -> r.listedRatePerSecond).max().orElse(0);
        double hint = settings.rateHint() == RateHint.ROUGH ? listedRate / ROUGH_RATE_DIVISOR : listedRate;
        return group.reportedRate > 0 ? group.reportedRate : settings.rateHint() == RateHint.NONE ? 0 : hint;
    }

    /**
     * Events per second over about the rate's time constant, or since counting began if that is shorter.
     * Otherwise the events of a relay's first seconds would be spread over ten.
     */
    private double ratePerSecond(DecayingRate rate) {
        double span = rate.timeConstantMicros;
        double observed = 1 - Math.exp(-Math.max(MIN_OBSERVED_SHARE * span, now - rate.countedSince) / span);
        return rate.count * Math.exp((rate.updatedAt - now) / span) * MICROS_PER_SECOND / span / observed;
    }

    /** Adds one event to the rate, after its earlier events have decayed up to now. */
    private void countEvent(DecayingRate rate) {
        rate.count = 1 + rate.count * Math.exp((rate.updatedAt - now) / (double) rate.timeConstantMicros);
        rate.updatedAt = now;
    }

    /**
     * Calls per second that this relay has sent: the higher of the rates over two and over ten seconds. The
     * former leaves one call out, as the call just refused says little. Thus the rate over ten seconds
     * applies if the relay calls rarely.
     */
    private double recentSendRate(LimitGroup group) {
        double othersShare = Math.max(0, 1 - 1 / Math.max(1, group.recentSentRate.count));
        return Math.max(ratePerSecond(group.sentRate), ratePerSecond(group.recentSentRate) * othersShare);
    }

    /** True if a slow start that began at the given time still goes on. */
    private boolean isInSlowStart(long since) {
        return now - since < settings.rules().warmUpMicros();
    }

    /**
     * Multiple of its usual rate that a destination may safely get. Its capacity grows linearly from its
     * recovery at the given time.
     */
    private double slowStartFactor(long since) {
        double warmShare = (now - since) / (double) Math.max(1, settings.rules().warmUpMicros());
        double capacityShare = settings.rules().coldCapacityShare() * (1 - warmShare) + warmShare;
        return SLOW_START_MARGIN_RATIO * settings.rules().collapseLoadMultiple() * capacityShare;
    }

    /** Calls per second that this relay may send to the group if it recovered at the given time. */
    private double slowStartRate(LimitGroup group, long since) {
        double usualRate = Math.max(group.usualRate, fleetLimitPerSecond(group) / settings.fleetSize());
        return Math.max(MIN_FLEET_SLOW_START_PER_SECOND / settings.fleetSize(),
                slowStartFactor(since) * usualRate);
    }

    /** Calls per second that this relay may send to the group now; infinite if not bounded. */
    private double effectivePacingRate(LimitGroup group) {
        long since = group.slowStartedAt;
        return isInSlowStart(since) ? Math.min(group.pacingRate, slowStartRate(group, since))
                : group.pacingRate;
    }

    /** Time between two calls at a rate per second; 0 if the rate is not bounded. */
    private static long intervalMicros(double rate) {
        return (long) (MICROS_PER_SECOND / rate);
    }

    /** When a call is so late for its route that an answer has become unlikely. */
    private long overdueAt(Call call) {
        return call.sentAt + capTimeoutMicros(
                Math.max(MIN_OVERDUE_MICROS, OVERDUE_RATIO * expectedResponseMicros(call.route)));
    }

    /**
     * When a call may lose its slot to a waiting request. If the answer of a call is lost, it holds its slot
     * for as long as a dozen other calls would. A call that no retry may follow gets more time, as the work
     * may take long.
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

    /** True if every request of the call is on its first attempt and its class allows another. */
    private static boolean mayRetry(Call call) {
        return call.requests.stream()
                .allMatch(r -> r.requestClass.idempotency() != Idempotency.ONCE && r.attempts.size() == 1);
    }

    /**
     * Learns whether late answers still arrive. A call without an answer is lost, not slow, if its route has
     * answered others since. Calls that are cancelled early while answers get lost are not counted: their
     * answers might have come.
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

    /** True if enough slow calls were lost recently, and more than were answered after all. */
    private boolean areAnswersLost() {
        double lostRate = ratePerSecond(lostAnswerRate);
        return lostRate * RATE_TIME_CONSTANT_MICROS > MIN_SIGNIFICANT_LOSSES * MICROS_PER_SECOND
                && lostRate > ratePerSecond(lateAnswerRate);
    }

    /**
     * True if the route has answered nothing since its oldest call in flight was sent, and this share of the
     * time after which that call is overdue has passed.
     */
    private boolean isSilent(Route route, double share) {
        Call oldest = route.callsInFlight.peek();
        return oldest != null && route.lastAnsweredAt <= oldest.sentAt
                && now - oldest.sentAt >= share * (overdueAt(oldest) - oldest.sentAt);
    }

    /**
     * Opens the circuit of a route that answers nothing while two calls, or one if calls are rare, are in
     * flight. Otherwise it would take three time-outs to open it.
     */
    private void openIfSilent(Route route) {
        boolean enoughCalls = route.callsInFlight.size() >= Math.min(2, failuresToOpen(route.group));
        if (enoughCalls && route.circuit.state == CircuitState.CLOSED && isSilent(route, 1)) {
            openCircuit(route.circuit, route.group, true, 0);
        }
    }

    /**
     * Expected response time of the route. An old one is ignored if no call is in flight there, so that a
     * route that was slow is tried again.
     */
    private double expectedResponseMicros(Route route) {
        boolean stale = route.callsInFlight.isEmpty() && now - route.lastAnsweredAt > STALE_RESPONSE_MICROS;
        return route.responseMicros == 0 || stale ? INITIAL_RESPONSE_MICROS : route.responseMicros;
    }

    /** True if so many slots are in use that the rest is kept for other destinations. */
    private boolean areSlotsScarce() {
        return callsInFlight.size() > slotLimit() * SLOTS_SCARCE_FROM_SHARE;
    }

    /**
     * True if the group holds its share of the slots: one destination, above all a slow one, must not hold
     * them all. A route is slow here from half of {@link #SLOW_RESPONSE_MICROS} on.
     */
    private boolean exceedsSlotShare(LimitGroup group, Route route) {
        int slotCount = settings.limits().callSlots();
        boolean slow = route.responseMicros > SLOW_RESPONSE_MICROS / 2
                || isSilent(route, SUSPECTED_SILENCE_SHARE);
        boolean restricted = slow || areSlotsScarce();
        double share = restricted ? MAX_SCARCE_SLOT_SHARE : MAX_SLOT_SHARE;
        return group.callsInFlight >= (int) Math.ceil(slotCount * share);
    }

    /**
     * True if the route is listed as in service and the list still holds. From {@link #listExpiresAt} on, the
     * changes missed since {@link #listStaleSince} count as received, and a drain may be among them. A route
     * that has served a call sent since then does not drain.
     */
    private boolean isInService(Route route) {
        return route.listedInService && now < inServiceUntil(route);
    }

    /** Until when the route counts as in service; {@code Long.MAX_VALUE} while no time is set. */
    private long inServiceUntil(Route route) {
        return route.lastServedCallSentAt >= listStaleSince ? Long.MAX_VALUE : listExpiresAt;
    }

    /**
     * True if a call that is no trial may go to the route now. A route with two calls in flight gets no more
     * once it has been silent for {@link #SUSPECTED_SILENCE_SHARE}. Opens the circuit of a silent route.
     */
    private boolean isUsable(Route route) {
        LimitGroup group = route.group;
        openIfSilent(route);
        return isInService(route) && now >= group.retryAfterUntil && now >= route.connectionBackoffUntil
                && mayCallNow(group) && !isCircuitTripped(route) && !(route.callsInFlight.size() >= 2
                        && isSilent(route, SUSPECTED_SILENCE_SHARE)) && !exceedsSlotShare(group, route);
    }

    /**
     * Score of a route, at least 0; higher is better. {@code fastest} is the shortest expected response time
     * of the routes compared, in microseconds.
     */
    private double score(Route route, double fastest) {
        double score = BASE_SCORE - route.errorRate * ERROR_RATE_PENALTY
                - route.circuit.consecutiveFailures * CONSECUTIVE_FAILURE_PENALTY;
        score -= route.errorRate > UNHEALTHY_ERROR_RATIO ? UNHEALTHY_PENALTY : 0;
        score += expectedResponseMicros(route) < FAST_RESPONSE_MICROS ? FAST_RESPONSE_BONUS : 0;
        score -= expectedResponseMicros(route) > Math.min(SLOW_RESPONSE_MICROS,
                SLOW_RESPONSE_RATIO * Math.max(INITIAL_RESPONSE_MICROS, fastest)) ? SLOW_RESPONSE_PENALTY : 0;
        return Math.max(0, score + route.zoneBonus);
    }

    /**
     * Score bonus of a zone: the cheaper its attempts, the higher. Without prices, only this relay's own zone
     * has one.
     */
    private double zoneBonus(String zone) {
        double highestPrice = settings.zones().stream().mapToDouble(Zone::attemptPrice).max().orElse(0);
        if (highestPrice > 0) {
            double price = settings.zones().stream().filter(z -> z.name().equals(zone))
                    .mapToDouble(Zone::attemptPrice).findFirst().orElse(highestPrice);
            return MAX_ZONE_BONUS * (1 - price / highestPrice);
        }
        return zone.equals(settings.zone()) ? MAX_ZONE_BONUS : 0;
    }

    /** True if the request's class allows an attempt at the route now. */
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

    /**
     * Until when the next attempt may be sent; {@code Long.MAX_VALUE} if not limited. Once a request of class
     * ONCE may have executed, that time has already passed.
     */
    private static long repeatableUntil(Request request) {
        Attempt first = request.requestClass.idempotency() == Idempotency.REPEATABLE ? null
                : firstPossiblyExecutedAttempt(request);
        long window = request.requestClass.idempotency() == Idempotency.ONCE ? 0
                : request.requestClass.dedupWindowMicros();
        return first == null ? Long.MAX_VALUE : first.call.sentAt + window;
    }

    /**
     * Draws a route that the request may go to. A retry avoids the route of the last attempt if another is
     * allowed.
     */
    private Route pickRoute(Request request, List<Route> usable) {
        List<Route> allowed = new ArrayList<>(
                usable.stream().filter(r -> isAllowedByRepeatRules(request, r)).toList());
        if (allowed.size() > 1) {
            allowed.remove(request.lastRoute());
        }
        return drawRoute(allowed);
    }

    /**
     * Draws one of the routes at random, weighted by their scores. A route whose score is more than
     * {@link #MAX_SCORE_GAP} below the best one is left out. While slots are scarce, the expected response
     * time counts too.
     */
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
        double point = random.nextDouble() * sum;
        int i = 0;
        while (i < scores.length - 1 && point >= scores[i]) {
            point -= scores[i++];
        }
        return candidates.get(i);
    }

    /** The next request of a destination, with the route drawn for it and the value lost if it waits. */
    private record Candidate(Request request, Route route, double lossFromWaiting) { }

    /**
     * Starts the trials and calls that are allowed now, beginning with the requests that lose most by
     * waiting. For those that still wait, it frees slots and requests tokens.
     */
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

    /**
     * Cancels as many overdue calls as slots are wanted. Calls whose answers are lost would otherwise hold
     * every slot until their time-outs.
     */
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

    /** Adds the destination's next request with its route, if one can be sent now. */
    private void addCandidate(Destination destination, PriorityQueue<Candidate> candidates) {
        if (destination.waitingRequests.isEmpty()) {
            return;
        }
        List<Route> usable = destination.routes.values().stream().filter(this::isUsable).toList();
        if (usable.isEmpty()) {
            return;
        }
        Request best = null;
        double highestLoss = -1;
        for (Request request : destination.waitingRequests) {
            // Untried resumed requests go first, by deadline: each is to be tried, and they are older than
            // the others.
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
     * Value that the request loses if others go first for a while. If many requests expire, one that waits
     * counts as lost: always saving the oldest would deliver all of them late.
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

    /**
     * False if no more than half the expected response time is left. An untried resumed request is tried
     * anyway.
     */
    private boolean canBeAnsweredInTime(Request request, Route route) {
        return request.resumedUntried || request.deadline - now > expectedResponseMicros(route) / 2;
    }

    /**
     * True if the pacing rate allows a call and, while relays use tokens, this one has a token or its request
     * for one has timed out.
     */
    private boolean mayCallNow(LimitGroup group) {
        return now >= group.nextCallAt && (now >= group.coordinatedUntil || now < group.tokenValidUntil
                || group.tokenRequested && !isAwaitingToken(group));
    }

    /**
     * Reports to the group's coordinator, if relays may send each other notes. Each of hundreds of relays
     * sees too little of a destination to keep to a limit or to detect an outage. The coordinator, which
     * every relay knows from the group's number, gets all reports and grants tokens one at a time. A lost
     * note or a coordinator that is down delays calls by {@link #TOKEN_TIMEOUT_MICROS}.
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

    /**
     * Sends a note: the type's ordinal in one byte, then the group's number. A negative relay means all
     * relays.
     */
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

    /** Allows one call within the next second. If a circuit is open, the call is its trial. */
    private void onTokenGranted(LimitGroup group, boolean trial) {
        group.tokenRequested = false;
        group.reportsTrialResult = trial;
        group.nextCallAt = now;
        group.tokenValidUntil = now + MICROS_PER_SECOND;
        group.circuit.openUntil = now;
        group.routes.forEach(route -> route.circuit.openUntil = now);
    }

    /**
     * Handles a note to this relay as the group's coordinator. A served call ends an outage. Any other note
     * queues its sender for a token, and a refusal also lowers the limit. If needed, all relays get a note to
     * use tokens.
     */
    private void coordinate(LimitGroup group, int fromRelay, PeerNoteType type) {
        TokenCoordinator coordinator = group.coordinator;
        if (type == PeerNoteType.CALL_SERVED) {
            coordinator.recoveredAt =
                    coordinator.consecutiveFailures >= FAILURES_TO_OPEN ? now : coordinator.recoveredAt;
            coordinator.consecutiveFailures = 0;
            return;
        }
        coordinator.consecutiveFailures += type == PeerNoteType.CALL_FAILED ? 1 : 0;
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

    /**
     * Grants the tokens that are due: for trials while the destination fails, else at the token rate.
     */
    private void grantTokens(LimitGroup group) {
        TokenCoordinator coordinator = group.coordinator;
        while (!coordinator.waitingRelays.isEmpty() && now >= coordinator.nextTokenAt) {
            int relay = coordinator.waitingRelays.iterator().next();
            coordinator.waitingRelays.remove(relay);
            boolean down = coordinator.consecutiveFailures >= FAILURES_TO_OPEN;
            coordinator.nextTokenAt = Math.max(coordinator.nextTokenAt, now - MAX_TOKEN_BURST_MICROS)
                    + (down ? TRIAL_SPACING_MICROS : intervalMicros(tokenRatePerSecond(group, coordinator)));
            sendPeerNote(relay, down ? PeerNoteType.TRIAL_GRANT : PeerNoteType.TOKEN_GRANT, group.number);
        }
    }

    /** Tokens per second for all relays: the limit times a factor that refusals lower and time raises. */
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

    /** True if a token was requested and may still come. */
    private boolean isAwaitingToken(LimitGroup group) {
        return group.tokenRequested && now < group.tokenRequestedAt + TOKEN_TIMEOUT_MICROS;
    }

    /** Requests a token for each coordinated group of the destination for which this relay has none. */
    private void requestTokens(Destination destination) {
        for (Route route : destination.routes.values()) {
            LimitGroup group = route.group;
            if (route.listedInService && now < group.coordinatedUntil && !isAwaitingToken(group)
                    && now >= group.tokenValidUntil) {
                reportToCoordinator(group, PeerNoteType.TOKEN_REQUEST);
            }
        }
    }

    /** True if the circuit may get a trial now. Sets it to half-open once its time has come. */
    private boolean isReadyForTrial(CircuitBreaker circuit) {
        if (circuit.state == CircuitState.OPEN && now >= circuit.openUntil) {
            circuit.state = CircuitState.HALF_OPEN;
        }
        return circuit.state == CircuitState.HALF_OPEN && !circuit.trialInFlight;
    }

    /** Sends the trials that are due for the destination's routes. */
    private void sendDueTrials(Destination destination) {
        for (Route route : destination.routes.values()) {
            boolean groupTripped = route.group.circuit.state != CircuitState.CLOSED;
            CircuitBreaker circuit = groupTripped ? route.group.circuit : route.circuit;
            // One failed route must not get the trials of its whole group again and again.
            boolean hasBetter = groupTripped && route.group.routes.stream().anyMatch(r -> r.listedInService
                    && r.circuit.consecutiveFailures < route.circuit.consecutiveFailures);
            if (isInService(route) && !hasBetter && isReadyForTrial(circuit)
                    && now >= route.group.retryAfterUntil && callsInFlight.size() < slotLimit()) {
                sendTrial(destination, route, circuit);
            }
        }
    }

    /**
     * Tries a route with the request that loses least, or with a probe; does nothing if no request is
     * suitable.
     */
    private void sendTrial(Destination destination, Route route, CircuitBreaker circuit) {
        // With less time left, a time-out would only show that the request's time was up.
        Request chosen = destination.waitingRequests.stream()
                .filter(r -> isNextForKey(r) && isAllowedByRepeatRules(r, route)
                        && r.deadline - now >= trialTimeoutMicros(r, route))
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

    /**
     * Rank of a request for a trial: lowest for the one that loses least if the attempt fails. Each past
     * attempt adds 1.
     */
    private static int trialCost(Request request) {
        int cost = request.requestClass.idempotency().ordinal() * IDEMPOTENCY_TRIAL_COST
                + request.attempts.size();
        return cost + (firstPossiblyExecutedAttempt(request) == null ? 0 : POSSIBLY_EXECUTED_TRIAL_COST);
    }

    /**
     * Starts a call with the request and, up to the batch size, others that wait for the same destination. A
     * trial carries one request.
     */
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
            for (Request other : List.copyOf(request.destination.waitingRequests)) {
                if (call.pendingAttempts <= maxAdded && isNextForKey(other)
                        && isAllowedByRepeatRules(other, route)) {
                    addToCall(other, call);
                }
            }
        }
    }

    /** Starts an attempt of the request as part of the call. */
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

    /**
     * Time-out of the request's attempt in the call; 0 for the last attempt, which may run until the
     * deadline.
     */
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

    /**
     * Limits a time-out to what requests have time for. Beyond that, no circuit could open because of missing
     * answers, and none could close by a trial.
     */
    private long capTimeoutMicros(double timeout) {
        return (long) Math.min(timeout, MAX_TIMEOUT_SHARE * longestTimeLimitMicros);
    }

    /**
     * Time-out of a trial with this request, at most half the time limit of its class. A destination may get
     * only requests with short limits while other classes have long ones; without this bound, its circuit
     * would never open or get a trial.
     */
    private long trialTimeoutMicros(Request request, Route route) {
        return Math.min(trialTimeoutMicros(route), request.requestClass.timeLimitMicros() / 2);
    }

    /** Time-out of a trial at the route, whatever the request. */
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
     * Forgets a route once it is in no list, no call to it is in flight and it no longer asks to wait. A list
     * that changes all day would otherwise fill the memory. Requests keep what they need of the route.
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

    /** Adds a route with its destination and the group whose limit it shares. */
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

    /** Subscribes to the route list once, if the settings ask for it. */
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

    /** Sets the wake-up timer to the next time at which something is due, unless it fires earlier anyway. */
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

    /**
     * When the route may next be called or get a trial, if it must wait for that; {@code Long.MAX_VALUE} if
     * no waiting time is running.
     */
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
