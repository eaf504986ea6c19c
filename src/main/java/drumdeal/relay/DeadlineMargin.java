package drumdeal.relay;

import drumdeal.Policy.RequestClass;
import drumdeal.Policy.RequestTerms;

/**
 * How much earlier a message's deadline is in the relay than at its client. The notice of an undelivered message has to
 * reach the platform within 300 ms of the client's deadline, and the event loop of a relay that runs on part of a core
 * may stall for far longer. All times are in microseconds of {@link Clock}.
 */
final class DeadlineMargin {
    /**
     * The stall to allow for unless a longer one is remembered. No setting says how long a relay may be kept from
     * running. Of the stalls over 250 ms, 19 in 20 are shorter than this plus the 300 ms.
     */
    static final long EXPECTED_STALL_MICROS = 2_000_000;
    /**
     * The margin is at most a quarter of a message's remaining time: a message that ends undelivered before seven
     * tenths of its time have passed is charged for.
     */
    private static final int MIN_TIME_TO_MARGIN_RATIO = 4;
    /** How long a stall is remembered. A busy machine causes bursts of stalls, of about half a minute. */
    static final long STALL_RETENTION_MICROS = 60_000_000;

    /** The longest of the stalls that are remembered, in microseconds, and when it ended. */
    private long longestStallMicros;
    private long longestStallAt = -STALL_RETENTION_MICROS;

    /** The event loop has just stalled, for {@code stallMicros} up to {@code now}. */
    void recordStall(long now, long stallMicros) {
        if (stallMicros >= longestStallMicros || isStallExpired(now)) {
            longestStallMicros = stallMicros;
            longestStallAt = now;
        }
    }

    private boolean isStallExpired(long now) {
        return now - longestStallAt > STALL_RETENTION_MICROS;
    }

    /** The margin of a message that has {@code remainingMicros} until its client's deadline; never negative. */
    long marginFor(long now, long remainingMicros) {
        long stall = isStallExpired(now) ? EXPECTED_STALL_MICROS : Math.max(EXPECTED_STALL_MICROS, longestStallMicros);
        return Math.max(0, Math.min(stall, remainingMicros / MIN_TIME_TO_MARGIN_RATIO));
    }

    /**
     * The terms for a message whose deadline is earlier by a margin. The module computes a message's age back from its
     * deadline, so its time limit has to be shorter by as much.
     */
    static RequestTerms shortenDeadline(RequestTerms terms, long margin) {
        RequestClass requestClass = terms.requestClass();
        // If the goal is close to the deadline, the time limit stays above the goal, as it must in every class.
        long timeLimit = Math.max(requestClass.goalMicros() + 1, requestClass.timeLimitMicros() - margin);
        return new RequestTerms(new RequestClass(requestClass.name(), requestClass.idempotency(),
                requestClass.keyScope(), requestClass.dedupWindowMicros(), requestClass.goalMicros(), timeLimit,
                requestClass.value(), requestClass.lateValueShare(), requestClass.orderedByKey()),
                terms.maxAttempts());
    }
}
