import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * What the cases of the second review share: relay processes started with the command of the deploy file, stand-ins for
 * clients, endpoints, discovery and the platform on loopback addresses, and the record of what each of them saw.
 * Times are milliseconds since the rig was made.
 */
final class Rig implements AutoCloseable {
    static final int RULE_HELD = 0;
    static final int RULE_BROKEN = 10;
    static final int NOT_RUN = 20;
    /** A case that has not ended by then is ended, with all that it started. */
    private static final long LONGEST_CASE_MILLIS = 115_000;
    private static final int FIRST_PORT = 12_000;
    private static final int LAST_PORT = 30_000;

    /** The case can't be run here, which says nothing about the rule. */
    static final class CannotRun extends RuntimeException {
        private static final long serialVersionUID = 1L;

        CannotRun(String why) {
            super(why);
        }
    }

    interface Case {
        /** Runs the case; true if the rule held. */
        boolean run(Rig rig, boolean trouble) throws Exception;
    }

    /** Runs a case: the arguments are the root of the repository, the folder of the case and 0 for no disruption. */
    static void main(String[] args, Case body) {
        int code = NOT_RUN;
        boolean trouble = !"0".equals(args[2]);
        try (Rig rig = new Rig(Path.of(args[0]), Path.of(args[1]))) {
            Runtime.getRuntime().addShutdownHook(new Thread(() -> rig.relays.forEach(Relay::kill)));
            Thread watchdog = new Thread(() -> {
                pause(LONGEST_CASE_MILLIS);
                rig.note("the case took too long");
                System.exit(NOT_RUN);
            });
            watchdog.setDaemon(true);
            watchdog.start();
            try {
                code = body.run(rig, trouble) ? RULE_HELD : RULE_BROKEN;
            } catch (CannotRun e) {
                rig.note("the case could not run: " + e.getMessage());
            }
            rig.note(code == RULE_HELD ? "the rule held" : code == RULE_BROKEN ? "THE RULE WAS BROKEN" : "not run");
        } catch (Exception e) {
            code = NOT_RUN;
            e.printStackTrace();
        }
        System.exit(code);
    }

    final Path root;
    final Path temporary;
    private final PrintWriter record;
    private final long startNanos = System.nanoTime();
    private final List<Relay> relays = new CopyOnWriteArrayList<>();
    private int starts;
    final Net net = new Net();

    Rig(Path root, Path caseFolder) throws IOException {
        this.root = root;
        temporary = Files.createTempDirectory("drumdeal-review");
        record = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")), true);
        net.start();
    }

    long now() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    /** Adds a line to record.txt and prints it. */
    void note(String text) {
        String line = String.format(Locale.ROOT, "%7d %s", now(), text);
        synchronized (record) {
            record.println(line);
        }
        System.out.println(line);
    }

    /** Adds a line to record.txt alone. */
    void detail(String text) {
        synchronized (record) {
            record.println(String.format(Locale.ROOT, "%7d %s", now(), text));
        }
    }

    static void pause(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    void pauseUntil(long millis) {
        pause(millis - now());
    }

    /** Waits for a condition; false if it does not hold in time. */
    boolean waitFor(long millis, BooleanSupplier condition) {
        long end = now() + millis;
        while (!condition.getAsBoolean()) {
            if (now() > end) {
                return false;
            }
            pause(5);
        }
        return true;
    }

    @Override
    public void close() throws IOException {
        relays.forEach(Relay::kill);
        net.close();
        for (Relay relay : relays) {
            if (Files.exists(relay.log)) {
                for (String line : Files.readAllLines(relay.log)) {
                    record.println(relay.label + "| " + line);
                }
            }
        }
        record.close();
        try (var files = Files.walk(temporary)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        }
    }

    /** A free port of the loopback address, none of those that the system gives out by itself. */
    static int freePort() throws IOException {
        for (int tries = 0; tries < 200; tries++) {
            int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return socket.getLocalPort();
            } catch (BindException e) {
                // It is in use.
            }
        }
        throw new CannotRun("no free port");
    }

