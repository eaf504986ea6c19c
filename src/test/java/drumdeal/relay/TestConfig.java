package drumdeal.relay;

import drumdeal.Policy;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;

/** The configuration for tests of components that run without a relay process. */
final class TestConfig {
    /** An address at which nothing listens. */
    static final InetSocketAddress UNUSED_ADDRESS = new InetSocketAddress("127.0.0.1", 1);
    /** The only class; its messages take effect at most once. */
    static final String REQUEST_CLASS = "once";

    private TestConfig() { }

    /** A relay alone, with one class of messages, one kind of destination and no known route. */
    static Config create() {
        Policy.RequestClass requestClass = new Policy.RequestClass(REQUEST_CLASS, Policy.Idempotency.ONCE,
                Policy.KeyScope.ALL, 0, 1, 20_000_000, 1, 0, false);
        Policy.Settings settings = new Policy.Settings(1, 0, 1, "z", List.of(requestClass), List.of(),
                List.of(new Policy.DestinationKind("one", false, 1)), List.of(),
                new Policy.Limits(8, 8, 8, true, false, false, false, true, 1_000_000),
                new Policy.ServiceRules(0, 1, 2, 1, 0.2, 1, 1, 0), 1, false, true, Policy.RateHint.NONE, 0);
        return new Config(UNUSED_ADDRESS, null, UNUSED_ADDRESS, null, 256, 1 << 20, settings, 5000, 100_000_000, false,
                -1, List.of(), Map.of());
    }

    /** A target of the kind that the configuration has. */
    static Target target(String uid, int destination, InetSocketAddress address) {
        return new Target(new Policy.ListedRoute(uid, destination, "one", "z", Policy.Availability.LISTED, 0),
                address);
    }
}
