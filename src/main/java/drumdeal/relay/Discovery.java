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
 * Keeps the list of hosts. Every relay of a fleet does so at one service that takes one call after another: each asks
 * seldom and at moments of its own.
 *
 * <p>A small fleet watches for changes, from the version known at the start; the whole list is fetched only where no
 * version is known. What is made within 200 ms of a watch's answer counts as told to who watched, heard or not, so a
 * relay has to ask again within the grace of a drain. Where that is too short for one call of each relay, as all were
 * answered in the same moment, nobody watches: each fetches the whole list from time to time, which binds it to what it
 * was told alone.
 */
final class Discovery {
    /**
     * Guards against a discovery that falls silent: what is missed counts as told 6 s after that, so a watch has to end,
     * and to be opened anew and answered, within that span of its first moment. Shorter ones, of a whole fleet, leave
     * discovery no time for news.
     */
    static final long MIN_WATCH_MILLIS = 2000;
    static final long MAX_WATCH_MILLIS = 3500;
    /** How late the end of a watch may come: others that end in the same moment are answered before it. */
    static final long WATCH_RESPONSE_SLACK_MILLIS = 1200;
    /**
     * Discovery serves one call after another and ends by itself those that it can't get to: one that is given up
     * before leaves its work there behind, and asking anew each time never comes to an answer.
     */
    private static final long FETCH_TIMEOUT_MILLIS = 3000;
    /** After a failure, twice as long after each further one. */
    private static final long INITIAL_BACKOFF_MILLIS = 400;
    private static final int MAX_BACKOFF_DOUBLINGS = 4;
    /**
     * From the start of a call that failed to the start of the next one, at most. Whatever is allowed after a failure, a
     * change counts as told 6 s after discovery had it and could be reached: that leaves a second for the answer.
     */
    private static final long MAX_RETRY_INTERVAL_MILLIS = 5000;
    /** How long a watch waits for news after a failure: one that falls silent again must leave time for another. */
    private static final long RETRY_WATCH_MILLIS = 500;
    /** What the new address has to tell counts as told 4 s after the signal: there is time for several calls by then. */
    private static final long ADDRESS_CHANGE_LIST_DUE_MILLIS = 4000;
    private static final long MAX_ADDRESS_CHANGE_BACKOFF_MILLIS = 800;
    /** Guards against an agent that answers at once again and again; far below what ends a watch. */
    private static final long MIN_PAUSE_MILLIS = 10;
    /**
     * Guards against a fleet that a change wakes and that all asks again at once; a release makes many changes. At most:
     * what is made right after an answer counts as told, and has to be heard within the grace of a drain.
     */
    private static final long MAX_PAUSE_AFTER_CHANGE_MILLIS = 500;
    /** What is known at the start stands until then; many relays may start together. */
    private static final long REQUEST_JITTER_MILLIS = 500;
    /** What one call takes discovery at the least: whether a fleet is answered within a span goes by it. */
    private static final long MIN_SERVICE_TIME_MILLIS = 40;
    /** Between two fetches of the whole list: longer where answers take long, as others wait for theirs then. */
    private static final long FETCH_PAUSE_MILLIS = 3000;
    private static final int PAUSE_TO_RESPONSE_TIME_RATIO = 15;
    /** Of the span in which a relay has to ask, from one call to the next. */
    private static final double MAX_FETCH_INTERVAL_RATIO = 0.95;
    private static final long ADDRESS_CHANGE_JITTER_MILLIS = 1500;

    /** Takes in what discovery tells. */
    interface Listener {
        void updateTargets(RouteListUpdateType kind, long version, List<Target> targets);

        /** What has to be told now, and is not heard, counts as told in a while, in microseconds. */
        void listStale(long in);
    }

