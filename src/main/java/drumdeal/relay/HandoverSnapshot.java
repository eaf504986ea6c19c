package drumdeal.relay;

import drumdeal.Policy;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * State of the older process of a relay at the time when it suspends its decisions. The order of the fields in the
 * frame and the names of {@link Policy.Availability} in it are part of the handover protocol.
 *
 * @param listVersion version of the older process's host list; -1 if it has none
 * @param targets the hosts of that list
 * @param learnedState what its decision module has learned, see {@link Policy#encodeLearnedState}
 * @param callsInFlight its calls in flight, which count towards the limit that both processes share
 * @param connections its connections to clients and hosts, which count towards the descriptors that both share
 * @param terms the terms on which it accepts messages; null if its version does not send them
 * @param callIds ids of messages that it holds or has held; empty if its version does not send them
 */
record HandoverSnapshot(long listVersion, List<Target> targets, byte[] learnedState, int callsInFlight,
        int connections, TermsHistory.Snapshot terms, List<CallIdHistory.Entry> callIds) {

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
        // Versions that do not know what follows ignore the rest of the frame.
        if (terms != null) {
            terms.write(out);
            out.writeInt(callIds.size());
            for (CallIdHistory.Entry entry : callIds) {
                entry.write(out);
            }
        }
    }

    static HandoverSnapshot read(DataInputStream in) throws IOException {
        long listVersion = in.readLong();
        List<Target> targets = new ArrayList<>();
        for (int remaining = in.readInt(); remaining > 0; remaining--) {
            Policy.ListedRoute listed = new Policy.ListedRoute(in.readUTF(), in.readInt(), in.readUTF(), in.readUTF(),
                    Policy.Availability.valueOf(in.readUTF()), in.readDouble());
            targets.add(new Target(listed, Config.parseAddress(in.readUTF())));
        }
        byte[] learnedState = in.readNBytes(in.readInt());
        int callsInFlight = in.readInt();
        int connections = in.readInt();
        TermsHistory.Snapshot terms = in.available() > 0 ? TermsHistory.Snapshot.read(in) : null;
        List<CallIdHistory.Entry> callIds = new ArrayList<>();
        for (int remaining = in.available() > 0 ? in.readInt() : 0; remaining > 0; remaining--) {
            callIds.add(CallIdHistory.Entry.read(in));
        }
        return new HandoverSnapshot(listVersion, targets, learnedState, callsInFlight, connections, terms, callIds);
    }
}
