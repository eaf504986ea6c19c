package drumdeal.relay;

import drumdeal.Policy.RequestClass;
import drumdeal.Policy.RequestTerms;

/**
 * How much sooner a message's time is up here than at its client. The end of an undelivered message has to reach the
 * platform within 300 ms of the client's deadline, and the event loop of a relay that runs on part of a core may stand
 * still for far longer. All times are in microseconds on the {@link Clock}.
 */
final class DeadlineMargin {
    /**
     * No setting tells how long a relay may be kept from running. Of the stalls over 250 ms that were logged on busy
     * short days, 19 in 20 were shorter than this and the 300 ms.
     */
    static final long EXPECTED_STALL_MICROS = 2_000_000;
    /** Of a message's time, at most: what is given up before seven tenths of its time is charged for. */
    private static final int MIN_TIME_TO_MARGIN_RATIO = 4;
    /** Stalls come in bursts of half a minute or so, as the machine is busy. */
    static final long STALL_RETENTION_MICROS = 60_000_000;

    private long longestStall;
    private long longestStallAt = -STALL_RETENTION_MICROS;

    /** The event loop has stood still for a span up to now. */
    void recordStall(long now, long span) {
        if (span >= longestStall || isStallExpired(now)) {
            longestStall = span;
            longestStallAt = now;
        }
    }

    private boolean isStallExpired(long now) {
        return now - longestStallAt > STALL_RETENTION_MICROS;
    }

    /** The margin of a message that has {@code left} until its client's deadline. */
    long marginFor(long now, long left) {
        long stall = isStallExpired(now) ? EXPECTED_STALL_MICROS : Math.max(EXPECTED_STALL_MICROS, longestStall);
        return Math.max(0, Math.min(stall, left / MIN_TIME_TO_MARGIN_RATIO));
    }

    /** The same terms for a message whose time is shorter by a margin: its age counts back from its end. */
    static RequestTerms shortenDeadline(RequestTerms terms, long margin) {
        RequestClass type = terms.requestClass();
        // Guards against a class whose goal lies close to its deadline: no class may end before its goal.
        long deadline = Math.max(type.goalMicros() + 1, type.timeLimitMicros() - margin);
        return new RequestTerms(new RequestClass(type.name(), type.idempotency(), type.keyScope(), type.dedupWindowMicros(), type.goalMicros(),
                deadline, type.value(), type.lateValueShare(), type.orderedByKey()), terms.maxAttempts());
    }
}
