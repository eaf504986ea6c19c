package drumdeal.relay;

import drumdeal.Policy;
import drumdeal.Policy.KeyScope;
import drumdeal.Policy.Idempotency;
import drumdeal.Policy.RequestClass;
import drumdeal.Policy.RequestTerms;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The request classes and tenants that clients may name, and the terms on which their messages are accepted. Clients
 * learn of new settings later than the relay. Until then a message of a removed class is still accepted, and one of a
 * changed class has to follow both the previous and the new rules.
 */
final class RequestClassRegistry {
    /** Names of the tenants; if there are none, a message may name any tenant or none. */
    private final Set<String> tenants = new HashSet<>();
    private final TermsHistory history;

    RequestClassRegistry(Policy.Settings settings) {
        history = new TermsHistory(termsByClass(settings));
        applyTenants(settings);
    }

    private static Map<String, RequestTerms> termsByClass(Policy.Settings settings) {
        Map<String, RequestTerms> terms = new HashMap<>();
        int maxAttempts = settings.limits().maxAttempts();
        settings.classes().forEach(requestClass ->
                terms.put(requestClass.name(), new RequestTerms(requestClass, maxAttempts)));
        return terms;
    }

    private void applyTenants(Policy.Settings settings) {
        tenants.clear();
        settings.tenants().forEach(tenant -> tenants.add(tenant.name()));
    }

    /** Replaces the settings at the time {@code now}. */
    void update(Policy.Settings settings, long now) {
        history.update(termsByClass(settings), now);
        applyTenants(settings);
    }

    /** All terms that bind, with the time for which they do. */
    TermsHistory history() {
        return history;
    }

    Collection<String> classNames() {
        return history.current().keySet();
    }

    /** The terms for a message; null if its class or tenant is unknown, or it lacks the key that its class needs. */
    RequestTerms termsFor(Message.Content content, long now) {
        if (!tenants.isEmpty() && !tenants.contains(content.tenant())) {
            return null;
        }
        RequestTerms current = history.current().get(content.requestClass());
        List<RequestTerms> superseded = history.supersededTermsFor(content.requestClass(), now);
        RequestTerms terms = current;
        for (RequestTerms earlier : superseded) {
            terms = terms == null || earlier.equals(terms) ? earlier : stricterTerms(earlier, terms);
        }
        if (terms == null || terms.requestClass().idempotency() != Idempotency.BY_KEY
                || content.idempotencyKey() != null) {
            return terms;
        }
        // A client that still uses earlier settings may have no key to send. Without a key the message may take
        // effect at most once.
        return superseded.stream().allMatch(earlier -> earlier.equals(current)) ? null : new RequestTerms(
                combineKeyRules(terms.requestClass(), Idempotency.ONCE, terms.requestClass()), terms.maxAttempts());
    }

    /** Terms that follow both the previous and the new rules on repetition and on the number of attempts. */
    private static RequestTerms stricterTerms(RequestTerms previous, RequestTerms current) {
        Idempotency idempotency =
                previous.requestClass().idempotency().compareTo(current.requestClass().idempotency()) > 0
                ? previous.requestClass().idempotency() : current.requestClass().idempotency();
        return new RequestTerms(combineKeyRules(current.requestClass(), idempotency, previous.requestClass()),
                Math.min(previous.maxAttempts(), current.maxAttempts()));
    }

    /**
     * The class {@code requestClass} with the given idempotency and with key rules that satisfy both classes: the
     * narrowest key scope if the two differ, the shorter window, and order by key if either asks for it.
     */
    private static RequestClass combineKeyRules(RequestClass requestClass, Idempotency idempotency,
            RequestClass other) {
        boolean bothKeyed = requestClass.idempotency() == Idempotency.BY_KEY
                && other.idempotency() == Idempotency.BY_KEY;
        RequestClass keyed = requestClass.idempotency() == Idempotency.BY_KEY ? requestClass : other;
        KeyScope scope = bothKeyed && requestClass.keyScope() != other.keyScope() ? KeyScope.CELL : keyed.keyScope();
        long dedupWindowMicros = bothKeyed ? Math.min(requestClass.dedupWindowMicros(), other.dedupWindowMicros())
                : keyed.dedupWindowMicros();
        return new RequestClass(requestClass.name(), idempotency, scope, dedupWindowMicros, requestClass.goalMicros(),
                requestClass.timeLimitMicros(), requestClass.value(), requestClass.lateValueShare(),
                requestClass.orderedByKey() || other.orderedByKey());
    }
}
