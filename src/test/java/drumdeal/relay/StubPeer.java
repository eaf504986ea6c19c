package drumdeal.relay;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Function;

/**
 * An HTTP server for tests on an ephemeral loopback port, in place of a host or discovery. It records each
 * request and answers with the text that its responder returns.
 */
final class StubPeer implements AutoCloseable {
    /** Returned by a responder in place of a response: closes the connection. */
    static final String CLOSE_CONNECTION = "close";
    /** Returned by a responder in place of a response: leaves the request unanswered and the connection open. */
    static final String NO_RESPONSE = "silence";

    /** A request as received; the header names are in lower case, the time is that of {@link System#nanoTime()}. */
    record Request(String requestLine, Map<String, String> headers, String body, long receivedAtNanos) {
        /** The call id header, or null if the request has none. */
        String callId() {
            return headers.get("x-call-id");
        }
    }

    /** All requests so far, in the order received. */
    final List<Request> requests = new CopyOnWriteArrayList<>();
    /** All connections accepted so far, including closed ones. */
    final List<Socket> connections = new CopyOnWriteArrayList<>();
    private final ServerSocket serverSocket;
    private volatile Function<Request, String> responder;

    StubPeer(Function<Request, String> responder) throws IOException {
        this.responder = responder;
        serverSocket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        startDaemon(this::acceptConnections);
    }

    /** A peer that gives the same response to every request. */
    static StubPeer always(String response) throws IOException {
        return new StubPeer(request -> response);
    }

    /** The text of a response without a body. */
    static String respondWithStatus(int code, String... headers) {
        return respondWith(code, "", headers);
    }

    /** The text of a response with a body; the headers are complete lines without their line breaks. */
    static String respondWith(int code, String body, String... headers) {
        StringBuilder text = new StringBuilder("HTTP/1.1 " + code + " X\r\n");
        for (String header : headers) {
            text.append(header).append("\r\n");
        }
        return text + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Replaces the responder, also for connections that are open. */
    void setResponder(Function<Request, String> newResponder) {
        responder = newResponder;
    }

    String address() {
        return "127.0.0.1:" + serverSocket.getLocalPort();
    }

    /** The number of requests so far whose request line starts with the text. */
    long countRequests(String prefix) {
        return requests.stream().filter(r -> r.requestLine().startsWith(prefix)).count();
    }

    /** The number of calls so far that carried a message with this call id. */
    long countCalls(String id) {
        return requests.stream().filter(r -> id.equals(r.callId())).count();
    }

    /** Returns whether a message with this call id has arrived at least once. */
    boolean hasReceived(String id) {
        return requests.stream().anyMatch(r -> id.equals(r.callId()));
    }

    @Override
    public void close() throws IOException {
        serverSocket.close();
        for (Socket connection : connections) {
            connection.close();
        }
    }

    private static void startDaemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private void acceptConnections() {
        try {
            while (true) {
                Socket socket = serverSocket.accept();
                connections.add(socket);
                startDaemon(() -> serveConnection(socket));
            }
        } catch (IOException e) {
            // The test has closed this peer.
        }
    }

    private void serveConnection(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (Request request = readRequest(in); request != null; request = readRequest(in)) {
                requests.add(request);
                String response = responder.apply(request);
                if (response.equals(CLOSE_CONNECTION)) {
                    return;
                }
                if (!response.equals(NO_RESPONSE)) {
                    socket.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
                }
            }
        } catch (IOException e) {
            // The relay, or the test, has closed the connection.
        }
    }

    /** Reads the next request; null at the end of the stream. */
    private static Request readRequest(InputStream in) throws IOException {
        String requestLine = readLine(in);
        if (requestLine.isEmpty()) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>();
        for (String header = readLine(in); !header.isEmpty(); header = readLine(in)) {
            String[] nameAndValue = header.split(": ?", 2);
            headers.put(nameAndValue[0].toLowerCase(Locale.ROOT), nameAndValue[1]);
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        String body = new String(in.readNBytes(length), StandardCharsets.ISO_8859_1);
        return new Request(requestLine, headers, body, System.nanoTime());
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int next = in.read(); next >= 0 && next != '\n'; next = in.read()) {
            bytes.write(next);
        }
        return bytes.toString(StandardCharsets.ISO_8859_1).strip();
    }
}
