package drumdeal;

import java.util.List;

/**
 * The contract between a relay and its decision module: the settings the module is given, the events the
 * relay reports to it, and the actions it may take.
 *
 * <p>The module decides which request is attempted when and on which route, and how a request that is not
 * delivered ends. The relay carries the decisions out: it collects events, passes them to {@link #onRound}
 * once a round, and performs the actions in the order of the calls. A relay has one module and calls it on
 * one thread.
 *
 * <p>Times are {@code long} microseconds. Names that end in {@code Micros}, and all delays and timeouts,
 * are spans. Names such as {@code now}, {@code deadline}, {@code sentAt} and {@code until} are instants on
 * the clock of the rounds, which never steps back. In a relay on sockets this clock starts at the wall
 * clock's microseconds since 1970, so that instants in the journal stay valid for the next process.
 */
public interface Policy {

    /**
     * Handles the events of one round and then decides once.
     *
     * <p>If this method throws, the relay reports the exception and continues with the next round. The
     * events of the failed round are not repeated.
     *
     * @param now instant of the round; never earlier than that of a previous round
     * @param events everything since the last round, in order of arrival; may be empty
     * @param actions receives the decisions; valid during this call only
     */
    void onRound(long now, List<Event> events, Actions actions);

    /**
     * Encodes what the module has learned about its destinations and routes, in a format of its own.
     * Another process of the same relay receives it as {@link LearnedStateRestored}.
     *
     * @return the encoded state; empty if there is nothing to pass on
     */
    default byte[] encodeLearnedState() {
        return new byte[0];
    }

    /**
     * Counts the listed routes that the module currently avoids. Operators see the figure.
     *
     * @param now current instant
     * @return 0 or more; a module that does not track this returns 0
     */
    default int countUnavailableRoutes(long now) {
        return 0;
    }

    /** Rejects invalid settings. Operators see the message. */
    private static void requireValid(boolean valid, String message) {
        if (!valid) {
            throw new IllegalArgumentException(message);
        }
    }

    /**
     * How often a request may take effect at its destination. Ordered from the most permissive to the
     * strictest. The journal stores the position and the code compares it, so the constants must not be
     * reordered.
     */
    enum Idempotency {
        /** Any number of times: another attempt is always allowed. */
        REPEATABLE,
        /**
         * Once for each key: the destination drops a repeated key for
         * {@link RequestClass#dedupWindowMicros}, on the routes of the {@link KeyScope}. Another attempt is
         * allowed there for that time.
         */
        BY_KEY,
        /** At most once: no attempt may follow one that may have taken effect. */
        ONCE
    }

    /**
     * The routes of a destination on which a key that one of them has seen is dropped. The journal stores
     * the position, so the constants must not be reordered.
     */
    enum KeyScope {
        /** All routes of the destination. */
        ALL,
        /** The routes in the same zone. */
        ZONE,
        /** Only the same route. */
        CELL
    }

    /**
     * How an attempt ended. The journal, the handover to another process and the counters in the log
     * contain the names, so the constants must not be renamed.
     */
    enum Result {
        /** Delivered. */
        OK,
        /** The endpoint answered with a failure or with an invalid response. May have taken effect. */
        ERROR,
        /**
         * Refused because the destination has reached its limit. No effect. May carry a retry-after time.
         */
        FULL,
        /** Sent, but not answered within the attempt's timeout. May have taken effect. */
        TIMEOUT,
        /** No connection was made, or it ended before the request was completely written. No effect. */
        CONNECT_FAILED,
        /** The connection broke after the request was completely written. May have taken effect. */
        RESET,
        /** Cancelled by {@link Actions#cancelAttempt} after it was sent. May have taken effect. */
        CANCELLED,
        /**
         * Did not leave the relay, or the endpoint answered that it did not process the request for a
         * reason other than its limit. No effect. Says nothing about the health of the route.
         */
        NOT_SENT,
        /**
         * The endpoint rejected a new connection because all that it accepts are in use; its limit on calls
         * need not be reached. No effect.
         */
        CROWDED;

        /** True if the result proves that the attempt took no effect. */
        public boolean provesNoEffect() {
            return this == FULL || this == CROWDED || this == CONNECT_FAILED || this == NOT_SENT;
        }
    }

    /** How exact {@link ListedRoute#ratePerSecond} is. */
    enum RateHint {
        /** The listed rate means nothing. */
        NONE,
        /** The listed rate is exact. */
        NOMINAL,
        /** The listed rate is up to half too high or too low. */
        ROUGH
    }

