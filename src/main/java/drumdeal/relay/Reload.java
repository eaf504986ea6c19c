package drumdeal.relay;

import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import sun.misc.Signal;

/** Reads the configuration again at each SIGHUP, away from the event loop. */
final class Reload {
    /** What becomes of a configuration that was read. */
    interface Taker {
        void taken(Config next);

        /** It is not whole, or makes no sense; nothing of it holds. */
        void turnedDown(String why);
    }

    private final Map<String, String> environment;
    private final Taker taker;
    private Config inForce;

    private Reload(Map<String, String> environment, Config inForce, Taker taker) {
        this.environment = environment;
        this.inForce = inForce;
        this.taker = taker;
    }

    /** Takes SIGHUP from now on; a configuration that can't be taken whole leaves the old one in force. */
    static void onHangUp(Map<String, String> environment, Config inForce, Taker taker) {
        Reload reload = new Reload(environment, inForce, taker);
        // Guards, by a single thread, against an older file that overtakes a newer one.
        ExecutorService reader = Executors.newSingleThreadExecutor(work -> {
            Thread thread = new Thread(work, "reload");
            thread.setDaemon(true);
            return thread;
        });
        Signal.handle(new Signal("HUP"), signal -> reader.execute(reload::read));
    }

    private void read() {
        try {
            Config next = Config.read(environment);
            String lack = inForce.lackOf(next);
            if (lack != null) {
                taker.turnedDown("EDGE_CONFIG: " + lack + " is missing or of another kind");
                return;
            }
            inForce = next;
            taker.taken(next);
        } catch (Config.BadConfigException e) {
            taker.turnedDown(e.getMessage());
        }
    }
}
