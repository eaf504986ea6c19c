import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * A relay holds a clump of payments when a crowd of bad clients connects. Each sends a message of a class that does not
 * exist and the first bytes of another request, and then stays and sends nothing more (TROUBLE=0: no crowd). Each payment
 * that was taken on has to be delivered, or ended by a notice, 350 ms after its time at the latest.
 */
final class CrowdCase {
    private static final int DESCRIPTORS = 1024;
    private static final int CROWD = 300;
    private static final int CROWD_MILLIS = 1_500;
    private static final int BAD_BODY_BYTES = 60_000;
    private static final int PAYMENTS = 100;
    private static final int BUDGET_MILLIS = 8_000;
    private static final int DESTINATIONS = 4;
    private static final int SERVICE_MILLIS = 1_000;
    /** The protocol's 300 ms, and the 50 ms by which each limit is longer on sockets. */
    private static final int NOTICE_SLACK_MILLIS = 350;

    private CrowdCase() { }

    public static void main(String[] args) throws Exception {
        Harness.main(args[0], CrowdCase::run);
    }

    private static int run(Harness harness) throws Exception {
        // When the endpoint wrote its 200, by call id.
        Map<String, Long> delivered = new ConcurrentHashMap<>();
        Harness.Platform platform = harness.new Platform();
        for (int i = 0; i < DESTINATIONS; i++) {
            platform.add(Harness.target("s-" + i, i, "plain", harness.endpoint("endpoint-" + i, (call, earlier) -> {
                Harness.sleep(SERVICE_MILLIS);
                delivered.put(call.id(), harness.millis());
                return Harness.answer(200);
            })));
        }
        Harness.Relay relay = harness.new Relay("relay-0", platform,
                Harness.settings(Harness.ALERT, Harness.POSITION, Harness.PAYMENT), DESCRIPTORS);
        relay.start();
        Harness.sleep(1_500);
        Map<String, Long> handedInAt = new ConcurrentHashMap<>();
        ExecutorService clients = Executors.newFixedThreadPool(20);
        for (int i = 0; i < PAYMENTS; i++) {
            String id = "pay-" + i;
            int destination = i % DESTINATIONS;
            clients.execute(() -> {
                long at = harness.millis();
                if (harness.submit(relay, id, "payment", null, destination, BUDGET_MILLIS, "payment") == 202) {
                    handedInAt.put(id, at);
                }
            });
        }
        clients.shutdown();
        clients.awaitTermination(10, TimeUnit.SECONDS);
        harness.record(handedInAt.size() + " payments taken on");

        List<Socket> crowd = new CopyOnWriteArrayList<>();
        byte[] bytes = (Harness.message("bad", "no-such-class", null, 0, 1000, "x".repeat(BAD_BODY_BYTES))
                + "POST /api HTTP").getBytes(StandardCharsets.US_ASCII);
        ExecutorService badClients = Executors.newFixedThreadPool(20);
        for (int i = 0; i < (harness.trouble ? CROWD : 0); i++) {
            badClients.execute(() -> {
                try {
                    Socket socket = new Socket("127.0.0.1", relay.port);
                    crowd.add(socket);
                    socket.getOutputStream().write(bytes);
                } catch (IOException e) {
                    harness.record("bad client: " + e.getMessage());
                }
            });
            Harness.sleep(CROWD_MILLIS / CROWD);
        }
        harness.record(crowd.size() + " bad clients have connected");
        for (int i = 0; i < 75; i++) {
            harness.submit(relay, "calm-" + i, "position", null, i % DESTINATIONS, 20_000, "position");
            Harness.sleep(200);
        }

        int lost = 0;
        for (Map.Entry<String, Long> payment : handedInAt.entrySet()) {
            long due = payment.getValue() + BUDGET_MILLIS + NOTICE_SLACK_MILLIS;
            long deliveredAt = delivered.getOrDefault(payment.getKey(), Long.MAX_VALUE);
            long noticeAt = harness.noticeTimes.getOrDefault(payment.getKey(), Long.MAX_VALUE);
            if (Math.min(deliveredAt, noticeAt) > due) {
                lost++;
                harness.record("LOST: " + payment.getKey() + ", not delivered, and its notice came "
                        + (noticeAt == Long.MAX_VALUE ? "never" : noticeAt - due + " ms too late"));
            }
        }
        harness.record("payments lost: " + lost + " of " + handedInAt.size());
        return lost > 0 ? Harness.BROKEN : Harness.HELD;
    }
}
