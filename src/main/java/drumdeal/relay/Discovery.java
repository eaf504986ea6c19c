package drumdeal.relay;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import drumdeal.JsonReader;
import drumdeal.Policy;
import drumdeal.Policy.RouteListUpdateType;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * Keeps the list of hosts up to date. All relays of a fleet use the same discovery service, which serves one call at a
 * time. Therefore each relay calls it rarely and at random times.
 *
 * <p>Relays of a small fleet watch for changes by long polling, starting from the version known at the start. They
 * fetch the whole list only if no version is known or the last response could not be parsed. A change made within
 * 200 ms after the response to a watch counts as delivered to the relay that watched, whether it received the change or
 * not. So the relay has to call again within the drain grace. One change answers the watches of all relays at the same
 * moment. If the drain grace is too short for one call of each relay, the relays do not watch: each fetches the whole
 * list from time to time, and then only what the responses contained counts as delivered to it.
 */
final class Discovery {
    /**
     * Shortest duration of a watch. Watches of a whole fleet that end sooner leave discovery no time to deliver
     * changes.
     */
    static final long MIN_WATCH_MILLIS = 2000;
    /**
     * Longest duration of a watch. If discovery stops responding, a change that the relay misses counts as delivered
     * 6 s later. So within 6 s of its start a watch has to end, and the next one has to be opened and answered.
     */
    static final long MAX_WATCH_MILLIS = 3500;
    /** How late the response to a watch may be: discovery may answer others first that end at the same moment. */
    static final long WATCH_RESPONSE_SLACK_MILLIS = 1200;
    /**
     * Timeout for the whole list. Discovery serves one call at a time and itself ends calls that it can't get to.
     * A call that the relay abandons sooner still costs discovery its work, so a relay that does this each time never
     * gets a response.
     */
    private static final long FETCH_TIMEOUT_MILLIS = 3000;
    /** Pause after the first failure; it doubles with each further one. */
    private static final long INITIAL_BACKOFF_MILLIS = 400;
    private static final int MAX_BACKOFF_DOUBLINGS = 4;
    /**
     * Longest time from the start of a failed call to the start of the next one. Regardless of earlier failures, a
     * change counts as delivered 6 s after discovery has it and can be reached; this leaves 1 s for the response.
     */
    private static final long MAX_RETRY_INTERVAL_MILLIS = 5000;
    /** Duration of a watch after a failure: short, so that there is time for another one if this one times out too. */
    private static final long RETRY_WATCH_MILLIS = 500;
    /**
     * The list at a new address counts as delivered this long after the signal to reload. That is enough for several
     * calls.
     */
    private static final long ADDRESS_CHANGE_LIST_DUE_MILLIS = 4000;
    /** Longest mean pause between failed calls while the first list from a new address is due. */
    private static final long MAX_ADDRESS_CHANGE_BACKOFF_MILLIS = 800;
    /**
     * Shortest pause between two calls: an agent that responds at once each time is not called in a tight loop. It is
     * far shorter than any watch.
     */
    private static final long MIN_PAUSE_MILLIS = 10;
    /**
     * Longest mean pause after a change. Without a random pause, all relays of a fleet would call again at once after
     * each change, and a release makes many changes. The pause is limited because a change made right after a response
     * counts as delivered and has to be received within the drain grace.
     */
    private static final long MAX_MEAN_PAUSE_AFTER_CHANGE_MILLIS = 500;
    /**
     * Range of the random delay of the first watch, since many relays may start at once, and of a list that is needed
     * soon. The list known from before stays in use until then.
     */
    private static final long REQUEST_JITTER_MILLIS = 500;
    /** Shortest time discovery needs for one call, used to estimate how long it takes to answer a whole fleet. */
    private static final long MIN_SERVICE_TIME_MILLIS = 40;
    /** Shortest pause between two fetches of the whole list, before it is shortened at random. */
    private static final long FETCH_PAUSE_MILLIS = 3000;
    /** Least ratio of the pause between fetches to the response time: slow responses mean that other relays wait. */
    private static final int PAUSE_TO_RESPONSE_TIME_RATIO = 15;
    /** Longest interval between fetches, as a share of the interval in which a relay must call discovery. */
    private static final double MAX_FETCH_INTERVAL_RATIO = 0.95;
    /** Range of the random delay of the first fetch at a new address; relays that watch call there at once. */
    private static final long ADDRESS_CHANGE_JITTER_MILLIS = 1500;

    /** Receives what discovery reports. */
    interface Listener {
        /** A whole list or changes to it; {@code version} is the version of the list after them. */
        void updateTargets(RouteListUpdateType type, long version, List<Target> targets);

        /**
         * The list may be outdated: changes that exist now count as delivered after {@code dueInMicros}, whether
         * they have been received or not.
         */
        void listStale(long dueInMicros);
    }

