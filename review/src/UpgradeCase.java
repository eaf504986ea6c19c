import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * Relays that hold payments are upgraded under load, one after the other. Each old process is killed outright just after
 * the new one says yes (TROUBLE=0: gets SIGTERM). Later each relay is restarted as planned. No payment may reach an
 * endpoint again after an endpoint has answered 200 for it.
 */
final class UpgradeCase {
    /** From the yes of the new process to the kill of the old one, for each relay. */
    private static final int[] KILL_DELAY_MILLIS = {0, 2, 4, 6, 8, 10};
    /** From the upgrade of one relay to that of the next: one in six is restarted at a time. */
    private static final int STAGGER_MILLIS = 3_000;
    private static final int PAYMENTS = 130;
    private static final int PAYMENT_INTERVAL_MILLIS = 40;
    private static final int BODY_BYTES = 4_000;
    private static final int DESTINATIONS = 6;
    private static final int SERVICE_MILLIS = 1_000;

    private UpgradeCase() { }

    public static void main(String[] args) throws Exception {
        Harness.main(args[0], UpgradeCase::run);
    }

    private static int run(Harness harness) throws Exception {
        Harness.Platform platform = harness.new Platform();
        for (int i = 0; i < DESTINATIONS; i++) {
            Harness.Server endpoint = harness.endpoint("endpoint-" + i, (call, earlier) -> {
                Harness.sleep(SERVICE_MILLIS);
                return Harness.answer(200);
            });
            platform.add(Harness.target("s-" + i, i, "plain", endpoint));
        }
        List<Thread> upgrades = new ArrayList<>();
        List<String> failures = new ArrayList<>();
        for (int i = 0; i < KILL_DELAY_MILLIS.length; i++) {
            int number = i;
            upgrades.add(Harness.startThread(() -> {
                try {
                    upgrade(harness, platform, number);
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
        return check(harness);
    }

    private static void upgrade(Harness harness, Harness.Platform platform, int number) throws Exception {
        Harness.Relay relay = harness.new Relay("relay-" + number, platform,
                Harness.settings(number, KILL_DELAY_MILLIS.length, Harness.ALERT, Harness.POSITION, Harness.PAYMENT), 384);
        relay.start();
        Harness.sleep(number * STAGGER_MILLIS);
        ExecutorService clients = Executors.newFixedThreadPool(20);
        for (int i = 0; i < PAYMENTS; i++) {
            String id = "pay-" + number + "-" + i;
            int destination = i % DESTINATIONS;
            clients.execute(() -> harness.submit(relay, id, "payment", null, destination, 28_000, "p".repeat(BODY_BYTES)));
            Harness.sleep(PAYMENT_INTERVAL_MILLIS);
        }
        clients.shutdown();
        clients.awaitTermination(10, TimeUnit.SECONDS);

        Process old = relay.process;
        relay.process = relay.launch();
        if (!Harness.await(20_000, 1, relay::saysYes)) {
            throw new IllegalStateException("the new process never said yes");
        }
        harness.record("yes     " + relay.name + ", new process");
        Harness.sleep(KILL_DELAY_MILLIS[number]);
        if (harness.trouble) {
            old.destroyForcibly();
        } else {
            old.destroy();
            if (!old.waitFor(3700, TimeUnit.MILLISECONDS)) {
                old.destroyForcibly();
            }
        }
        old.waitFor();
        harness.record("ended   " + relay.name + ", old process, by " + (harness.trouble ? "SIGKILL" : "SIGTERM"));

        // Long enough for the new process to deliver all that it holds.
        Harness.sleep(10_000);
        relay.restart();
        Harness.sleep(6_000);
    }

    private static int check(Harness harness) {
        int result = Harness.HELD;
        for (String id : harness.calls.stream().map(Harness.Call::id).distinct().toList()) {
            List<Harness.Call> calls = harness.callsFor(id);
            if (calls.size() > 1) {
                harness.record("RUN TWICE: payment " + id + " was answered 200 by " + calls.get(0).endpoint() + " for its call at "
                        + calls.get(0).at() + " ms and sent again at " + calls.get(1).at() + " ms");
                result = Harness.BROKEN;
            }
        }
        return result;
    }
}