    /**
     * State of a route in a list. The handover to another process contains the names, so the constants must
     * not be renamed.
     */
    enum Availability {
        /** In service: the route accepts attempts. */
        LISTED,
        /** Shutting down: the route gets no new attempts but may still answer those in flight. */
        DRAINING,
        /** No longer there. */
        REMOVED
    }

    /** What a {@link RouteListUpdate} contains. */
    enum RouteListUpdateType {
        /** The complete current list. */
        FULL,
        /** The complete list known before the process started; it may be out of date. */
        CACHED,
        /** Only the routes that have changed. */
        CHANGES,
        /** Nothing, because a call to discovery failed. The known list stays in use. */
        FAILED
    }

    /**
     * A class of request, set by an entry of {@code classes} in the settings.
     *
     * <p>A delivery within {@code goalMicros} of acceptance has the full value. After that the value either
     * falls linearly to {@code lateValueShare} of it at the deadline, or halves with each further
     * {@code goalMicros} but not below {@code lateValueShare} of it; {@link Settings#lateValueHalves}
     * selects one. A delivery at or after the deadline has no value.
     *
     * @param name {@code name}: name that clients send
     * @param idempotency {@code repeat}: how often a request may take effect
     * @param keyScope {@code key-scope}: which routes drop a repeated key, all if not set; used for
     *         {@link Idempotency#BY_KEY} only
     * @param dedupWindowMicros {@code dedup-window-s}: how long they drop it, counted from the first
     *         attempt that may have taken effect; 0 or more, 0 if not set, which allows no attempt after
     *         that one
     * @param goalMicros {@code goal-time-s}: time from acceptance within which a delivery has its full
     *         value; 0 or more
     * @param timeLimitMicros {@code deadline-s}: time from acceptance to the deadline; more than
     *         {@code goalMicros}. The module computes the instant of acceptance as the request's deadline
     *         minus this time
     * @param value {@code worth}: full value of a delivery, in the unit that the configuration uses; 1 if
     *         not set
     * @param lateValueShare {@code late-worth}: smallest share of {@code value} that a delivery before the
     *         deadline has, 0 to 1; 0 if not set
     * @param orderedByKey {@code fifo-by-key}: true if requests with the same key are delivered one at a
     *         time, in order of acceptance; a request without a key is not ordered
     */
    record RequestClass(String name, Idempotency idempotency, KeyScope keyScope, long dedupWindowMicros,
            long goalMicros, long timeLimitMicros, double value, double lateValueShare,
            boolean orderedByKey) {
        public RequestClass {
            requireValid(goalMicros >= 0 && timeLimitMicros > goalMicros,
                    "goal-time-s must not be negative and deadline-s must be above it: class " + name);
            requireValid(dedupWindowMicros >= 0, "dedup-window-s must not be negative: class " + name);
        }
    }

    /**
     * Terms that are fixed when a request is accepted. Later changes of the settings do not affect them.
     *
     * @param requestClass class of the request; it may differ from the class of the same name in the
     *         settings
     * @param maxAttempts largest number of attempts, including the first; above 0
     */
    record RequestTerms(RequestClass requestClass, int maxAttempts) { }

    /**
     * A tenant on whose behalf clients send requests, set by an entry of {@code accounts} in the settings.
     *
     * @param name {@code name}: name that requests refer to
     * @param quotaPerSecond {@code quota-rps}: requests per second, over all relays, within the tenant's
     *         share; 0 if not set. {@link DeliveryPolicy} does not use it
     */
    record Tenant(String name, double quotaPerSecond) { }

    /**
     * A kind of destination, set by the values at the same position of three lists in the settings.
     *
     * @param name {@code kinds}: name that routes refer to
     * @param hasPerRouteLimits {@code family-info.routes-apart}: true if each route has its own limit,
     *         false if all routes of a destination share one
     * @param maxBatchSize {@code family-info.batch-by-kind}: largest number of requests in one call; 1 if
     *         not set
     */
    record DestinationKind(String name, boolean hasPerRouteLimits, int maxBatchSize) { }

