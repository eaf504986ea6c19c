package drumdeal.relay;

import drumdeal.Policy.RequestTerms;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The terms of the current settings, and those of earlier settings that clients may still use. Clients learn of new
 * settings later than the relay, so superseded terms bind for a while, however many settings follow, and whichever
 * process of the relay decides by then: a {@link Snapshot} carries them from one process to the next. Terms are maps
 * by class name; times are in microseconds of {@link Clock}. Not thread-safe.
 */
final class TermsHistory {
    /**
     * How long superseded terms bind. Clients use new settings 1.2 s after the platform's signal, which may be read
     * late.
     */
    static final long CHANGEOVER_MICROS = 1_500_000;

    /** Earlier terms, which bind before the time {@code bindsUntil}. */
    record SupersededTerms(Map<String, RequestTerms> terms, long bindsUntil) { }

    /** All terms that bind at one time. */
    record Snapshot(Map<String, RequestTerms> current, List<SupersededTerms> superseded) {
        /** Writes the snapshot; the order of the fields must not change, see {@link RequestTermsCodec}. */
        void write(DataOutputStream out) throws IOException {
            writeTerms(out, current);
            out.writeInt(superseded.size());
            for (SupersededTerms earlier : superseded) {
                out.writeLong(earlier.bindsUntil());
                writeTerms(out, earlier.terms());
            }
        }

        /** Reads a snapshot; an {@link IOException} means that it is incomplete or holds an invalid value. */
        static Snapshot read(DataInputStream in) throws IOException {
            try {
                Map<String, RequestTerms> current = readTerms(in);
                List<SupersededTerms> superseded = new ArrayList<>();
                for (int remaining = in.readInt(); remaining > 0; remaining--) {
                    long bindsUntil = in.readLong();
                    superseded.add(new SupersededTerms(readTerms(in), bindsUntil));
                }
                return new Snapshot(current, superseded);
            } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
                throw new IOException(e);
            }
        }

        private static void writeTerms(DataOutputStream out, Map<String, RequestTerms> terms) throws IOException {
            out.writeInt(terms.size());
            for (Map.Entry<String, RequestTerms> entry : terms.entrySet()) {
                out.writeUTF(entry.getKey());
                RequestTermsCodec.write(out, entry.getValue());
            }
        }

        private static Map<String, RequestTerms> readTerms(DataInputStream in) throws IOException {
            Map<String, RequestTerms> terms = new HashMap<>();
            for (int remaining = in.readInt(); remaining > 0; remaining--) {
                String name = in.readUTF();
                terms.put(name, RequestTermsCodec.read(in, name));
            }
            return terms;
        }
    }

    private Map<String, RequestTerms> current;
    /** Oldest first; no two have the same terms. */
    private final List<SupersededTerms> superseded = new ArrayList<>();

    TermsHistory(Map<String, RequestTerms> current) {
        this.current = current;
    }

    /** Replaces the current terms at the time {@code now}. */
    void update(Map<String, RequestTerms> next, long now) {
        supersede(current, now + CHANGEOVER_MICROS);
        current = next;
        removeExpired(now);
    }

    /**
     * Adds what another process of the relay, which runs or has ended, knows of the terms. If its current terms are not
     * the ones here, it may have missed the signal for new settings: clients may use either.
     */
    void addFrom(Snapshot other, long now) {
        for (SupersededTerms earlier : other.superseded()) {
            // A clock that was set back between two processes must not keep terms in force for longer.
            supersede(earlier.terms(), Math.min(earlier.bindsUntil(), now + CHANGEOVER_MICROS));
        }
        if (!other.current().equals(current)) {
            supersede(other.current(), now + CHANGEOVER_MICROS);
        }
        removeExpired(now);
    }

    private void supersede(Map<String, RequestTerms> terms, long bindsUntil) {
        long latest = bindsUntil;
        for (SupersededTerms earlier : List.copyOf(superseded)) {
            if (earlier.terms().equals(terms)) {
                latest = Math.max(latest, earlier.bindsUntil());
                superseded.remove(earlier);
            }
        }
        superseded.add(new SupersededTerms(terms, latest));
    }

    private void removeExpired(long now) {
        superseded.removeIf(earlier -> earlier.bindsUntil() <= now);
    }

    Map<String, RequestTerms> current() {
        return current;
    }

    /** The terms that earlier settings had for a class and that bind at the time {@code now}, oldest first. */
    List<RequestTerms> supersededTermsFor(String className, long now) {
        return superseded.stream().filter(earlier -> now < earlier.bindsUntil())
                .filter(earlier -> earlier.terms().containsKey(className))
                .map(earlier -> earlier.terms().get(className)).toList();
    }

    /** What another process has to know of the terms at the time {@code now}. */
    Snapshot snapshot(long now) {
        removeExpired(now);
        return new Snapshot(current, List.copyOf(superseded));
    }
}
