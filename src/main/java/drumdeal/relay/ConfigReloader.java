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
        void onConfigReloaded(Config newConfig);

        /** The new configuration can't be read, is incomplete or invalid; the current one stays in force. */
        void onConfigRejected(String reason);
    }

    private final Map<String, String> environment;
    private final Listener listener;
    private Config currentConfig;

    private ConfigReloader(Map<String, String> environment, Config currentConfig, Listener listener) {
        this.environment = environment;
        this.currentConfig = currentConfig;
        this.listener = listener;
    }

    /**
     * Starts handling SIGHUP. A new configuration is accepted or rejected as a whole. If it is rejected, the current
     * one stays in force, which is {@code initialConfig} at first.
     */
    static void reloadOnHangUp(Map<String, String> environment, Config initialConfig, Listener listener) {
        ConfigReloader reloader = new ConfigReloader(environment, initialConfig, listener);
        // With more than one thread an older file could be applied after a newer one.
        ExecutorService executor = Executors.newSingleThreadExecutor(task -> {
            Thread thread = new Thread(task, "reload");
            thread.setDaemon(true);
            return thread;
        });
        Signal.handle(new Signal("HUP"), signal -> executor.execute(reloader::reloadConfig));
    }

    private void reloadConfig() {
        try {
            Config newConfig = Config.read(environment);
            String missing = currentConfig.findMissingSetting(newConfig);
            if (missing != null) {
                listener.onConfigRejected("EDGE_CONFIG: " + missing + " is missing or of another kind");
                return;
            }
            currentConfig = newConfig;
            listener.onConfigReloaded(newConfig);
        } catch (Config.BadConfigException e) {
            listener.onConfigRejected(e.getMessage());
        }
    }
}
