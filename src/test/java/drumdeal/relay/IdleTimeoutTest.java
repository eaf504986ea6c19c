package drumdeal.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** How the idle timeout changes with calls on idle connections, which break or survive. Times are in microseconds. */
class IdleTimeoutTest {
    private static final long MAX_IDLE_MICROS = 9_000_000;
    private final IdleTimeout idleTimeout = new IdleTimeout(MAX_IDLE_MICROS, 0);

    @Test
    void breakWithoutSurvivorsShortensTheTimeout() {
        assertTrue(idleTimeout.recordBreak(400_000, MAX_IDLE_MICROS, 0));
        assertEquals(200_000, idleTimeout.currentTimeout(MAX_IDLE_MICROS, 0));
    }

    @Test
    void singleBreakAmongManySurvivorsChangesNothing() {
        for (int i = 0; i < 20; i++) {
            idleTimeout.recordSurvival(500_000, 0);
        }
        assertFalse(idleTimeout.recordBreak(400_000, MAX_IDLE_MICROS, 0));
        assertEquals(MAX_IDLE_MICROS, idleTimeout.currentTimeout(MAX_IDLE_MICROS, 0));
    }

    @Test
    void oneBreakInTenCallsShortensTheTimeout() {
        for (int i = 0; i < 9; i++) {
            idleTimeout.recordSurvival(400_000, 0);
        }
        assertTrue(idleTimeout.recordBreak(400_000, MAX_IDLE_MICROS, 0));
    }

    @Test
    void survivalOfShorterIdleTimesDoesNotCountForLongerOnes() {
        for (int i = 0; i < 100; i++) {
            idleTimeout.recordSurvival(250_000, 0);
        }
        assertTrue(idleTimeout.recordBreak(900_000, MAX_IDLE_MICROS, 0));
    }

    @Test
    void survivalLongAgoIsForgotten() {
        for (int i = 0; i < 20; i++) {
            idleTimeout.recordSurvival(400_000, 0);
        }
        assertTrue(idleTimeout.recordBreak(400_000, MAX_IDLE_MICROS, 20_000_000));
    }

    @Test
    void breakAfterTheShortestIdleTimeChangesNothing() {
        assertFalse(idleTimeout.recordBreak(IdleTimeout.MIN_IDLE_MICROS, MAX_IDLE_MICROS, 0));
    }

    @Test
    void timeoutGrowsAgainWithoutFurtherBreaks() {
        idleTimeout.recordBreak(400_000, MAX_IDLE_MICROS, 0);
        assertEquals(400_000, idleTimeout.currentTimeout(MAX_IDLE_MICROS, 10_000_000));
        assertEquals(MAX_IDLE_MICROS, idleTimeout.currentTimeout(MAX_IDLE_MICROS, 100_000_000));
    }
}
