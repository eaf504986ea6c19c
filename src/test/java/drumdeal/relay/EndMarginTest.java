package drumdeal.relay;

import static drumdeal.relay.EndMargin.EXPECTED_STALL;
import static drumdeal.relay.EndMargin.REMEMBERED;
import static org.junit.jupiter.api.Assertions.assertEquals;

import drumdeal.Policy.KeyScope;
import drumdeal.Policy.Repeat;
import drumdeal.Policy.RequestClass;
import drumdeal.Policy.Terms;
import org.junit.jupiter.api.Test;

class EndMarginTest {
    private static final long SECOND = 1_000_000;
    private static final long NOW = 1_000 * SECOND;

    private final EndMargin margin = new EndMargin();

    @Test
    void coversAStallOfTwoSecondsWhereThereIsTime() {
        assertEquals(2 * SECOND, margin.of(NOW, 11 * SECOND));
        assertEquals(2 * SECOND, margin.of(NOW, 28 * SECOND));
    }

    @Test
    void leavesThreeQuartersOfAShortTimeToTheMessage() {
        assertEquals(750_000, margin.of(NOW, 3 * SECOND));
        assertEquals(0, margin.of(NOW, 0));
        assertEquals(0, margin.of(NOW, -SECOND));
    }

    @Test
    void followsALongerStallForAWhile() {
        margin.stalled(NOW, 4 * SECOND);
        margin.stalled(NOW + SECOND, SECOND);
        assertEquals(4 * SECOND, margin.of(NOW + REMEMBERED, 28 * SECOND));
        assertEquals(2 * SECOND, margin.of(NOW + REMEMBERED, 8 * SECOND));
        assertEquals(EXPECTED_STALL, margin.of(NOW + REMEMBERED + 1, 28 * SECOND));
    }

    @Test
    void shorterStallCountsOnceALongerOneIsForgotten() {
        margin.stalled(NOW, 5 * SECOND);
        margin.stalled(NOW + REMEMBERED + 1, 3 * SECOND);
        assertEquals(3 * SECOND, margin.of(NOW + REMEMBERED + 2, 28 * SECOND));
    }

    @Test
    void messageIsNoOlderForItsMargin() {
        Terms shorter = EndMargin.shorten(terms(2 * SECOND, 20 * SECOND), 2 * SECOND);
        assertEquals(18 * SECOND, shorter.type().deadline());
        assertEquals(12, shorter.maxAttempts());
    }

    @Test
    void classWhoseGoalIsCloseToItsDeadlineKeepsIt() {
        Terms shorter = EndMargin.shorten(terms(19 * SECOND, 20 * SECOND), 2 * SECOND);
        assertEquals(19 * SECOND + 1, shorter.type().deadline());
    }

    private static Terms terms(long goal, long deadline) {
        return new Terms(new RequestClass("c", Repeat.ONCE, KeyScope.ALL, 0, goal, deadline, 1, 0.3, false), 12);
    }
}