    private final EventLoop loop;
    private final Agent agent;
    private final Listener listener;
    /** True if this relay watches for changes, false if it fetches the whole list from time to time. */
    private boolean watchEnabled;
    /**
     * Mean pause after a change: {@link #MAX_MEAN_PAUSE_AFTER_CHANGE_MILLIS}, or less if the drain grace is short.
     */
    private long meanPauseAfterChangeMillis;
    /** Longest time from the start of one fetch to the start of the next one, if the relay does not watch. */
    private long maxFetchIntervalMillis;
    /** True from a change of the address until the first list from there. */
    private boolean awaitingNewAddressList;
    /** The scheduled call; done once it has started. */
    private Future<?> nextRequest;
    /** When the next call is due, on the event loop's ticker. */
    private long nextRequestAtNanos;
    /** When the last call was started, on the event loop's ticker. */
    private long lastRequestAtNanos;
    private final SplittableRandom random;
    private final JsonFactory jsonFactory = new JsonFactory();
    /** The version of the list in use; -1 if none is known. */
    private long version;
    /** Set after a response that can't be parsed: a watch from the same version would receive it again. */
    private boolean fullListNeeded;
    /** True once the listener has been given a list. */
    private boolean listReceived;
    /** Number of failed calls since the last successful one. */
    private int consecutiveFailures;

    /** Sends requests to discovery's agent, one at a time. */
    interface Agent {
        /** Sends a request; the handler is called exactly once, later. */
        void request(HttpMethod method, String path, String body, long timeoutMillis,
                AgentClient.ResponseHandler handler);

        /** Uses another address from now on; a request in flight ends without a response. */
        void moveTo(InetSocketAddress address);
    }

    /** Continues from {@code knownVersion}, which is -1 if none is known. */
    Discovery(EventLoop loop, Agent agent, Policy.Settings settings, long knownVersion, Listener listener) {
        this.loop = loop;
        this.listener = listener;
        version = knownVersion;
        random = new SplittableRandom(settings.seed());
        this.agent = agent;
        applySettings(settings);
    }

    /**
     * Schedules the first call: at once if no list is known, else after a random delay. A fetch is delayed by up to
     * four fifths of the longest interval between fetches.
     */
    void start() {
        scheduleRequest(version < 0 ? 0
                : randomUpTo(watchEnabled ? REQUEST_JITTER_MILLIS : maxFetchIntervalMillis * 4 / 5));
    }

    /**
     * Uses another address from now on. Its versions need not be those of the old one. The first call there is
     * made soon, in place of the scheduled one. If this relay fetches, the call is delayed at random, since the address
     * may have changed for the whole fleet at once.
     */
    void moveTo(InetSocketAddress address, Policy.Settings settings) {
        applySettings(settings);
        version = -1;
        agent.moveTo(address);
        consecutiveFailures = 0;
        awaitingNewAddressList = true;
        listener.listStale(TimeUnit.MILLISECONDS.toMicros(ADDRESS_CHANGE_LIST_DUE_MILLIS));
        scheduleRequest(randomUpTo(watchEnabled ? 0 : ADDRESS_CHANGE_JITTER_MILLIS));
    }

    /** Brings the next call forward, because no known host serves a destination for which this relay holds messages. */
    void requestSoon() {
        if (!nextRequest.isDone() && nextRequestAtNanos - loop.ticker().nanoTime()
                > TimeUnit.MILLISECONDS.toNanos(REQUEST_JITTER_MILLIS)) {
            scheduleRequest(randomUpTo(REQUEST_JITTER_MILLIS));
        }
    }

    /** Decides whether to watch or to fetch, and for which intervals. */
    private void applySettings(Policy.Settings settings) {
        long fleetServiceMillis = settings.fleetSize() * MIN_SERVICE_TIME_MILLIS;
        long drainGraceMillis = TimeUnit.MICROSECONDS.toMillis(settings.rules().drainGraceMicros());
        watchEnabled = fleetServiceMillis <= drainGraceMillis;
        // Half of the drain grace that one call of each relay leaves. A pause lasts up to 1.5 times its mean, so it
        // still ends within the grace.
        meanPauseAfterChangeMillis = Math.max(MIN_PAUSE_MILLIS,
                Math.min(MAX_MEAN_PAUSE_AFTER_CHANGE_MILLIS, (drainGraceMillis - fleetServiceMillis) / 2));
        long requiredIntervalMillis = TimeUnit.MICROSECONDS.toMillis(settings.rules().maxDiscoveryIntervalMicros());
        maxFetchIntervalMillis = requiredIntervalMillis > 0
                ? (long) (requiredIntervalMillis * MAX_FETCH_INTERVAL_RATIO) : 2 * FETCH_PAUSE_MILLIS;
    }

    /** Fetches the whole list, or opens a watch from the current version. */
    private void sendRequest() {
        lastRequestAtNanos = loop.ticker().nanoTime();
        if (version < 0 || fullListNeeded || !watchEnabled) {
            agent.request(HttpMethod.GET, "/api/targets", "", FETCH_TIMEOUT_MILLIS, this::handleResponse);
        } else {
            long watchMillis = consecutiveFailures > 0 ? RETRY_WATCH_MILLIS
                    : MIN_WATCH_MILLIS + randomUpTo(MAX_WATCH_MILLIS - MIN_WATCH_MILLIS);
            agent.request(HttpMethod.GET, "/api/targets?after=" + version + "&wait_ms=" + watchMillis, "",
                    watchMillis + WATCH_RESPONSE_SLACK_MILLIS, this::handleResponse);
        }
    }

