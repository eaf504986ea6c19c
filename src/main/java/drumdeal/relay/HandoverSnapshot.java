package drumdeal.relay;

import drumdeal.Policy;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Where a relay stands as its older process stops deciding: its list, what its module has learned, and what of the
 * bounds that hold for both processes together it still uses.
 */
record HandoverSnapshot(long listVersion, List<Target> targets, byte[] learnedState, int callsInFlight, int connections) {

    void write(DataOutputStream out) throws IOException {
        out.writeLong(listVersion);
        out.writeInt(targets.size());
        for (Target target : targets) {
            Policy.ListedRoute listed = target.listed();
            out.writeUTF(listed.route());
            out.writeInt(listed.destination());
            out.writeUTF(listed.kind());
            out.writeUTF(listed.zone());
            out.writeUTF(listed.availability().name());
            out.writeDouble(listed.ratePerSecond());
            out.writeUTF(target.address().getHostString() + ":" + target.address().getPort());
        }
        out.writeInt(learnedState.length);
        out.write(learnedState);
        out.writeInt(callsInFlight);
        out.writeInt(connections);
    }

    static HandoverSnapshot read(DataInputStream in) throws IOException {
        long version = in.readLong();
        List<Target> targets = new ArrayList<>();
        for (int left = in.readInt(); left > 0; left--) {
            Policy.ListedRoute listed = new Policy.ListedRoute(in.readUTF(), in.readInt(), in.readUTF(), in.readUTF(),
                    Policy.Availability.valueOf(in.readUTF()), in.readDouble());
            targets.add(new Target(listed, Config.parseAddress(in.readUTF())));
        }
        byte[] memory = in.readNBytes(in.readInt());
        return new HandoverSnapshot(version, targets, memory, in.readInt(), in.readInt());
    }
}