    private final EventLoop loop;
    private final Agent agent;
    private final Listener listener;
    private boolean watchEnabled;
    private long maxPauseAfterChangeMillis;
    /** From one call to the next, where nobody watches. */
    private long maxFetchIntervalMillis;
    /** The list of a new address is still to come. */
    private boolean awaitingNewAddressList;
    private Future<?> nextRequest;
    private long nextRequestAtNanos;
    private long lastRequestAtNanos;
    private final SplittableRandom random;
    private final JsonFactory json = new JsonFactory();
    /** The version that the relay goes by; -1 where none is known. */
    private long version;
    /** Guards against an answer that can't be read, which asking from the same version would bring again. */
    private boolean fullListNeeded;
    private boolean listReceived;
    private int failures;

    /** Who is asked. */
    interface Agent {
        void request(HttpMethod method, String path, String body, long timeoutMs, AgentClient.ResponseHandler answer);

        void moveTo(InetSocketAddress next);
    }

    /** Knows a version from before, or -1. */
    Discovery(EventLoop loop, Agent agent, Policy.Settings settings, long knownVersion, Listener listener) {
        this.loop = loop;
        this.listener = listener;
        version = knownVersion;
        random = new SplittableRandom(settings.seed());
        this.agent = agent;
        applySettings(settings);
    }

    void start() {
        scheduleRequest(version < 0 ? 0 : randomUpTo(watchEnabled ? REQUEST_JITTER_MILLIS : maxFetchIntervalMillis * 4 / 5));
    }

    /**
     * Watches at another address from now on; its versions need not be those of the old one. The first call there comes
     * soon whatever pause was running, but a whole fleet may have been told at once.
     */
    void moveTo(InetSocketAddress address, Policy.Settings settings) {
        applySettings(settings);
        version = -1;
        agent.moveTo(address);
        failures = 0;
        awaitingNewAddressList = true;
        listener.listStale(TimeUnit.MILLISECONDS.toMicros(ADDRESS_CHANGE_LIST_DUE_MILLIS));
        scheduleRequest(randomUpTo(watchEnabled ? 0 : ADDRESS_CHANGE_JITTER_MILLIS));
    }

    /** The list is wanted sooner than it would be asked for: what is known does not do for what is held. */
    void requestSoon() {
        if (!nextRequest.isDone() && nextRequestAtNanos - loop.ticker().nanoTime() > TimeUnit.MILLISECONDS.toNanos(REQUEST_JITTER_MILLIS)) {
            scheduleRequest(randomUpTo(REQUEST_JITTER_MILLIS));
        }
    }

    private void applySettings(Policy.Settings settings) {
        long turns = settings.fleetSize() * MIN_SERVICE_TIME_MILLIS;
        long grace = TimeUnit.MICROSECONDS.toMillis(settings.rules().drainGraceMicros());
        watchEnabled = turns <= grace;
        maxPauseAfterChangeMillis = Math.max(MIN_PAUSE_MILLIS, Math.min(MAX_PAUSE_AFTER_CHANGE_MILLIS, (grace - turns) / 2));
        long mustAsk = TimeUnit.MICROSECONDS.toMillis(settings.rules().maxDiscoveryIntervalMicros());
        maxFetchIntervalMillis = mustAsk > 0 ? (long) (mustAsk * MAX_FETCH_INTERVAL_RATIO) : 2 * FETCH_PAUSE_MILLIS;
    }

    private void sendRequest() {
        lastRequestAtNanos = loop.ticker().nanoTime();
        if (version < 0 || fullListNeeded || !watchEnabled) {
            agent.request(HttpMethod.GET, "/api/targets", "", FETCH_TIMEOUT_MILLIS, this::handleResponse);
        } else {
            long wait = failures > 0 ? RETRY_WATCH_MILLIS : MIN_WATCH_MILLIS + randomUpTo(MAX_WATCH_MILLIS - MIN_WATCH_MILLIS);
            agent.request(HttpMethod.GET, "/api/targets?after=" + version + "&wait_ms=" + wait, "",
                    wait + WATCH_RESPONSE_SLACK_MILLIS, this::handleResponse);
        }
    }

