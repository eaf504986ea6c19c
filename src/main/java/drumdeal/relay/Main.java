package drumdeal.relay;

import drumdeal.SimulatorAdapter;
import drumdeal.JsonDataException;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;

/** Entry point: starts the relay or the simulator's adapter. */
public final class Main {
    /** Exit code for wrong arguments and for an invalid configuration. */
    private static final int EXIT_USAGE = 2;
    private static final int EXIT_FAILURE = 1;

    private Main() { }

    /** Runs the relay with {@code serve}, the simulator's adapter with {@code simhost}. */
    public static void main(String[] args) throws IOException {
        String mode = args.length == 1 ? args[0] : "";
        switch (mode) {
            case "serve" -> serve();
            case "simhost" -> runSimHost();
            default -> exit("usage: java -jar drumdeal.jar serve|simhost", EXIT_USAGE);
        }
    }

    private static void serve() {
        try {
            Config config = Config.read(System.getenv());
            EventLoop loop = (EventLoop) new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
            Relay relay = new Relay(loop, config);
            ConfigReloader.reloadOnHangUp(System.getenv(), config, relay);
            // Set before clients can connect: otherwise a signal during the start would end the process with their
            // requests unread.
            Runtime.getRuntime().addShutdownHook(new Thread(relay::stop, "stop"));
            relay.start();
        } catch (Config.BadConfigException e) {
            exit(e.getMessage(), EXIT_USAGE);
        } catch (IOException e) {
            exit(e.getMessage(), EXIT_FAILURE);
        }
    }

    private static void runSimHost() throws IOException {
        try {
            SimulatorAdapter.runOnStandardStreams();
        } catch (JsonDataException e) {
            exit(e.getMessage(), EXIT_FAILURE);
        }
    }

    private static void exit(String line, int code) {
        Log.write(line);
        System.exit(code);
    }
}
