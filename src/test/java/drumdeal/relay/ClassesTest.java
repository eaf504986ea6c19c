package drumdeal.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import drumdeal.Policy;
import drumdeal.Policy.KeyScope;
import drumdeal.Policy.Repeat;
import java.util.List;
import org.junit.jupiter.api.Test;

/** On what terms messages are taken on while settings change. */
class ClassesTest {
    private static final long LATER = 100_000 + Classes.CHANGEOVER;

    private static Policy.Settings settings(int attempts, Policy.RequestClass... classes) {
        return new Policy.Settings(1, 0, 1, "a", List.of(classes), List.of(), List.of(), List.of(),
                new Policy.Limits(1, 1, attempts, true, false, false, true, true, 0),
                new Policy.Rules(0, 0, 2, 0, 0, 0, 0, 0), 1, false, false, Policy.RateHint.NONE, 0);
    }

    private static Policy.RequestClass type(String name, Repeat repeat) {
        return new Policy.RequestClass(name, repeat, KeyScope.ALL, 10, 1, 2, 1, 0, false);
    }

    private static Message.Content content(String type, String key) {
        return new Message.Content("id", type, null, key, 0, 7, new byte[0]);
    }

    private static Classes changed() {
        Classes classes = new Classes(settings(12, type("c", Repeat.ONCE), type("gone", Repeat.ONCE)));
        classes.change(settings(4, type("c", Repeat.REPEATABLE), type("new", Repeat.BY_KEY)), 100_000);
        return classes;
    }

    @Test
    void changedClassIsHeldToBothRulesUntilClientsKnow() {
        assertEquals(Repeat.ONCE, changed().of(content("c", null), 100_001).type().repeat());
        assertEquals(4, changed().of(content("c", null), 100_001).maxAttempts());
        assertEquals(Repeat.REPEATABLE, changed().of(content("c", null), LATER).type().repeat());
    }

    @Test
    void droppedClassIsTakenOnUntilClientsKnow() {
        assertEquals(12, changed().of(content("gone", null), 100_001).maxAttempts());
        assertNull(changed().of(content("gone", null), LATER));
    }

    @Test
    void addedClassIsTakenOnAtOnceAndNeedsItsKey() {
        assertNotNull(changed().of(content("new", "k"), 100_001));
        assertNull(changed().of(content("new", null), 100_001));
        assertNull(changed().of(content("never", "k"), 100_001));
    }

    @Test
    void whoHasNoKeyYetIsTakenOnAsOneThatIsSentOnce() {
        Classes classes = new Classes(settings(12, type("c", Repeat.REPEATABLE)));
        classes.change(settings(12, type("c", Repeat.BY_KEY)), 100_000);
        assertEquals(Repeat.ONCE, classes.of(content("c", null), 100_001).type().repeat());
        assertEquals(Repeat.BY_KEY, classes.of(content("c", "k"), 100_001).type().repeat());
        assertNull(classes.of(content("c", null), LATER));
    }

    @Test
    void classWhoseGoalIsCloseToItsDeadlineIsTaken() {
        Classes classes = new Classes(settings(12, new Policy.RequestClass("close", Repeat.ONCE, KeyScope.ALL, 0, 9_500_000, 10_000_000, 1, 0.3,
                false)));
        assertEquals(10_000_000, classes.of(content("close", null), 0).type().deadline());
    }
}
