package drumdeal.relay;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Call ids of messages that are over, or that another process of the relay holds, and what a client is answered that
 * submits one again: the message is not accepted anew, as it may have taken effect. An id is remembered until the
 * message's deadline. Beyond {@link #MAX_BYTES} the ids remembered first are forgotten. Times are in microseconds of
 * {@link Clock}. Not thread-safe.
 */
final class CallIdHistory {
    /** The memory that all ids may take: some 16,000 of usual length. */
    private static final int MAX_BYTES = 2 << 20;
    /** Memory that an id takes beside its characters. */
    private static final int ENTRY_BYTES = 112;

    /** What a client is answered. Stored and sent by position: constants must not be reordered or removed. */
    enum Answer {
        /** The message was accepted, and has been delivered or will come to its end. */
        ACCEPTED,
        /** The message has ended without delivery, and may have taken effect. */
        FAILED;

        /** The answer at a position; fails if there is none. */
        static Answer of(int position) throws IOException {
            if (position < 0 || position >= values().length) {
                throw new IOException("unknown answer " + position);
            }
            return values()[position];
        }
    }

    /** An id, what its message's client is answered, and until when. */
    record Entry(String callId, Answer answer, long expiresAt) {
        /** Writes the entry; the order of the fields is part of the handover protocol and of the journal. */
        void write(DataOutputStream out) throws IOException {
            out.writeUTF(callId);
            out.writeByte(answer.ordinal());
            out.writeLong(expiresAt);
        }

        static Entry read(DataInputStream in) throws IOException {
            return new Entry(in.readUTF(), Answer.of(in.readByte()), in.readLong());
        }

        private int bytes() {
            return ENTRY_BYTES + callId.length();
        }
    }

    /** By call id, in the order in which they were added. */
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private int bytes;

    void add(Entry entry, long now) {
        if (entry.expiresAt() <= now) {
            return;
        }
        remove(entry.callId());
        entries.put(entry.callId(), entry);
        bytes += entry.bytes();
        Iterator<Entry> oldestFirst = entries.values().iterator();
        for (Entry oldest = oldestFirst.next(); oldest.expiresAt() <= now || bytes > MAX_BYTES;
                oldest = oldestFirst.next()) {
            oldestFirst.remove();
            bytes -= oldest.bytes();
        }
    }

    void remove(String callId) {
        Entry removed = entries.remove(callId);
        if (removed != null) {
            bytes -= removed.bytes();
        }
    }

    /** What the client of a message with this id is answered; null if no message with it is remembered. */
    Answer answerFor(String callId, long now) {
        Entry entry = entries.get(callId);
        return entry == null || entry.expiresAt() <= now ? null : entry.answer();
    }

    /** All ids that are remembered, in the order in which they were added. */
    List<Entry> entries() {
        return new ArrayList<>(entries.values());
    }
}
