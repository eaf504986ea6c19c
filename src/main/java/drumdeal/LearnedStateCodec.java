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

/** What of {@link DeliveryState} outlives the process in an upgrade: all but requests, calls out and notes. */
final class LearnedStateCodec {
    private static final int VERSION = 2;

    private LearnedStateCodec() { }

    static byte[] encode(Map<Integer, Destination> destinations, Map<Integer, LimitGroup> groups, Map<String, Route> routes) {
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

    /** Takes in what is known of routes in the list; what another version of the software wrote is passed over. */
    static void restore(byte[] memory, Map<Integer, Destination> destinations, Map<Integer, LimitGroup> groups,
            Map<String, Route> routes) {
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(memory))) {
            if (memory.length == 0 || in.readInt() != VERSION) {
                return;
            }
            for (int left = in.readInt(); left > 0; left--) {
                Destination known = destinations.get(in.readInt());
                Destination destination = known == null ? new Destination(0) : known;
                read(in, destination.acceptedRate);
                read(in, destination.expiredRate);
            }
            for (int left = in.readInt(); left > 0; left--) {
                int number = in.readInt();
                LimitGroup known = groups.get(number);
                read(in, known == null ? new LimitGroup(number, 0) : known);
            }
            for (int left = in.readInt(); left > 0; left--) {
                Route known = routes.get(in.readUTF());
                double errorRate = in.readDouble();
                double response = in.readDouble();
                long answeredAt = in.readLong();
                read(in, known == null ? new CircuitBreaker() : known.circuit);
                if (known != null) {
                    known.errorRate = errorRate;
                    known.responseMicros = response;
                    known.lastAnsweredAt = answeredAt;
                }
            }
        } catch (IOException | IllegalArgumentException e) {
            // What has been read so far holds; the rest is learned anew.
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
        for (long time : new long[] {group.nextCallAt, group.retryAfterUntil, group.lastCutAt, group.lastGrownAt, group.refusedSince,
            group.slowStartedAt}) {
            out.writeLong(time);
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
        group.lastGrownAt = in.readLong();
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
