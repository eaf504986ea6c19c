/**
 * A new configuration makes payments repeatable by key, which binds from 1.2 s after its SIGHUP on. The next
 * configuration, which only adds a class, follows half a second after the first (TROUBLE=0: it does not come). A payment that is handed in before the
 * 1.2 s have passed still may not be repeated; the endpoint answers its call with 500.
 */
final class ReloadCase {
    private static final int CLIENTS_FOLLOW_MILLIS = 1200;

    private ReloadCase() { }

    public static void main(String[] args) throws Exception {
        Harness.main(args[0], ReloadCase::run);
    }

    private static int run(Harness harness) throws Exception {
        Harness.Platform platform = harness.new Platform();
        for (int i = 0; i < 2; i++) {
            platform.add(Harness.target("s-" + i, 0, "plain", harness.endpoint("endpoint-" + i, (call, earlier) -> {
                Harness.sleep(100);
                return Harness.answer(call.id().startsWith("pay") ? 500 : 200);
            })));
        }
        Harness.Relay relay = harness.new Relay("relay-0", platform,
                Harness.settings(Harness.ALERT, Harness.POSITION, Harness.PAYMENT), 384);
        relay.start();
        for (int i = 0; i < 20; i++) {
            harness.submit(relay, "position-" + i, "position", null, 0, 20_000, "position " + i);
            Harness.sleep(100);
        }
        relay.settings = Harness.settings(Harness.ALERT, Harness.POSITION,
                Harness.PAYMENT.replace("\"once\"", "\"by_key\""));
        relay.writeConfig();
        long reloadedAt = harness.millis();
        relay.signal("HUP");
        Harness.sleep(500);
        if (harness.trouble) {
            relay.settings = Harness.settings(Harness.ALERT, Harness.POSITION,
                    Harness.PAYMENT.replace("\"once\"", "\"by_key\""), Harness.POSITION.replace("position", "reading"));
            relay.writeConfig();
            relay.signal("HUP");
        }
        Harness.sleep(200);
        harness.submit(relay, "pay-0", "payment", "key-0", 0, 20_000, "payment");
        long handedInAfter = harness.millis() - reloadedAt;
        harness.record("the payment was handed in and answered within " + handedInAfter + " ms of the first SIGHUP");
        if (handedInAfter >= CLIENTS_FOLLOW_MILLIS) {
            throw new IllegalStateException("the machine was too slow: the new rules bind already");
        }
        Harness.sleep(12_000);
        int calls = harness.callsFor("pay-0").size();
        harness.record("calls for the payment: " + calls + ", notice: " + harness.notices.get("pay-0"));
        if (calls == 0) {
            throw new IllegalStateException("the payment was never sent");
        }
        return calls > 1 ? Harness.BROKEN : Harness.HELD;
    }
}
