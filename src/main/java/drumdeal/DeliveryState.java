package drumdeal;

import drumdeal.Policy.RequestAccepted;
import drumdeal.Policy.ListedRoute;
import drumdeal.Policy.RequestClass;
import drumdeal.Policy.Result;
import drumdeal.Policy.RequestTerms;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The data that {@link DeliveryPolicy} keeps between rounds about routes, limits, calls and requests. All
 * decisions are made there; most classes here are plain data.
 *
 * <p>Names that end in {@code At}, {@code Until} or {@code Since} are instants in microseconds on the clock
 * of the rounds, 0 or {@link #NEVER} if there was none; names that end in {@code Micros} are spans in
 * microseconds. Rates are events or calls per second.
 */
final class DeliveryState {
    /**
     * An instant before all others. Half the smallest value, so that {@code now - NEVER} does not overflow.
     */
    private static final long NEVER = Long.MIN_VALUE / 2;

    private DeliveryState() { }

    /**
     * State of a circuit breaker. {@link LearnedStateCodec} stores the names, so the constants must not be
     * renamed.
     */
    enum CircuitState {
        /** Calls are allowed. */
        CLOSED,
        /** No calls until {@link CircuitBreaker#openUntil}. */
        OPEN,
        /** One trial call is allowed; its result closes or opens the circuit. */
        HALF_OPEN
    }

    /** The circuit breaker of a route or of a limit group. */
    static final class CircuitBreaker {
        CircuitState state = CircuitState.CLOSED;
        /** Failed calls since the last served one. */
        int consecutiveFailures;
        /** When the circuit last changed from closed to open. */
        long openedAt;
        /** When an open circuit may become half-open. */
        long openUntil;
        /** Whether it opened because calls stayed unanswered, and not because calls failed. */
        boolean openedBySilence;
        /** Whether a trial call or a probe is in flight whose result decides the state. */
        boolean trialInFlight;
    }

    /** A count of events that decays exponentially with time, from which a rate per second is computed. */
    static final class DecayingRate {
        /** Time after which an event has the weight 1/e, about a third. */
        static final long DEFAULT_TIME_CONSTANT_MICROS = 10_000_000;

        final long timeConstantMicros;
        /** Since when events have been counted. */
        long countedSince;
        /**
         * Sum of the weights of all events as of {@link #updatedAt}; an event has the weight 1 when it
         * happens.
         */
        double count;
        /** When the last event was counted. */
        long updatedAt;

        DecayingRate(long since) {
            this(since, DEFAULT_TIME_CONSTANT_MICROS);
        }

        DecayingRate(long since, long timeConstant) {
            this.countedSince = since;
            this.timeConstantMicros = timeConstant;
        }
    }

    /** A route of a destination, as last listed, and how its calls have gone. */
    static final class Route {
        final String name;
        /** Name of its {@link Policy.DestinationKind}. */
        final String kind;
        final String zone;
        final Destination destination;
        /** The group whose limit applies to it. */
        final LimitGroup group;
        /** Its own circuit breaker, or that of its group if its kind has limits per route. */
        final CircuitBreaker circuit;
        /** Whether the list has it as {@link Policy.Availability#LISTED}. */
        boolean listedInService;
        /**
         * Whether the list has it as {@link Policy.Availability#LISTED} or
         * {@link Policy.Availability#DRAINING}.
         */
        boolean inRouteList;
        /** Calls per second as listed, see {@link ListedRoute#ratePerSecond}; 0 if not listed. */
        double listedRatePerSecond;
        /** Points added to its score for a near or cheap zone. */
        double zoneBonus;
        /** Moving average of failed calls, 0 (none) to 1 (all). */
        double errorRate;
        /** Moving average of the response time of served calls; 0 if none was served yet. */
        double responseMicros;
        /** When a call was last answered, by success, failure or refusal. */
        long lastAnsweredAt;
        /** When the latest of the calls that it has served was sent. */
        long lastServedCallSentAt;
        /** {@link Result#CROWDED} results since the last served call. */
        int consecutiveCrowdedResults;
        /**
         * Until when it gets no calls because its connections were all in use, so that other relays get
         * them.
         */
        long connectionBackoffUntil;
        /** In the order in which they were sent. */
        final ArrayDeque<Call> callsInFlight = new ArrayDeque<>();

        /** {@code hasOwnLimit} says that no other route belongs to the group. */
        Route(ListedRoute entry, Destination destination, LimitGroup group, boolean hasOwnLimit) {
            name = entry.route();
            kind = entry.kind();
            zone = entry.zone();
            this.destination = destination;
            this.group = group;
            circuit = hasOwnLimit ? group.circuit : new CircuitBreaker();
        }
    }

    /**
     * Routes that share one limit: a single route if its kind has limits per route, else all routes of a
     * destination.
     */
    static final class LimitGroup {
        private static final long RECENT_TIME_CONSTANT_MICROS = 2_000_000;

        /**
         * The destination's number, or a hash of the route's name if its kind has limits per route. It is
         * the same in all relays and also determines which of them coordinates the group.
         */
        final int number;
        /** Circuit breaker for all routes of the group together. */
        final CircuitBreaker circuit = new CircuitBreaker();
        final List<Route> routes = new ArrayList<>();
        /** Calls of this relay that were served. */
        final DecayingRate servedRate;
        /** Calls and probes that this relay has sent. */
        final DecayingRate sentRate;
        /** Calls that this relay has sent, over about the last two seconds. */
        final DecayingRate recentSentRate;
        /** Calls per second that this relay allows itself; infinite until the first refusal. */
        double pacingRate = Double.POSITIVE_INFINITY;
        /**
         * Calls per second that this relay sent before the last reduction of {@link #pacingRate}, or before
         * an earlier one if that was more and no call was served in between; 0 if there was none.
         */
        double refusedPacingRate;
        /** Calls sent since {@link #lastCutAt} that were served. */
        int servedSinceCut;
        /** Calls sent since {@link #lastCutAt} that were refused. */
        int refusedSinceCut;
        /** When the pacing allows the next call. */
        long nextCallAt;
        /** Until when the destination has asked this relay to send nothing. */
        long retryAfterUntil;
        /** When {@link #pacingRate} was last reduced. */
        long lastCutAt = NEVER;
        /** When {@link #pacingRate} was last updated, up or down. */
        long pacingRateUpdatedAt;
        /** {@link Result#FULL} and {@link Result#CROWDED} results since the last served call. */
        int consecutiveRefusals;
        /** When the first of {@link #consecutiveRefusals} came. */
        long refusedSince;
        /**
         * Calls per second in the last {@link Policy.LimitReport}, for all relays together; 0 if none was
         * reported.
         */
        double reportedRate;
        /** Calls per second that this relay sent before the last outage; 0 if there was none. */
        double usualRate;
        /** When the slow start after an outage began, or began again because of a failure. */
        long slowStartedAt = NEVER;
        /** Number of calls in flight to all routes of the group. */
        int callsInFlight;
        /** Whether this relay has asked the coordinator for a token and not received one yet. */
        boolean tokenRequested;
        /** Whether the coordinator has allowed this relay a trial whose result it still has to report. */
        boolean reportsTrialResult;
        /** When {@link #tokenRequested} was last set. */
        long tokenRequestedAt;
        /** Until when the last token allows a call; a call that is sent uses the token up. */
        long tokenValidUntil;
        /** Until when calls need a token of the coordinator. */
        long coordinatedUntil;
        /** When the next call that ignores {@link #pacingRate} may be made for a resumed request. */
        long nextResumedCallAt;
        /** Used only if this relay is the group's coordinator. */
        final TokenCoordinator coordinator = new TokenCoordinator();

        LimitGroup(int number, long since) {
            this.number = number;
            servedRate = new DecayingRate(since);
            sentRate = new DecayingRate(since);
            recentSentRate = new DecayingRate(since, RECENT_TIME_CONSTANT_MICROS);
        }
    }

    /**
     * What a note between relays says about a limit group. Notes carry the position as their first byte, so
     * the constants must not be reordered.
     */
    enum PeerNoteType {
        /** Sent by no relay of this version; notes of this type are ignored. */
        UNKNOWN,
        /** To the coordinator: the sender asks for a token. */
        TOKEN_REQUEST,
        /** To the coordinator: a call was refused; the sender also asks for a token. */
        CALL_REFUSED,
        /**
         * To the coordinator: a granted trial failed, or a call failed and its circuit is open; the sender
         * also asks for a token.
         */
        CALL_FAILED,
        /**
         * To the coordinator: a granted trial, or a call while the group's circuit was not closed, was
         * served.
         */
        CALL_SERVED,
        /** From the coordinator: the receiver may send one call. */
        TOKEN_GRANT,
        /** From the coordinator: the receiver may send one trial call to a destination that is failing. */
        TRIAL_GRANT,
        /** From the coordinator to all: calls to the group need a token for a while. */
        COORDINATION_START;

        /** The type at a position; {@link #UNKNOWN} if there is none. */
        static PeerNoteType fromOrdinal(int ordinal) {
            return ordinal > 0 && ordinal < values().length ? values()[ordinal] : UNKNOWN;
        }
    }

    /**
     * What the relay that coordinates a limit group keeps in order to grant tokens, one at a time, to all
     * relays.
     */
    static final class TokenCoordinator {
        /** Indices of the relays that wait for a token, in the order of their requests. */
        final Set<Integer> waitingRelays = new LinkedHashSet<>();
        /** Tokens per second as a multiple of the group's limit: reduced by refusals, then growing. */
        double limitFactor = 1;
        /** Failed calls that relays have reported since the last served one. */
        int consecutiveFailures;
        /** When the next token may be granted. */
        long nextTokenAt;
        /** When {@link #limitFactor} was last reduced. */
        long lastCutAt = NEVER;
        /**
         * When a call was first served after an outage; tokens are granted at a slow start's rate from then
         * on.
         */
        long recoveredAt = NEVER;
        /** When {@link PeerNoteType#COORDINATION_START} was last sent. */
        long announcedAt = NEVER;
        /** When {@link #limitFactor} was last increased. */
        long lastGrownAt;
    }

    /** A destination, its routes, and the requests that wait for one of them. */
    static final class Destination {
        /** By name. */
        final Map<String, Route> routes = new LinkedHashMap<>();
        /** Requests without an attempt in flight, in the order in which they began to wait. */
        final Set<Request> waitingRequests = new LinkedHashSet<>();
        /** Requests accepted. */
        final DecayingRate acceptedRate;
        /** Requests whose time was up before they were delivered. */
        final DecayingRate expiredRate;

        Destination(long since) {
            acceptedRate = new DecayingRate(since);
            expiredRate = new DecayingRate(since);
        }
    }

    /** One call to a route, which may carry several requests. */
    static final class Call {
        /** Null for a past attempt of a resumed request whose route is not listed. */
        final Route route;
        final long sentAt;
        /** Whether its result decides the state of an open circuit. */
        final boolean trial;
        final List<Request> requests = new ArrayList<>(1);
        /** Attempts in this call that have not ended; the call is in flight while there are any. */
        int pendingAttempts;
        /**
         * Whether the call's result has been counted for its route and group. That is done once for each
         * call, with the attempt that ends first.
         */
        boolean resultRecorded;
        /** Whether the relay has been asked to cancel its attempts. */
        boolean cancelRequested;

        Call(Route route, long sentAt, boolean trial) {
            this.route = route;
            this.sentAt = sentAt;
            this.trial = trial;
        }
    }

    /** One request's part in a call. */
    static final class Attempt {
        final Call call;
        /** Null while the attempt is in flight. */
        Result result;

        Attempt(Call call) {
            this.call = call;
        }
    }

    /** A request that has not ended, or that has ended but still has attempts in flight. */
    static final class Request {
        final long id;
        final RequestClass requestClass;
        final int maxAttempts;
        /** The key by which it is ordered; null if its class is not ordered by key or it has no key. */
        final String orderKey;
        /** Its deadline minus the class's time limit. */
        final long acceptedAt;
        final long deadline;
        /**
         * When it ends if it has not been delivered: its deadline, or an earlier time from which on no
         * further attempt is allowed.
         */
        long expiresAt;
        final Destination destination;
        /** All attempts in order, including those of earlier processes. */
        final List<Attempt> attempts = new ArrayList<>();
        int attemptsInFlight;
        /** Whether it has ended. */
        boolean ended;
        /** Whether it was resumed without having been tried, and has neither been tried since nor ended. */
        boolean resumedUntried;

        Request(RequestAccepted event, RequestTerms terms, Destination destination) {
            id = event.id();
            requestClass = terms.requestClass();
            maxAttempts = terms.maxAttempts();
            orderKey = requestClass.orderedByKey() ? event.key() : null;
            deadline = event.deadline();
            expiresAt = deadline;
            acceptedAt = deadline - requestClass.timeLimitMicros();
            this.destination = destination;
        }

        /** The route of the last attempt; null if there was none or its route is not listed. */
        Route lastRoute() {
            return attempts.isEmpty() ? null : attempts.get(attempts.size() - 1).call.route;
        }
    }

    /**
     * Counts the requests that were resumed from earlier processes, and what became of the untried ones
     * among them.
     */
    static final class ResumedRequests {
        /** Those that have neither been tried nor ended, in the order in which they were resumed. */
        final Set<Request> untriedRequests = new LinkedHashSet<>();
        /** All resumed requests since the last log line. */
        int resumedCount;
        /** How many of them had not been tried when they were resumed. */
        int untriedCount;
        /** How many of those were tried here. */
        int triedCount;

        void add(Request request, boolean isUntried) {
            resumedCount++;
            if (isUntried) {
                untriedCount++;
                request.resumedUntried = untriedRequests.add(request);
            }
        }

        /**
         * Records that a request was tried, or ended without having been tried.
         *
         * @return a summary for the log once no untried request is left, else null
         */
        String recordTriedOrEnded(Request request, boolean isTried) {
            if (!request.resumedUntried) {
                return null;
            }
            request.resumedUntried = false;
            untriedRequests.remove(request);
            triedCount += isTried ? 1 : 0;
            if (!untriedRequests.isEmpty()) {
                return null;
            }
            String summary = "resumed " + resumedCount + ", untried " + untriedCount + ", of these tried "
                    + triedCount + ", ended without a call " + (untriedCount - triedCount);
            resumedCount = 0;
            untriedCount = 0;
            triedCount = 0;
            return summary;
        }
    }

    /** The requests with one key of a class that is ordered by key. */
    static final class KeyQueue {
        /** In the order of acceptance; only the first one may be attempted. */
        final ArrayDeque<Request> requests = new ArrayDeque<>();
        /**
         * Until when no request may have its first attempt, as an earlier attempt may still take effect.
         */
        long pausedUntil;
    }
}
