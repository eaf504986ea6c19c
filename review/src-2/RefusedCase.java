import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Payments wait for endpoints whose processes have died and refuse connections; then the relay is killed. */
public final class RefusedCase {
    private static final int HEALTHY = 21;
    private static final int DOWN = 8;
    private static final int HEALTHY_MESSAGES = 63;
    private static final int PAYMENTS = DOWN + 2;
    private static final int BUDGET_MILLIS = 28_000;

    private RefusedCase() { }

    /** The arguments are those of {@link Rig#main}. */
    public static void main(String[] args) {
        Rig.main(args, RefusedCase::run);
    }

    private static boolean run(Rig rig, boolean trouble) throws Exception {
        Rig.Discovery discovery = rig.new Discovery();
        List<Rig.Endpoint> down = new ArrayList<>();
        for (int i = 0; i < HEALTHY + DOWN; i++) {
            Rig.Endpoint endpoint = rig.new Endpoint(String.format("s-5be2a0%02x", i), i, "carriers",
                    Rig.deliverAfter(rig, 150));
            discovery.put(endpoint.uid, endpoint.entry("in_service"));
            if (i >= HEALTHY) {
                down.add(endpoint);
            }
        }
        Rig.Setup setup = rig.new Setup(discovery);
        Rig.Relay relay = rig.start(setup);
        ExecutorService clients = Executors.newFixedThreadPool(8);
        for (int i = 0; i < HEALTHY_MESSAGES; i++) {
            String id = String.format("8b%014x", i);
            int destination = i % HEALTHY;
            clients.execute(() ->
                    rig.handIn(setup.clientPort, id, "release-payment", destination, BUDGET_MILLIS, 212));
            Rig.pause(43);
        }
        if (trouble) {
            for (Rig.Endpoint endpoint : down) {
                endpoint.stop();
            }
            rig.note("the processes of " + DOWN + " endpoints have died, they refuse connections");
        }
        List<Rig.Sent> payments = new ArrayList<>();
        for (int i = 0; i < PAYMENTS; i++) {
            payments.add(rig.handIn(setup.clientPort, String.format("9a%014x", i), "release-payment",
                    HEALTHY + i % DOWN, BUDGET_MILLIS, 212));
            Rig.pause(43);
        }
        Rig.pause(2000);
        payments.removeIf(payment -> !payment.taken());
        if (payments.size() < PAYMENTS) {
            throw new Rig.CannotRun("not all payments were taken on");
        }
        long killedAt = rig.now();
        if (trouble) {
            relay.signal("KILL");
            relay.kill();
            rig.dropClients();
            Rig.pause(400);
            for (Rig.Endpoint endpoint : down) {
                endpoint.startAgain();
            }
            rig.note("the endpoints are back");
            Rig.pause(200);
            relay = rig.start(setup);
        }
        Rig.pause(BUDGET_MILLIS / 2);
        int untried = 0;
        int givenUp = 0;
        for (Rig.Sent payment : payments) {
            List<Rig.Call> calls;
            synchronized (rig.calls) {
                calls = rig.calls.stream().filter(c -> c.id.equals(payment.id)).toList();
            }
            Rig.Notice notice = rig.notices.stream().filter(n -> n.id().equals(payment.id)).findFirst().orElse(null);
            boolean found = calls.stream().noneMatch(c -> c.at < killedAt) && (notice == null || notice.at() > killedAt);
            boolean early = calls.isEmpty() && notice != null;
            untried += found ? 1 : 0;
            givenUp += found && early ? 1 : 0;
            rig.note("payment " + payment.id + ": calls " + calls.size() + ", " + (notice == null ? "no notice"
                    : "notice " + notice.result() + " with " + (payment.sentAt + BUDGET_MILLIS - notice.at())
                            + " of its " + BUDGET_MILLIS + " ms left"));
        }
        rig.note("found untried by the restart: " + untried + ", given up early with no call: " + givenUp);
        clients.shutdownNow();
        return relay.process.isAlive() && 2 * givenUp <= untried;
    }
}
