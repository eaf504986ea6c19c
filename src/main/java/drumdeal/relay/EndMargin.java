package drumdeal.relay;

import drumdeal.Policy.RequestClass;
import drumdeal.Policy.Terms;

/**
 * How much sooner a message's time is up here than at its client. The end of an undelivered message has to reach the
 * platform within 300 ms of the client's deadline, and the event loop of a relay that runs on part of a core may stand
 * still for far longer. All times are in microseconds on the {@link Clock}.
 */
final class EndMargin {
    /**
     * No setting tells how long a relay may be kept from running. Of the stalls over 250 ms that were logged on busy
     * short days, 19 in 20 were shorter than this and the 300 ms.
     */
    static final long EXPECTED_STALL = 2_000_000;
    /** Of a message's time, at most: what is given up before seven tenths of its time is charged for. */
    private static final int LARGEST_PART = 4;
    /** Stalls come in bursts of half a minute or so, as the machine is busy. */
    static final long REMEMBERED = 60_000_000;

    private long longestStall;
    private long stalledAt = -REMEMBERED;

    /** The event loop has stood still for a span up to now. */
    void stalled(long now, long span) {
        if (span >= longestStall || isForgotten(now)) {
            longestStall = span;
            stalledAt = now;
        }
    }

    private boolean isForgotten(long now) {
        return now - stalledAt > REMEMBERED;
    }

    /** The margin of a message that has {@code left} until its client's deadline. */
    long of(long now, long left) {
        long stall = isForgotten(now) ? EXPECTED_STALL : Math.max(EXPECTED_STALL, longestStall);
        return Math.max(0, Math.min(stall, left / LARGEST_PART));
    }

    /** The same terms for a message whose time is shorter by a margin: its age counts back from its end. */
    static Terms shorten(Terms terms, long margin) {
        RequestClass type = terms.type();
        // Guards against a class whose goal lies close to its deadline: no class may end before its goal.
        long deadline = Math.max(type.goal() + 1, type.deadline() - margin);
        return new Terms(new RequestClass(type.name(), type.repeat(), type.keyScope(), type.keyWindow(), type.goal(),
                deadline, type.worth(), type.lateWorth(), type.inOrder()), terms.maxAttempts());
    }
}
