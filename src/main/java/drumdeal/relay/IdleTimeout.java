package drumdeal.relay;

/**
 * Adapts how long connections to hosts are kept idle. Hosts, or devices on the way to them, may silently drop idle
 * connections long before the idle time in the settings. The next call on such a connection ends as RESET, and so fails
 * a message that may take effect only once. All connections share the network path, so some breaks shorten the idle
 * time of all connections; a single break among many connections that survived as long does not. Times and durations
 * are in microseconds.
 */
final class IdleTimeout {
    /** Shortest idle timeout. A break after this idle time or less is not attributed to the idle time. */
    static final long MIN_IDLE_MICROS = 100_000;
    /** The idle time is at fault if at least this share of the connections idle as long or longer broke. */
    private static final double BROKEN_SHARE_THRESHOLD = 0.1;
    /** Without further breaks the timeout doubles in this time. The counts of calls halve in the same time. */
    private static final double DOUBLING_MICROS = 10_000_000;
    private static final int BUCKET_COUNT = 10;

    /**
     * Decaying count of answered calls by the idle time of their connection before the call. Bucket {@code i} starts at
     * {@link #MIN_IDLE_MICROS} times two to the power of {@code i}.
     */
    private final double[] survivedByBucket = new double[BUCKET_COUNT];
    /** Decaying count of calls whose connection broke, in the same buckets. */
    private final double[] brokenByBucket = new double[BUCKET_COUNT];
    /** When the counts were last decayed. */
    private long decayedAt;
    /** The timeout at its last reduction, from which it grows since {@link #changedAt}. */
    private long timeoutAtChange;
    /** When the timeout was last reduced, or else the start. */
    private long changedAt;

    /** Starts with the longest timeout. */
    IdleTimeout(long maxTimeout, long now) {
        timeoutAtChange = maxTimeout;
        changedAt = now;
        decayedAt = now;
    }

    /** How long a connection that becomes idle now is kept; {@code maxTimeout} is the limit by the settings. */
    long currentTimeout(long maxTimeout, long now) {
        return (long) Math.min(maxTimeout, timeoutAtChange * Math.pow(2, (now - changedAt) / DOUBLING_MICROS));
    }

    /** Counts a call that was answered; its connection had been idle for {@code idleMicros} before. */
    void recordSurvival(long idleMicros, long now) {
        if (idleMicros > MIN_IDLE_MICROS) {
            recordCall(survivedByBucket, idleMicros, now);
        }
    }

    /**
     * Counts a connection that broke under a call after it had been idle for {@code idleMicros}. Returns true if the
     * timeout was reduced: to half of that idle time, or to half of the current timeout if that is shorter, but not
     * below {@link #MIN_IDLE_MICROS}.
     */
    boolean recordBreak(long idleMicros, long maxTimeout, long now) {
        if (idleMicros <= MIN_IDLE_MICROS) {
            return false;
        }
        recordCall(brokenByBucket, idleMicros, now);
        double brokenCount = sumFrom(brokenByBucket, bucketIndex(idleMicros));
        if (brokenCount < BROKEN_SHARE_THRESHOLD * (brokenCount + sumFrom(survivedByBucket, bucketIndex(idleMicros)))) {
            return false;
        }
        timeoutAtChange = Math.max(MIN_IDLE_MICROS, Math.min(currentTimeout(maxTimeout, now), idleMicros) / 2);
        changedAt = now;
        return true;
    }

    /** Decays all counts up to now and counts one call. */
    private void recordCall(double[] counts, long idleMicros, long now) {
        double decay = Math.pow(2, (decayedAt - now) / DOUBLING_MICROS);
        decayedAt = now;
        for (int i = 0; i < BUCKET_COUNT; i++) {
            survivedByBucket[i] *= decay;
            brokenByBucket[i] *= decay;
        }
        counts[bucketIndex(idleMicros)]++;
    }

    /** The binary logarithm of the idle time in units of {@link #MIN_IDLE_MICROS}, up to the last bucket. */
    private static int bucketIndex(long idleMicros) {
        return Math.min(BUCKET_COUNT - 1,
                Long.SIZE - 1 - Long.numberOfLeadingZeros(Math.max(1, idleMicros / MIN_IDLE_MICROS)));
    }

    /** The sum of a bucket and of all buckets for longer idle times. */
    private static double sumFrom(double[] counts, int firstBucket) {
        double sum = 0;
        for (int i = firstBucket; i < BUCKET_COUNT; i++) {
            sum += counts[i];
        }
        return sum;
    }
}
