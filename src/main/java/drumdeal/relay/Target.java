package drumdeal.relay;

import drumdeal.JsonReader;
import drumdeal.Policy;
import drumdeal.JsonDataException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/** A host in discovery's list, as the decision module knows it, and the address at which this relay reaches it. */
record Target(Policy.ListedRoute listed, InetSocketAddress address) {

    /** Reads the entries of a list; invalid ones are logged and ignored. */
    static List<Target> readAll(JsonReader list) {
        List<Target> targets = new ArrayList<>();
        for (Object json : list.listOrEmpty("targets")) {
            try {
                targets.add(read(JsonReader.ofObject("targets", json)));
            } catch (JsonDataException | IllegalArgumentException e) {
                Log.write("discovery: ignored an invalid entry: " + e.getMessage());
            }
        }
        return targets;
    }

    /** Reads one entry; throws if a required member is missing or any is invalid. */
    private static Target read(JsonReader entry) {
        Policy.Availability availability = switch (entry.text("state")) {
            case "in_service" -> Policy.Availability.LISTED;
            case "terminating" -> Policy.Availability.DRAINING;
            case "terminated" -> Policy.Availability.REMOVED;
            default -> throw new JsonDataException("unknown state " + entry.text("state"));
        };
        Policy.ListedRoute listed = new Policy.ListedRoute(entry.text("uid"), (int) entry.integer("pod_group"),
                entry.text("model"), entry.text("az"), availability, entry.number("capacity_hint", 0));
        return new Target(listed, Config.parseAddress(entry.text("endpoint")));
    }
}
