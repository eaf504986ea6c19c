import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Runs a relay through its usual work once, so that the class archive which its JVM writes at exit contains the classes
 * needed in service: it takes over from another process, delivers a few messages, answers operators and reloads its
 * configuration. This program measures nothing. Arguments: the relay's command line.
 */
final class Training {
    /** Messages of each class. */
    private static final int MESSAGES = 12;
    private static final Path FOLDER = Path.of("target/training");
    /** Statuses with which the endpoint answers its first calls, in this order; it answers all others with 200. */
    private static final int[] ANSWERS = {200, 200, 503, 500, 429};

    private Training() { }

    public static void main(String[] command) throws Exception {
        InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        HttpServer server = HttpServer.create(anyPort, 0);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        }));
        String address = "127.0.0.1:" + server.getAddress().getPort();
        AtomicInteger callCount = new AtomicInteger();
        server.createContext("/", exchange -> answer(exchange, address, callCount));
        server.start();
        Files.createDirectories(FOLDER);
        Path config = FOLDER.resolve("config.json");
        Files.writeString(config, Files.readString(Path.of("deploy/training.json")).replace("127.0.0.1:9", address));
        List<String> predecessorCommand = new ArrayList<>(List.of(command));
        predecessorCommand.removeIf(argument -> argument.startsWith("-XX:ArchiveClassesAtExit"));
        Process predecessor = start(predecessorCommand, config);
        ports(predecessor);
        Process relay = start(List.of(command), config);
        int[] ports = ports(relay);
        predecessor.waitFor(4, TimeUnit.SECONDS);
        for (String type : List.of("safe", "keyed", "once")) {
            try (Socket client = new Socket(InetAddress.getLoopbackAddress(), ports[1])) {
                for (int i = 0; i < MESSAGES; i++) {
                    exchange(client, message(type + i, type));
                }
            }
        }
        for (String requestLine : List.of("GET /healthcheck", "GET /stats", "POST /healthcheck/fail",
                "POST /healthcheck/ok")) {
            try (Socket operator = new Socket(InetAddress.getLoopbackAddress(), ports[0])) {
                exchange(operator, requestLine + " HTTP/1.1\r\nHost: x\r\n\r\n");
            }
        }
        new ProcessBuilder("kill", "-HUP", Long.toString(relay.pid())).start().waitFor();
        // Long enough for the line of counters that the relay logs every two seconds.
        relay.waitFor(2500, TimeUnit.MILLISECONDS);
        relay.destroy();
        relay.waitFor(8, TimeUnit.SECONDS);
        relay.destroyForcibly();
        predecessor.destroyForcibly();
        server.stop(0);
    }

    private static Process start(List<String> command, Path config) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command).redirectOutput(ProcessBuilder.Redirect.DISCARD);
        builder.environment().put("EDGE_CONFIG", config.toString());
        builder.environment().put("EDGE_STATE", FOLDER.resolve("state").toString());
        builder.environment().put("EDGE_ADMIN_ADDR", "127.0.0.1:0");
        return builder.start();
    }

    /** Reads the ports for operators and for clients, in this order, from the relay's start-up lines. */
    private static int[] ports(Process relay) throws IOException {
        BufferedReader lines = relay.errorReader();
        int[] ports = new int[2];
        for (String line = lines.readLine(); line != null; line = lines.readLine()) {
            if (line.contains("operators at ")) {
                ports[0] = Integer.parseInt(line.substring(line.lastIndexOf(':') + 1));
            } else if (line.contains("serving on ")) {
                ports[1] = Integer.parseInt(line.substring(line.lastIndexOf(':') + 1));
                return ports;
            }
        }
        throw new IOException("the relay did not start");
    }

    private static String message(String id, String type) {
        return "POST /api HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + id + "\r\nX-Call-Class: " + type
                + "\r\nX-Caller: acme\r\nX-Budget-Ms: 9000\r\nIdempotency-Key: " + id
                + "\r\nX-Consignee: dest=1\r\nContent-Length: 1\r\n\r\nx";
    }

    /** Sends a request and waits for the beginning of the answer. */
    private static void exchange(Socket socket, String request) throws IOException {
        socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        socket.getInputStream().read(new byte[4096]);
    }

    /** Answers as discovery, as the platform that receives notices, and as the endpoint of all routes. */
    private static void answer(HttpExchange exchange, String address, AtomicInteger callCount) throws IOException {
        exchange.getRequestBody().readAllBytes();
        String path = exchange.getRequestURI().toString();
        String body = "";
        int status = 200;
        if (path.equals("/api/targets")) {
            body = "{\"rev\":1,\"all\":true,\"targets\":[" + target("a", address) + "," + target("b", address) + "]}";
        } else if (path.startsWith("/api/targets")) {
            pause();
            body = "{\"rev\":2,\"all\":false,\"targets\":[" + target("b", address) + "]}";
        } else if (path.equals("/status")) {
            status = 204;
        } else {
            int call = callCount.getAndIncrement();
            status = call < ANSWERS.length ? ANSWERS[call] : status;
            exchange.getResponseHeaders().set("X-Come-Back-Ms", "100");
        }
        byte[] bytes = body.getBytes(StandardCharsets.US_ASCII);
        exchange.sendResponseHeaders(status, status == 204 || bytes.length == 0 ? -1 : bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private static String target(String uid, String address) {
        return "{\"uid\":\"" + uid + "\",\"endpoint\":\"" + address
                + "\",\"az\":\"a\",\"model\":\"one\",\"pod_group\":1,"
                + "\"state\":\"in_service\",\"capacity_hint\":1.0,\"boot_ms\":0}";
    }

    /** Delays the answer to a watch, as discovery does while nothing changes. */
    private static void pause() {
        try {
            Thread.sleep(500);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