    /**
     * A zone that contains routes, set by the values at the same position of two lists in the settings.
     *
     * @param name {@code zones}: name that routes refer to
     * @param attemptPrice {@code family-info.toll}: price of an attempt accepted by a route in this zone
     *         that has its own limit, in the unit that the configuration uses; 0 if not set.
     *         {@link DeliveryPolicy} uses only its ratio to the highest price of all zones
     */
    record Zone(String name, double attemptPrice) { }

    /**
     * Limits on what this relay may use or do, set in {@code limits} and {@code family-info} of the
     * settings.
     *
     * @param callSlots {@code family-info.call-slots}: largest number of calls in flight; above 0
     * @param maxOpenRequests {@code max-open}: largest number of requests that are accepted and not ended;
     *         above 0
     * @param maxAttempts {@code send-cap}: largest number of attempts of one request, including the first;
     *         above 0
     * @param mayCancel {@code may-cancel}: whether {@link Actions#cancelAttempt} may be used
     * @param mayProbe {@code probes}: whether {@link Actions#sendProbe} may be used
     * @param mayNotifyPeers {@code peers}: whether {@link Actions#sendPeerNote} may be used
     * @param mayHedge {@code second-copies}: whether a request may have a second attempt while one is in
     *         flight; {@link DeliveryPolicy} never does this
     * @param mayAdviseRetryDelay {@code retry-after}: whether {@link Actions#rejectRequest} may carry a
     *         delay
     * @param connectTimeoutMicros {@code connect-timeout-s}: how long the relay waits for a connection to a
     *         route; 0 if not set, which the relay treats as 1 ms
     */
    record Limits(int callSlots, int maxOpenRequests, int maxAttempts, boolean mayCancel, boolean mayProbe,
            boolean mayNotifyPeers, boolean mayHedge, boolean mayAdviseRetryDelay,
            long connectTimeoutMicros) {
        public Limits {
            requireValid(callSlots > 0, "call-slots: must be above 0");
            requireValid(maxOpenRequests > 0, "max-open: must be above 0");
            requireValid(maxAttempts > 0, "send-cap: must be above 0");
        }
    }

    /**
     * Figures of the service's rules, set in {@code contract} of the settings. A figure that is not set is
     * 0 unless stated otherwise.
     *
     * @param answerSlackMicros {@code answer-slack-s}: the relay does not use it
     * @param drainGraceMicros {@code drain-grace-s}: how long an attempt may still be sent to a route after
     *         the relay learned, or is deemed to have learned, that the route is draining; 0 or more
     * @param collapseLoadMultiple {@code fall-multiple}: a destination collapses if it receives more calls
     *         within {@code collapseWindowMicros} than this multiple of what it can serve in that time;
     *         above 0, 1 if not set
     * @param collapseWindowMicros {@code fall-s}: length of the window in which these calls are counted; 0
     *         or more
     * @param coldCapacityShare {@code cold-from}: share of its usual capacity that a destination has right
     *         after it recovers from an outage, 0 to 1; the share then grows linearly to 1
     * @param warmUpMicros {@code warm-up-s}: how long that growth takes; 0 or more
     * @param maxDiscoveryIntervalMicros {@code must-ask-in-s}: longest time allowed between two calls of a
     *         relay to discovery; 0 if there is no such rule
     * @param orderPauseMicros {@code order-pause-s}: pause after an unanswered attempt that may have taken
     *         effect, before the first attempt of the next request with the same key in a class ordered by
     *         key; 0 or more, 0 if no pause is required
     */
    record ServiceRules(long answerSlackMicros, long drainGraceMicros, double collapseLoadMultiple,
            long collapseWindowMicros, double coldCapacityShare, long warmUpMicros,
            long maxDiscoveryIntervalMicros, long orderPauseMicros) {
        public ServiceRules {
            requireValid(drainGraceMicros >= 0 && collapseWindowMicros >= 0 && warmUpMicros >= 0,
                    "drain-grace-s, fall-s and warm-up-s: must not be negative");
            requireValid(orderPauseMicros >= 0, "order-pause-s: must not be negative");
        }
    }

