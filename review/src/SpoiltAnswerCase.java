import java.util.List;

/**
 * Endpoints run a payment and then write an answer that does not follow the protocol (TROUBLE=0: a sound 200). Such an
 * answer means that the payment may have run, so none may be sent again.
 */
final class SpoiltAnswerCase {
    private static final List<String> SPOILT_ANSWERS = List.of(
            // More bytes than the answer's length.
            "HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy, and more bytes than announced",
            // A header line without a colon.
            "HTTP/1.1 503 Busy\r\nthis line is no header\r\nContent-Length: 0\r\n\r\n",
            // Another protocol version.
            "HTTP/2.0 503 Busy\r\nContent-Length: 0\r\n\r\n",
            // A status that the protocol does not have.
            "HTTP/1.1 404 Lost\r\nContent-Length: 0\r\n\r\n");
    private static final int PAYMENTS_EACH = 3;

    private SpoiltAnswerCase() { }

    public static void main(String[] args) throws Exception {
        Harness.main(args[0], SpoiltAnswerCase::run);
    }

    private static int run(Harness harness) throws Exception {
        Harness.Platform platform = harness.new Platform();
        for (int i = 0; i < SPOILT_ANSWERS.size(); i++) {
            String spoilt = SPOILT_ANSWERS.get(i);
            for (int j = 0; j < 2; j++) {
                platform.add(Harness.target("s-" + i + "-" + j, i, "plain",
                        harness.endpoint("endpoint-" + i + "-" + j, (call, earlier) -> {
                            Harness.sleep(100);
                            return harness.trouble && earlier == 0 ? spoilt : Harness.answer(200);
                        })));
            }
        }
        Harness.Relay relay = harness.new Relay("relay-0", platform,
                Harness.settings(Harness.ALERT, Harness.POSITION, Harness.PAYMENT), 384);
        relay.start();
        for (int i = 0; i < SPOILT_ANSWERS.size() * PAYMENTS_EACH; i++) {
            harness.submit(relay, "pay-" + i, "payment", null, i % SPOILT_ANSWERS.size(), 10_000, "payment");
            Harness.sleep(200);
        }
        Harness.sleep(11_000);
        int result = Harness.HELD;
        for (int i = 0; i < SPOILT_ANSWERS.size() * PAYMENTS_EACH; i++) {
            int calls = harness.callsFor("pay-" + i).size();
            harness.record("pay-" + i + ": calls " + calls + ", notice " + harness.notices.get("pay-" + i));
            result = calls > 1 ? Harness.BROKEN : result;
        }
        return result;
    }
}
