package drumdeal.relay;

import drumdeal.Policy;
import drumdeal.Policy.KeyScope;
import drumdeal.Policy.Repeat;
import drumdeal.Policy.RequestClass;
import drumdeal.Policy.Terms;
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
final class Classes {
    /** Longer than the 1.2 s after which clients go by new settings. */
    static final long CHANGEOVER = 1_500_000;

    private final Set<String> tenants = new HashSet<>();
    private Map<String, Terms> present = new HashMap<>();
    private Map<String, Terms> former = Map.of();
    private long changedAt;

    Classes(Policy.Settings settings) {
        take(settings);
    }

    private void take(Policy.Settings settings) {
        present = new HashMap<>();
        int attempts = settings.limits().maxAttempts();
        settings.classes().forEach(type -> present.put(type.name(), new Terms(type, attempts)));
        tenants.clear();
        settings.tenants().forEach(tenant -> tenants.add(tenant.name()));
    }

    void change(Policy.Settings settings, long now) {
        former = present;
        changedAt = now;
        take(settings);
    }

    Collection<String> names() {
        return present.keySet();
    }

    /** The terms for a message, or null where its class or its tenant is not known, or it lacks the key it needs. */
    Terms of(Message.Content content, long now) {
        if (!tenants.isEmpty() && !tenants.contains(content.tenant())) {
            return null;
        }
        Terms fresh = present.get(content.requestClass());
        Terms old = now - changedAt < CHANGEOVER ? former.get(content.requestClass()) : null;
        Terms terms = fresh == null ? old : old == null || old.equals(fresh) ? fresh : stricter(old, fresh);
        if (terms == null || terms.type().repeat() != Repeat.BY_KEY || content.key() != null) {
            return terms;
        }
        // Guards against turning down who goes by the old settings and has no key to give.
        return old == null || old.equals(fresh) ? null : new Terms(with(terms.type(), Repeat.ONCE, terms.type()),
                terms.maxAttempts());
    }

    private static Terms stricter(Terms old, Terms fresh) {
        Repeat repeat = old.type().repeat().compareTo(fresh.type().repeat()) > 0 ? old.type().repeat()
                : fresh.type().repeat();
        return new Terms(with(fresh.type(), repeat, old.type()), Math.min(old.maxAttempts(), fresh.maxAttempts()));
    }

    private static RequestClass with(RequestClass type, Repeat repeat, RequestClass other) {
        boolean bothKeyed = type.repeat() == Repeat.BY_KEY && other.repeat() == Repeat.BY_KEY;
        RequestClass keyed = type.repeat() == Repeat.BY_KEY ? type : other;
        KeyScope scope = bothKeyed && type.keyScope() != other.keyScope() ? KeyScope.CELL : keyed.keyScope();
        long window = bothKeyed ? Math.min(type.keyWindow(), other.keyWindow()) : keyed.keyWindow();
        return new RequestClass(type.name(), repeat, scope, window, type.goal(), type.deadline(), type.worth(),
                type.lateWorth(), type.inOrder() || other.inOrder());
    }
}