    /**
     * All settings of a module, given at its start and again by {@link SettingsChanged}. They come from
     * {@code settings} in the configuration of a relay or from the simulator's {@code launch} message; here
     * and in the records that are part of the settings, the description of a component begins with its key
     * there. {@link JsonCodec} reads them: what is a span here is in seconds there.
     *
     * @param seed seed for the module's random numbers; given beside the settings
     * @param relayIndex {@code me}: index of this relay in its fleet, from 0
     * @param fleetSize {@code fleet-size}: number of relays in the fleet, including this one; above 0
     * @param zone {@code zone}: name of the zone that this relay runs in
     * @param classes {@code classes}: classes that clients may request; at least one
     * @param tenants {@code accounts}: tenants that clients may name; if empty, a client may name any
     *         tenant or none
     * @param kinds {@code kinds}: kinds of destination; routes of a kind that is not listed share one limit
     *         per destination and get one request per call
     * @param zones {@code zones}: zones that contain routes
     * @param limits {@code limits}: limits on what this relay may use or do
     * @param rules {@code contract}: figures of the service's rules
     * @param overQuotaValue {@code over-share-worth}: factor on the value of a request beyond its tenant's
     *         quota; 1 if not set. {@link DeliveryPolicy} does not use it
     * @param lateValueHalves {@code family-info.fades}: how the value of a late delivery falls, see
     *         {@link RequestClass}; it halves if true ({@code by_half}), else falls linearly
     * @param mustSubscribe {@code registry-mode}: true ({@code subscribe}) if the module has to request
     *         changes of the route list by {@link Actions#setRouteListSubscription}
     * @param rateHint {@code weight-source}: how exact the rates in the route list are;
     *         {@link RateHint#NONE} if not set
     * @param crossZonePrice {@code fees.cross-zone}: price of an attempt to a route in another zone, in the
     *         unit that the configuration uses; 0 if not set. {@link DeliveryPolicy} does not use it
     */
    record Settings(long seed, int relayIndex, int fleetSize, String zone, List<RequestClass> classes,
            List<Tenant> tenants, List<DestinationKind> kinds, List<Zone> zones, Limits limits,
            ServiceRules rules, double overQuotaValue, boolean lateValueHalves, boolean mustSubscribe,
            RateHint rateHint, double crossZonePrice) {
        public Settings {
            requireValid(!classes.isEmpty(), "classes: at least one is needed");
            requireValid(fleetSize > 0, "fleet-size: must be above 0");
            requireValid(rules.collapseLoadMultiple() > 0, "fall-multiple: must be above 0");
        }
    }

    /**
     * A route as listed by discovery, which sets all its values.
     *
     * @param route name of the route; unique over all destinations
     * @param destination number of the destination that the route leads to
     * @param kind name of its {@link DestinationKind}
     * @param zone name of its zone
     * @param availability whether it accepts attempts
     * @param ratePerSecond calls per second from all relays together that the limit of the route allows;
     *         {@link Settings#rateHint} says how exact this is, 0 if not listed
     */
    record ListedRoute(String route, int destination, String kind, String zone, Availability availability,
            double ratePerSecond) { }

    /**
     * A destination's report on its limit, sent with an answer.
     *
     * @param remainingShare share of the limit that is left, 0 or more; NaN if not reported.
     *         {@link DeliveryPolicy} does not use it
     * @param ratePerSecond calls per second from all relays together that the limit allows, 0 or more; NaN
     *         if not reported
     */
    record LimitReport(double remainingShare, double ratePerSecond) {
        /** No report. */
        public static final LimitReport NONE = new LimitReport(Double.NaN, Double.NaN);
    }

    /** Something that happened, as reported by the relay. */
    sealed interface Event { }

    /**
     * A request was accepted. Unless the client withdraws it, it has to end once: by a delivery,
     * {@link Actions#rejectRequest} or {@link Actions#failRequest}.
     *
     * @param id number of the request, unique in this relay
     * @param requestClassName name of its class
     * @param tenant name of its tenant; null if the client named none
     * @param key its idempotency key, also the key of {@link RequestClass#orderedByKey}; null if the client
     *         sent none
     * @param deadline instant from which on a delivery has no value
     * @param destination number of its destination
     * @param terms its terms; null if the current settings apply, which must then contain its class
     */
    record RequestAccepted(long id, String requestClassName, String tenant, String key, long deadline,
            int destination, RequestTerms terms) implements Event {
        /** Creates the event for a request to which the current settings apply. */
        public RequestAccepted(long id, String requestClassName, String tenant, String key, long deadline,
                int destination) {
            this(id, requestClassName, tenant, key, deadline, destination, null);
        }
    }

    /**
     * New settings apply from now on. Requests accepted before keep their terms.
     *
     * @param settings all settings, including those that have not changed
     */
    record SettingsChanged(Settings settings) implements Event { }

