import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** A relay whose folder may be larger than in the example is killed when its journal has more than 16 MB. */
public final class BigJournalCase {
    private static final int DESTINATIONS = 8;
    private static final int MESSAGES = 330;
    private static final int BODY_BYTES = 60_000;
    private static final int LAST_MESSAGES = 4;
    private static final int LAST_BUDGET_MILLIS = 10_000;
    /** A message is lost without its end 300 ms after its time; every time limit on sockets is 50 ms longer. */
    private static final long END_SLACK_MILLIS = 350;
    private static final long READY_MILLIS = 30_000;

    private BigJournalCase() { }

    /** The arguments are those of {@link Rig#main}. */
    public static void main(String[] args) {
        Rig.main(args, BigJournalCase::run);
    }

    private static boolean run(Rig rig, boolean trouble) throws Exception {
        Rig.Discovery discovery = rig.new Discovery();
        for (int i = 0; i < 2 * DESTINATIONS; i++) {
            Rig.Endpoint endpoint = rig.new Endpoint(String.format("s-5be2a0%02x", i), i / 2, "consignees",
                    Rig.deliverAfter(rig, 100));
            discovery.put(endpoint.uid, endpoint.entry("in_service"));
        }
        // The last messages are with this slow destination at the time of the kill.
        Rig.Endpoint slow = rig.new Endpoint("s-5be2a0ff", DESTINATIONS, "consignees", Rig.deliverAfter(rig, 1000));
        discovery.put(slow.uid, slow.entry("in_service"));
        Rig.Setup setup = rig.new Setup(discovery);
        setup.diskMb = "256";
        Rig.Relay relay = rig.start(setup);
        ExecutorService clients = Executors.newFixedThreadPool(16);
        for (int i = 0; i < MESSAGES; i++) {
            String id = String.format("7c%014x", i);
            int destination = i % DESTINATIONS;
            clients.execute(() ->
                    rig.handIn(setup.clientPort, id, "position-update", destination, 24_000, BODY_BYTES));
            Rig.pause(43);
        }
        Rig.pause(1000);
        rig.note(MESSAGES + " messages of " + BODY_BYTES + " bytes handed in, calls " + rig.calls.size());
        for (int i = 0; i < LAST_MESSAGES; i++) {
            rig.handIn(setup.clientPort, String.format("9a%014x", i), "position-update", DESTINATIONS,
                    LAST_BUDGET_MILLIS, 212);
        }
        boolean held = true;
        if (trouble) {
            relay.signal("KILL");
            relay.kill();
            rig.dropClients();
            Rig.pause(600);
            Rig.Relay again = rig.startWithoutWaiting(setup);
            boolean ready = rig.waitFor(READY_MILLIS, () -> again.isReady() || !again.process.isAlive())
                    && again.process.isAlive();
            rig.note(again.label + (ready ? " is ready" : again.process.isAlive() ? " is not ready in 30 s"
                    : " has ended by itself, exit code " + again.process.exitValue()));
            held = ready;
        }
        Rig.pause(LAST_BUDGET_MILLIS + END_SLACK_MILLIS + 1500);
        List<Rig.Sent> last = rig.sent.values().stream().filter(s -> s.id.startsWith("9a") && s.taken()).toList();
        if (last.size() < LAST_MESSAGES || rig.calls.size() < MESSAGES) {
            throw new Rig.CannotRun("not all messages were taken on");
        }
        for (Rig.Sent message : last) {
            boolean delivered;
            synchronized (rig.calls) {
                delivered = rig.calls.stream().anyMatch(c -> c.id.equals(message.id) && c.status == 200);
            }
            boolean ended = delivered || rig.notices.stream().anyMatch(n -> n.id().equals(message.id));
            rig.note("message " + message.id + ", taken on: " + (delivered ? "delivered" : ended ? "ended by a notice"
                    : "neither delivered nor ended by a notice"));
            held &= ended;
        }
        clients.shutdownNow();
        return held;
    }
}
