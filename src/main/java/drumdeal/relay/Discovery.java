package drumdeal.relay;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import drumdeal.Fields;
import drumdeal.Policy;
import drumdeal.Policy.ListKind;
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
    static final long SHORTEST_WAIT_MS = 2000;
    static final long LONGEST_WAIT_MS = 3500;
    /** How late the end of a watch may come: others that end in the same moment are answered before it. */
    static final long LATE_MS = 1200;
    /**
     * Discovery serves one call after another and ends by itself those that it can't get to: one that is given up
     * before leaves its work there behind, and asking anew each time never comes to an answer.
     */
    private static final long PATIENCE_MS = 3000;
    /** After a failure, twice as long after each further one. */
    private static final long RETRY_PAUSE_MS = 400;
    private static final int MOST_DOUBLINGS = 4;
    /**
     * From the start of a call that failed to the start of the next one, at most. Whatever is allowed after a failure, a
     * change counts as told 6 s after discovery had it and could be reached: that leaves a second for the answer.
     */
    private static final long LONGEST_RETRY_ROUND_MS = 5000;
    /** How long a watch waits for news after a failure: one that falls silent again must leave time for another. */
    private static final long RETRY_WAIT_MS = 500;
    /** What the new address has to tell counts as told 4 s after the signal: there is time for several calls by then. */
    private static final long MOVED_TOLD_MS = 4000;
    private static final long LONGEST_MOVED_PAUSE_MS = 800;
    /** Guards against an agent that answers at once again and again; far below what ends a watch. */
    private static final long BREATH_MS = 10;
    /**
     * Guards against a fleet that a change wakes and that all asks again at once; a release makes many changes. At most:
     * what is made right after an answer counts as told, and has to be heard within the grace of a drain.
     */
    private static final long AFTER_NEWS_MS = 500;
    /** What is known at the start stands until then; many relays may start together. */
    private static final long FIRST_MS = 500;
    /** What one call takes discovery at the least: whether a fleet is answered within a span goes by it. */
    private static final long TURN_MS = 40;
    /** Between two fetches of the whole list: longer where answers take long, as others wait for theirs then. */
    private static final long FETCH_PAUSE_MS = 3000;
    private static final int PAUSES_AN_ANSWER = 15;
    /** Of the span in which a relay has to ask, from one call to the next. */
    private static final double LONGEST_ROUND = 0.95;
    private static final long FIRST_AFTER_MOVE_MS = 1500;

    /** Takes in what discovery tells. */
    interface Listener {
        void list(ListKind kind, long version, List<Target> targets);

        /** What has to be told now, and is not heard, counts as told in a while, in microseconds. */
        void listDue(long in);
    }

    private final EventLoop loop;
    private final Agent agent;
    private final Listener listener;
    private boolean watches;
    private long afterNews;
    /** From one call to the next, where nobody watches. */
    private long longestRound;
    /** The list of a new address is still to come. */
    private boolean moved;
    private Future<?> next;
    private long nextAt;
    private long askedAt;
    private final SplittableRandom random;
    private final JsonFactory json = new JsonFactory();
    /** The version that the relay goes by; -1 where none is known. */
    private long version;
    /** Guards against an answer that can't be read, which asking from the same version would bring again. */
    private boolean whole;
    private boolean heard;
    private int failures;

    /** Who is asked. */
    interface Agent {
        void request(HttpMethod method, String path, String body, long timeoutMs, AgentClient.Answer answer);

        void moveTo(InetSocketAddress next);
    }

    /** Knows a version from before, or -1. */
    Discovery(EventLoop loop, Agent agent, Policy.Settings settings, long knownVersion, Listener listener) {
        this.loop = loop;
        this.listener = listener;
        version = knownVersion;
        random = new SplittableRandom(settings.seed());
        this.agent = agent;
        tune(settings);
    }

    void start() {
        askIn(version < 0 ? 0 : upTo(watches ? FIRST_MS : longestRound * 4 / 5));
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
        moved = true;
        listener.listDue(TimeUnit.MILLISECONDS.toMicros(MOVED_TOLD_MS));
        askIn(upTo(watches ? 0 : FIRST_AFTER_MOVE_MS));
    }

    /** The list is wanted sooner than it would be asked for: what is known does not do for what is held. */
    void askSoon() {
        if (!next.isDone() && nextAt - loop.ticker().nanoTime() > TimeUnit.MILLISECONDS.toNanos(FIRST_MS)) {
            askIn(upTo(FIRST_MS));
        }
    }

    private void tune(Policy.Settings settings) {
        long turns = settings.fleetSize() * TURN_MS;
        long grace = TimeUnit.MICROSECONDS.toMillis(settings.rules().drainGrace());
        watches = turns <= grace;
        afterNews = Math.max(BREATH_MS, Math.min(AFTER_NEWS_MS, (grace - turns) / 2));
        long mustAsk = TimeUnit.MICROSECONDS.toMillis(settings.rules().mustAskIn());
        longestRound = mustAsk > 0 ? (long) (mustAsk * LONGEST_ROUND) : 2 * FETCH_PAUSE_MS;
    }

    private void ask() {
        askedAt = loop.ticker().nanoTime();
        if (version < 0 || whole || !watches) {
            agent.request(HttpMethod.GET, "/api/targets", "", PATIENCE_MS, this::answered);
        } else {
            long wait = failures > 0 ? RETRY_WAIT_MS : SHORTEST_WAIT_MS + upTo(LONGEST_WAIT_MS - SHORTEST_WAIT_MS);
            agent.request(HttpMethod.GET, "/api/targets?after=" + version + "&wait_ms=" + wait, "",
                    wait + LATE_MS, this::answered);
        }
    }

    private void answered(int status, String body) {
        long before = version;
        boolean taken = status == 200 && take(body);
        moved &= !taken;
        // Guards against what a call that fell silent has missed, which counts as told soon: the first one after it need
        // not wait, as discovery has not turned anything away.
        long pause = !taken ? status == AgentClient.SILENT && failures == 0 ? BREATH_MS : retryPause()
                : !watches ? fetchPause() : version > before ? spread(afterNews) : BREATH_MS;
        tell(taken, status);
        askIn(pause);
    }

    private void askIn(long ms) {
        if (next != null) {
            next.cancel(false);
        }
        next = loop.schedule(this::ask, ms, TimeUnit.MILLISECONDS);
        nextAt = loop.ticker().nanoTime() + TimeUnit.MILLISECONDS.toNanos(ms);
    }

    private long retryPause() {
        long growing = RETRY_PAUSE_MS << Math.min(failures, MOST_DOUBLINGS);
        if (moved) {
            return spread(Math.min(LONGEST_MOVED_PAUSE_MS, growing));
        }
        long longest = Math.max(BREATH_MS, LONGEST_RETRY_ROUND_MS - sinceAsked());
        return Math.min(spread(growing), longest / 2 + upTo(longest / 2));
    }

    private long sinceAsked() {
        return TimeUnit.NANOSECONDS.toMillis(loop.ticker().nanoTime() - askedAt);
    }

    private long fetchPause() {
        long took = sinceAsked();
        long pause = Math.max(BREATH_MS, Math.min(longestRound - took,
                Math.max(FETCH_PAUSE_MS, PAUSES_AN_ANSWER * took)));
        return pause * 3 / 4 + upTo(pause / 4);
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
            Log.line("discovery: no list, " + (status == AgentClient.SILENT ? "the call fell silent" : "status " + status));
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
