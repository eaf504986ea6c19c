package drumdeal.relay;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.net.UnixDomainSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.function.UnaryOperator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The relay as a process of its own, with stub peers for discovery and the hosts. Its state folder is kept between
 * starts: a test can kill and restart it.
 */
final class RelayProcess implements AutoCloseable {
    private static final Pattern SERVING_LINE = Pattern.compile("serving on \\S*?([0-9.]+):(\\d+)");
    private static final Pattern ADMIN_LINE = Pattern.compile("operators at \\S*?([0-9.]+):(\\d+)");
    /** Bounds each {@link #await}, each read from a socket and the wait for the end of the process. */
    private static final int TIMEOUT_SECONDS = 30;

    /**
     * The response of a relay.
     *
     * @param status the status code, or 0 if the connection ended before a complete head had arrived
     * @param head the status line and the headers as received
     */
    record Response(int status, String head) { }

    private final Path folder;
    private StubPeer discovery;
    private final List<String> targets = new ArrayList<>();
    private double diskLimitMb = 3;
    private String roundPeriodSeconds = "0.005";
    private int descriptorLimit = 1024;
    private Process process;
    private Path logFile;
    private int startCount;
    private String listenAddress = "127.0.0.1:0";
    private String logNamePrefix = "log";
    private UnaryOperator<String> configurationEdit = UnaryOperator.identity();
    private List<String> jvmOptions = List.of();

    RelayProcess(Path folder, StubPeer discovery) {
        this.folder = folder;
        this.discovery = discovery;
    }

    /** An entry of discovery's list. A call to kind {@code one} carries one message, to {@code many} up to four. */
    static String targetJson(String uid, int destination, String kind, String state, String address) {
        return "{\"uid\":\"" + uid + "\",\"endpoint\":\"" + address + "\",\"az\":\"a\",\"model\":\"" + kind
                + "\",\"pod_group\":" + destination + ",\"state\":\"" + state
                + "\",\"capacity_hint\":1.0,\"boot_ms\":0}";
    }

    /**
     * A response of discovery.
     *
     * @param rev the version of the list
     * @param all true for the full list, false if the targets are changes to the previous one
     */
    static String targetListJson(int rev, boolean all, String... targets) {
        return "{\"rev\":" + rev + ",\"all\":" + all + ",\"targets\":[" + String.join(",", targets) + "]}";
    }

    /** Discovery that acknowledges every notice and leaves requests for the list unanswered. */
    static StubPeer discoveryWithoutChanges() throws IOException {
        return new StubPeer(request -> request.requestLine().startsWith("POST /status")
                ? StubPeer.respondWithStatus(204) : StubPeer.NO_RESPONSE);
    }

    /** Adds a target to the list in the configuration of the next start. */
    RelayProcess addTarget(String uid, int destination, String kind, StubPeer host) {
        targets.add(targetJson(uid, destination, kind, "in_service", host.address()));
        return this;
    }

    /**
     * Another process of the same relay, not started yet, with the same folder and listen address: the platform starts
     * it beside this one during an upgrade.
     */
    RelayProcess createSuccessor() {
        Matcher address = SERVING_LINE.matcher(readLog());
        if (!address.find()) {
            throw new IllegalStateException("the relay does not serve clients, its log: " + readLog());
        }
        RelayProcess successor = new RelayProcess(folder, discovery);
        successor.targets.addAll(targets);
        successor.listenAddress = address.group(1) + ":" + address.group(2);
        successor.logNamePrefix = logNamePrefix + "-next";
        return successor;
    }

    /** Sets the disk limit of the configuration, in MB. */
    RelayProcess limitDisk(double mb) {
        diskLimitMb = mb;
        return this;
    }

    /** Sets for how long the relay collects events before each round of decisions. */
    RelayProcess roundPeriodSeconds(String seconds) {
        roundPeriodSeconds = seconds;
        return this;
    }

    /** Sets an edit of the configuration text that applies from the next start or reload on. */
    RelayProcess editConfiguration(UnaryOperator<String> edit) {
        configurationEdit = edit;
        return this;
    }

    /** Sets the system's limit on open file descriptors of the relay, independent of its configuration. */
    RelayProcess descriptorLimit(int limit) {
        descriptorLimit = limit;
        return this;
    }

    /** Sets further options of the relay's JVM, such as those of the deploy file that limit its memory. */
    RelayProcess jvmOptions(String... options) {
        jvmOptions = List.of(options);
        return this;
    }

    /** The number of file descriptors that the relay has open. */
    int countOpenDescriptors() {
        return Path.of("/proc/" + process.pid() + "/fd").toFile().list().length;
    }

    Path stateFolder() {
        return folder.resolve("state");
    }