    /**
     * An attempt made by an earlier process of this relay.
     *
     * @param route name of the route, which may no longer be listed
     * @param sentAt instant at which the attempt started
     * @param result how it ended; null if not known, in which case it may have taken effect
     */
    record PastAttempt(String route, long sentAt, Result result) { }

    /**
     * A request accepted by an earlier process of this relay passes to this process, after a restart or a
     * handover. It has to end here.
     *
     * @param request the request as it was accepted, with its number in this process
     * @param attempts its attempts so far, in order; the indices of new attempts continue after them. None
     *         of them is in flight, so no {@link AttemptEnded} follows for them
     */
    record RequestResumed(RequestAccepted request, List<PastAttempt> attempts) implements Event { }

    /**
     * The answer to an attempt has begun to arrive, so its timeout no longer applies. Only the simulator
     * reports this, and {@link DeliveryPolicy} ignores it.
     *
     * @param requestId number of the request
     * @param attemptIndex index of the attempt among those of the request, from 0
     * @param route name of the route
     */
    record AnswerStarted(long requestId, int attemptIndex, String route) implements Event { }

    /**
     * An attempt ended. This is reported once for each attempt that this process started, even if its
     * request has ended before.
     *
     * @param requestId number of the request
     * @param attemptIndex index of the attempt among those of the request, including past ones, from 0
     * @param route name of the route
     * @param result how it ended
     * @param requestClosed true if the request has ended, so that the module must neither attempt nor end
     *         it any more
     * @param retryAfterMicros time for which the destination asked this relay to send it nothing; 0 if it
     *         did not ask for this
     * @param elapsedMicros time from the start of the attempt to its end
     * @param report the destination's report on its limit; {@link LimitReport#NONE} if it sent none
     */
    record AttemptEnded(long requestId, int attemptIndex, String route, Result result, boolean requestClosed,
            long retryAfterMicros, long elapsedMicros, LimitReport report) implements Event { }

    /**
     * The client withdrew a request before it was answered. The module must neither attempt nor end it any
     * more.
     *
     * @param id number of the request
     */
    record RequestWithdrawn(long id) implements Event { }

    /**
     * A timer set by {@link Actions#setTimer} has expired.
     *
     * @param timer number given to {@link Actions#setTimer}. The relay itself sends 0 when it only needs a
     *         round
     */
    record TimerFired(long timer) implements Event { }

    /**
     * The route list has changed or could not be fetched.
     *
     * @param type what {@code routes} contains
     * @param version version of the list at discovery; higher is newer, and it has no meaning for
     *         {@link RouteListUpdateType#FAILED}. {@link DeliveryPolicy} does not use it
     * @param routes the complete list, the changed routes, or nothing, as {@code type} says
     */
    record RouteListUpdate(RouteListUpdateType type, long version, List<ListedRoute> routes)
            implements Event { }

    /**
     * Discovery has moved to another address and may have a newer list there that this relay has not
     * received. From {@code expiresAt} on the relay is deemed to know that list even if it has not received
     * it, so an attempt to a route that is draining in it would break the rules. The next
     * {@link RouteListUpdate} that contains a list ends this state.
     *
     * @param staleSince instant since which the newer list may exist. A route that has served a call sent
     *         at or after it is not draining and stays usable
     * @param expiresAt instant from which on all other routes get no attempts
     */
    record RouteListStale(long staleSince, long expiresAt) implements Event { }

    /**
     * The process is about to exit. The module starts no more attempts but still ends requests whose time
     * is up. The others stay in the journal for the next process.
     */
    record ShutdownStarted() implements Event { }

    /**
     * A probe ended.
     *
     * @param route name of the route, which may no longer be listed
     * @param result how it ended
     * @param retryAfterMicros time for which the destination asked this relay to send it nothing; 0 if it
     *         did not ask for this
     * @param elapsedMicros time from the start of the probe to its end
     * @param report the destination's report on its limit; {@link LimitReport#NONE} if it sent none
     */
    record ProbeEnded(String route, Result result, long retryAfterMicros, long elapsedMicros,
            LimitReport report) implements Event { }

    /**
     * This process continues the work of another process of the same relay, its predecessor. The
     * predecessor no longer makes decisions but waits for its calls in flight, which occupy call slots of
     * this relay until they end.
     *
     * @param learnedState result of the predecessor's {@link Policy#encodeLearnedState}, possibly in the
     *         format of another version of the software
     * @param predecessorCallsInFlight number of calls that the predecessor has in flight; 0 if it has
     *         exited and the state was read from disk
     */
    record LearnedStateRestored(byte[] learnedState, int predecessorCallsInFlight) implements Event { }

