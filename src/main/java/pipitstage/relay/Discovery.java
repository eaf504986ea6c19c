package pipitstage.relay;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import pipitstage.Fields;
import pipitstage.Policy;
import pipitstage.Policy.ListKind;

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
     * Guards against a discovery that falls silent: a watch that waits long would learn only after its end
     * of what was told meanwhile. Shorter ones, of a whole fleet, leave discovery no time for news.
     */
    private static final long WAIT_MS = 3000;
    /**
     * Discovery serves one call after another and ends by itself those that it can't get to: one that is given up
     * before leaves its work there behind, and asking anew each time never comes to an answer.
     */
    private static final long PATIENCE_MS = 3000;
    /** After a failure, twice as long after each further one; far below the span in which a relay has to ask. */
    private static final long PAUSE_MS = 400;
    private static final long LONGEST_PAUSE_MS = 3200;
    /** Guards against an agent that answers at once again and again; far below what ends a watch. */
    private static final long BREATH_MS = 10;
    /** Guards against a fleet that a change wakes and that all asks again at once; a release makes many changes. */
    private static final long AFTER_NEWS_MS = 500;
    /** What is known at the start stands until then; many relays may start together. */
    private static final long FIRST_MS = 500;
    /** About what one call takes discovery: how long a fleet takes to be answered goes by it. */
    private static final long TURN_MS = 40;
    /** Between two fetches of the whole list: longer where answers take long, as others wait for theirs then. */
    private static final long FETCH_PAUSE_MS = 3000;
    private static final int PAUSES_AN_ANSWER = 15;
    /** Of the span in which a relay has to ask; pauses are up to a quarter longer, and an answer takes a while. */
    private static final double LONGEST_FETCH_PAUSE = 0.65;
    /** What a new address has to tell counts as told 4 s after the signal: there is time for a second call and a third. */
    private static final long MOVED_MS = 1500;

    /** Takes in what discovery tells. */
    interface Listener {
        void list(ListKind kind, long version, List<Target> targets);
    }

    private final EventLoop loop;
    private final AgentClient agent;
    private final Listener listener;
    /** In which each relay of the fleet has one call answered, or asks at the least. */
    private long round;
    private boolean watches;
    private long longestFetchPause;
    private Future<?> next;
    private long askedAt;
    private final SplittableRandom random;
    private final JsonFactory json = new JsonFactory();
    /** The version that the relay goes by; -1 where none is known. */
    private long version;
    /** Guards against an answer that can't be read, which asking from the same version would bring again. */
    private boolean whole;
    private boolean heard;
    private int failures;

    /** Knows a version from before, or -1. */
    Discovery(EventLoop loop, InetSocketAddress address, Policy.Settings settings, long knownVersion,
            Listener listener) {
        this.loop = loop;
        this.listener = listener;
        version = knownVersion;
        random = new SplittableRandom(settings.seed());
        agent = new AgentClient(loop, address);
        tune(settings);
    }

    void start() {
        askIn(version < 0 ? 0 : upTo(Math.max(FIRST_MS, round)));
    }

    /**
     * Watches at another address from now on; its versions need not be those of the old one. The first call there comes
     * soon whatever pause was running, but a whole fleet may have been told at once.
     */
    void moveTo(InetSocketAddress address, Policy.Settings settings) {
        tune(settings);
        version = -1;
        agent.moveTo(address);
        failures = 0;
        askIn(upTo(Math.min(MOVED_MS, round)));
    }

    private void tune(Policy.Settings settings) {
        long turns = settings.fleetSize() * TURN_MS;
        watches = turns <= TimeUnit.MICROSECONDS.toMillis(settings.rules().drainGrace());
        long mustAsk = TimeUnit.MICROSECONDS.toMillis(settings.rules().mustAskIn());
        longestFetchPause = mustAsk > 0 ? (long) (mustAsk * LONGEST_FETCH_PAUSE) : 2 * FETCH_PAUSE_MS;
        round = Math.min(turns, longestFetchPause);
    }

    private void ask() {
        askedAt = System.nanoTime();
        if (version < 0 || whole || !watches) {
            agent.request(HttpMethod.GET, "/api/targets", "", PATIENCE_MS, this::answered);
        } else {
            long wait = spread(WAIT_MS);
            agent.request(HttpMethod.GET, "/api/targets?after=" + version + "&wait_ms=" + wait, "",
                    wait + PATIENCE_MS, this::answered);
        }
    }

    private void answered(int status, String body) {
        long before = version;
        boolean taken = status == 200 && take(body);
        long pause = !taken ? spread(Math.min(LONGEST_PAUSE_MS, PAUSE_MS << Math.min(failures, Byte.SIZE)))
                : !watches ? fetchPause() : version > before ? spread(AFTER_NEWS_MS) : BREATH_MS;
        tell(taken, status);
        askIn(pause);
    }

    private void askIn(long ms) {
        if (next != null) {
            next.cancel(false);
        }
        next = loop.schedule(this::ask, ms, TimeUnit.MILLISECONDS);
    }

    private long fetchPause() {
        long took = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - askedAt);
        long pause = Math.min(longestFetchPause, Math.max(FETCH_PAUSE_MS, PAUSES_AN_ANSWER * took));
        return pause * 3 / 4 + upTo(pause / 2);
    }

    private long upTo(long span) {
        return random.nextLong(span + 1);
    }

    /** From half a span to one and a half, so that a fleet that was told together does not ask together. */
    private long spread(long span) {
        return span / 2 + upTo(span);
    }

    /** Tells staff when the watch is lost and when it is back: the list is old meanwhile. */
    private void tell(boolean taken, int status) {
        if (!taken && failures++ == 0) {
            Log.line("discovery: no list, status " + status);
        } else if (taken && failures > 0) {
            Log.line("discovery: a list again after " + failures + " calls in vain");
            failures = 0;
        }
    }

    private boolean take(String body) {
        try (JsonParser parser = json.createParser(body)) {
            parser.nextToken();
            Fields list = Fields.ofObject("list", Fields.read(parser));
            long rev = list.whole("rev");
            boolean all = list.flag("all");
            List<Target> targets = Target.readAll(list);
            if (rev < version) {
                Log.line("discovery: version " + rev + " is older than " + version + ", which stands");
                return false;
            }
            boolean news = rev > version || !heard;
            version = rev;
            whole = false;
            // The first answer tells also where it brings nothing: what was known before is the list.
            if (news || !all && !targets.isEmpty()) {
                Log.line("discovery: version " + rev + ", " + targets.size() + (all ? " entries" : " changes"));
                listener.list(all ? ListKind.FULL : ListKind.CHANGES, rev, targets);
            }
            heard = true;
            return true;
        } catch (IOException | RuntimeException e) {
            Log.line("discovery: an answer is passed over: " + e.getMessage());
            whole = true;
            return false;
        }
    }
}
