import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * Relays that hold a clump of payments are upgraded as planned, one after the other. A second after its yes the new
 * process is killed, and the relay is started again (TROUBLE=0: it is not killed). Each payment has to be delivered, or
 * ended by a notice, 350 ms after its time at the latest; the time of a restart is excused.
 */
final class HandoverSpaceCase {
    private static final int RELAYS = 4;
    private static final int STAGGER_MILLIS = 3_000;
    private static final int PAYMENTS = 124;
    private static final int PAYMENT_INTERVAL_MILLIS = 8;
    private static final int BODY_BYTES = 7_300;
    private static final int BUDGET_MILLIS = 28_000;
    private static final int DESTINATIONS = 6;
    private static final int SERVICE_MILLIS = 2_000;

    private final Harness harness;
    private final Harness.Platform platform;
    /** Payments that the relays answered with 202. */
    private final Map<String, Long> handedInAt = new ConcurrentHashMap<>();
    /** Payments for which an endpoint wrote its 200. */
    private final Map<String, Long> delivered = new ConcurrentHashMap<>();

    private HandoverSpaceCase(Harness harness) throws Exception {
        this.harness = harness;
        platform = harness.new Platform();
    }

    public static void main(String[] args) throws Exception {
        Harness.main(args[0], harness -> new HandoverSpaceCase(harness).run());
    }

    private int run() throws Exception {
        for (int i = 0; i < DESTINATIONS; i++) {
            platform.add(Harness.target("s-" + i, i, "plain", harness.endpoint("endpoint-" + i, (call, earlier) -> {
                Harness.sleep(SERVICE_MILLIS);
                delivered.put(call.id(), harness.millis());
                return Harness.answer(200);
            })));
        }
        List<Thread> upgrades = new ArrayList<>();
        List<String> failures = new ArrayList<>();
        for (int i = 0; i < RELAYS; i++) {
            int number = i;
            upgrades.add(Harness.startThread(() -> {
                try {
                    upgrade(number);
                } catch (Exception e) {
                    synchronized (failures) {
                        failures.add("relay " + number + ": " + e);
                    }
                }
            }));
        }
        for (Thread upgrade : upgrades) {
            upgrade.join();
        }
        if (!failures.isEmpty()) {
            throw new IllegalStateException(failures.toString());
        }
        List<String> lost = handedInAt.keySet().stream()
                .filter(id -> !delivered.containsKey(id) && !harness.notices.containsKey(id)).sorted().toList();
        lost.forEach(id -> harness.record("LOST: " + id + ", calls " + harness.callsFor(id).size()
                + ", neither delivered nor reported " + (harness.millis() - handedInAt.get(id) - BUDGET_MILLIS)
                + " ms after its time"));
        harness.record("payments taken on " + handedInAt.size() + ", delivered " + delivered.size() + ", reported "
                + harness.notices.size() + ", lost " + lost.size());
        return lost.isEmpty() ? Harness.HELD : Harness.BROKEN;
    }

    private void upgrade(int number) throws Exception {
        Harness.Relay relay = harness.new Relay("relay-" + number, platform,
                Harness.settings(number, RELAYS, Harness.ALERT, Harness.POSITION, Harness.PAYMENT), 384);
        relay.start();
        Harness.sleep(number * STAGGER_MILLIS);
        ExecutorService clients = Executors.newFixedThreadPool(20);
        for (int i = 0; i < PAYMENTS; i++) {
            String id = "pay-" + number + "-" + i;
            int destination = i % DESTINATIONS;
            clients.execute(() -> {
                long at = harness.millis();
                if (harness.submit(relay, id, "payment", null, destination, BUDGET_MILLIS, "p".repeat(BODY_BYTES)) == 202) {
                    handedInAt.put(id, at);
                }
            });
            Harness.sleep(PAYMENT_INTERVAL_MILLIS);
        }
        clients.shutdown();
        clients.awaitTermination(10, TimeUnit.SECONDS);

        Process old = relay.process;
        relay.process = relay.launch();
        if (!Harness.await(20_000, relay::saysYes)) {
            throw new IllegalStateException("the new process never said yes");
        }
        harness.record("yes     " + relay.name + ", new process");
        old.destroy();
        if (!old.waitFor(3700, TimeUnit.MILLISECONDS)) {
            old.destroyForcibly();
        }
        harness.record("ended   " + relay.name + ", old process");
        if (harness.trouble) {
            relay.kill();
            Harness.sleep(600);
            relay.start();
        }
        // Until the time of the last payment is up, and 1.5 s after the restart have passed.
        Harness.sleep(BUDGET_MILLIS + 2_000);
    }
}
