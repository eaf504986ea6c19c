import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * Many refused calls make the relay compact its journal while it records an attempt; then it is killed and restarted.
 */
public final class JournalCase {
    private static final int HEALTHY = 22;
    private static final int SHUT = 330;
    /** Fewer than a quarter of the messages go to destinations that are shut. */
    private static final int HEALTHY_MESSAGES = 1310;
    private static final int SHUT_MESSAGES = SHUT;
    private static final int LARGE_BODY = 4800;
    private static final int USUAL_BODY = 212;
    private static final int SMALL_BODY = 10;
    private static final long SHUT_MILLIS = 7600;
    /** The clump of messages comes this long after the destinations have shut. */
    private static final long CLUMP_DELAY_MILLIS = 2800;
    private static final int PAYMENTS_BEFORE_KILL = 3;

    private JournalCase() { }

    /** The arguments are those of {@link Rig#main}. */
    public static void main(String[] args) {
        Rig.main(args, JournalCase::run);
    }

    private static boolean run(Rig rig, boolean trouble) throws Exception {
        Rig.Discovery discovery = rig.new Discovery();
        List<Rig.Endpoint> shutEndpoints = new ArrayList<>();
        for (int i = 0; i < HEALTHY + SHUT; i++) {
            Rig.Endpoint endpoint = rig.new Endpoint(String.format("s-5be2a%03x", i), i, "carriers",
                    Rig.deliverAfter(rig, 30));
            discovery.put(endpoint.uid, endpoint.entry("in_service"));
            if (i >= HEALTHY) {
                shutEndpoints.add(endpoint);
            }
        }
        Rig.Setup setup = rig.new Setup(discovery);
        setup.fleetSize = 1;
        setup.maxOpen = 340;
        Rig.Relay relay = rig.start(setup);
        Rig.pause(1500);
        ExecutorService clients = Executors.newFixedThreadPool(48);
        for (int i = 0; i < HEALTHY_MESSAGES; i++) {
            String id = String.format("8b%014x", i);
            int destination = i % HEALTHY;
            clients.execute(() ->
                    rig.handIn(setup.clientPort, id, "position-update", destination, 24_000, SMALL_BODY));
            Rig.pause(15);
        }
        Rig.pause(1000);
        if (trouble) {
            rig.note("destinations " + HEALTHY + " to " + (HEALTHY + SHUT - 1) + " are shut and refuse every call");
            shutEndpoints.forEach(e -> e.behaviour = (endpoint, call, request) -> endpoint.answer(call, request, 503));
        }
        long shutAt = rig.now();
        Rig.pause(CLUMP_DELAY_MILLIS);
        for (int i = 0; i < SHUT_MESSAGES; i++) {
            boolean payment = i % 2 == 0;
            String id = String.format("%s%014x", payment ? "9a" : "7c", i);
            int destination = HEALTHY + i % SHUT;
            clients.execute(() -> rig.handIn(setup.clientPort, id, payment ? "release-payment" : "position-update",
                    destination, payment ? 28_000 : 24_000, payment ? USUAL_BODY : LARGE_BODY));
            Rig.pause(1);
        }
        rig.pauseUntil(shutAt + SHUT_MILLIS);
        rig.note("they are open again; calls so far " + rig.calls.size() + ", notices " + rig.notices.size());
        shutEndpoints.forEach(e -> e.behaviour = Rig.deliverAfter(rig, 30));
        if (trouble) {
            if (!rig.waitFor(10_000, () -> deliveredPayments(rig).size() >= PAYMENTS_BEFORE_KILL)) {
                throw new Rig.CannotRun("too few payments were delivered after the outage");
            }
            Rig.pause(20);
            Map<String, Integer> before = deliveredPayments(rig);
            relay.signal("KILL");
            relay.kill();
            rig.note("payments answered 200 before the kill: " + before.keySet());
            rig.dropClients();
            Rig.pause(600);
            relay = rig.start(setup);
        }
        Rig.pause(14_000);
        boolean held = true;
        for (Map.Entry<String, Integer> payment : deliveredPayments(rig).entrySet()) {
            if (payment.getValue() > 1) {
                rig.note("payment " + payment.getKey() + " was answered 200 " + payment.getValue() + " times");
                held = false;
            }
        }
        rig.note("payments taken on "
                + rig.sent.values().stream().filter(s -> s.taken() && s.type.equals("release-payment")).count()
                + ", delivered " + deliveredPayments(rig).size());
        clients.shutdownNow();
        return held && relay.process.isAlive();
    }

    /** How many calls of each payment were answered 200. */
    private static Map<String, Integer> deliveredPayments(Rig rig) {
        Map<String, Integer> delivered = new TreeMap<>();
        synchronized (rig.calls) {
            for (Rig.Call call : rig.calls) {
                if (call.status == 200 && call.id.startsWith("9a")) {
                    delivered.merge(call.id, 1, Integer::sum);
                }
            }
        }
        return delivered;
    }
}
