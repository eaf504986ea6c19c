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
record Standing(long version, List<Target> targets, byte[] memory, int callsOut, int connections) {

    void write(DataOutputStream out) throws IOException {
        out.writeLong(version);
        out.writeInt(targets.size());
        for (Target target : targets) {
            Policy.Listed listed = target.listed();
            out.writeUTF(listed.route());
            out.writeInt(listed.destination());
            out.writeUTF(listed.kind());
            out.writeUTF(listed.zone());
            out.writeUTF(listed.availability().name());
            out.writeDouble(listed.rate());
            out.writeUTF(target.address().getHostString() + ":" + target.address().getPort());
        }
        out.writeInt(memory.length);
        out.write(memory);
        out.writeInt(callsOut);
        out.writeInt(connections);
    }

    static Standing read(DataInputStream in) throws IOException {
        long version = in.readLong();
        List<Target> targets = new ArrayList<>();
        for (int left = in.readInt(); left > 0; left--) {
            Policy.Listed listed = new Policy.Listed(in.readUTF(), in.readInt(), in.readUTF(), in.readUTF(),
                    Policy.Availability.valueOf(in.readUTF()), in.readDouble());
            targets.add(new Target(listed, Config.address(in.readUTF())));
        }
        byte[] memory = in.readNBytes(in.readInt());
        return new Standing(version, targets, memory, in.readInt(), in.readInt());
    }
}
