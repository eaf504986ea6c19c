package drumdeal.relay;

import drumdeal.Policy;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** A message that a client submitted, and the state of its delivery. Times are in microseconds of {@link Clock}. */
final class Message {
    /**
     * What a client submitted. {@code tenant} and {@code idempotencyKey} may be null. After {@code deadline} the
     * message is not delivered any more. {@code destination} is the destination's number in the route list.
     */
    record Content(String callId, String requestClass, String tenant, String idempotencyKey, long deadline,
            int destination, byte[] body) {
        /** A copy whose deadline is {@code margin} microseconds earlier. */
        Content withEarlierDeadline(long margin) {
            return new Content(callId, requestClass, tenant, idempotencyKey, deadline - margin, destination, body);
        }
    }

    /**
     * The end of a message that is not delivered. A rejected message may safely be submitted again, after
     * {@code retryAfterMicros} if that is above 0. One that is not rejected has failed and may have taken effect.
     */
    record NonDelivery(boolean rejected, long retryAfterMicros) { }

    /** One attempt to deliver a message. */
    static final class Attempt {
        final Message message;
        /** Index in the message's list of attempts. */
        final int number;
        final String route;
        final long sentAt;
        /** Null until the attempt has ended; stays null if the process ended first. */
        Policy.Result result;
        /** The attempt's number in the journal; negative until it is recorded there, and so before it is sent. */
        private int recordNumber = -1;

        private Attempt(Message message, int number, String route, long sentAt) {
            this.message = message;
            this.number = number;
            this.route = route;
            this.sentAt = sentAt;
        }

        /** True once the attempt is recorded in the journal; before, it was not sent. */
        boolean isRecorded() {
            return recordNumber >= 0;
        }

        /**
         * The number under which the attempt is recorded, or is to be: its own, unless an attempt with a higher one
         * was recorded before it. Numbers only rise in a journal; one left out counts as an attempt not sent.
         */
        int recordNumber() {
            return isRecorded() ? recordNumber : Math.max(number, message.nextRecordNumber);
        }

        /** The attempt is recorded under its {@link #recordNumber}. */
        void markRecorded() {
            recordNumber = recordNumber();
            message.nextRecordNumber = recordNumber + 1;
        }
    }

    /** Number in the journal of the process that holds the message. */
    final long number;
    final Content content;
    /**
     * The deadline up to which a delivery counts: the client's, which is the content's deadline plus the
     * {@link DeadlineMargin}. For a message of another process, the content's deadline itself.
     */
    long clientDeadline;
    /** The terms on which the message was accepted; null if it comes from a journal record without terms. */
    final Policy.RequestTerms terms;
    final List<Attempt> attempts = new ArrayList<>();
    /** Sends the response to the client that submitted the message; null if no client waits for it. */
    ClientReply pendingReply;
    /** True once this process delivers the message; before, another process owns it, or its folder holds it. */
    boolean owned;
    /** Null until the message has ended undelivered. */
    NonDelivery nonDelivery;
    /**
     * Ends the message if the module leaves it open past its deadline. Null until this process owns the message, and if
     * another process has ended it.
     */
    Future<?> overdueTimer;
    /** True once neither a delivery nor a notice is outstanding. */
    boolean finished;
    /** True once a newer process owns the message. */
    boolean handedOver;
    /** True once a client that submitted the message again was told that it is accepted. */
    boolean confirmedAgain;
    /** True if the client disconnected before its response. */
    boolean withdrawn;
    private int attemptsInFlight;
    /** Above the record numbers of all attempts that are recorded. */
    private int nextRecordNumber;

    Message(long number, Content content, Policy.RequestTerms terms) {
        this.number = number;
        this.content = content;
        clientDeadline = content.deadline();
        this.terms = terms;
    }

    /** A copy, with attempts and end, under a number of another journal. */
    Message withNumber(long newNumber) {
        Message copy = new Message(newNumber, content, terms);
        for (Attempt attempt : attempts) {
            Attempt copiedAttempt = copy.addAttempt(attempt.route, attempt.sentAt);
            copiedAttempt.result = attempt.result;
            copiedAttempt.markRecorded();
        }
        copy.nonDelivery = nonDelivery;
        return copy;
    }

    Attempt addAttempt(String route, long sentAt) {
        Attempt attempt = new Attempt(this, attempts.size(), route, sentAt);
        attempts.add(attempt);
        return attempt;
    }

    /** The attempts that are recorded in the journal, in the order of their numbers there. */
    List<Attempt> recordedAttempts() {
        return attempts.stream().filter(Attempt::isRecorded).sorted(Comparator.comparingInt(Attempt::recordNumber))
                .toList();
    }

    void attemptStarted() {
        attemptsInFlight++;
    }

    void attemptEnded() {
        attemptsInFlight--;
    }

    /** True unless every attempt has a result that proves that it took no effect. */
    boolean mayHaveTakenEffect() {
        return attempts.stream().anyMatch(attempt -> attempt.result == null || !attempt.result.provesNoEffect());
    }

    boolean hasAttemptsInFlight() {
        return attemptsInFlight > 0;
    }

    /** Sends the response to a client that has submitted a message. At most one response is sent, and only once. */
    interface ClientReply {
        void sendAccepted();

        /** The client may submit the message again, after {@code retryAfterMicros} if that is above 0. */
        void sendRejected(long retryAfterMicros);

        /** The message is not delivered, and may have taken effect. */
        void sendFailed();

        /** True if the client has disconnected, which may not have been noticed before. */
        boolean hasClientLeft();
    }
}
