package drumdeal.relay;

import drumdeal.Policy;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The call ids of messages that clients have submitted, and what a client is answered that submits one again: to this
 * process, to an earlier one, or to the older process of an upgrade. Runs on the event loop.
 */
final class SubmittedCallIds {
    private final Clock clock;
    /** Messages that are not settled. */
    private final Map<String, Message> messages = new HashMap<>();
    /** Messages that were settled here, or by an earlier process. */
    private final CallIdHistory settled;
    /** Messages of the older process in an upgrade, as of its snapshot, that have not been handed over. */
    private final CallIdHistory ofPredecessor = new CallIdHistory();

    /** {@code settled} holds the ids of messages that are over, from the journal. */
    SubmittedCallIds(Clock clock, CallIdHistory settled) {
        this.clock = clock;
        this.settled = settled;
    }

    /** The message with an id that is not settled; null if there is none. */
    Message find(String callId) {
        return messages.get(callId);
    }

    /** True if this process holds a message with the id, or it or an earlier one has held it. */
    boolean isKnown(String callId) {
        return messages.containsKey(callId) || settled.answerFor(callId, clock.micros()) != null;
    }

    /** This process holds a message from now on, maybe one of the older process. */
    void add(Message message) {
        ofPredecessor.remove(message.content.callId());
        messages.put(message.content.callId(), message);
    }

    /** The older process holds a message on, which this one had received and has given up. */
    void returnToPredecessor(Message message) {
        messages.remove(message.content.callId(), message);
        ofPredecessor.add(new CallIdHistory.Entry(message.content.callId(), answerWhileOpen(message),
                message.clientDeadline), clock.micros());
    }

    /** A message is settled: its id is remembered if it may have taken effect. */
    void settle(Message message) {
        messages.remove(message.content.callId(), message);
        CallIdHistory.Answer answer = answerAfterSettlement(message);
        if (answer != null) {
            settled.add(new CallIdHistory.Entry(message.content.callId(), answer, message.clientDeadline),
                    clock.micros());
        }
    }

    /** Adds the ids of the older process in an upgrade. */
    void addOfPredecessor(List<CallIdHistory.Entry> entries) {
        entries.forEach(entry -> ofPredecessor.add(entry, clock.micros()));
    }

    /** The ids of all messages that this process holds or has held, for the process that takes over. */
    List<CallIdHistory.Entry> entries() {
        List<CallIdHistory.Entry> entries = new ArrayList<>(ofPredecessor.entries());
        entries.addAll(settled.entries());
        messages.values().forEach(message -> entries.add(new CallIdHistory.Entry(message.content.callId(),
                answerWhileOpen(message), message.clientDeadline)));
        return entries;
    }

    /** What the client of a message with this id is answered; null if no such message is known. */
    CallIdHistory.Answer answerFor(String callId) {
        Message message = messages.get(callId);
        if (message != null) {
            return answerWhileOpen(message);
        }
        CallIdHistory.Answer answer = settled.answerFor(callId, clock.micros());
        return answer != null ? answer : ofPredecessor.answerFor(callId, clock.micros());
    }

    /**
     * What a client is answered that submits a message again which this process holds. A client resends a request if
     * its connection closed before the response. The message is accepted already, so it is confirmed, unless the first
     * request still waits for its response, so the message may be withdrawn, or the end of the message is decided.
     */
    private static CallIdHistory.Answer answerWhileOpen(Message message) {
        return message.pendingReply == null && message.nonDelivery == null && !message.finished
                ? CallIdHistory.Answer.ACCEPTED : CallIdHistory.Answer.FAILED;
    }

    /** The same for a message that is over; null if it certainly took no effect, so that it may be accepted anew. */
    static CallIdHistory.Answer answerAfterSettlement(Message message) {
        if (message.attempts.stream().anyMatch(attempt -> attempt.result == Policy.Result.OK)) {
            return CallIdHistory.Answer.ACCEPTED;
        }
        if (message.withdrawn || message.nonDelivery != null) {
            return message.mayHaveTakenEffect() ? CallIdHistory.Answer.FAILED : null;
        }
        return CallIdHistory.Answer.ACCEPTED;
    }
}
