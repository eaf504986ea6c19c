package drumdeal;

import java.util.List;

/**
 * What a relay tells its decision module and what the module may answer.
 *
 * <p>All times and spans are in microseconds, on the clock of the rounds. A relay calls
 * {@link #onRound} whenever something has happened and carries out the actions in the order given.
 */
public interface Policy {

    /** Takes in every event of one round, in order of arrival, and then acts once. */
    void onRound(long now, List<Event> events, Actions actions);

    /** What the module has learned of its routes, for another process that goes on in its place. */
    default byte[] encodeLearnedState() {
        return new byte[0];
    }

    /** How many routes in the list are avoided now; a module that avoids none need not say so. */
    default int countUnavailableRoutes(long now) {
        return 0;
    }

    private static void check(boolean sound, String field) {
        if (!sound) {
            throw new IllegalArgumentException(field);
        }
    }

    /** How often a request may take effect. */
    enum Idempotency { REPEATABLE, BY_KEY, ONCE }

    /** Which routes of a destination drop a repeated key: all of them, or those in one zone or cell. */
    enum KeyScope { ALL, ZONE, CELL }

    /** How an attempt ended; {@code CROWDED}: turned away as its destination's connections are taken, not its limit. */
    enum Result {
        OK, ERROR, FULL, TIMEOUT, CONNECT_FAILED, RESET, CANCELLED, NOT_SENT, CROWDED;

        /** True where it proves that the attempt took no effect. */
        public boolean provesNoEffect() {
            return this == FULL || this == CROWDED || this == CONNECT_FAILED || this == NOT_SENT;
        }
    }

    /** What the rate listed with a route is worth: nothing, exact, or up to half too high or too low. */
    enum RateHint { NONE, NOMINAL, ROUGH }

    /** State of a route in a list. */
    enum Availability { LISTED, DRAINING, REMOVED }

    /** What a route list holds: the whole list now, the last one known, changes, or news of a failed call. */
    enum RouteListUpdateType { FULL, CACHED, CHANGES, FAILED }

    /** A class of request. {@code lateWorth} is the share of {@code worth} left at the deadline. */
    record RequestClass(String name, Idempotency idempotency, KeyScope keyScope, long dedupWindowMicros, long goalMicros,
            long timeLimitMicros, double value, double lateValueShare, boolean orderedByKey) {
        public RequestClass {
            check(goalMicros >= 0 && timeLimitMicros > goalMicros, "goal and deadline of class " + name);
            check(dedupWindowMicros >= 0, "keyWindow of class " + name);
        }
    }

    /** What a request was taken on under, whatever the settings say later. */
    record RequestTerms(RequestClass requestClass, int maxAttempts) { }

    /** A tenant and the requests a second, over all relays, that count as its share. */
    record Tenant(String name, double quotaPerSecond) { }

    /** A kind of destination. {@code batch} is the most requests that travel in one call. */
    record DestinationKind(String name, boolean hasPerRouteLimits, int maxBatchSize) { }

    /** A zone and the price of an attempt that a route apart takes on there. */
    record Zone(String name, double attemptPrice) { }

    /** What this relay is allowed. */
    record Limits(int callSlots, int maxOpenRequests, int maxAttempts, boolean mayCancel, boolean mayProbe, boolean mayNotifyPeers,
            boolean mayHedge, boolean mayAdviseRetryDelay, long connectTimeoutMicros) {
        public Limits {
            check(callSlots > 0, "callSlots: must be above 0");
            check(maxOpenRequests > 0, "maxOpen: must be above 0");
            check(maxAttempts > 0, "maxAttempts: must be above 0");
        }
    }

    /** Figures of the rules; {@code orderPause} is 0 where no order is asked for. */
    record ServiceRules(long answerSlackMicros, long drainGraceMicros, double collapseLoadMultiple, long collapseWindowMicros, double coldCapacityShare,
            long warmUpMicros, long maxDiscoveryIntervalMicros, long orderPauseMicros) {
        public ServiceRules {
            check(drainGraceMicros >= 0 && collapseWindowMicros >= 0 && warmUpMicros >= 0, "spans of the rules: must not be negative");
            check(orderPauseMicros >= 0, "orderPause: must not be negative");
        }
    }

    /** Everything a module is told at its start. */
    record Settings(long seed, int relayIndex, int fleetSize, String zone, List<RequestClass> classes,
            List<Tenant> tenants, List<DestinationKind> kinds, List<Zone> zones, Limits limits, ServiceRules rules,
            double overQuotaValue, boolean lateValueHalves, boolean mustSubscribe, RateHint rateHint,
            double crossZonePrice) {
        public Settings {
            check(!classes.isEmpty(), "classes: at least one is needed");
            check(fleetSize > 0, "fleetSize: must be above 0");
            check(rules.collapseLoadMultiple() > 0, "fallMultiple: must be above 0");
        }
    }

