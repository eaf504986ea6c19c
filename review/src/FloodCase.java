import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A relay with calm traffic meets one bad client that sends requests without their headers one behind the other, as
 * fast as the relay takes them, and reads no answer until it has sent all (TROUBLE=0: without it). The process must not
 * end, and no request of the other clients may go unanswered.
 */
final class FloodCase {
    /** What a bad client has to send at most. */
    private static final int MAX_BYTES = 60_000_000;
    private static final int CALM_MILLIS = 2_000;
    private static final int FLOOD_MILLIS = 30_000;
    private static final int MESSAGE_INTERVAL_MILLIS = 100;
    private static final String BAD_REQUEST = "POST /api HTTP/1.1\r\nHost: app.svc\r\n\r\n";

    private FloodCase() { }

    public static void main(String[] args) throws Exception {
        Harness.main(args[0], FloodCase::run);
    }

    private static int run(Harness harness) throws Exception {
        Harness.Platform platform = harness.new Platform();
        for (int i = 0; i < 3; i++) {
            platform.add(Harness.target("s-" + i, i, "plain",
                    harness.endpoint("endpoint-" + i, (call, earlier) -> {
                        Harness.sleep(100);
                        return Harness.answer(200);
                    })));
        }
        Harness.Relay relay = harness.new Relay("relay-0", platform,
                Harness.settings(Harness.ALERT, Harness.POSITION, Harness.PAYMENT), 384);
        relay.start();
        List<String> unanswered = new CopyOnWriteArrayList<>();
        long end = harness.millis() + CALM_MILLIS + FLOOD_MILLIS;
        Thread flood = null;
        int count = 0;
        for (long start = harness.millis(); harness.millis() < end && relay.process.isAlive(); count++) {
            if (harness.trouble && flood == null && harness.millis() - start > CALM_MILLIS) {
                flood = Harness.startThread(() -> flood(harness, relay));
            }
            String id = "m-" + count;
            int status = harness.submit(relay, id, count % 2 == 0 ? "payment" : "position", null, count % 3, 20_000,
                    "message " + id);
            if (status == Harness.ENDED) {
                unanswered.add(id);
            }
            Harness.sleep(MESSAGE_INTERVAL_MILLIS);
        }
        boolean crashed = !relay.process.isAlive();
        harness.record(count + " messages of calm clients handed in; " + unanswered.size()
                + " connections ended without an answer: " + unanswered);
        if (crashed) {
            harness.record("CRASH: the relay's process has ended by itself with exit code " + relay.process.exitValue());
        }
        return crashed || !unanswered.isEmpty() ? Harness.BROKEN : Harness.HELD;
    }

    /** One connection: sends up to the limit, then reads what the relay has answered and leaves. */
    private static void flood(Harness harness, Harness.Relay relay) {
        ByteArrayOutputStream piece = new ByteArrayOutputStream();
        while (piece.size() < 16_000) {
            piece.writeBytes(BAD_REQUEST.getBytes(StandardCharsets.US_ASCII));
        }
        int sent = 0;
        try (Socket socket = new Socket("127.0.0.1", relay.port)) {
            harness.record("bad client connected");
            for (; sent + piece.size() <= MAX_BYTES; sent += piece.size()) {
                socket.getOutputStream().write(piece.toByteArray());
            }
            harness.record("bad client has sent " + sent + " bytes and reads now");
            socket.setSoTimeout(1000);
            List<Integer> sizes = new ArrayList<>();
            byte[] buffer = new byte[1 << 16];
            for (int read = socket.getInputStream().read(buffer); read > 0; read = socket.getInputStream().read(buffer)) {
                sizes.add(read);
            }
            harness.record("bad client has read " + sizes.stream().mapToInt(Integer::intValue).sum() + " bytes");
        } catch (IOException e) {
            harness.record("bad client ends after it has sent " + sent + " bytes: " + e.getMessage());
        }
    }
}
