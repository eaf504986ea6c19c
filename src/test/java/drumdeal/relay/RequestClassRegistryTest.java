package drumdeal.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import drumdeal.Policy;
import drumdeal.Policy.KeyScope;
import drumdeal.Policy.Idempotency;
import java.io.ByteArrayInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The terms on which messages are accepted while clients may still use the previous settings. */
class RequestClassRegistryTest {
    private static final long AFTER_CHANGEOVER_MICROS = 100_000 + TermsHistory.CHANGEOVER_MICROS;

    private static Policy.Settings settings(int maxAttempts, Policy.RequestClass... classes) {
        return new Policy.Settings(1, 0, 1, "a", List.of(classes), List.of(), List.of(), List.of(),
                new Policy.Limits(1, 1, maxAttempts, true, false, false, true, true, 0),
                new Policy.ServiceRules(0, 0, 2, 0, 0, 0, 0, 0), 1, false, false, Policy.RateHint.NONE, 0);
    }

    private static Policy.RequestClass requestClass(String name, Idempotency idempotency) {
        return new Policy.RequestClass(name, idempotency, KeyScope.ALL, 10, 1, 2, 1, 0, false);
    }

    private static Message.Content content(String requestClass, String key) {
        return new Message.Content("id", requestClass, null, key, 0, 7, new byte[0]);
    }

    private static RequestClassRegistry createUpdatedRegistry() {
        RequestClassRegistry registry = new RequestClassRegistry(
                settings(12, requestClass("c", Idempotency.ONCE), requestClass("gone", Idempotency.ONCE)));
        registry.update(settings(4, requestClass("c", Idempotency.REPEATABLE), requestClass("new", Idempotency.BY_KEY)),
                100_000);
        return registry;
    }

    @Test
    void changedClassUsesTheStricterRulesDuringTheChangeover() {
        assertEquals(Idempotency.ONCE,
                createUpdatedRegistry().termsFor(content("c", null), 100_001).requestClass().idempotency());
        assertEquals(4, createUpdatedRegistry().termsFor(content("c", null), 100_001).maxAttempts());
        assertEquals(Idempotency.REPEATABLE,
                createUpdatedRegistry().termsFor(content("c", null), AFTER_CHANGEOVER_MICROS)
                        .requestClass().idempotency());
    }

    @Test
    void removedClassIsAcceptedDuringTheChangeover() {
        assertEquals(12, createUpdatedRegistry().termsFor(content("gone", null), 100_001).maxAttempts());
        assertNull(createUpdatedRegistry().termsFor(content("gone", null), AFTER_CHANGEOVER_MICROS));
    }

    @Test
    void addedClassIsAcceptedAtOnceAndRequiresItsKey() {
        assertNotNull(createUpdatedRegistry().termsFor(content("new", "k"), 100_001));
        assertNull(createUpdatedRegistry().termsFor(content("new", null), 100_001));
        assertNull(createUpdatedRegistry().termsFor(content("never", "k"), 100_001));
    }

    @Test
    void messageWithoutANewlyRequiredKeyIsAcceptedAsOnceDuringTheChangeover() {
        RequestClassRegistry registry = new RequestClassRegistry(
                settings(12, requestClass("c", Idempotency.REPEATABLE)));
        registry.update(settings(12, requestClass("c", Idempotency.BY_KEY)), 100_000);
        assertEquals(Idempotency.ONCE, registry.termsFor(content("c", null), 100_001).requestClass().idempotency());
        assertEquals(Idempotency.BY_KEY, registry.termsFor(content("c", "k"), 100_001).requestClass().idempotency());
        assertNull(registry.termsFor(content("c", null), AFTER_CHANGEOVER_MICROS));
    }

