package drumdeal.relay;

/**
 * How long connections to hosts are kept idle. Guards against hosts, and what lies before them, that drop idle
 * connections long before the time in the settings and say nothing: the next call on each would end as a reset, and a
 * message that may take effect only once with it. They share the way there, so some that broke speak for all; single
 * ones, among many that held as long, do not.
 */
final class IdleTimeout {
    /** A connection that broke after it was idle for so short a time was not dropped for that. */
    static final long SHORTEST = 100_000;
    /** Part of the connections idle for so long that break where idleness is at fault. */
    private static final double BROKEN_SHARE = 0.1;
    /** The span for which connections are kept doubles in so long without more that broke; counts halve in it. */
    private static final double DOUBLING_SPAN = 10_000_000;
    private static final int BUCKETS = 10;

    /** Calls on connections idle for {@link #SHORTEST}, twice that, and so on: how many were answered, and how many broke. */
    private final double[] held = new double[BUCKETS];
    private final double[] broken = new double[BUCKETS];
    private long countedAt;
    private long timeout;
    private long changedAt;

    IdleTimeout(long longest, long now) {
        timeout = longest;
        changedAt = now;
        countedAt = now;
    }

    /** How long a connection that falls idle now is kept. */
    long keepFor(long longest, long now) {
        return (long) Math.min(longest, timeout * Math.pow(2, (now - changedAt) / DOUBLING_SPAN));
    }

    /** A call was answered on a connection that was idle before. */
    void held(long idleFor, long now) {
        if (idleFor > SHORTEST) {
            count(held, idleFor, now);
        }
    }

    /** A connection broke under a call after it was idle; true where connections are kept for less time from now on. */
    boolean broke(long idleFor, long longest, long now) {
        if (idleFor <= SHORTEST) {
            return false;
        }
        count(broken, idleFor, now);
        double bad = sum(broken, bucket(idleFor));
        if (bad < BROKEN_SHARE * (bad + sum(held, bucket(idleFor)))) {
            return false;
        }
        timeout = Math.max(SHORTEST, Math.min(keepFor(longest, now), idleFor) / 2);
        changedAt = now;
        return true;
    }

    private void count(double[] buckets, long idleFor, long now) {
        double part = Math.pow(2, (countedAt - now) / DOUBLING_SPAN);
        countedAt = now;
        for (int i = 0; i < BUCKETS; i++) {
            held[i] *= part;
            broken[i] *= part;
        }
        buckets[bucket(idleFor)]++;
    }

    private static int bucket(long idleFor) {
        return Math.min(BUCKETS - 1, Long.SIZE - 1 - Long.numberOfLeadingZeros(Math.max(1, idleFor / SHORTEST)));
    }

    /** Those of a bucket and of all for longer spans. */
    private static double sum(double[] buckets, int from) {
        double sum = 0;
        for (int i = from; i < BUCKETS; i++) {
            sum += buckets[i];
        }
        return sum;
    }
}
