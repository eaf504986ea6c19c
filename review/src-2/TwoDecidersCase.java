import java.nio.file.Path;
import java.util.List;

/** A new version starts while the old one heeds a wait; the path of the folder that lasts is long. */
public final class TwoDecidersCase {
    private static final int DESTINATION = 4;
    private static final int PATH_LENGTH = 120;
    private static final String PATH_PART = "/relays-of-the-north-building";
    private static final long WAIT_MILLIS = 8000;
    /** Calls that arrive within 100 ms of the answer are let through; every time limit is 50 ms longer. */
    private static final long LET_THROUGH_MILLIS = 150;
    private static final long SLACK_MILLIS = 50;
    private static final int MESSAGES = 8;

    private TwoDecidersCase() { }

    /** The arguments are those of {@link Rig#main}. */
    public static void main(String[] args) {
        Rig.main(args, TwoDecidersCase::run);
    }

    private static boolean run(Rig rig, boolean trouble) throws Exception {
        Rig.Discovery discovery = rig.new Discovery();
        long[] toldAt = new long[1];
        Rig.Behaviour shut = (endpoint, call, request) -> rig.net.later(10, () -> {
            if (toldAt[0] == 0) {
                toldAt[0] = rig.now();
                endpoint.answer(call, request, 429, "X-Come-Back-Ms: " + WAIT_MILLIS);
            } else if (rig.now() < toldAt[0] + WAIT_MILLIS) {
                endpoint.answer(call, request, 429,
                        "X-Come-Back-Ms: " + Math.max(1, toldAt[0] + WAIT_MILLIS - rig.now()));
            } else {
                endpoint.answer(call, request, 200);
            }
        });
        for (int i = 0; i < 2; i++) {
            Rig.Endpoint endpoint = rig.new Endpoint("s-5be2a07" + i, DESTINATION, "carriers", shut);
            discovery.put(endpoint.uid, endpoint.entry("in_service"));
        }
        StringBuilder path = new StringBuilder(rig.temporary.toString());
        while (path.length() < PATH_LENGTH) {
            path.append(PATH_PART);
        }
        Rig.Setup setup = rig.new Setup(discovery, Path.of(path.toString()));
        rig.note("the path of the folder that lasts has " + path.length() + " characters");
        Rig.Relay old = rig.start(setup);
        Rig.pause(1500);
        rig.handIn(setup.clientPort, String.format("7c%014x", 0), "position-update", DESTINATION, 24_000, 212);
        if (!rig.waitFor(3000, () -> toldAt[0] > 0)) {
            throw new Rig.CannotRun("the first call did not come");
        }
        rig.note("the relay is told to wait " + WAIT_MILLIS + " ms for destination " + DESTINATION);
        if (trouble) {
            Rig.Relay next = rig.startWithoutWaiting(setup);
            if (!rig.waitFor(4000, next::isHealthy)) {
                throw new Rig.CannotRun("the new process took too long for the wait");
            }
            rig.note("the new process says yes");
            rig.dropClients();
        }
        // Both processes may listen: on new connections some messages reach the new one.
        for (int i = 1; i <= MESSAGES; i++) {
            rig.handIn(setup.clientPort, String.format("7c%014x", i), "position-update", DESTINATION, 24_000, 212);
            rig.dropClients();
            Rig.pause(100);
        }
        if (trouble) {
            old.signal("TERM");
            rig.waitFor(3700, () -> !old.process.isAlive());
            old.kill();
        }
        rig.pauseUntil(toldAt[0] + WAIT_MILLIS + 2000);
        List<Rig.Call> early;
        synchronized (rig.calls) {
            early = rig.calls.stream().filter(c -> c.at > toldAt[0] + LET_THROUGH_MILLIS
                    && c.at < toldAt[0] + WAIT_MILLIS - SLACK_MILLIS).toList();
        }
        early.forEach(c -> rig.note("call " + c.id + " came " + (c.at - toldAt[0]) + " ms after the relay was told"));
        return early.isEmpty();
    }
}