    /** Guards against terms that are forgotten when other settings follow before their time is over. */
    @Test
    void earlierTermsBindUntilTheirOwnTimeIsOverHoweverManySettingsFollow() {
        RequestClassRegistry registry = new RequestClassRegistry(
                settings(12, requestClass("c", Idempotency.ONCE), requestClass("gone", Idempotency.ONCE)));
        registry.update(settings(9, requestClass("c", Idempotency.BY_KEY)), 100_000);
        registry.update(settings(12, requestClass("c", Idempotency.REPEATABLE)), 200_000);
        registry.update(settings(12, requestClass("c", Idempotency.REPEATABLE)), 300_000);
        registry.update(settings(12, requestClass("c", Idempotency.REPEATABLE), requestClass("new", Idempotency.ONCE)),
                400_000);
        assertEquals(Idempotency.ONCE, registry.termsFor(content("c", null), AFTER_CHANGEOVER_MICROS - 1)
                .requestClass().idempotency());
        assertEquals(9, registry.termsFor(content("c", null), AFTER_CHANGEOVER_MICROS - 1).maxAttempts());
        assertNotNull(registry.termsFor(content("gone", null), AFTER_CHANGEOVER_MICROS - 1));
        assertNull(registry.termsFor(content("gone", null), AFTER_CHANGEOVER_MICROS));
        assertEquals(Idempotency.BY_KEY, registry.termsFor(content("c", "k"), AFTER_CHANGEOVER_MICROS)
                .requestClass().idempotency());
        assertEquals(Idempotency.REPEATABLE, registry.termsFor(content("c", "k"), AFTER_CHANGEOVER_MICROS + 100_000)
                .requestClass().idempotency());
        assertEquals(12, registry.termsFor(content("c", "k"), AFTER_CHANGEOVER_MICROS + 100_000).maxAttempts());
    }

    /** Guards against a process that knows its own settings only and repeats what is still {@code once}. */
    @Test
    void termsOfAnotherProcessBindAsInThatProcess() throws IOException {
        RequestClassRegistry older = new RequestClassRegistry(settings(12, requestClass("c", Idempotency.ONCE)));
        older.update(settings(12, requestClass("c", Idempotency.REPEATABLE)), 100_000);
        RequestClassRegistry newer = new RequestClassRegistry(settings(12, requestClass("c", Idempotency.REPEATABLE)));
        newer.history().addFrom(writeAndRead(older, 200_000), 300_000);
        newer.update(settings(12, requestClass("c", Idempotency.REPEATABLE)), 400_000);
        assertEquals(Idempotency.ONCE, newer.termsFor(content("c", null), AFTER_CHANGEOVER_MICROS - 1)
                .requestClass().idempotency());
        assertEquals(Idempotency.REPEATABLE, newer.termsFor(content("c", null), AFTER_CHANGEOVER_MICROS)
                .requestClass().idempotency());
    }

    @Test
    void termsOfAProcessThatMissedTheNewSettingsBindForTheChangeover() throws IOException {
        RequestClassRegistry older = new RequestClassRegistry(settings(12, requestClass("c", Idempotency.ONCE)));
        RequestClassRegistry newer = new RequestClassRegistry(settings(12, requestClass("c", Idempotency.REPEATABLE)));
        newer.history().addFrom(writeAndRead(older, 0), 100_000);
        assertEquals(Idempotency.ONCE, newer.termsFor(content("c", null), AFTER_CHANGEOVER_MICROS - 1)
                .requestClass().idempotency());
        assertEquals(Idempotency.REPEATABLE, newer.termsFor(content("c", null), AFTER_CHANGEOVER_MICROS)
                .requestClass().idempotency());
    }

    @Test
    void termsOfAProcessWhoseClockWasAheadBindNoLongerThanTheChangeover() throws IOException {
        RequestClassRegistry older = new RequestClassRegistry(settings(12, requestClass("c", Idempotency.ONCE)));
        older.update(settings(12, requestClass("c", Idempotency.REPEATABLE)), 900_000_000);
        RequestClassRegistry newer = new RequestClassRegistry(settings(12, requestClass("c", Idempotency.REPEATABLE)));
        newer.history().addFrom(writeAndRead(older, 900_000_000), 100_000);
        assertEquals(Idempotency.REPEATABLE, newer.termsFor(content("c", null), AFTER_CHANGEOVER_MICROS)
                .requestClass().idempotency());
    }

    private static TermsHistory.Snapshot writeAndRead(RequestClassRegistry registry, long now) throws IOException {
        byte[] bytes = Handover.toBytes(registry.history().snapshot(now)::write);
        return TermsHistory.Snapshot.read(new DataInputStream(new ByteArrayInputStream(bytes)));
    }

    @Test
    void classWhoseGoalIsCloseToItsDeadlineKeepsItsTimeLimit() {
        RequestClassRegistry registry = new RequestClassRegistry(settings(12, new Policy.RequestClass(
                "close", Idempotency.ONCE, KeyScope.ALL, 0, 9_500_000, 10_000_000, 1, 0.3, false)));
        assertEquals(10_000_000, registry.termsFor(content("close", null), 0).requestClass().timeLimitMicros());
    }
}