    /** A route as listed. {@code rate} means what the settings' {@link RateHint} says. */
    record ListedRoute(String route, int destination, String kind, String zone, Availability availability,
            double ratePerSecond) { }

    /** What a destination told of its limit: the share left and the calls a second, NaN where untold. */
    record LimitReport(double remainingShare, double ratePerSecond) {
        /** Nothing was told. */
        public static final LimitReport NONE = new LimitReport(Double.NaN, Double.NaN);
    }

    /** Something that happened. */
    sealed interface Event { }

    /**
     * A request was accepted and is owed one final answer. {@code tenant} and {@code key} may be null, and
     * {@code terms} where those of the settings hold.
     */
    record RequestAccepted(long id, String requestClassName, String tenant, String key, long deadline, int destination,
            RequestTerms terms) implements Event {
        /** On the terms of the settings. */
        public RequestAccepted(long id, String requestClassName, String tenant, String key, long deadline, int destination) {
            this(id, requestClassName, tenant, key, deadline, destination, null);
        }
    }

    /** Other settings hold from now on; requests accepted before keep their terms. */
    record SettingsChanged(Settings settings) implements Event { }

    /** An attempt made before a restart; {@code result} is null where nothing is known of it. */
    record PastAttempt(String route, long sentAt, Result result) { }

    /** A request that was accepted before a restart is owed its answer still. */
    record RequestResumed(RequestAccepted request, List<PastAttempt> attempts) implements Event { }

    /** The answer of an attempt has begun to arrive; its time-out no longer applies. */
    record AnswerStarted(long requestId, int attemptIndex, String route) implements Event { }

    /** An attempt ended. {@code toldWait} is 0 where none was told; {@code closed} means nothing is owed. */
    record AttemptEnded(long requestId, int attemptIndex, String route, Result result, boolean requestClosed, long retryAfterMicros, long elapsedMicros,
            LimitReport report) implements Event { }

    /** The client gave the request up. */
    record RequestWithdrawn(long id) implements Event { }

    /** A timer set by {@link Actions#setTimer} fell due. */
    record TimerFired(long timer) implements Event { }

    /** News of the route list. */
    record RouteListUpdate(RouteListUpdateType type, long version, List<ListedRoute> routes) implements Event { }

    /**
     * News that has not come counts as told from a time on. A route that serves what was sent since the news was
     * there to tell is no part of it.
     */
    record RouteListStale(long staleSince, long expiresAt) implements Event { }

    /** The process is about to end: nothing more is sent from now on, what runs out of time is ended still. */
    record ShutdownStarted() implements Event { }

    /** A probe ended; {@code toldWait} is 0 where none was told. */
    record ProbeEnded(String route, Result result, long retryAfterMicros, long elapsedMicros, LimitReport report)
            implements Event { }

    /**
     * This process goes on in place of another one of the same relay, which has told its {@link Policy#encodeLearnedState} and
     * ends the calls that it has out; they hold slots until then.
     */
    record LearnedStateRestored(byte[] learnedState, int predecessorCallsInFlight) implements Event { }

    /** A call ended that the other process had out, for a message that may come here as resumed. */
    record PredecessorCallEnded(String route, Result result, long retryAfterMicros, long elapsedMicros, int predecessorCallsInFlight)
            implements Event { }

    /** The other process has ended, and with it the calls that it had out. */
    record PredecessorEnded() implements Event { }

    /** A note came from another relay. */
    record PeerNote(int fromRelay, byte[] payload) implements Event { }

    /** What a module may do; each call takes effect at the time of the round. */
    interface Actions {
        /** Starts the next attempt of a request; {@code timeout} 0 means until its deadline. */
        void startAttempt(long id, String route, long timeout);

        /** As above, for an attempt that may leave until a time; later, when it got a connection late, it must not. */
        default void startAttempt(long id, String route, long timeout, long until) {
            startAttempt(id, route, timeout);
        }

        /** Stops waiting for an attempt. */
        void cancelAttempt(long id, int attempt);

        /** Ends a request as safe to hand in again, after {@code retryIn} where that is above 0. */
        void rejectRequest(long id, long retryIn);

        /** Ends a request; whether it took effect stays untold. */
        void failRequest(long id);

        /** Asks for a {@link TimerFired} after a delay. */
        void setTimer(long name, long delay);

        /** Sends a check to a route; it counts as a call there. */
        void sendProbe(String route);

        /** Closes this relay's idle connections to a route. */
        void closeIdleConnections(String route);

        /** Sends a note to one relay, or to all where {@code relay} is negative. */
        void sendPeerNote(int relay, byte[] bytes);

        /** Asks for changes of the list from now on, or for no more of them. */
        void setRouteListSubscription(boolean on);

        /** Asks for the whole list once. */
        void fetchRouteList();

        /** Writes a line for staff. */
        void log(String text);
    }
}
