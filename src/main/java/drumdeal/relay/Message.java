package drumdeal.relay;

import drumdeal.Policy;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;

/** A message that a client handed in, and how far its delivery has come. Times are the {@link Clock}'s. */
final class Message {
    /** What a client handed in; {@code tenant} and {@code key} may be null. */
    record Content(String callId, String requestClass, String tenant, String idempotencyKey, long deadline,
            int destination, byte[] body) {
        /** The same message with so much less time. */
        Content withEarlierDeadline(long margin) {
            return new Content(callId, requestClass, tenant, idempotencyKey, deadline - margin, destination, body);
        }
    }

    /** How a message that is not delivered ends. */
    record NonDelivery(boolean rejected, long retryAfter) { }

    /** One attempt; {@code result} stays null while nothing is known. */
    static final class Attempt {
        final Message message;
        final int number;
        final String route;
        final long sentAt;
        Policy.Result result;

        private Attempt(Message message, int number, String route, long sentAt) {
            this.message = message;
            this.number = number;
            this.route = route;
            this.sentAt = sentAt;
        }
    }

    /** Number in this relay's journal. */
    final long number;
    final Content content;
    /** Until when a delivery counts: later than the content's deadline by the margin kept for the message's end. */
    long clientDeadline;
    /** What it was taken on under; null where a former version of the journal does not tell. */
    final Policy.RequestTerms terms;
    final List<Attempt> attempts = new ArrayList<>();
    /** Where the client that handed the message in waits; null once it has its answer. */
    ClientReply pendingReply;
    NonDelivery nonDelivery;
    /** The timer that ends the message should the module leave it open. */
    Future<?> overdueTimer;
    /** Nothing more is owed. */
    boolean finished;
    private int attemptsInFlight;

    Message(long number, Content content, Policy.RequestTerms terms) {
        this.number = number;
        this.content = content;
        clientDeadline = content.deadline();
        this.terms = terms;
    }

    /** The same message under a number of another journal. */
    Message withNumber(long next) {
        Message copy = new Message(next, content, terms);
        attempts.forEach(attempt -> copy.addAttempt(attempt.route, attempt.sentAt).result = attempt.result);
        copy.nonDelivery = nonDelivery;
        return copy;
    }

    Attempt addAttempt(String route, long sentAt) {
        Attempt attempt = new Attempt(this, attempts.size(), route, sentAt);
        attempts.add(attempt);
        return attempt;
    }

    void attemptStarted() {
        attemptsInFlight++;
    }

    void attemptEnded() {
        attemptsInFlight--;
    }

    boolean hasAttemptsInFlight() {
        return attemptsInFlight > 0;
    }

    /** The answer that a client waits for after it has handed a message in. */
    interface ClientReply {
        void sendAccepted();

        void sendRejected(long retryIn);

        void sendFailed();
    }
}