    /**
     * A call that the predecessor had in flight ended. Its requests may follow as {@link RequestResumed}.
     *
     * @param route name of the route, which may not be listed in this process
     * @param result how the call ended
     * @param retryAfterMicros time for which the destination asked this relay to send it nothing; 0 if it
     *         did not ask for this
     * @param elapsedMicros time from the start of the call to its end
     * @param predecessorCallsInFlight number of calls that the predecessor still has in flight
     */
    record PredecessorCallEnded(String route, Result result, long retryAfterMicros, long elapsedMicros,
            int predecessorCallsInFlight) implements Event { }

    /** The predecessor has exited, and its calls in flight have ended with it. */
    record PredecessorEnded() implements Event { }

    /**
     * A note arrived from another relay.
     *
     * @param fromRelay index of that relay in the fleet, from 0
     * @param payload bytes that it passed to {@link Actions#sendPeerNote}, possibly by another version of
     *         the software
     */
    record PeerNote(int fromRelay, byte[] payload) implements Event { }

    /** The actions of a module. Each takes effect at the instant of the round. */
    interface Actions {
        /**
         * Starts the next attempt of a request. {@link AttemptEnded} follows, even if the relay cannot send
         * it. Attempts of one round to the same route may share a call.
         *
         * @param id number of the request
         * @param route name of the route
         * @param timeout how long to wait for its answer; 0 means until the request's deadline
         */
        void startAttempt(long id, String route, long timeout);

        /**
         * Starts the next attempt of a request, to be sent before an instant. An attempt that gets no
         * connection by then is not sent and ends with {@link Result#NOT_SENT}. The default implementation,
         * for relays that send attempts at once, ignores {@code until}.
         *
         * @param id number of the request
         * @param route name of the route
         * @param timeout how long to wait for its answer; 0 means until the request's deadline
         * @param until instant before which the attempt has to be sent; {@link Long#MAX_VALUE} means no
         *         limit
         */
        default void startAttempt(long id, String route, long timeout, long until) {
            startAttempt(id, route, timeout);
        }

        /**
         * Stops waiting for an attempt. It ends with {@link Result#CANCELLED}, or, if it has not been sent
         * yet, with a result that proves that it took no effect. An answer that has already arrived still
         * counts.
         *
         * @param id number of the request
         * @param attempt index of the attempt among those of the request, from 0
         */
        void cancelAttempt(long id, int attempt);

        /**
         * Ends a request that is not delivered. The answer says that the client may safely send it again.
         *
         * @param id number of the request
         * @param retryIn delay after which the client should do so; 0 gives no delay
         */
        void rejectRequest(long id, long retryIn);

        /**
         * Ends a request that is not delivered. The answer does not say whether it took effect.
         *
         * @param id number of the request
         */
        void failRequest(long id);

        /**
         * Requests a {@link TimerFired}. A timer cannot be cancelled, and several may run with the same
         * number.
         *
         * @param timer number that the event carries
         * @param delay time from now
         */
        void setTimer(long timer, long delay);

        /**
         * Sends a health check to a route. It counts as a call there. {@link ProbeEnded} follows.
         *
         * @param route name of the route
         */
        void sendProbe(String route);

        /**
         * Closes this relay's idle connections to a route.
         *
         * @param route name of the route
         */
        void closeIdleConnections(String route);

        /**
         * Sends a note to one or all other relays. Notes may be lost. Relays on sockets send none.
         *
         * @param relay index of the relay in the fleet, from 0; negative for all other relays
         * @param payload bytes that arrive there as {@link PeerNote}
         */
        void sendPeerNote(int relay, byte[] payload);

        /**
         * Starts or stops the delivery of changes of the route list. Needed only if
         * {@link Settings#mustSubscribe}; relays on sockets always watch the list and ignore this.
         *
         * @param on whether a {@link RouteListUpdate} is wanted for each change from now on
         */
        void setRouteListSubscription(boolean on);

        /** Requests the complete route list once. It arrives as a {@link RouteListUpdate}. */
        void fetchRouteList();

        /**
         * Writes a line to the log.
         *
         * @param text a single line
         */
        void log(String text);
    }
}
