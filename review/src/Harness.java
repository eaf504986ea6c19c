import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * What the cases share: relay processes started with the command of the deploy file, and stand-ins for clients,
 * endpoints, discovery and the platform. All sockets are on 127.0.0.1 with ports that the system chooses. Everything
 * that happens is appended to the record of the case, whose path run.sh gives.
 */
final class Harness implements AutoCloseable {
    // Exit codes; run.sh translates them, as a JVM that fails for another reason ends with 1.
    static final int HELD = 0;
    static final int BROKEN = 10;
    static final int COULD_NOT_RUN = 20;
    /** A client waits this long for the answer to a message. */
    static final int CLIENT_WAIT_MILLIS = 400;

    /** False if TROUBLE=0: the case then leaves its disruption out. */
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final long startNanos = System.nanoTime();
    private final PrintWriter record;
    final Path temporary;
    private final List<AutoCloseable> resources = new CopyOnWriteArrayList<>();

    Harness(String recordFile) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(Path.of(recordFile), StandardOpenOption.CREATE,
                StandardOpenOption.APPEND), true);
        temporary = Files.createTempDirectory("review");
        record("disruption " + (trouble ? "on" : "off (TROUBLE=0)"));
    }

    /** Milliseconds since the start of the case. */
    long millis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void record(String line) {
        record.println(String.format(Locale.ROOT, "%9.3f s  ", (System.nanoTime() - startNanos) / 1e9) + line);
    }

    /** Ends all processes and stand-ins that the case started. */
    @Override
    public void close() {
        for (AutoCloseable resource : resources) {
            try {
                resource.close();
            } catch (Exception e) {
                record("closing failed: " + e);
            }
        }
        try (var files = Files.walk(temporary)) {
            files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
        } catch (IOException e) {
            record("the temporary folder stays: " + e);
        }
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static boolean await(long timeoutMillis, BooleanSupplier condition) {
        return await(timeoutMillis, 5, condition);
    }

    /** Polls until the condition holds; false if it does not within the time. */
    static boolean await(long timeoutMillis, long intervalMillis, BooleanSupplier condition) {
        long end = System.nanoTime() + timeoutMillis * 1_000_000;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                return false;
            }
            sleep(intervalMillis);
        }
        return true;
    }

    static Thread startThread(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    // ---------------------------------------------------------------------------------------------- HTTP requests

    /** A request that a stand-in has received. */
    static final class Request {
        String line = "";
        final Map<String, String> headers = new TreeMap<>();
        byte[] body = new byte[0];
        /** Time of the first and of the last byte, in milliseconds since the start of the case. */
        long firstByteAt;
        long lastByteAt;

        String header(String name) {
            return headers.getOrDefault(name, "");
        }
    }

    /** Reads a request; null at the end of the connection. */
    private Request readRequest(InputStream in) throws IOException {
        Request request = new Request();
        int first = in.read();
        if (first < 0) {
            return null;
        }
        request.firstByteAt = millis();
        request.line = (char) first + readLine(in);
        for (String header = readLine(in); !header.isEmpty(); header = readLine(in)) {
            int colon = header.indexOf(':');
            request.headers.put(header.substring(0, colon).toLowerCase(Locale.ROOT), header.substring(colon + 1).strip());
        }
        int length = Integer.parseInt(request.headers.getOrDefault("content-length", "0"));
        request.body = in.readNBytes(length);
        if (request.body.length < length) {
            return null;
        }
        request.lastByteAt = millis();
        return request;
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new IOException("the connection ended within a request");
            }
            bytes.write(next);
        }
        return bytes.toString(StandardCharsets.ISO_8859_1).strip();
    }

    static String answer(int status, String... headers) {
        StringBuilder text = new StringBuilder("HTTP/1.1 " + status + " X\r\n");
        for (String header : headers) {
            text.append(header).append("\r\n");
        }
        return text + "Content-Length: 0\r\n\r\n";
    }

    /** A server that answers each request with the text that its responder returns. */
    class Server implements AutoCloseable {
        /** Returned by a responder that does not answer; the connection stays open. */
        static final String SILENT = "silent";
        /** Returned by a responder that closes the connection without an answer. */
        static final String CLOSE = "close";

        final String name;
        private final int port;
        private volatile ServerSocket serverSocket;
        final List<Socket> connections = new CopyOnWriteArrayList<>();
        volatile int count;
        volatile Function<Request, String> responder;

        Server(String name, Function<Request, String> responder) throws IOException {
            this(name, responder, 0);
        }

        /** A server at a given port; 0 lets the system choose. */
        Server(String name, Function<Request, String> responder, int port) throws IOException {
            this.name = name;
            this.responder = responder;
            serverSocket = new ServerSocket(port, 512, InetAddress.getByName("127.0.0.1"));
            this.port = serverSocket.getLocalPort();
            resources.add(this);
            startThread(() -> acceptAll(serverSocket));
        }

        /** The server's process ends: its connections are reset or closed and new ones are refused. */
        void stop() throws IOException {
            record("stopped " + name);
            close();
        }

        /** The server is there again at its old address. */
        void resume() throws IOException {
            ServerSocket next = new ServerSocket();
            next.setReuseAddress(true);
            next.bind(new InetSocketAddress("127.0.0.1", port), 512);
            serverSocket = next;
            startThread(() -> acceptAll(next));
            record("resumed " + name);
        }

        String address() {
            return "127.0.0.1:" + port;
        }

        private void acceptAll(ServerSocket listener) {
            try {
                while (true) {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    connections.add(socket);
                    startThread(() -> serve(socket));
                }
            } catch (IOException e) {
                return; // closed at the end of the case
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
                for (Request request = readRequest(in); request != null; request = readRequest(in)) {
                    count++;
                    String text = responder.apply(request);
                    if (text.equals(CLOSE)) {
                        return;
                    }
                    if (!text.equals(SILENT)) {
                        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
                    }
                }
            } catch (IOException e) {
                return; // the relay has closed the connection
            } finally {
                connections.remove(socket);
            }
        }

        @Override
        public void close() throws IOException {
            serverSocket.close();
            for (Socket socket : connections) {
                socket.close();
            }
        }
    }

    // ---------------------------------------------------------------------------------- endpoints and the platform

    /** A call that an endpoint has received whole. */
    record Call(String endpoint, String id, String key, String body, long at) { }

    /** All calls that arrived whole at any endpoint, in order. */
    final List<Call> calls = new CopyOnWriteArrayList<>();

    List<Call> callsFor(String id) {
        return calls.stream().filter(call -> call.id.equals(id)).toList();
    }

    /** Decides what an endpoint answers; {@code earlier} is the number of earlier calls with that id anywhere. */
    interface Behaviour {
        String answer(Call call, int earlier);
    }

    /** An endpoint that records each call and answers as the behaviour says. */
    Server endpoint(String name, Behaviour behaviour) throws IOException {
        return new Server(name, request -> {
            Call call = new Call(name, request.header("x-call-id"), request.header("idempotency-key"),
                    new String(request.body, StandardCharsets.ISO_8859_1), request.lastByteAt);
            int earlier = callsFor(call.id).size();
            calls.add(call);
            String text = behaviour.answer(call, earlier);
            record("call    " + name + " <- " + call.id + " (number " + (earlier + 1) + "), answered "
                    + text.split("\r\n")[0]);
            return text;
        });
    }

    /** The first notice for each call id. */
    final Map<String, String> notices = new ConcurrentHashMap<>();
    /** When the first notice for a call id arrived, in milliseconds since the start of the case. */
    final Map<String, Long> noticeTimes = new ConcurrentHashMap<>();
    private static final Pattern ADMIN_LINE = Pattern.compile("operators at \\S*:(\\d+)");
    private static final Pattern NOTICE = Pattern.compile("\"ref\":\"([^\"]*)\",\"result\":\"([a-z]*)\"");

    /** Discovery and the platform at one address. The list can be changed; watches then end with the changes. */
    final class Platform {
        private final List<String> entries = new ArrayList<>();
        private int rev = 41;
        final Server server;

        Platform() throws IOException {
            server = new Server("platform", this::respond);
        }

        synchronized void add(String entry) {
            entries.add(entry);
        }

        synchronized String list() {
            return "{\"rev\":" + rev + ",\"all\":true,\"targets\":[" + String.join(",", entries) + "]}";
        }

        private String respond(Request request) {
            if (request.line.startsWith("POST /status")) {
                Matcher notice = NOTICE.matcher(new String(request.body, StandardCharsets.UTF_8));
                while (notice.find()) {
                    record("notice  " + notice.group(1) + " " + notice.group(2));
                    noticeTimes.putIfAbsent(notice.group(1), millis());
                    notices.putIfAbsent(notice.group(1), notice.group(2));
                }
                return "HTTP/1.1 204 X\r\n\r\n";
            }
            Matcher watch = Pattern.compile("after=(\\d+)&wait_ms=(\\d+)").matcher(request.line);
            if (watch.find()) {
                sleep(Long.parseLong(watch.group(2)));
                return json("{\"rev\":" + rev + ",\"all\":false,\"targets\":[]}");
            }
            return json(list());
        }

        private String json(String body) {
            return "HTTP/1.1 200 X\r\nContent-Type: application/json\r\nContent-Length: " + body.length() + "\r\n\r\n"
                    + body;
        }
    }

    static String target(String uid, int destination, String kind, Server endpoint) {
        return "{\"uid\":\"" + uid + "\",\"endpoint\":\"" + endpoint.address() + "\",\"az\":\"south\",\"model\":\""
                + kind + "\",\"pod_group\":" + destination
                + ",\"state\":\"in_service\",\"capacity_hint\":1.0,\"boot_ms\":0}";
    }

    // ------------------------------------------------------------------------------------------------------ relays

    /** One class of messages in the settings. */
    static String messageClass(String name, String repeat, double window, double goal, double deadline, double worth) {
        return "{\"name\":\"" + name + "\",\"repeat\":\"" + repeat + "\",\"key-scope\":\"all\",\"dedup-window-s\":"
                + window + ",\"goal-time-s\":" + goal + ",\"deadline-s\":" + deadline
                + ",\"late-worth\":0.3,\"stream\":false,\"worth\":" + worth + "}";
    }

    static final String ALERT = messageClass("alert", "by_key", 10, 4, 16, 1);
    static final String POSITION = messageClass("position", "repeatable", 5, 3, 24, 3);
    static final String PAYMENT = messageClass("payment", "once", 5, 2, 28, 4);

    /** Settings of a small deployment: two relays, a few partner systems. */
    static String settings(String... classes) {
        return settings(0, 2, classes);
    }

    /** The same for one of several relays. */
    static String settings(int me, int fleetSize, String... classes) {
        return "{\"me\":" + me + ",\"fleet-size\":" + fleetSize + ",\"zone\":\"south\",\"zones\":[\"north\",\"south\"],"
                + "\"kinds\":[\"plain\"],\"period-s\":0.005,\"family\":\"deliver\",\"registry-mode\":\"subscribe\","
                + "\"accounts\":[{\"name\":\"shippers\",\"portion\":0.6,\"quota-rps\":30.0},"
                + "{\"name\":\"traders\",\"portion\":0.4,\"quota-rps\":20.0}],"
                + "\"callers\":{\"marks-retry\":false},\"classes\":[" + String.join(",", classes) + "],"
                + "\"contract\":{\"answer-slack-s\":0.02,\"cold-from\":0.18,\"drain-grace-s\":1.0,"
                + "\"fall-multiple\":2.0,\"fall-s\":3.0,\"must-ask-in-s\":10.0,\"warm-up-s\":12.0},"
                + "\"family-info\":{\"batch-by-kind\":[1],\"call-slots\":13,\"fades\":\"even\","
                + "\"routes-apart\":[false],\"toll\":[0.0,0.0],\"turned-away-price\":0.03},"
                + "\"fees\":{\"cross-zone\":0.01,\"handshake\":0.02,\"late-fail\":0.02,\"waste\":0.03},"
                + "\"limits\":{\"conn-idle-s\":10.0,\"connect-timeout-s\":1.5,\"max-open\":139,"
                + "\"max-retry-after-s\":2.0,\"may-cancel\":true,\"peers\":false,\"probes\":false,"
                + "\"retry-after\":true,\"second-copies\":true,\"send-cap\":12},"
                + "\"over-share-worth\":0.1,\"stats\":{\"fields\":[],\"how\":\"off\"},\"weight-source\":\"off\","
                + "\"worth-by\":\"request\"}";
    }

    /** The value of a key of the deploy file. */
    private static String deployCommand(String key) throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/balancer.toml"))) {
            Matcher matcher = Pattern.compile(key + " = \"(.*)\"").matcher(line);
            if (matcher.matches()) {
                return matcher.group(1).replace("\\\"", "\"");
            }
        }
        throw new IOException("the deploy file has no " + key);
    }

    /** One relay. Its folder that lasts is kept from one start to the next. */
    final class Relay implements AutoCloseable {
        final String name;
        final Platform platform;
        final Path state;
        final Path config;
        final int sockets;
        volatile String settings;
        volatile int port;
        volatile Process process;
        /** All processes started, for the end of the case. */
        private final List<Process> processes = new CopyOnWriteArrayList<>();
        /** Where operators connect to the process started last; 0 until it is known. */
        volatile int adminPort;
        private int starts;

        Relay(String name, Platform platform, String settings, int sockets) throws IOException {
            this.name = name;
            this.platform = platform;
            this.settings = settings;
            this.sockets = sockets;
            state = Files.createDirectories(temporary.resolve(name + "-state"));
            config = temporary.resolve(name + ".json");
            try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
                port = probe.getLocalPort();
            }
            resources.add(0, this);
        }

        String address() {
            return "127.0.0.1:" + port;
        }

        void writeConfig() throws IOException {
            Files.writeString(config, "{\"name\":\"" + name + "\",\"listen\":\"" + address() + "\",\"discovery\":\""
                    + platform.server.address() + "\",\"seed\":\"8c1f30d27a5be96" + starts % 10 + "\","
                    + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":" + sockets + ",\"disk_mb\":3},"
                    + "\"known\":" + platform.list() + ",\"settings\":" + settings + "}");
        }

        Process launch() throws IOException {
            writeConfig();
            starts++;
            adminPort = 0;
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", deployCommand("run"));
            Map<String, String> environment = builder.environment();
            environment.put("EDGE_NAME", name);
            environment.put("EDGE_LISTEN", address());
            environment.put("EDGE_DISCOVERY", platform.server.address());
            environment.put("EDGE_STATE", state.toString());
            environment.put("EDGE_CONFIG", config.toString());
            environment.put("EDGE_ADMIN_ADDR", "127.0.0.1:0");
            environment.put("TMPDIR", Files.createDirectories(temporary.resolve(name + "-tmp")).toString());
            builder.redirectErrorStream(true);
            Process started = builder.start();
            processes.add(started);
            String label = name + "." + starts;
            startThread(() -> {
                try (var lines = started.inputReader()) {
                    for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                        Matcher admin = ADMIN_LINE.matcher(line);
                        if (admin.find() && label.equals(name + "." + starts)) {
                            adminPort = Integer.parseInt(admin.group(1));
                        }
                        record("log     " + label + ": " + line);
                    }
                } catch (IOException e) {
                    record("log     " + label + " ended: " + e);
                }
            });
            record("started " + label);
            return started;
        }

        /** Starts the relay and waits until it says that it is ready. */
        void start() throws IOException {
            process = launch();
            if (!await(30_000, this::isReady)) {
                throw new IOException("relay " + name + " did not get ready");
            }
            record("ready   " + name);
        }

        /** True if the process started last answers operators that it takes clients. */
        boolean saysYes() {
            return adminPort != 0 && status(adminPort, "/healthcheck") == 200;
        }

        boolean isReady() {
            return status(port, "/-/ready") == 200;
        }

        private int status(int atPort, String path) {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress("127.0.0.1", atPort), 500);
                socket.setSoTimeout(1000);
                socket.getOutputStream().write(("GET " + path + " HTTP/1.1\r\nHost: app.svc\r\n\r\n").getBytes());
                return readStatus(socket.getInputStream());
            } catch (IOException e) {
                return NO_ANSWER;
            }
        }

        void signal(String signal) throws IOException {
            record("signal  " + name + " " + signal);
            try {
                new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
        }

        /**
         * A planned restart: SIGTERM, SIGKILL 3.7 s later if the process is still there, and a new process 0.6 s
         * after the end of the old one.
         */
        void restart() throws IOException, InterruptedException {
            signal("TERM");
            if (!process.waitFor(3700, TimeUnit.MILLISECONDS)) {
                kill();
            }
            record("ended   " + name);
            sleep(600);
            start();
        }

        /** Sends SIGKILL and waits for the end of the process. */
        void kill() throws IOException {
            signal("KILL");
            process.onExit().join();
        }

        @Override
        public void close() throws Exception {
            for (Process started : processes) {
                started.destroyForcibly();
                started.waitFor(5, TimeUnit.SECONDS);
            }
        }
    }

    // ----------------------------------------------------------------------------------------------------- clients

    /** No answer, and the connection has ended. */
    static final int ENDED = 0;
    /** No answer within the time that a client waits. */
    static final int NO_ANSWER = -1;
    /** The connection could not be made. */
    static final int NOT_CONNECTED = -2;

    static String message(String id, String type, String key, int destination, int budgetMillis, String body) {
        return "POST /api HTTP/1.1\r\nHost: app.svc\r\nX-Call-Id: " + id + "\r\nX-Call-Class: " + type
                + "\r\nX-Caller: shippers\r\nX-Budget-Ms: " + budgetMillis + "\r\n"
                + (key == null ? "" : "Idempotency-Key: " + key + "\r\n") + "Content-Length: " + body.length()
                + "\r\nX-Consignee: dest=" + destination + "\r\n\r\n" + body;
    }

    /** Reads the head of an answer and returns its status; ENDED if the connection ends before the head does. */
    static int readStatus(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                return ENDED;
            }
            head.append((char) next);
        }
        return Integer.parseInt(head.substring(9, 12));
    }

    /** Hands in a message on a connection of its own and returns the status, or one of the values above. */
    int submit(Relay relay, String id, String type, String key, int destination, int budgetMillis, String body) {
        int status;
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            try {
                socket.connect(new InetSocketAddress("127.0.0.1", relay.port), CLIENT_WAIT_MILLIS);
            } catch (IOException e) {
                record("client  " + id + ": not connected, " + e.getMessage());
                return NOT_CONNECTED;
            }
            socket.setSoTimeout(CLIENT_WAIT_MILLIS);
            socket.getOutputStream().write(
                    message(id, type, key, destination, budgetMillis, body).getBytes(StandardCharsets.ISO_8859_1));
            status = readStatus(socket.getInputStream());
        } catch (SocketTimeoutException e) {
            status = NO_ANSWER;
        } catch (IOException e) {
            status = ENDED;
        }
        record("client  " + id + " (" + type + ") -> " + (status > 0 ? "answered " + status
                : status == ENDED ? "CONNECTION ENDED WITHOUT AN ANSWER" : "no answer within 400 ms"));
        return status;
    }

    /** Runs a case, and ends the process with its result. */
    interface Case {
        int run(Harness harness) throws Exception;
    }

    static void main(String recordFile, Case body) throws IOException {
        int result;
        Harness harness = new Harness(recordFile);
        Runtime.getRuntime().addShutdownHook(new Thread(harness::close));
        try {
            result = body.run(harness);
        } catch (Throwable e) {
            harness.record("could not run: " + e);
            result = COULD_NOT_RUN;
        }
        String text = result == HELD ? "the rule held" : result == BROKEN ? "the rule was broken" : "the case could not run";
        harness.record("result: " + text);
        System.out.println(recordFile + ": " + text);
        System.exit(result);
    }
}
