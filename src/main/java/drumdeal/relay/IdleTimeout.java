package drumdeal.relay;

/**
 * How long connections to hosts are kept idle. Guards against hosts, and what lies before them, that drop idle
 * connections long before the time in the settings and say nothing: the next call on each would end as a reset, and a
 * message that may take effect only once with it. They share the way there, so some that broke speak for all; single
 * ones, among many that held as long, do not.
 */
final class IdleTimeout {
    /** A connection that broke after it was idle for so short a time was not dropped for that. */
    static final long MIN_IDLE_MICROS = 100_000;
    /** Part of the connections idle for so long that break where idleness is at fault. */
    private static final double MAX_BROKEN_SHARE = 0.1;
    /** The span for which connections are kept doubles in so long without more that broke; counts halve in it. */
    private static final double DOUBLING_MICROS = 10_000_000;
    private static final int BUCKET_COUNT = 10;

    /** Calls on connections idle for {@link #MIN_IDLE_MICROS}, twice that, and so on: how many were answered, and how many broke. */
    private final double[] survived = new double[BUCKET_COUNT];
    private final double[] broken = new double[BUCKET_COUNT];
    private long decayedAt;
    private long timeoutAtChange;
    private long changedAt;

    IdleTimeout(long longest, long now) {
        timeoutAtChange = longest;
        changedAt = now;
        decayedAt = now;
    }

    /** How long a connection that falls idle now is kept. */
    long currentTimeout(long longest, long now) {
        return (long) Math.min(longest, timeoutAtChange * Math.pow(2, (now - changedAt) / DOUBLING_MICROS));
    }

    /** A call was answered on a connection that was idle before. */
    void survived(long idleFor, long now) {
        if (idleFor > MIN_IDLE_MICROS) {
            recordCall(survived, idleFor, now);
        }
    }

    /** A connection broke under a call after it was idle; true where connections are kept for less time from now on. */
    boolean broke(long idleFor, long longest, long now) {
        if (idleFor <= MIN_IDLE_MICROS) {
            return false;
        }
        recordCall(broken, idleFor, now);
        double bad = sumFrom(broken, bucketIndex(idleFor));
        if (bad < MAX_BROKEN_SHARE * (bad + sumFrom(survived, bucketIndex(idleFor)))) {
            return false;
        }
        timeoutAtChange = Math.max(MIN_IDLE_MICROS, Math.min(currentTimeout(longest, now), idleFor) / 2);
        changedAt = now;
        return true;
    }

    private void recordCall(double[] buckets, long idleFor, long now) {
        double part = Math.pow(2, (decayedAt - now) / DOUBLING_MICROS);
        decayedAt = now;
        for (int i = 0; i < BUCKET_COUNT; i++) {
            survived[i] *= part;
            broken[i] *= part;
        }
        buckets[bucketIndex(idleFor)]++;
    }

    private static int bucketIndex(long idleFor) {
        return Math.min(BUCKET_COUNT - 1, Long.SIZE - 1 - Long.numberOfLeadingZeros(Math.max(1, idleFor / MIN_IDLE_MICROS)));
    }

    /** Those of a bucket and of all for longer spans. */
    private static double sumFrom(double[] buckets, int from) {
        double sum = 0;
        for (int i = from; i < BUCKET_COUNT; i++) {
            sum += buckets[i];
        }
        return sum;
    }
}