    /** The address of the handover's socket in a process folder, whose path must be short. */
    static UnixDomainSocketAddress handoverAddress(Path processFolder) {
        return UnixDomainSocketAddress.of(HandoverSocketAddress.pathIn(processFolder));
    }

    private Path configurationFile() {
        return folder.resolve("config.json");
    }

    private void writeConfiguration() throws IOException {
        Files.writeString(configurationFile(), configurationEdit.apply("{\"name\":\"n0\",\"listen\":\"" + listenAddress
                + "\",\"discovery\":\"" + discovery.address()
                + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,"
                + "\"memory_mb\":192,\"sockets\":256,\"disk_mb\":" + diskLimitMb + "},\"known\":"
                + targetListJson(1, true, targets.toArray(String[]::new))
                + ",\"settings\":" + SETTINGS_TEMPLATE.replace("PERIOD", roundPeriodSeconds) + "}"));
    }

    /** Writes a configuration with another discovery and makes the relay reload it (SIGHUP). */
    void moveDiscovery(StubPeer newDiscovery) throws IOException {
        discovery = newDiscovery;
        writeConfiguration();
        sendHangUpSignal();
    }

    /** Writes an edited configuration and makes the relay reload it (SIGHUP). */
    void reconfigure(UnaryOperator<String> edit) throws IOException {
        editConfiguration(edit).writeConfiguration();
        sendHangUpSignal();
    }

    private void sendHangUpSignal() throws IOException {
        sendSignal("HUP");
    }

    /** Stops the process with SIGSTOP until {@link #resume()}, like a machine that has no CPU time for it. */
    void pause() throws IOException {
        sendSignal("STOP");
        Path statFile = Path.of("/proc/" + process.pid() + "/stat");
        await(() -> read(statFile).contains(") T "));
    }

    void resume() throws IOException {
        sendSignal("CONT");
    }

