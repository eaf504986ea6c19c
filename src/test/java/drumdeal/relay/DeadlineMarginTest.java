package drumdeal.relay;

import static drumdeal.relay.DeadlineMargin.EXPECTED_STALL_MICROS;
import static drumdeal.relay.DeadlineMargin.STALL_RETENTION_MICROS;
import static org.junit.jupiter.api.Assertions.assertEquals;

import drumdeal.Policy.KeyScope;
import drumdeal.Policy.Idempotency;
import drumdeal.Policy.RequestClass;
import drumdeal.Policy.RequestTerms;
import org.junit.jupiter.api.Test;

/**
 * How much earlier than the client's deadline the relay ends a message, so that its notice is in time even if the event
 * loop stalls.
 */
class DeadlineMarginTest {
    private static final long SECOND_MICROS = 1_000_000;
    private static final long NOW_MICROS = 1_000 * SECOND_MICROS;

    private final DeadlineMargin margin = new DeadlineMargin();

    @Test
    void marginCoversAStallOfTwoSecondsWhenTimeAllows() {
        assertEquals(2 * SECOND_MICROS, margin.marginFor(NOW_MICROS, 11 * SECOND_MICROS));
        assertEquals(2 * SECOND_MICROS, margin.marginFor(NOW_MICROS, 28 * SECOND_MICROS));
    }

    @Test
    void marginTakesAtMostAQuarterOfTheTimeLeft() {
        assertEquals(750_000, margin.marginFor(NOW_MICROS, 3 * SECOND_MICROS));
        assertEquals(0, margin.marginFor(NOW_MICROS, 0));
        assertEquals(0, margin.marginFor(NOW_MICROS, -SECOND_MICROS));
    }

    @Test
    void marginFollowsALongerStallForTheRetentionTime() {
        margin.recordStall(NOW_MICROS, 4 * SECOND_MICROS);
        margin.recordStall(NOW_MICROS + SECOND_MICROS, SECOND_MICROS);
        assertEquals(4 * SECOND_MICROS, margin.marginFor(NOW_MICROS + STALL_RETENTION_MICROS, 28 * SECOND_MICROS));
        assertEquals(2 * SECOND_MICROS, margin.marginFor(NOW_MICROS + STALL_RETENTION_MICROS, 8 * SECOND_MICROS));
        assertEquals(EXPECTED_STALL_MICROS,
                margin.marginFor(NOW_MICROS + STALL_RETENTION_MICROS + 1, 28 * SECOND_MICROS));
    }

    @Test
    void shorterStallCountsOnceALongerOneHasExpired() {
        margin.recordStall(NOW_MICROS, 5 * SECOND_MICROS);
        margin.recordStall(NOW_MICROS + STALL_RETENTION_MICROS + 1, 3 * SECOND_MICROS);
        assertEquals(3 * SECOND_MICROS, margin.marginFor(NOW_MICROS + STALL_RETENTION_MICROS + 2, 28 * SECOND_MICROS));
    }

    /**
     * The age of a message is computed from its deadline and its time limit: with an earlier deadline alone the message
     * would count as older than it is.
     */
    @Test
    void timeLimitIsShortenedByTheMargin() {
        RequestTerms shortened =
                DeadlineMargin.shortenDeadline(terms(2 * SECOND_MICROS, 20 * SECOND_MICROS), 2 * SECOND_MICROS);
        assertEquals(18 * SECOND_MICROS, shortened.requestClass().timeLimitMicros());
        assertEquals(12, shortened.maxAttempts());
    }

    @Test
    void timeLimitStaysAboveAGoalCloseToIt() {
        RequestTerms shortened =
                DeadlineMargin.shortenDeadline(terms(19 * SECOND_MICROS, 20 * SECOND_MICROS), 2 * SECOND_MICROS);
        assertEquals(19 * SECOND_MICROS + 1, shortened.requestClass().timeLimitMicros());
    }

    private static RequestTerms terms(long goalMicros, long timeLimitMicros) {
        return new RequestTerms(new RequestClass("c", Idempotency.ONCE, KeyScope.ALL, 0, goalMicros, timeLimitMicros,
                1, 0.3, false), 12);
    }
}
