package drumdeal.relay;

import drumdeal.Policy;
import drumdeal.Policy.KeyScope;
import drumdeal.Policy.Idempotency;
import drumdeal.Policy.RequestClass;
import drumdeal.Policy.RequestTerms;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The request classes and tenants that clients may name, and the terms on which their messages are accepted. Clients
 * learn of new settings later than the relay. Until then a message of a removed class is still accepted, and one of a
 * changed class has to follow both the previous and the new rules.
 */
final class RequestClassRegistry {
    /** How long the previous terms hold besides new ones. Clients use new settings after 1.2 s. */
    static final long CHANGEOVER_MICROS = 1_500_000;

    /** Names of the tenants; where there are none, a message may name any tenant or none. */
    private final Set<String> tenants = new HashSet<>();
    /** Terms by class name. */
    private Map<String, RequestTerms> currentTerms = new HashMap<>();
    /** Terms before the last change of settings, by class name. */
    private Map<String, RequestTerms> previousTerms = Map.of();
    /** When the settings last changed, in microseconds of {@link Clock}. */
    private long changedAt;

    RequestClassRegistry(Policy.Settings settings) {
        applySettings(settings);
    }

    private void applySettings(Policy.Settings settings) {
        currentTerms = new HashMap<>();
        int attempts = settings.limits().maxAttempts();
        settings.classes().forEach(type -> currentTerms.put(type.name(), new RequestTerms(type, attempts)));
        tenants.clear();
        settings.tenants().forEach(tenant -> tenants.add(tenant.name()));
    }

    /** Replaces the settings at the time {@code now}. */
    void update(Policy.Settings settings, long now) {
        previousTerms = currentTerms;
        changedAt = now;
        applySettings(settings);
    }

    Collection<String> classNames() {
        return currentTerms.keySet();
    }

    /** The terms for a message; null where its class or tenant is unknown, or it lacks the key that its class needs. */
    RequestTerms termsFor(Message.Content content, long now) {
        if (!tenants.isEmpty() && !tenants.contains(content.tenant())) {
            return null;
        }
        RequestTerms fresh = currentTerms.get(content.requestClass());
        RequestTerms old = now - changedAt < CHANGEOVER_MICROS ? previousTerms.get(content.requestClass()) : null;
        RequestTerms terms = fresh == null ? old : old == null || old.equals(fresh) ? fresh : stricter(old, fresh);
        if (terms == null || terms.requestClass().idempotency() != Idempotency.BY_KEY
                || content.idempotencyKey() != null) {
            return terms;
        }
        // A client that still uses the previous settings may have no key to send: its message may take effect once.
        return old == null || old.equals(fresh) ? null : new RequestTerms(
                combineKeyRules(terms.requestClass(), Idempotency.ONCE, terms.requestClass()), terms.maxAttempts());
    }

    /** Terms that follow both the previous and the new rules on repetition and on the number of attempts. */
    private static RequestTerms stricter(RequestTerms old, RequestTerms fresh) {
        Idempotency repeat = old.requestClass().idempotency().compareTo(fresh.requestClass().idempotency()) > 0
                ? old.requestClass().idempotency() : fresh.requestClass().idempotency();
        return new RequestTerms(combineKeyRules(fresh.requestClass(), repeat, old.requestClass()),
                Math.min(old.maxAttempts(), fresh.maxAttempts()));
    }

    /**
     * The class {@code type} with the given idempotency and with key rules that satisfy both classes: the narrowest key
     * scope where the two differ, the shorter window, and order by key where either asks for it.
     */
    private static RequestClass combineKeyRules(RequestClass type, Idempotency repeat, RequestClass other) {
        boolean bothKeyed = type.idempotency() == Idempotency.BY_KEY && other.idempotency() == Idempotency.BY_KEY;
        RequestClass keyed = type.idempotency() == Idempotency.BY_KEY ? type : other;
        KeyScope scope = bothKeyed && type.keyScope() != other.keyScope() ? KeyScope.CELL : keyed.keyScope();
        long window = bothKeyed ? Math.min(type.dedupWindowMicros(), other.dedupWindowMicros())
                : keyed.dedupWindowMicros();
        return new RequestClass(type.name(), repeat, scope, window, type.goalMicros(), type.timeLimitMicros(),
                type.value(), type.lateValueShare(), type.orderedByKey() || other.orderedByKey());
    }
}