    private void sendSignal(String signal) throws IOException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start();
    }

    /** Starts the process and waits until it serves clients. */
    RelayProcess start() throws IOException {
        startWithoutWaiting();
        await(() -> SERVING_LINE.matcher(readLog()).find());
        return this;
    }

    /** Starts the process without waiting until it serves. */
    void startWithoutWaiting() throws IOException {
        writeConfiguration();
        logFile = folder.resolve(logNamePrefix + startCount++);
        List<String> command = new ArrayList<>(List.of("sh", "-c",
                "ulimit -n " + descriptorLimit + " && exec \"$0\" \"$@\"",
                Path.of(System.getProperty("java.home"), "bin/java").toString(),
                "-XX:TieredStopAtLevel=1", "-Xmx24m", "-XX:+ExitOnOutOfMemoryError"));
        command.addAll(jvmOptions);
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), Main.class.getName(), "serve"));
        ProcessBuilder builder =
                new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(logFile.toFile());
        builder.environment().put("EDGE_CONFIG", configurationFile().toString());
        builder.environment().put("EDGE_STATE", stateFolder().toString());
        builder.environment().put("EDGE_ADMIN_ADDR", "127.0.0.1:0");
        process = builder.start();
    }

    private static final String SETTINGS_TEMPLATE = """
            {"me":0,"fleet-size":1,"zone":"a","zones":["a"],"kinds":["one","many"],"period-s":PERIOD,
             "accounts":[{"name":"acme","quota-rps":5}],
             "classes":[
              {"name":"safe","repeat":"repeatable","goal-time-s":2,"deadline-s":20,"worth":1},
              {"name":"keyed","repeat":"by_key","key-scope":"zone","dedup-window-s":5,"goal-time-s":2,
               "deadline-s":20,"worth":1},
              {"name":"unsafe","repeat":"once","goal-time-s":2,"deadline-s":20,"worth":1}],
             "family-info":{"call-slots":8,"batch-by-kind":[1,4],"routes-apart":[false,false]},
             "limits":{"max-open":50,"send-cap":12,"may-cancel":true,"probes":true,"second-copies":true,
              "connect-timeout-s":1.5,"conn-idle-s":10},
             "contract":{"drain-grace-s":0.5,"fall-s":2.0,"fall-multiple":2.5,"cold-from":0.2,"warm-up-s":9},
             "stats":{"how":"inline","fields":["x0","x1"]},"fees":{}}""";

    /** The log of the latest start, so far. */
    String readLog() {
        return read(logFile);
    }

    private static String read(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            return "";
        }
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Ends the process with SIGKILL and waits until it is gone. */
    void kill() {
        process.destroyForcibly();
        process.onExit().join();
    }

    /** Requests a graceful stop with SIGTERM; does not wait for it. */
    void terminate() {
        process.destroy();
    }

    /** Waits for the process to end; false if it has not ended within 30 s. */
    boolean waitForExit() throws InterruptedException {
        return process.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /** Opens a client connection. */
    Socket connect() throws IOException {
        return connect(SERVING_LINE);
    }

    /** Opens a connection to the admin server. */
    Socket connectToAdmin() throws IOException {
        return connect(ADMIN_LINE);
    }

    private Socket connect(Pattern addressLine) throws IOException {
        Matcher address = addressLine.matcher(readLog());
        if (!address.find()) {
            throw new IOException("the relay does not serve clients, its log: " + readLog());
        }
        Socket socket = new Socket(address.group(1), Integer.parseInt(address.group(2)));
        socket.setSoTimeout(TIMEOUT_SECONDS * 1000);
        return socket;
    }

    /** Submits a message with a time budget of 20 s and returns the status code of the response. */
    int submit(String id, String requestClass, int destination) throws IOException {
        return submit(id, requestClass, destination, 20_000, "hello");
    }

    int submit(String id, String requestClass, int destination, int budgetMillis, String body) throws IOException {
        return exchange(messageRequest(id, requestClass, destination, budgetMillis, body)).status();
    }

    /**
     * Submits a message until it is accepted, each time with another id, as a relay short of CPU may reject it. Returns
     * the id that was accepted.
     */
    String submitUntilAccepted(String idPrefix, String requestClass, int destination) {
        AtomicInteger tries = new AtomicInteger();
        await(() -> {
            try {
                return submit(idPrefix + "-" + tries.incrementAndGet(), requestClass, destination) == 202;
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        });
        return idPrefix + "-" + tries.get();
    }

    /** The request that submits a message; its idempotency key is {@code key-} and the id. */
    static String messageRequest(String id, String requestClass, int destination, int budgetMillis, String body) {
        return "POST /api HTTP/1.1\r\nHost: app.svc\r\nX-Call-Id: " + id + "\r\nX-Call-Class: " + requestClass
                + "\r\nX-Caller: acme\r\nX-Budget-Ms: " + budgetMillis + "\r\nIdempotency-Key: key-" + id
                + "\r\nContent-Length: " + body.length() + "\r\nX-Consignee: dest=" + destination
                + "\r\n\r\n" + body;
    }

    /** Sends a request on a connection of its own. */
    Response exchange(String request) throws IOException {
        try (Socket socket = connect()) {
            return exchange(socket, request);
        }
    }

    /** Sends a request to the admin server and returns the status code of the response. */
    int sendAdminRequest(String method, String path) throws IOException {
        try (Socket socket = connectToAdmin()) {
            return exchange(socket, method + " " + path + " HTTP/1.1\r\nHost: x\r\n\r\n").status();
        }
    }

    /** The body of the response to {@code GET /stats}. */
    String fetchStats() {
        try (Socket socket = connectToAdmin()) {
            exchange(socket, "GET /stats HTTP/1.1\r\nHost: x\r\n\r\n");
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Sends a request and reads the head of the response; its body, if any, stays unread. */
    static Response exchange(Socket socket, String request) throws IOException {
        socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
        StringBuilder head = new StringBuilder();
        for (int next = socket.getInputStream().read(); next >= 0; next = socket.getInputStream().read()) {
            head.append((char) next);
            if (head.toString().endsWith("\r\n\r\n")) {
                return new Response(Integer.parseInt(head.substring(9, 12)), head.toString());
            }
        }
        return new Response(0, head.toString());
    }

    /** The messages that are unfinished in the relay's journal, read from a copy as the relay may be running. */
    List<Message> readOpenMessages() {
        return readOpenMessages(stateFolder());
    }

    /** The messages that are unfinished in the journal of one process folder. */
    List<Message> readOpenMessages(Path processFolder) {
        try (var files = Files.list(processFolder)) {
            Path copy = Files.createTempDirectory(folder, "copy");
            for (Path file : files.filter(f -> f.getFileName().toString().startsWith("journal-")).toList()) {
                Files.copy(file, copy.resolve(file.getFileName()));
            }
            return Journal.read(copy, 3 << 20).unfinishedMessages();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns whether discovery has received a notice that reports a message as {@code bounced} or {@code dead}. */
    boolean hasSentNotice(String id, String result) {
        return discovery.requests.stream().anyMatch(r -> r.requestLine().startsWith("POST /status")
                && r.body().contains("{\"ref\":\"" + id + "\",\"result\":\"" + result + "\""));
    }

    /** Polls until the condition holds; fails the test after 30 s. */
    static void await(BooleanSupplier condition) {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadline) {
                throw new AssertionError("condition not met in time");
            }
            try {
                Thread.sleep(5);
            } catch (InterruptedException e) {
                throw new AssertionError(e);
            }
        }
    }

    @Override
    public void close() {
        if (process != null) {
            kill();
        }
    }
}
