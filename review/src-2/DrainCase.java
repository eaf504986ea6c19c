import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** An endpoint begins to drain just as a new version starts; the relay is one of a hundred, and asks for the list. */
public final class DrainCase {
    private static final int DESTINATION = 7;
    /** In an upgrade, news from discovery counts as told this long after the new process's yes. */
    private static final long TOLD_AFTER_YES_MILLIS = 2000;
    /** The drain grace of the settings. */
    private static final long GRACE_MILLIS = 1000;
    /** Every time limit on sockets is 50 ms longer; 150 ms more for a relay that is held up. */
    private static final long SLACK_MILLIS = 200;

    private DrainCase() { }

    /** The arguments are those of {@link Rig#main}. */
    public static void main(String[] args) {
        Rig.main(args, DrainCase::run);
    }

    private static boolean run(Rig rig, boolean trouble) throws Exception {
        Rig.Discovery discovery = rig.new Discovery();
        Rig.Endpoint draining = rig.new Endpoint("s-5be2a070", DESTINATION, "consignees", Rig.deliverAfter(rig, 30));
        Rig.Endpoint staying = rig.new Endpoint("s-5be2a071", DESTINATION, "consignees", Rig.deliverAfter(rig, 30));
        discovery.put(draining.uid, draining.entry("in_service"));
        discovery.put(staying.uid, staying.entry("in_service"));
        Rig.Setup setup = rig.new Setup(discovery);
        setup.fleetSize = 100;
        Rig.Relay old = rig.start(setup);
        ExecutorService clients = Executors.newFixedThreadPool(8);
        long endAt = Long.MAX_VALUE;
        long boundAt = Long.MAX_VALUE;
        long changeAt = rig.now() + 12_000;
        long termAt = Long.MAX_VALUE;
        Rig.Relay next = null;
        for (int i = 0; rig.now() < endAt; i++) {
            String id = String.format("7c%014x", i);
            clients.execute(() ->
                    rig.handIn(setup.clientPort, id, "position-update", DESTINATION, 24_000, 212));
            Rig.pause(40);
            if (endAt == Long.MAX_VALUE && rig.now() >= changeAt && next == null) {
                rig.note("discovery: " + draining.uid + " is terminating");
                discovery.change(draining.uid, draining.entry("terminating"));
                draining.behaviour = (endpoint, call, request) -> endpoint.answer(call, request, 503);
                if (trouble) {
                    next = rig.startWithoutWaiting(setup);
                } else {
                    endAt = rig.now() + 12_000;
                }
            }
            if (next != null && endAt == Long.MAX_VALUE && next.isHealthy()) {
                boundAt = rig.now() + TOLD_AFTER_YES_MILLIS + GRACE_MILLIS + SLACK_MILLIS;
                endAt = rig.now() + 9000;
                termAt = rig.now() + 3000;
                rig.note("the new process says yes");
            }
            if (rig.now() > termAt && old.process.isAlive()) {
                old.signal("TERM");
                termAt = Long.MAX_VALUE;
            }
        }
        Rig.pause(500);
        if (!trouble) {
            boundAt = discovery.toldAt + GRACE_MILLIS + SLACK_MILLIS;
        }
        rig.note("the drain counts as told since " + (boundAt - GRACE_MILLIS - SLACK_MILLIS));
        long bound = boundAt;
        List<Rig.Call> late;
        synchronized (rig.calls) {
            late = rig.calls.stream().filter(c -> c.uid.equals(draining.uid) && c.at > bound).toList();
        }
        rig.note("calls to " + draining.uid + " after its grace: " + late.size() + ", the last " + (late.isEmpty() ? ""
                : late.get(late.size() - 1).at - (bound - GRACE_MILLIS - SLACK_MILLIS) + " ms after it counts as told"));
        return late.isEmpty();
    }
}
