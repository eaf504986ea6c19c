package drumdeal.relay;

import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import sun.misc.Signal;

/** Reads the configuration again at each SIGHUP, on a thread of its own so that the event loop is not blocked. */
final class ConfigReloader {
    /** Receives the result of each reload, on the reloader's thread. */
    interface Listener {
        /** The new configuration is valid and replaces the current one. */
        void onConfigReloaded(Config next);

        /** The new configuration can't be read, is incomplete or invalid; the current one stays in force. */
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

    /**
     * Starts handling SIGHUP. A configuration that is rejected in any part is rejected as a whole, and {@code inForce}
     * or its latest replacement stays in force.
     */
    static void reloadOnHangUp(Map<String, String> environment, Config inForce, Listener taker) {
        ConfigReloader reload = new ConfigReloader(environment, inForce, taker);
        // With more than one thread an older file could be applied after a newer one.
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
