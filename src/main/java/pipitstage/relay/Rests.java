package pipitstage.relay;

/**
 * How long connections to hosts are kept idle. Guards against hosts, and what lies before them, that drop idle
 * connections long before the time in the settings and say nothing: the next call on each would end as a reset, and a
 * message that may take effect only once with it. They share the way there, so some that broke speak for all; single
 * ones, among many that held as long, do not.
 */
final class Rests {
    /** A connection that broke after so short a rest was not dropped for its rest. */
    static final long LEAST = 100_000;
    /** Part of the connections with such a rest that break where rests are at fault. */
    private static final double BROKEN_SHARE = 0.1;
    /** The span for which connections are kept doubles in so long without more that broke; counts halve in it. */
    private static final double DOUBLES = 10_000_000;
    private static final int BUCKETS = 10;

    /** Calls after rests of {@link #LEAST}, twice that, and so on: how many were answered, and how many broke. */
    private final double[] held = new double[BUCKETS];
    private final double[] broken = new double[BUCKETS];
    private long countedAt;
    private long kept;
    private long keptAt;

    Rests(long longest, long now) {
        kept = longest;
        keptAt = now;
        countedAt = now;
    }

    /** How long a connection that falls idle now is kept. */
    long keepFor(long longest, long now) {
        return (long) Math.min(longest, kept * Math.pow(2, (now - keptAt) / DOUBLES));
    }

    /** A call was answered on a connection that had rested before. */
    void held(long rest, long now) {
        if (rest > LEAST) {
            count(held, rest, now);
        }
    }

    /** A connection broke under a call after a rest; true where connections are kept for less time from now on. */
    boolean broke(long rest, long longest, long now) {
        if (rest <= LEAST) {
            return false;
        }
        count(broken, rest, now);
        double bad = sum(broken, bucket(rest));
        if (bad < BROKEN_SHARE * (bad + sum(held, bucket(rest)))) {
            return false;
        }
        kept = Math.max(LEAST, Math.min(keepFor(longest, now), rest) / 2);
        keptAt = now;
        return true;
    }

    private void count(double[] buckets, long rest, long now) {
        double part = Math.pow(2, (countedAt - now) / DOUBLES);
        countedAt = now;
        for (int i = 0; i < BUCKETS; i++) {
            held[i] *= part;
            broken[i] *= part;
        }
        buckets[bucket(rest)]++;
    }

    private static int bucket(long rest) {
        return Math.min(BUCKETS - 1, Long.SIZE - 1 - Long.numberOfLeadingZeros(Math.max(1, rest / LEAST)));
    }

    /** Those of a bucket and of all for longer rests. */
    private static double sum(double[] buckets, int from) {
        double sum = 0;
        for (int i = from; i < BUCKETS; i++) {
            sum += buckets[i];
        }
        return sum;
    }
}
