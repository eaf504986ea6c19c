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
 * Which classes and tenants clients may name, and on what terms their messages are taken on. Clients learn of new
 * settings a while after the relay: until then a class that was dropped is taken on still, and one that has changed
 * is held to the old rules and the new ones alike.
 */
final class RequestClassRegistry {
    /** Longer than the 1.2 s after which clients go by new settings. */
    static final long CHANGEOVER_MICROS = 1_500_000;

    private final Set<String> tenants = new HashSet<>();
    private Map<String, RequestTerms> currentTerms = new HashMap<>();
    private Map<String, RequestTerms> previousTerms = Map.of();
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

    void update(Policy.Settings settings, long now) {
        previousTerms = currentTerms;
        changedAt = now;
        applySettings(settings);
    }

    Collection<String> classNames() {
        return currentTerms.keySet();
    }

    /** The terms for a message, or null where its class or its tenant is not known, or it lacks the key it needs. */
    RequestTerms termsFor(Message.Content content, long now) {
        if (!tenants.isEmpty() && !tenants.contains(content.tenant())) {
            return null;
        }
        RequestTerms fresh = currentTerms.get(content.requestClass());
        RequestTerms old = now - changedAt < CHANGEOVER_MICROS ? previousTerms.get(content.requestClass()) : null;
        RequestTerms terms = fresh == null ? old : old == null || old.equals(fresh) ? fresh : stricter(old, fresh);
        if (terms == null || terms.requestClass().idempotency() != Idempotency.BY_KEY || content.idempotencyKey() != null) {
            return terms;
        }
        // Guards against turning down who goes by the old settings and has no key to give.
        return old == null || old.equals(fresh) ? null : new RequestTerms(combineKeyRules(terms.requestClass(), Idempotency.ONCE, terms.requestClass()),
                terms.maxAttempts());
    }

    private static RequestTerms stricter(RequestTerms old, RequestTerms fresh) {
        Idempotency repeat = old.requestClass().idempotency().compareTo(fresh.requestClass().idempotency()) > 0 ? old.requestClass().idempotency()
                : fresh.requestClass().idempotency();
        return new RequestTerms(combineKeyRules(fresh.requestClass(), repeat, old.requestClass()), Math.min(old.maxAttempts(), fresh.maxAttempts()));
    }

    private static RequestClass combineKeyRules(RequestClass type, Idempotency repeat, RequestClass other) {
        boolean bothKeyed = type.idempotency() == Idempotency.BY_KEY && other.idempotency() == Idempotency.BY_KEY;
        RequestClass keyed = type.idempotency() == Idempotency.BY_KEY ? type : other;
        KeyScope scope = bothKeyed && type.keyScope() != other.keyScope() ? KeyScope.CELL : keyed.keyScope();
        long window = bothKeyed ? Math.min(type.dedupWindowMicros(), other.dedupWindowMicros()) : keyed.dedupWindowMicros();
        return new RequestClass(type.name(), repeat, scope, window, type.goalMicros(), type.timeLimitMicros(), type.value(),
                type.lateValueShare(), type.orderedByKey() || other.orderedByKey());
    }
}
