package drumdeal.relay;

import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import sun.misc.Signal;

/** Reads the configuration again at each SIGHUP, away from the event loop. */
final class ConfigReloader {
    /** What becomes of a configuration that was read. */
    interface Listener {
        void onConfigReloaded(Config next);

        /** It is not whole, or makes no sense; nothing of it holds. */
        void onConfigRejected(String why);
    }

    private final Map<String, String> environment;
    private final Listener listener;
    private Config currentConfig;

    private ConfigReloader(Map<String, String> environment, Config inForce, Listener taker) {
        this.environment = environment;
        this.currentConfig = inForce;
        this.listener = taker;
    }

    /** Takes SIGHUP from now on; a configuration that can't be taken whole leaves the old one in force. */
    static void reloadOnHangUp(Map<String, String> environment, Config inForce, Listener taker) {
        ConfigReloader reload = new ConfigReloader(environment, inForce, taker);
        // Guards, by a single thread, against an older file that overtakes a newer one.
        ExecutorService reader = Executors.newSingleThreadExecutor(work -> {
            Thread thread = new Thread(work, "reload");
            thread.setDaemon(true);
            return thread;
        });
        Signal.handle(new Signal("HUP"), signal -> reader.execute(reload::reloadConfig));
    }

    private void reloadConfig() {
        try {
            Config next = Config.read(environment);
            String lack = currentConfig.findMissingSetting(next);
            if (lack != null) {
                listener.onConfigRejected("EDGE_CONFIG: " + lack + " is missing or of another kind");
                return;
            }
            currentConfig = next;
            listener.onConfigReloaded(next);
        } catch (Config.BadConfigException e) {
            listener.onConfigRejected(e.getMessage());
        }
    }
}