    /** The command named {@code run} in the deploy file. */
    private String runCommand() throws IOException {
        Matcher line = Pattern.compile("(?m)^run = \"(.*)\"$")
                .matcher(Files.readString(root.resolve("deploy/balancer.toml")));
        if (!line.find()) {
            throw new CannotRun("no run command in the deploy file");
        }
        return line.group(1);
    }

    /** Starts a relay process and waits until {@code GET /-/ready} answers 200. */
    Relay start(Setup setup) throws IOException {
        Relay relay = startWithoutWaiting(setup);
        if (!waitFor(30_000, () -> relay.isReady() || !relay.process.isAlive()) || !relay.process.isAlive()) {
            throw new CannotRun("relay " + relay.label + " is not ready within 30 s");
        }
        note(relay.label + " is ready");
        return relay;
    }

    Relay startWithoutWaiting(Setup setup) throws IOException {
        String label = "relay#" + ++starts;
        setup.write(starts);
        Path log = temporary.resolve(label + ".log");
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand()).directory(root.toFile())
                .redirectErrorStream(true).redirectOutput(log.toFile());
        builder.environment().put("EDGE_NAME", "n0");
        builder.environment().put("EDGE_CONFIG", setup.configFile.toString());
        builder.environment().put("EDGE_STATE", setup.state.toString());
        builder.environment().put("EDGE_LISTEN", "127.0.0.1:" + setup.clientPort);
        builder.environment().put("EDGE_DISCOVERY", setup.discovery.address());
        int adminPort = freePort();
        builder.environment().put("EDGE_ADMIN_ADDR", "127.0.0.1:" + adminPort);
        Process process = builder.start();
        Relay relay = new Relay(label, process, log, setup.clientPort, adminPort);
        relays.add(relay);
        note(label + " started");
        return relay;
    }

    /** One process of the relay. */
    final class Relay {
        final String label;
        final Process process;
        final Path log;
        final int clientPort;
        final int adminPort;

        Relay(String label, Process process, Path log, int clientPort, int adminPort) {
            this.label = label;
            this.process = process;
            this.log = log;
            this.clientPort = clientPort;
            this.adminPort = adminPort;
        }

        /** True if this process says that it takes clients. */
        boolean isReady() {
            return get(adminPort, "/healthcheck") == 200 && get(clientPort, "/-/ready") == 200;
        }

        boolean isHealthy() {
            return get(adminPort, "/healthcheck") == 200;
        }

        void signal(String name) throws IOException {
            note(label + " gets SIG" + name);
            try {
                new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
        }

        void kill() {
            if (process.isAlive()) {
                process.destroyForcibly();
                try {
                    process.waitFor();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }

        long residentKilobytes() {
            return memory("VmRSS");
        }

        long memory(String field) {
            try {
                Matcher line = Pattern.compile("(?m)^" + field + ":\\s*(\\d+) kB")
                        .matcher(Files.readString(Path.of("/proc/" + process.pid() + "/status")));
                return line.find() ? Long.parseLong(line.group(1)) : 0;
            } catch (IOException e) {
                return 0;
            }
        }
    }

    static int get(int port, String path) {
        try (Client client = new Client(port)) {
            return client.exchange("GET " + path + " HTTP/1.1\r\nHost: app.svc\r\n\r\n", 1500);
        } catch (IOException e) {
            return 0;
        }
    }

    /** One connection of a client. */
    static final class Client implements Closeable {
        final Socket socket;
        private final InputStream in;

        Client(int port) throws IOException {
            socket = new Socket();
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1000);
            socket.setTcpNoDelay(true);
            in = socket.getInputStream();
        }

        /** Sends a request and returns the status of the answer; 0 if the connection ends without one. */
        int exchange(String request, int timeoutMillis) throws IOException {
            socket.setSoTimeout(timeoutMillis);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            return readStatus();
        }

        int readStatus() throws IOException {
            ByteArrayOutputStream head = new ByteArrayOutputStream();
            String text = "";
            while (!text.endsWith("\r\n\r\n")) {
                int next = in.read();
                if (next < 0) {
                    return 0;
                }
                head.write(next);
                text = next == '\n' ? head.toString(StandardCharsets.ISO_8859_1) : "";
            }
            Matcher length = Pattern.compile("(?i)content-length: *(\\d+)").matcher(head.toString(
                    StandardCharsets.ISO_8859_1));
            if (length.find()) {
                in.readNBytes(Integer.parseInt(length.group(1)));
            }
            closing = head.toString(StandardCharsets.ISO_8859_1).toLowerCase(Locale.ROOT)
                    .contains("connection: close");
            return Integer.parseInt(head.toString(StandardCharsets.ISO_8859_1).substring(9, 12));
        }

        /** True if the last answer said that the connection closes. */
        boolean closing;

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** A message that a client hands in, and what became of it. */
    static final class Sent {
        final String id;
        final String type;
        final int destination;
        final int budgetMillis;
        volatile long sentAt;
        volatile long answeredAt;
        /** Status of the relay's answer; 0 if there was none. */
        volatile int status;

        Sent(String id, String type, int destination, int budgetMillis) {
            this.id = id;
            this.type = type;
            this.destination = destination;
            this.budgetMillis = budgetMillis;
        }

        boolean taken() {
            return status == 202 || status == 200;
        }
    }

    final Map<String, Sent> sent = new ConcurrentHashMap<>();
    private final ArrayDeque<Client> idleClients = new ArrayDeque<>();

    /** Hands in a message as a client does, on a kept connection if there is one. */
    Sent handIn(int port, String id, String type, int destination, int budgetMillis, int bodyBytes) {
        Sent message = new Sent(id, type, destination, budgetMillis);
        sent.put(id, message);
        String request = "POST /api HTTP/1.1\r\nHost: app.svc\r\nX-Call-Id: " + id + "\r\nX-Call-Class: " + type
                + "\r\nX-Caller: aqaba-shippers\r\nX-Budget-Ms: " + budgetMillis + "\r\nIdempotency-Key: key" + id
                + "\r\nContent-Length: " + bodyBytes + "\r\nX-Consignee: dest=" + destination + "\r\n\r\n"
                + "b".repeat(bodyBytes);
        for (int tries = 0; tries < 2 && message.status == 0; tries++) {
            Client client;
            synchronized (idleClients) {
                client = tries == 0 ? idleClients.pollLast() : null;
            }
            try {
                client = client == null ? new Client(port) : client;
                message.sentAt = now();
                message.status = client.exchange(request, 400);
                message.answeredAt = now();
                if (client.closing || message.status == 0) {
                    client.close();
                } else {
                    synchronized (idleClients) {
                        idleClients.addLast(client);
                    }
                }
            } catch (IOException e) {
                closeQuietly(client);
            }
        }
        detail("client: " + type + " " + id + " for destination " + destination + ", answer " + message.status);
        return message;
    }

    /** Closes the kept connections of clients. */
    void dropClients() {
        synchronized (idleClients) {
            idleClients.forEach(Rig::closeQuietly);
            idleClients.clear();
        }
    }

    static void closeQuietly(Closeable closeable) {
        try {
            if (closeable != null) {
                closeable.close();
            }
        } catch (IOException e) {
            // It is closed as far as it can be.
        }
    }

    // ---- servers -------------------------------------------------------------------------------------------------

    /** A request at a stand-in. */
    static final class Request {
        final Connection connection;
        final String line;
        final Map<String, String> headers;
        final String body;

        Request(Connection connection, String line, Map<String, String> headers, String body) {
            this.connection = connection;
            this.line = line;
            this.headers = headers;
            this.body = body;
        }

        String id() {
            return headers.get("x-call-id");
        }
    }

    interface Handler {
        void handle(Request request);
    }

    /** One connection to a stand-in. */
    final class Connection {
        final SocketChannel channel;
        final Handler handler;
        /** The endpoint that has answered on it; null if there is none. */
        private volatile Endpoint owner;
        private ByteBuffer input = ByteBuffer.allocate(4096);

        Connection(SocketChannel channel, Handler handler) {
            this.channel = channel;
            this.handler = handler;
        }

        /** Writes an answer whole; answers are small. */
        boolean answer(int status, String body, String... headers) {
            StringBuilder text = new StringBuilder("HTTP/1.1 " + status + " X\r\n");
            for (String header : headers) {
                text.append(header).append("\r\n");
            }
            return write(text + "Content-Length: " + body.length() + "\r\n\r\n" + body);
        }

        /** False if the connection has ended. */
        boolean write(String text) {
            try {
                ByteBuffer bytes = ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1));
                while (bytes.hasRemaining()) {
                    channel.write(bytes);
                }
                return true;
            } catch (IOException e) {
                closeQuietly(channel);
                return false;
            }
        }

        /** Ends the connection with a reset. */
        void reset() {
            try {
                channel.setOption(java.net.StandardSocketOptions.SO_LINGER, 0);
            } catch (IOException e) {
                // It is closed already.
            }
            closeQuietly(channel);
        }

        private void read() throws IOException {
            if (!input.hasRemaining()) {
                input = ByteBuffer.allocate(input.capacity() * 2).put(input.flip());
            }
            if (channel.read(input) < 0) {
                channel.close();
                return;
            }
            while (channel.isOpen() && parse()) {
                continue;
            }
        }

        private boolean parse() {
            String text = new String(input.array(), 0, input.position(), StandardCharsets.ISO_8859_1);
            int end = text.indexOf("\r\n\r\n");
            if (end < 0) {
                return false;
            }
            String[] lines = text.substring(0, end).split("\r\n");
            Map<String, String> headers = new HashMap<>();
            for (int i = 1; i < lines.length; i++) {
                String[] pair = lines[i].split(":", 2);
                headers.put(pair[0].toLowerCase(Locale.ROOT), pair[1].strip());
            }
            int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
            if (text.length() < end + 4 + length) {
                return false;
            }
            String body = text.substring(end + 4, end + 4 + length);
            byte[] rest = text.substring(end + 4 + length).getBytes(StandardCharsets.ISO_8859_1);
            input.clear();
            input.put(rest);
            handler.handle(new Request(this, lines[0], headers, body));
            return true;
        }
    }

    /** Serves all stand-ins on one thread. */
    final class Net extends Thread {
        private final Selector selector;
        private volatile boolean ended;
        private final ConcurrentLinkedQueue<Runnable> tasks = new ConcurrentLinkedQueue<>();
        private final java.util.PriorityQueue<Timer> timers =
                new java.util.PriorityQueue<>(Comparator.comparingLong(Timer::at));

        Net() throws IOException {
            selector = Selector.open();
            setDaemon(true);
        }

        /** Runs a task on the thread of the stand-ins. */
        void execute(Runnable task) {
            tasks.add(task);
            selector.wakeup();
        }

        /** Runs a task there after a delay. */
        void later(long millis, Runnable task) {
            long at = now() + millis;
            execute(() -> timers.add(new Timer(at, task)));
        }

        /** Resets the connections of an endpoint. */
        void resetAll(Endpoint endpoint) {
            for (SelectionKey key : selector.keys()) {
                if (key.attachment() instanceof Connection connection && connection.owner == endpoint) {
                    connection.reset();
                }
            }
        }

        /** Listens at a port; 0 for any that is free. */
        ServerSocketChannel listen(Handler handler, int port) throws IOException {
            ServerSocketChannel server = ServerSocketChannel.open();
            server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 200);
            server.configureBlocking(false);
            execute(() -> {
                try {
                    server.register(selector, SelectionKey.OP_ACCEPT, handler);
                } catch (IOException e) {
                    throw new IllegalStateException(e);
                }
            });
            return server;
        }

        @Override
        public void run() {
            try {
                while (!ended) {
                    long wait = timers.isEmpty() ? 50 : Math.max(1, Math.min(50, timers.peek().at() - now()));
                    selector.select(wait);
                    for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
                        task.run();
                    }
                    while (!timers.isEmpty() && timers.peek().at() <= now()) {
                        timers.poll().task().run();
                    }
                    Iterator<SelectionKey> keys = selector.selectedKeys().iterator();
                    while (keys.hasNext()) {
                        SelectionKey key = keys.next();
                        keys.remove();
                        serve(key);
                    }
                }
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }

        private void serve(SelectionKey key) {
            try {
                if (key.isValid() && key.isAcceptable()) {
                    SocketChannel channel = ((ServerSocketChannel) key.channel()).accept();
                    if (channel != null) {
                        channel.configureBlocking(false);
                        channel.setOption(java.net.StandardSocketOptions.TCP_NODELAY, true);
                        channel.register(selector, SelectionKey.OP_READ,
                                new Connection(channel, (Handler) key.attachment()));
                    }
                } else if (key.isValid() && key.isReadable()) {
                    ((Connection) key.attachment()).read();
                }
            } catch (IOException e) {
                closeQuietly(key.channel());
            }
        }

        /** Ends the thread; the end of the program closes the sockets. */
        void close() throws IOException {
            ended = true;
            selector.wakeup();
            try {
                join();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            selector.close();
        }
    }

    record Timer(long at, Runnable task) { }

    // ---- discovery and the platform --------------------------------------------------------------------------------

    /** A notice as the platform got it. */
    record Notice(String id, String result, long at) { }

    final List<Notice> notices = new CopyOnWriteArrayList<>();
    private static final Pattern NOTICE = Pattern.compile("\\{\"ref\":\"([^\"]+)\",\"result\":\"([a-z]+)\"");

    /** Discovery and the platform's notice address. Watches are answered when their time is over or the list changes. */
    final class Discovery {
        final ServerSocketChannel server;
        private final Map<String, String> entries = new java.util.LinkedHashMap<>();
        private int version = 1;
        private final List<Request> watches = new ArrayList<>();

        Discovery() throws IOException {
            server = net.listen(this::handle, 0);
        }

        String address() {
            return "127.0.0.1:" + server.socket().getLocalPort();
        }

        synchronized void put(String uid, String entry) {
            entries.put(uid, entry);
        }

        /** When the list was first written to a relay after the last change. */
        volatile long toldAt;

        /** Changes an entry; watches are answered with the whole list. */
        void change(String uid, String entry) {
            net.execute(() -> {
                put(uid, entry);
                version++;
                toldAt = 0;
                List<Request> open = List.copyOf(watches);
                watches.clear();
                open.forEach(this::answerWithList);
            });
        }

        private void answerWithList(Request request) {
            request.connection.answer(200, list());
            toldAt = toldAt == 0 ? now() : toldAt;
            detail("discovery: list of version " + version + " written");
        }

        synchronized String list() {
            return "{\"rev\":" + version + ",\"all\":true,\"targets\":[" + String.join(",", entries.values()) + "]}";
        }

        private void handle(Request request) {
            if (request.line.startsWith("POST /status")) {
                Matcher line = NOTICE.matcher(request.body);
                while (line.find()) {
                    notices.add(new Notice(line.group(1), line.group(2), now()));
                    detail("platform: notice " + line.group(2) + " for " + line.group(1));
                }
                request.connection.answer(204, "");
                return;
            }
            Matcher watch = Pattern.compile("after=(\\d+)&wait_ms=(\\d+)").matcher(request.line);
            if (watch.find() && Integer.parseInt(watch.group(1)) == version) {
                watches.add(request);
                net.later(Integer.parseInt(watch.group(2)), () -> {
                    if (watches.remove(request)) {
                        request.connection.answer(200, "{\"rev\":" + version + ",\"all\":false,\"targets\":[]}");
                    }
                });
            } else {
                answerWithList(request);
            }
        }
    }

    // ---- endpoints -------------------------------------------------------------------------------------------------

    /** A call as an endpoint got it; {@code status} is what it wrote, 0 if nothing. */
    static final class Call {
        final String id;
        final String uid;
        final long at;
        volatile int status;

        Call(String id, String uid, long at) {
            this.id = id;
            this.uid = uid;
            this.at = at;
        }
    }

    final List<Call> calls = java.util.Collections.synchronizedList(new ArrayList<>());

    interface Behaviour {
        /** Answers a call, now or later, or not at all. */
        void onCall(Endpoint endpoint, Call call, Request request);
    }

    /** One endpoint of a destination. */
    final class Endpoint {
        final String uid;
        final int destination;
        final String kind;
        private final int port;
        private ServerSocketChannel server;
        volatile Behaviour behaviour;

        Endpoint(String uid, int destination, String kind, Behaviour behaviour) throws IOException {
            this.uid = uid;
            this.destination = destination;
            this.kind = kind;
            this.behaviour = behaviour;
            server = net.listen(this::handle, 0);
            port = server.socket().getLocalPort();
        }

        /** Ends like a process that dies: its connections are reset and new ones refused. */
        void stop() throws IOException {
            server.close();
            net.execute(() -> net.resetAll(this));
        }

        /** Listens again at the same address. */
        void startAgain() throws IOException {
            server = net.listen(this::handle, port);
        }

        String entry(String state) {
            return "{\"uid\":\"" + uid + "\",\"endpoint\":\"127.0.0.1:" + port
                    + "\",\"az\":\"north-building\",\"model\":\"" + kind + "\",\"pod_group\":" + destination
                    + ",\"state\":\"" + state + "\",\"capacity_hint\":1.0,\"boot_ms\":0}";
        }

        private void handle(Request request) {
            request.connection.owner = this;
            if (request.id() == null) {
                request.connection.answer(400, "");
                return;
            }
            Call call = new Call(request.id(), uid, now());
            calls.add(call);
            behaviour.onCall(this, call, request);
        }

        /** Writes an answer and notes it. */
        void answer(Call call, Request request, int status, String... headers) {
            boolean written = request.connection.answer(status, "", headers);
            call.status = written ? status : 0;
            detail("endpoint " + uid + ": call " + call.id + (written ? " answered " + status
                    : " not answered, its connection has ended"));
        }
    }

    /** Delivers after some milliseconds, as an endpoint of the usual pace does. */
    static Behaviour deliverAfter(Rig rig, long millis) {
        return (endpoint, call, request) -> rig.net.later(millis, () -> endpoint.answer(call, request, 200));
    }

    // ---- configuration ---------------------------------------------------------------------------------------------

    /** The configuration of one relay. */
    final class Setup {
        final Discovery discovery;
        final Path state;
        final Path configFile;
        final int clientPort;
        String diskMb = "3";
        int fleetSize = 2;
        int callSlots = 13;
        int maxOpen = 139;
        String kinds = "\"carriers\",\"forwarders\",\"consignees\"";
        String routesApart = "false,true,false";
        String batches = "1,1,1";
        String classes = standardClasses("once");

        Setup(Discovery discovery) throws IOException {
            this(discovery, temporary.resolve("state"));
        }

        Setup(Discovery discovery, Path state) throws IOException {
            this.discovery = discovery;
            this.state = state;
            Files.createDirectories(state);
            configFile = temporary.resolve("config.json");
            clientPort = freePort();
        }

        void write(int start) throws IOException {
            Files.writeString(configFile, "{\"name\":\"n0\",\"listen\":\"127.0.0.1:" + clientPort
                    + "\",\"discovery\":\"" + discovery.address() + "\",\"seed\":\""
                    + Long.toHexString(0x5be2a07c1d3f9000L + start) + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":144,"
                    + "\"sockets\":384,\"disk_mb\":" + diskMb + "},\"known\":" + discovery.list()
                    + ",\"settings\":" + settings() + "}");
        }

        private String settings() {
            return "{\"accounts\":[{\"name\":\"aqaba-shippers\",\"portion\":0.47,\"quota-rps\":11.0},"
                    + "{\"name\":\"ammam-traders\",\"portion\":0.28,\"quota-rps\":6.0},"
                    + "{\"name\":\"zarqa-growers\",\"portion\":0.25,\"quota-rps\":6.0}],"
                    + "\"callers\":{\"marks-retry\":false},\"classes\":[" + classes + "],"
                    + "\"contract\":{\"answer-slack-s\":0.02,\"cold-from\":0.18,\"drain-grace-s\":1.0,"
                    + "\"fall-multiple\":2.0,\"fall-s\":3.0,\"must-ask-in-s\":10.0,\"warm-up-s\":12.0},"
                    + "\"family\":\"deliver\",\"family-info\":{\"batch-by-kind\":[" + batches + "],\"call-slots\":"
                    + callSlots + ",\"fades\":\"even\",\"routes-apart\":[" + routesApart + "],\"toll\":[0.0,0.0],"
                    + "\"turned-away-price\":0.03},"
                    + "\"fees\":{\"connection\":0.0,\"cross-zone\":0.01,\"handshake\":0.02,\"late-fail\":0.02,"
                    + "\"moves\":0.0,\"origin\":0.0,\"peer\":0.0,\"probe\":0.0,\"registry-mode\":0.0,\"waste\":0.03},"
                    + "\"fleet-size\":" + fleetSize + ",\"kinds\":[" + kinds + "],"
                    + "\"limits\":{\"conn-idle-s\":10.0,\"connect-timeout-s\":1.5,\"cpu-us-per-request\":0.0,"
                    + "\"cpu-us-per-s\":100000,\"max-open\":" + maxOpen + ",\"max-retry-after-s\":2.0,"
                    + "\"max-streams\":1,"
                    + "\"may-cancel\":true,\"peers\":false,\"probes\":false,\"retry-after\":true,"
                    + "\"second-copies\":true,\"send-cap\":12},\"me\":0,\"over-share-worth\":0.1,\"period-s\":0.005,"
                    + "\"registry-mode\":\"subscribe\",\"scoring-mix\":{\"whole\":0.45,\"worst-class\":0.2,"
                    + "\"worst-tenant\":0.1,\"worst-window\":0.25},\"stats\":{\"fields\":[],\"how\":\"off\"},\"tier\":0,"
                    + "\"tiers\":[\"partner-systems\"],\"weight-source\":\"off\",\"worth-by\":\"request\","
                    + "\"zone\":\"north-building\",\"zones\":[\"north-building\",\"south-building\"]}";
        }
    }

    /** The classes of the example in the settings, with another effect of release-payment. */
    static String standardClasses(String paymentRepeat) {
        return classJson("event-alert", "by_key", 16, 10, 4, 1) + ","
                + classJson("position-update", "repeatable", 24, 5, 3, 3) + ","
                + classJson("release-payment", paymentRepeat, 28, 5, 2, 4);
    }

    static String classJson(String name, String repeat, double deadline, double window, double goal, double worth) {
        return String.format(Locale.ROOT, "{\"deadline-s\":%.1f,\"dedup-window-s\":%.1f,\"goal-time-s\":%.1f,"
                + "\"key-scope\":\"all\",\"late-worth\":0.3,\"name\":\"%s\",\"repeat\":\"%s\",\"stream\":false,"
                + "\"worth\":%.1f}", deadline, window, goal, name, repeat, worth);
    }
}
