package drumdeal;

import drumdeal.State.Circuit;
import drumdeal.State.CircuitState;
import drumdeal.State.Destination;
import drumdeal.State.Group;
import drumdeal.State.Rate;
import drumdeal.State.Route;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Map;

/** What of {@link State} outlives the process in an upgrade: all but requests, calls out and notes. */
final class Memory {
    private static final int VERSION = 2;

    private Memory() { }

    static byte[] pack(Map<Integer, Destination> destinations, Map<Integer, Group> groups, Map<String, Route> routes) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeInt(VERSION);
            out.writeInt(destinations.size());
            for (Map.Entry<Integer, Destination> entry : destinations.entrySet()) {
                out.writeInt(entry.getKey());
                write(out, entry.getValue().came);
                write(out, entry.getValue().lost);
            }
            out.writeInt(groups.size());
            for (Group group : groups.values()) {
                write(out, group);
            }
            out.writeInt(routes.size());
            for (Route route : routes.values()) {
                out.writeUTF(route.name);
                out.writeDouble(route.errorRate);
                out.writeDouble(route.response);
                out.writeLong(route.answeredAt);
                write(out, route.circuit);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    /** Takes in what is known of routes in the list; what another version of the software wrote is passed over. */
    static void unpack(byte[] memory, Map<Integer, Destination> destinations, Map<Integer, Group> groups,
            Map<String, Route> routes) {
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(memory))) {
            if (memory.length == 0 || in.readInt() != VERSION) {
                return;
            }
            for (int left = in.readInt(); left > 0; left--) {
                Destination known = destinations.get(in.readInt());
                Destination destination = known == null ? new Destination(0) : known;
                read(in, destination.came);
                read(in, destination.lost);
            }
            for (int left = in.readInt(); left > 0; left--) {
                int number = in.readInt();
                Group known = groups.get(number);
                read(in, known == null ? new Group(number, 0) : known);
            }
            for (int left = in.readInt(); left > 0; left--) {
                Route known = routes.get(in.readUTF());
                double errorRate = in.readDouble();
                double response = in.readDouble();
                long answeredAt = in.readLong();
                read(in, known == null ? new Circuit() : known.circuit);
                if (known != null) {
                    known.errorRate = errorRate;
                    known.response = response;
                    known.answeredAt = answeredAt;
                }
            }
        } catch (IOException | IllegalArgumentException e) {
            // What has been read so far holds; the rest is learned anew.
            return;
        }
    }

    private static void write(DataOutputStream out, Group group) throws IOException {
        out.writeInt(group.number);
        write(out, group.circuit);
        write(out, group.served);
        write(out, group.sent);
        out.writeDouble(group.pace);
        out.writeDouble(group.refusedPace);
        out.writeDouble(group.reportedRate);
        out.writeDouble(group.usualRate);
        out.writeInt(group.refusals);
        for (long time : new long[] {group.nextAt, group.waitUntil, group.cutAt, group.grownAt, group.refusedSince,
            group.releasedAt}) {
            out.writeLong(time);
        }
    }

    private static void read(DataInputStream in, Group group) throws IOException {
        read(in, group.circuit);
        read(in, group.served);
        read(in, group.sent);
        group.pace = in.readDouble();
        group.refusedPace = in.readDouble();
        group.reportedRate = in.readDouble();
        group.usualRate = in.readDouble();
        group.refusals = in.readInt();
        group.nextAt = in.readLong();
        group.waitUntil = in.readLong();
        group.cutAt = in.readLong();
        group.grownAt = in.readLong();
        group.refusedSince = in.readLong();
        group.releasedAt = in.readLong();
    }

    private static void write(DataOutputStream out, Circuit circuit) throws IOException {
        out.writeUTF(circuit.state.name());
        out.writeInt(circuit.run);
        out.writeLong(circuit.openedAt);
        out.writeLong(circuit.until);
        out.writeBoolean(circuit.bySilence);
        out.writeBoolean(circuit.testing);
    }

    private static void read(DataInputStream in, Circuit circuit) throws IOException {
        circuit.state = CircuitState.valueOf(in.readUTF());
        circuit.run = in.readInt();
        circuit.openedAt = in.readLong();
        circuit.until = in.readLong();
        circuit.bySilence = in.readBoolean();
        circuit.testing = in.readBoolean();
    }

    private static void write(DataOutputStream out, Rate rate) throws IOException {
        out.writeLong(rate.since);
        out.writeDouble(rate.count);
        out.writeLong(rate.at);
    }

    private static void read(DataInputStream in, Rate rate) throws IOException {
        rate.since = in.readLong();
        rate.count = in.readDouble();
        rate.at = in.readLong();
    }
}
