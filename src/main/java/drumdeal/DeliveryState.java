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

/** What {@link DeliveryPolicy} remembers; it holds no decision. */
final class DeliveryState {
    private DeliveryState() { }

    enum CircuitState { CLOSED, OPEN, HALF_OPEN }

    /** The circuit of a route or of a whole limit group. */
    static final class CircuitBreaker {
        CircuitState state = CircuitState.CLOSED;
        int consecutiveFailures;
        long openedAt;
        long openUntil;
        boolean openedBySilence;
        boolean trialInFlight;
    }

    /** A count of events that fades with time. */
    static final class DecayingRate {
        /** In microseconds, after which an event counts for a third. */
        static final long DEFAULT_TIME_CONSTANT_MICROS = 10_000_000;

        final long timeConstantMicros;
        long countedSince;
        double count;
        long updatedAt;

        DecayingRate(long since) {
            this(since, DEFAULT_TIME_CONSTANT_MICROS);
        }

        DecayingRate(long since, long span) {
            this.countedSince = since;
            this.timeConstantMicros = span;
        }
    }

    static final class Route {
        final String name;
        final String kind;
        final String zone;
        final Destination destination;
        final LimitGroup group;
        final CircuitBreaker circuit;
        boolean listedInService;
        /** Also while it drains. */
        boolean inRouteList;
        double listedRatePerSecond;
        double zoneBonus;
        double errorRate;
        double responseMicros;
        long lastAnsweredAt;
        /** When the latest call left that it has served. */
        long lastServedCallSentAt;
        /** How often in a row its connections were found taken, and until when it is left to others for that. */
        int consecutiveCrowdedResults;
        long connectionBackoffUntil;
        final ArrayDeque<Call> callsInFlight = new ArrayDeque<>();

        Route(ListedRoute entry, Destination destination, LimitGroup group, boolean apart) {
            name = entry.route();
            kind = entry.kind();
            zone = entry.zone();
            this.destination = destination;
            this.group = group;
            circuit = apart ? group.circuit : new CircuitBreaker();
        }
    }

    /** What shares one limit: a route where routes are apart, else all routes of the destination. */
    static final class LimitGroup {
        private static final long RECENT_TIME_CONSTANT_MICROS = 2_000_000;

        final int number;
        final CircuitBreaker circuit = new CircuitBreaker();
        final List<Route> routes = new ArrayList<>();
        final DecayingRate servedRate;
        final DecayingRate sentRate;
        /** As {@link #sentRate}, of the last two seconds. */
        final DecayingRate recentSentRate;
        double pacingRate = Double.POSITIVE_INFINITY;
        /** At what pace the last refusal came. */
        double refusedPacingRate;
        /** Of the calls sent since the last cut. */
        int servedSinceCut;
        int refusedSinceCut;
        long nextCallAt;
        long retryAfterUntil;
        long lastCutAt = Long.MIN_VALUE / 2;
        long lastGrownAt;
        int consecutiveRefusals;
        long refusedSince;
        double reportedRate;
        double usualRate;
        long slowStartedAt = Long.MIN_VALUE / 2;
        int callsInFlight;
        boolean tokenRequested;
        boolean reportsTrialResult;
        long tokenRequestedAt;
        long tokenValidUntil;
        long coordinatedUntil;
        /** When the next call may go that is owed to what a restart has found and is made whatever the pace. */
        long nextResumedCallAt;
        final TokenCoordinator coordinator = new TokenCoordinator();

        LimitGroup(int number, long since) {
            this.number = number;
            servedRate = new DecayingRate(since);
            sentRate = new DecayingRate(since);
            recentSentRate = new DecayingRate(since, RECENT_TIME_CONSTANT_MICROS);
        }
    }

    /** What notes between relays say of a group. */
    enum PeerNoteType {
        UNKNOWN, TOKEN_REQUEST, CALL_REFUSED, CALL_FAILED, CALL_SERVED, TOKEN_GRANT, TRIAL_GRANT, COORDINATION_START;

        static PeerNoteType fromOrdinal(int ordinal) {
            return ordinal > 0 && ordinal < values().length ? values()[ordinal] : UNKNOWN;
        }
    }

    /** What the relay that gives a group's turns remembers. */
    static final class TokenCoordinator {
        final Set<Integer> waitingRelays = new LinkedHashSet<>();
        double limitFactor = 1;
        int failures;
        long nextTokenAt;
        long lastCutAt = Long.MIN_VALUE / 2;
        long recoveredAt = Long.MIN_VALUE / 2;
        long announcedAt = Long.MIN_VALUE / 2;
        long lastGrownAt;
    }

    static final class Destination {
        final Map<String, Route> routes = new LinkedHashMap<>();
        final Set<Request> waiting = new LinkedHashSet<>();
        final DecayingRate acceptedRate;
        final DecayingRate expiredRate;

        Destination(long since) {
            acceptedRate = new DecayingRate(since);
            expiredRate = new DecayingRate(since);
        }
    }

    /** One call at a destination, which may carry several requests. */
    static final class Call {
        final Route route;
        final long sentAt;
        final boolean trial;
        final List<Request> requests = new ArrayList<>(1);
        int pendingAttempts;
        boolean resultRecorded;
        boolean cancelRequested;

        Call(Route route, long sentAt, boolean test) {
            this.route = route;
            this.sentAt = sentAt;
            this.trial = test;
        }
    }

    static final class Attempt {
        final Call call;
        Result result;

        Attempt(Call call) {
            this.call = call;
        }
    }

    static final class Request {
        final long id;
        final RequestClass requestClass;
        final int maxAttempts;
        final String orderKey;
        final long acceptedAt;
        final long deadline;
        /** When it ends where it has not been delivered: sooner than its deadline once no attempt is allowed any more. */
        long expiresAt;
        final Destination destination;
        final List<Attempt> attempts = new ArrayList<>();
        int attemptsInFlight;
        boolean done;
        /** Taken up after a restart, and not tried yet. */
        boolean resumedUntried;

        Request(RequestAccepted e, RequestTerms terms, Destination destination) {
            id = e.id();
            requestClass = terms.requestClass();
            maxAttempts = terms.maxAttempts();
            orderKey = requestClass.orderedByKey() ? e.key() : null;
            deadline = e.deadline();
            expiresAt = deadline;
            acceptedAt = deadline - requestClass.timeLimitMicros();
            this.destination = destination;
        }

        Route lastRoute() {
            return attempts.isEmpty() ? null : attempts.get(attempts.size() - 1).call.route;
        }
    }

    /** What a restart has found taken on, and what of it has been tried so far. */
    static final class ResumedRequests {
        /** Those still to be tried, in the order taken up. */
        final Set<Request> untriedRequests = new LinkedHashSet<>();
        int resumedCount;
        int untriedCount;
        int triedCount;

        void add(Request request, boolean isUntried) {
            resumedCount++;
            if (isUntried) {
                untriedCount++;
                request.resumedUntried = untriedRequests.add(request);
            }
        }

        /** A request was tried, or has ended; what staff are told of all once the last one was, else null. */
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
            String told = "resumed " + resumedCount + ", untried " + untriedCount + ", of these tried " + triedCount
                    + ", given up uncalled " + (untriedCount - triedCount);
            resumedCount = 0;
            untriedCount = 0;
            triedCount = 0;
            return told;
        }
    }

    /** The requests of one key in the order accepted. */
    static final class KeyQueue {
        final ArrayDeque<Request> requests = new ArrayDeque<>();
        long pausedUntil;
    }
}
