package pipitstage.relay;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import pipitstage.Fields;
import pipitstage.Policy.ListKind;

/**
 * Watches the list of hosts for changes, from the version known at the start; the whole list is fetched only where no
 * version is known. Every relay of a fleet does so at one service that takes one call after another: each asks seldom
 * and at moments of its own.
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

    /** Takes in what discovery tells. */
    interface Listener {
        void list(ListKind kind, long version, List<Target> targets);
    }

    private final EventLoop loop;
    private final AgentClient agent;
    private final Listener listener;
    private final SplittableRandom random;
    private final JsonFactory json = new JsonFactory();
    /** The version that the relay goes by; -1 where none is known. */
    private long version;
    /** Guards against an answer that can't be read, which asking from the same version would bring again. */
    private boolean whole;
    private boolean heard;
    private int failures;

    /** Knows a version from before, or -1. */
    Discovery(EventLoop loop, InetSocketAddress address, long knownVersion, long seed, Listener listener) {
        this.loop = loop;
        this.listener = listener;
        version = knownVersion;
        random = new SplittableRandom(seed);
        agent = new AgentClient(loop, address);
    }

    void start() {
        askIn(version < 0 ? 0 : spread(FIRST_MS) - FIRST_MS / 2);
    }

    /** Watches at another address from now on; its versions need not be those of the old one. */
    void moveTo(InetSocketAddress address) {
        version = -1;
        failures = 0;
        agent.moveTo(address);
    }

    private void ask() {
        if (version < 0 || whole) {
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
        long pause = taken ? version > before ? spread(AFTER_NEWS_MS) : BREATH_MS
                : spread(Math.min(LONGEST_PAUSE_MS, PAUSE_MS << Math.min(failures, Byte.SIZE)));
        tell(taken, status);
        askIn(pause);
    }

    private void askIn(long ms) {
        loop.schedule(this::ask, ms, TimeUnit.MILLISECONDS);
    }

    /** From half a span to one and a half, so that a fleet that was told together does not ask together. */
    private long spread(long span) {
        return span / 2 + random.nextLong(span + 1);
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
            version = rev;
            whole = false;
            // The first answer tells also where it brings nothing: what was known before is the list.
            if (all || !targets.isEmpty() || !heard) {
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
