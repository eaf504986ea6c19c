import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * New settings and a new version at once. Until 1.2 s after SIGHUP the former effect of a class binds; the process that
 * was started meanwhile knows only the new one.
 */
public final class NewTermsCase {
    private static final int DESTINATION = 7;
    /** Clients use new settings this long after SIGHUP. The last message is handed in well before. */
    private static final long CHANGEOVER_MILLIS = 1200;
    private static final long LAST_SEND_MILLIS = 1100;
    private static final int PAYMENTS = 6;

    private NewTermsCase() { }

    /** The arguments are those of {@link Rig#main}. */
    public static void main(String[] args) {
        Rig.main(args, NewTermsCase::run);
    }

    private static boolean run(Rig rig, boolean trouble) throws Exception {
        Rig.Discovery discovery = rig.new Discovery();
        // Every payment is answered 500 when it comes first, "it may have run"; any further call is answered 200.
        Rig.Behaviour failFirst = (endpoint, call, request) -> rig.net.later(20, () -> {
            boolean first = rig.calls.stream().filter(c -> c.id.equals(call.id)).findFirst().orElseThrow() == call;
            boolean payment = call.id.startsWith("9a");
            endpoint.answer(call, request, payment && first ? 500 : 200);
        });
        for (int i = 0; i < 2; i++) {
            Rig.Endpoint endpoint = rig.new Endpoint("s-5be2a07" + i, DESTINATION, "carriers", failFirst);
            discovery.put(endpoint.uid, endpoint.entry("in_service"));
        }
        Rig.Setup setup = rig.new Setup(discovery);
        Rig.Relay old = rig.start(setup);
        for (int i = 0; i < 10; i++) {
            rig.handIn(setup.clientPort, String.format("8b%014x", i), "position-update", DESTINATION, 24_000, 212);
            Rig.pause(100);
        }
        Rig.pause(1500);
        List<Rig.Sent> payments = new ArrayList<>();
        Rig.Relay serving = old;
        long changedAt = rig.now();
        if (trouble) {
            setup.classes = Rig.standardClasses("repeatable");
            setup.write(9);
            changedAt = rig.now();
            old.signal("HUP");
            Rig.Relay next = rig.startWithoutWaiting(setup);
            if (!rig.waitFor(LAST_SEND_MILLIS, next::isHealthy) || rig.now() - changedAt > LAST_SEND_MILLIS - 200) {
                throw new Rig.CannotRun("the new process was ready " + (rig.now() - changedAt)
                        + " ms after SIGHUP, too late to meet it before the changeover");
            }
            rig.note("the new process takes clients " + (rig.now() - changedAt) + " ms after SIGHUP");
            serving = next;
            rig.dropClients();
            Rig.pause(60);
        }
        ExecutorService clients = Executors.newFixedThreadPool(PAYMENTS);
        for (int i = 0; i < PAYMENTS && (!trouble || rig.now() - changedAt < LAST_SEND_MILLIS); i++) {
            String id = String.format("9a%014x", i);
            clients.execute(() -> rig.handIn(setup.clientPort, id, "release-payment", DESTINATION, 28_000, 212));
            Rig.pause(15);
        }
        Rig.pause(500);
        rig.sent.values().stream().filter(s -> s.type.equals("release-payment") && s.taken()).forEach(payments::add);
        for (Rig.Sent payment : payments) {
            if (trouble && payment.answeredAt - changedAt >= CHANGEOVER_MILLIS) {
                throw new Rig.CannotRun("a payment was taken on only after the changeover");
            }
        }
        if (payments.isEmpty()) {
            throw new Rig.CannotRun("no payment was taken on");
        }
        if (trouble) {
            // As the platform does: SIGTERM within 6 s of the yes, SIGKILL 3.7 s later.
            Rig.pause(2000);
            if (old.process.isAlive()) {
                old.signal("TERM");
            }
            rig.waitFor(3700, () -> !old.process.isAlive());
            old.kill();
        }
        Rig.pause(12_000);
        boolean held = true;
        for (Rig.Sent payment : payments) {
            long count;
            synchronized (rig.calls) {
                count = rig.calls.stream().filter(c -> c.id.equals(payment.id)).count();
            }
            rig.note("payment " + payment.id + " handed in " + (payment.sentAt - changedAt) + " ms after "
                    + (trouble ? "SIGHUP" : "the start of this part") + ", taken on, sent to endpoints " + count
                    + " times, the first call answered 500");
            held &= count <= 1;
        }
        return held && serving.process.isAlive();
    }
}
