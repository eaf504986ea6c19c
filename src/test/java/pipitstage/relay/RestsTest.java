package pipitstage.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** How long connections are kept idle, by what became of those that rested. */
class RestsTest {
    private static final long LONGEST = 9_000_000;
    private final Rests rests = new Rests(LONGEST, 0);

    @Test
    void breakThatNothingSpeaksAgainstShortensTheRest() {
        assertTrue(rests.broke(400_000, LONGEST, 0));
        assertEquals(200_000, rests.keepFor(LONGEST, 0));
    }

    @Test
    void singleBreakAmongManyThatHeldAsLongChangesNothing() {
        for (int i = 0; i < 20; i++) {
            rests.held(500_000, 0);
        }
        assertFalse(rests.broke(400_000, LONGEST, 0));
        assertEquals(LONGEST, rests.keepFor(LONGEST, 0));
    }

    @Test
    void everyTenthBreakShortensTheRest() {
        for (int i = 0; i < 9; i++) {
            rests.held(400_000, 0);
        }
        assertTrue(rests.broke(400_000, LONGEST, 0));
    }

    @Test
    void shorterRestsThatHeldSayNothingOfLongerOnes() {
        for (int i = 0; i < 100; i++) {
            rests.held(250_000, 0);
        }
        assertTrue(rests.broke(900_000, LONGEST, 0));
    }

    @Test
    void whatHeldLongAgoIsForgotten() {
        for (int i = 0; i < 20; i++) {
            rests.held(400_000, 0);
        }
        assertTrue(rests.broke(400_000, LONGEST, 20_000_000));
    }

    @Test
    void breakAfterHardlyAnyRestChangesNothing() {
        assertFalse(rests.broke(Rests.LEAST, LONGEST, 0));
    }

    @Test
    void restGrowsAgainWhileNoneBreaks() {
        rests.broke(400_000, LONGEST, 0);
        assertEquals(400_000, rests.keepFor(LONGEST, 10_000_000));
        assertEquals(LONGEST, rests.keepFor(LONGEST, 100_000_000));
    }
}
