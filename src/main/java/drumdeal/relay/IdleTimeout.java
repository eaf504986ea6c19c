package drumdeal.relay;

/**
 * Adapts how long connections to hosts are kept idle. Hosts, or devices on the way to them, may silently drop idle
 * connections long before the idle time in the settings. The next call on such a connection ends as RESET, and so fails
 * a message that may take effect only once. All connections share the network path, so some breaks shorten the idle
 * time of all connections; a single break among many connections that survived as long does not. Times and durations
 * are in microseconds.
 */
final class IdleTimeout {
    /** Shortest idle timeout. A break after a shorter idle time is not put down to the idle time. */
    static final long MIN_IDLE_MICROS = 100_000;
    /** From this share of broken connections on, among those idle as long or longer, the idle time is at fault. */
    private static final double MAX_BROKEN_SHARE = 0.1;
    /** Without further breaks the timeout doubles in this time. The counts of calls halve in the same time. */
    private static final double DOUBLING_MICROS = 10_000_000;
    private static final int BUCKET_COUNT = 10;

    /**
     * Decaying count of answered calls by the idle time of their connection before the call. Bucket {@code i} starts at
     * {@link #MIN_IDLE_MICROS} times two to the power of {@code i}.
     */
    private final double[] survived = new double[BUCKET_COUNT];
    /** Decaying count of calls whose connection broke, in the same buckets. */
    private final double[] broken = new double[BUCKET_COUNT];
    /** When the counts were last decayed. */
    private long decayedAt;
    /** The timeout at its last reduction, from which it grows since {@link #changedAt}. */
    private long timeoutAtChange;
    private long changedAt;

    /** Starts with the longest timeout. */
    IdleTimeout(long longest, long now) {
        timeoutAtChange = longest;
        changedAt = now;
        decayedAt = now;
    }

    /** How long a connection that becomes idle now is kept; {@code longest} is the limit by the settings. */
    long currentTimeout(long longest, long now) {
        return (long) Math.min(longest, timeoutAtChange * Math.pow(2, (now - changedAt) / DOUBLING_MICROS));
    }

    /** Counts a call that was answered; its connection had been idle for {@code idleFor} before. */
    void survived(long idleFor, long now) {
        if (idleFor > MIN_IDLE_MICROS) {
            recordCall(survived, idleFor, now);
        }
    }

    /**
     * Counts a connection that broke under a call after it had been idle for {@code idleFor}. Returns true if the
     * timeout was reduced: to half of that idle time, or to half of the present timeout where that is shorter.
     */
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

    /** Decays all counts up to now and counts one call. */
    private void recordCall(double[] buckets, long idleFor, long now) {
        double part = Math.pow(2, (decayedAt - now) / DOUBLING_MICROS);
        decayedAt = now;
        for (int i = 0; i < BUCKET_COUNT; i++) {
            survived[i] *= part;
            broken[i] *= part;
        }
        buckets[bucketIndex(idleFor)]++;
    }

    /** The binary logarithm of the idle time in units of {@link #MIN_IDLE_MICROS}, up to the last bucket. */
    private static int bucketIndex(long idleFor) {
        return Math.min(BUCKET_COUNT - 1,
                Long.SIZE - 1 - Long.numberOfLeadingZeros(Math.max(1, idleFor / MIN_IDLE_MICROS)));
    }

    /** The sum of a bucket and of all buckets for longer idle times. */
    private static double sumFrom(double[] buckets, int from) {
        double sum = 0;
        for (int i = from; i < BUCKET_COUNT; i++) {
            sum += buckets[i];
        }
        return sum;
    }
}