    private void handleResponse(int status, String body) {
        long before = version;
        boolean taken = status == 200 && applyResponse(body);
        awaitingNewAddressList &= !taken;
        // Guards against what a call that fell silent has missed, which counts as told soon: the first one after it need
        // not wait, as discovery has not turned anything away.
        long pause = !taken ? status == AgentClient.TIMED_OUT && failures == 0 ? MIN_PAUSE_MILLIS : retryBackoffMillis()
                : !watchEnabled ? fetchPause() : version > before ? jitter(maxPauseAfterChangeMillis) : MIN_PAUSE_MILLIS;
        logFailureOrRecovery(taken, status);
        scheduleRequest(pause);
    }

    private void scheduleRequest(long ms) {
        if (nextRequest != null) {
            nextRequest.cancel(false);
        }
        nextRequest = loop.schedule(this::sendRequest, ms, TimeUnit.MILLISECONDS);
        nextRequestAtNanos = loop.ticker().nanoTime() + TimeUnit.MILLISECONDS.toNanos(ms);
    }

    private long retryBackoffMillis() {
        long growing = INITIAL_BACKOFF_MILLIS << Math.min(failures, MAX_BACKOFF_DOUBLINGS);
        if (awaitingNewAddressList) {
            return jitter(Math.min(MAX_ADDRESS_CHANGE_BACKOFF_MILLIS, growing));
        }
        long longest = Math.max(MIN_PAUSE_MILLIS, MAX_RETRY_INTERVAL_MILLIS - millisSinceRequest());
        return Math.min(jitter(growing), longest / 2 + randomUpTo(longest / 2));
    }

    private long millisSinceRequest() {
        return TimeUnit.NANOSECONDS.toMillis(loop.ticker().nanoTime() - lastRequestAtNanos);
    }

    private long fetchPause() {
        long took = millisSinceRequest();
        long pause = Math.max(MIN_PAUSE_MILLIS, Math.min(maxFetchIntervalMillis - took,
                Math.max(FETCH_PAUSE_MILLIS, PAUSE_TO_RESPONSE_TIME_RATIO * took)));
        return pause * 3 / 4 + randomUpTo(pause / 4);
    }

    private long randomUpTo(long span) {
        return random.nextLong(span + 1);
    }

    /** From half a span to one and a half, so that a fleet that was told together does not ask together. */
    private long jitter(long span) {
        return span / 2 + randomUpTo(span);
    }

    /** Tells staff when the watch is lost and when it is back: the list is old meanwhile. */
    private void logFailureOrRecovery(boolean taken, int status) {
        if (!taken && failures++ == 0) {
            Log.write("discovery: no list, " + (status == AgentClient.TIMED_OUT ? "the call fell silent" : "status " + status));
        } else if (taken && failures > 0) {
            Log.write("discovery: a list again after " + failures + " calls in vain");
            failures = 0;
        }
    }

    private boolean applyResponse(String body) {
        try (JsonParser parser = json.createParser(body)) {
            parser.nextToken();
            JsonReader list = JsonReader.ofObject("list", JsonReader.readValue(parser));
            long rev = list.integer("rev");
            boolean all = list.booleanOrFalse("all");
            List<Target> targets = Target.readAll(list);
            if (rev < version) {
                Log.write("discovery: version " + rev + " is older than " + version + ", which stands");
                return false;
            }
            boolean news = rev > version || !listReceived;
            version = rev;
            fullListNeeded = false;
            // The first answer tells also where it brings nothing: what was known before is the list.
            if (news || !all && !targets.isEmpty()) {
                Log.write("discovery: version " + rev + ", " + targets.size() + (all ? " entries" : " changes"));
                listener.updateTargets(all ? RouteListUpdateType.FULL : RouteListUpdateType.CHANGES, rev, targets);
            }
            listReceived = true;
            return true;
        } catch (IOException | RuntimeException e) {
            Log.write("discovery: an answer is passed over: " + e.getMessage());
            fullListNeeded = true;
            return false;
        }
    }
}