    /** Applies a response, or notes the failure, and schedules the next call. */
    private void handleResponse(int status, String body) {
        long previousVersion = version;
        boolean applied = status == 200 && applyResponse(body);
        awaitingNewAddressList &= !applied;
        // A change that a timed-out call missed counts as delivered soon. So the first call after a timeout is made at
        // once, which is acceptable because discovery has not rejected anything.
        long pauseMillis = !applied
                ? status == AgentClient.TIMED_OUT && consecutiveFailures == 0 ? MIN_PAUSE_MILLIS : retryBackoffMillis()
                : !watchEnabled ? fetchPause()
                : version > previousVersion ? jitter(meanPauseAfterChangeMillis) : MIN_PAUSE_MILLIS;
        logFailureOrRecovery(applied, status);
        scheduleRequest(pauseMillis);
    }

    /** Schedules the next call in place of the one scheduled before. */
    private void scheduleRequest(long delayMillis) {
        if (nextRequest != null) {
            nextRequest.cancel(false);
        }
        nextRequest = loop.schedule(this::sendRequest, delayMillis, TimeUnit.MILLISECONDS);
        nextRequestAtNanos = loop.ticker().nanoTime() + TimeUnit.MILLISECONDS.toNanos(delayMillis);
    }

    /** Pause after a failed call: it grows with each failure, up to a limit that depends on when the list is due. */
    private long retryBackoffMillis() {
        long backoffMillis = INITIAL_BACKOFF_MILLIS << Math.min(consecutiveFailures, MAX_BACKOFF_DOUBLINGS);
        if (awaitingNewAddressList) {
            return jitter(Math.min(MAX_ADDRESS_CHANGE_BACKOFF_MILLIS, backoffMillis));
        }
        long maxPauseMillis = Math.max(MIN_PAUSE_MILLIS, MAX_RETRY_INTERVAL_MILLIS - millisSinceRequest());
        return Math.min(jitter(backoffMillis), maxPauseMillis / 2 + randomUpTo(maxPauseMillis / 2));
    }

    private long millisSinceRequest() {
        return TimeUnit.NANOSECONDS.toMillis(loop.ticker().nanoTime() - lastRequestAtNanos);
    }

    /** Pause between two fetches in milliseconds, shortened at random by up to a quarter. */
    private long fetchPause() {
        long responseMillis = millisSinceRequest();
        long pauseMillis = Math.max(MIN_PAUSE_MILLIS, Math.min(maxFetchIntervalMillis - responseMillis,
                Math.max(FETCH_PAUSE_MILLIS, PAUSE_TO_RESPONSE_TIME_RATIO * responseMillis)));
        return pauseMillis * 3 / 4 + randomUpTo(pauseMillis / 4);
    }

    /** A random number from 0 to {@code max}, both included. */
    private long randomUpTo(long max) {
        return random.nextLong(max + 1);
    }

    /**
     * A random time between half and one and a half times {@code mean}, so that relays that received a response at the
     * same time do not call again at the same time.
     */
    private long jitter(long mean) {
        return mean / 2 + randomUpTo(mean);
    }

    /** Logs the first of several failures and the recovery after them: the list may be outdated in between. */
    private void logFailureOrRecovery(boolean applied, int status) {
        if (!applied && consecutiveFailures++ == 0) {
            Log.write("discovery: no list received, retrying: "
                    + (status == AgentClient.TIMED_OUT ? "the call timed out" : "status " + status));
        } else if (applied && consecutiveFailures > 0) {
            Log.write("discovery: list received again after " + consecutiveFailures + " failed calls");
            consecutiveFailures = 0;
        }
    }

    /** Passes the list or the changes in a response to the listener; false if the response can't be used. */
    private boolean applyResponse(String body) {
        try (JsonParser parser = jsonFactory.createParser(body)) {
            parser.nextToken();
            JsonReader list = JsonReader.ofObject("list", JsonReader.readValue(parser));
            long receivedVersion = list.integer("rev");
            boolean wholeList = list.booleanOrFalse("all");
            List<Target> targets = Target.readAll(list);
            if (receivedVersion < version) {
                Log.write("discovery: version " + receivedVersion + " is older than " + version
                        + ", the response is ignored");
                return false;
            }
            boolean changed = receivedVersion > version || !listReceived;
            version = receivedVersion;
            fullListNeeded = false;
            // The first response counts even without changes: it confirms the list that was known before.
            if (changed || !wholeList && !targets.isEmpty()) {
                Log.write("discovery: version " + receivedVersion + ", " + targets.size()
                        + (wholeList ? " entries" : " changes"));
                listener.updateTargets(wholeList ? RouteListUpdateType.FULL : RouteListUpdateType.CHANGES,
                        receivedVersion, targets);
            }
            listReceived = true;
            return true;
        } catch (IOException | RuntimeException e) {
            Log.write("discovery: ignored an invalid response: " + e.getMessage());
            fullListNeeded = true;
            return false;
        }
    }
}
