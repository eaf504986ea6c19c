package drumdeal;

import drumdeal.DeliveryState.CircuitBreaker;
import drumdeal.DeliveryState.CircuitState;
import drumdeal.DeliveryState.Destination;
import drumdeal.DeliveryState.LimitGroup;
import drumdeal.DeliveryState.DecayingRate;
import drumdeal.DeliveryState.Route;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Map;

/**
 * Encodes what {@link DeliveryPolicy} has learned about destinations, limit groups and routes, for the next
 * process of the relay: after a restart, from the {@code health} file, or in an upgrade, from the handover.
 * Requests, calls in flight and the state of notes between relays are left out.
 *
 * <p>Layout, in the order of {@link DataOutputStream}: the version; the number of destinations and, for
 * each, its number and its two rates; the number of limit groups and each group; the number of routes and,
 * for each, its name, error rate, response time, time of its last answer, and circuit. Other processes read
 * it, so a change needs a new version.
 */
final class LearnedStateCodec {
    /** Format version, the first value. Data of another version is ignored. */
    private static final int VERSION = 2;

    private LearnedStateCodec() { }

    /** Encodes the state of everything in the given maps. */
    static byte[] encode(Map<Integer, Destination> destinations, Map<Integer, LimitGroup> groups,
            Map<String, Route> routes) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeInt(VERSION);
            out.writeInt(destinations.size());
            for (Map.Entry<Integer, Destination> entry : destinations.entrySet()) {
                out.writeInt(entry.getKey());
                write(out, entry.getValue().acceptedRate);
                write(out, entry.getValue().expiredRate);
            }
            out.writeInt(groups.size());
            for (LimitGroup group : groups.values()) {
                write(out, group);
            }
            out.writeInt(routes.size());
            for (Route route : routes.values()) {
                out.writeUTF(route.name);
                out.writeDouble(route.errorRate);
                out.writeDouble(route.responseMicros);
                out.writeLong(route.lastAnsweredAt);
                write(out, route.circuit);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    /**
     * Copies encoded state into the destinations, groups and routes that exist in the given maps. Entries
     * for others, and data of another format version, are ignored. If the data is damaged, what was read
     * before the damage stays in effect.
     */
    static void restore(byte[] encoded, Map<Integer, Destination> destinations,
            Map<Integer, LimitGroup> groups, Map<String, Route> routes) {
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(encoded))) {
            if (encoded.length == 0 || in.readInt() != VERSION) {
                return;
            }
            for (int remaining = in.readInt(); remaining > 0; remaining--) {
                // An entry that is not in the map is still read, into an object that is discarded.
                Destination known = destinations.get(in.readInt());
                Destination destination = known == null ? new Destination(0) : known;
                read(in, destination.acceptedRate);
                read(in, destination.expiredRate);
            }
            for (int remaining = in.readInt(); remaining > 0; remaining--) {
                int number = in.readInt();
                LimitGroup known = groups.get(number);
                read(in, known == null ? new LimitGroup(number, 0) : known);
            }
            for (int remaining = in.readInt(); remaining > 0; remaining--) {
                Route known = routes.get(in.readUTF());
                double errorRate = in.readDouble();
                double responseMicros = in.readDouble();
                long lastAnsweredAt = in.readLong();
                read(in, known == null ? new CircuitBreaker() : known.circuit);
                if (known != null) {
                    known.errorRate = errorRate;
                    known.responseMicros = responseMicros;
                    known.lastAnsweredAt = lastAnsweredAt;
                }
            }
        } catch (IOException | IllegalArgumentException e) {
            // What has been read so far stays in effect; the rest is learned again.
            return;
        }
    }

    private static void write(DataOutputStream out, LimitGroup group) throws IOException {
        out.writeInt(group.number);
        write(out, group.circuit);
        write(out, group.servedRate);
        write(out, group.sentRate);
        out.writeDouble(group.pacingRate);
        out.writeDouble(group.refusedPacingRate);
        out.writeDouble(group.reportedRate);
        out.writeDouble(group.usualRate);
        out.writeInt(group.consecutiveRefusals);
        for (long instant : new long[] {group.nextCallAt, group.retryAfterUntil, group.lastCutAt,
            group.pacingRateUpdatedAt, group.refusedSince, group.slowStartedAt}) {
            out.writeLong(instant);
        }
    }

    private static void read(DataInputStream in, LimitGroup group) throws IOException {
        read(in, group.circuit);
        read(in, group.servedRate);
        read(in, group.sentRate);
        group.pacingRate = in.readDouble();
        group.refusedPacingRate = in.readDouble();
        group.reportedRate = in.readDouble();
        group.usualRate = in.readDouble();
        group.consecutiveRefusals = in.readInt();
        group.nextCallAt = in.readLong();
        group.retryAfterUntil = in.readLong();
        group.lastCutAt = in.readLong();
        group.pacingRateUpdatedAt = in.readLong();
        group.refusedSince = in.readLong();
        group.slowStartedAt = in.readLong();
    }

    private static void write(DataOutputStream out, CircuitBreaker circuit) throws IOException {
        out.writeUTF(circuit.state.name());
        out.writeInt(circuit.consecutiveFailures);
        out.writeLong(circuit.openedAt);
        out.writeLong(circuit.openUntil);
        out.writeBoolean(circuit.openedBySilence);
        out.writeBoolean(circuit.trialInFlight);
    }

    private static void read(DataInputStream in, CircuitBreaker circuit) throws IOException {
        circuit.state = CircuitState.valueOf(in.readUTF());
        circuit.consecutiveFailures = in.readInt();
        circuit.openedAt = in.readLong();
        circuit.openUntil = in.readLong();
        circuit.openedBySilence = in.readBoolean();
        circuit.trialInFlight = in.readBoolean();
    }

    private static void write(DataOutputStream out, DecayingRate rate) throws IOException {
        out.writeLong(rate.countedSince);
        out.writeDouble(rate.count);
        out.writeLong(rate.updatedAt);
    }

    private static void read(DataInputStream in, DecayingRate rate) throws IOException {
        rate.countedSince = in.readLong();
        rate.count = in.readDouble();
        rate.updatedAt = in.readLong();
    }
}
