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
 * Has a relay do once what it will do in service, so that the archive which its JVM writes at the end holds the classes
 * for it: takes over from another process, delivers a few messages, answers operators, takes settings anew. It measures
 * nothing. Arguments: the relay's command.
 */
final class Training {
    private static final int MESSAGES = 12;
    private static final Path FOLDER = Path.of("target/training");
    /** What the endpoint answers, one call after another; all else is served. */
    private static final int[] ANSWERS = {200, 200, 503, 500, 429};

    private Training() { }

    public static void main(String[] command) throws Exception {
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        HttpServer peer = HttpServer.create(any, 0);
        peer.setExecutor(Executors.newCachedThreadPool(work -> {
            Thread thread = new Thread(work);
            thread.setDaemon(true);
            return thread;
        }));
        String address = "127.0.0.1:" + peer.getAddress().getPort();
        AtomicInteger calls = new AtomicInteger();
        peer.createContext("/", exchange -> answer(exchange, address, calls));
        peer.start();
        Files.createDirectories(FOLDER);
        Path config = FOLDER.resolve("config.json");
        Files.writeString(config, Files.readString(Path.of("deploy/training.json")).replace("127.0.0.1:9", address));
        List<String> older = new ArrayList<>(List.of(command));
        older.removeIf(part -> part.startsWith("-XX:ArchiveClassesAtExit"));
        Process predecessor = start(older, config);
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
        for (String call : List.of("GET /healthcheck", "GET /stats", "POST /healthcheck/fail", "POST /healthcheck/ok")) {
            try (Socket operator = new Socket(InetAddress.getLoopbackAddress(), ports[0])) {
                exchange(operator, call + " HTTP/1.1\r\nHost: x\r\n\r\n");
            }
        }
        new ProcessBuilder("kill", "-HUP", Long.toString(relay.pid())).start().waitFor();
        // Long enough for the line of figures that comes every two seconds.
        relay.waitFor(2500, TimeUnit.MILLISECONDS);
        relay.destroy();
        relay.waitFor(8, TimeUnit.SECONDS);
        relay.destroyForcibly();
        predecessor.destroyForcibly();
        peer.stop(0);
    }

    private static Process start(List<String> command, Path config) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command).redirectOutput(ProcessBuilder.Redirect.DISCARD);
        builder.environment().put("EDGE_CONFIG", config.toString());
        builder.environment().put("EDGE_STATE", FOLDER.resolve("state").toString());
        builder.environment().put("EDGE_ADMIN_ADDR", "127.0.0.1:0");
        return builder.start();
    }

    /** The ports for operators and for clients, in the order in which the relay tells of them. */
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

    private static void exchange(Socket socket, String request) throws IOException {
        socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        socket.getInputStream().read(new byte[4096]);
    }

    private static void answer(HttpExchange exchange, String address, AtomicInteger calls) throws IOException {
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
            int call = calls.getAndIncrement();
            status = call < ANSWERS.length ? ANSWERS[call] : status;
            exchange.getResponseHeaders().set("X-Come-Back-Ms", "100");
        }
        byte[] bytes = body.getBytes(StandardCharsets.US_ASCII);
        exchange.sendResponseHeaders(status, status == 204 || bytes.length == 0 ? -1 : bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private static String target(String uid, String address) {
        return "{\"uid\":\"" + uid + "\",\"endpoint\":\"" + address + "\",\"az\":\"a\",\"model\":\"one\",\"pod_group\":1,"
                + "\"state\":\"in_service\",\"capacity_hint\":1.0,\"boot_ms\":0}";
    }

    private static void pause() {
        try {
            Thread.sleep(500);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
