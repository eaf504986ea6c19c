package drumdeal.relay;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import drumdeal.JsonReader;
import drumdeal.Policy;
import drumdeal.JsonCodec;
import drumdeal.JsonDataException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * Configuration of a relay, read from a JSON file and the environment at the start and at each reload.
 *
 * @param listenAddress where clients connect
 * @param adminAddress where operators connect; null if there is no server for them
 * @param discoveryAddress where the discovery agent listens
 * @param stateFolder root of the files that survive the process
 * @param socketLimit file descriptors that the process may use
 * @param diskBytes disk that the files in the state folder may take
 * @param settings settings of the decision module
 * @param roundDelayMicros time from an event to the round of decisions that handles it
 * @param connectionIdleTimeoutMicros time after which a host closes an idle connection; the relay closes it earlier
 * @param usesLoadReports whether hosts report their load; probes then ask for the report
 * @param knownListVersion version of the host list known from before; -1 if none is known
 * @param knownTargets hosts of the list known from before; empty if none is known
 * @param source the file as it was read
 */
record Config(InetSocketAddress listenAddress, InetSocketAddress adminAddress, InetSocketAddress discoveryAddress,
        Path stateFolder, int socketLimit, long diskBytes, Policy.Settings settings, long roundDelayMicros,
        long connectionIdleTimeoutMicros, boolean usesLoadReports, long knownListVersion, List<Target> knownTargets,
        Map<?, ?> source) {

    private static final long BYTES_PER_MIB = 1 << 20;
    /**
     * Descriptors kept for everything but connections to clients and hosts: the JVM, the journal, discovery, operators'
     * connections and one connection that has just been accepted.
     */
    private static final int RESERVED_DESCRIPTORS = 36 + AdminServer.MAX_CONNECTIONS;
    /** Share of the remaining descriptors that clients' connections may take; hosts' connections take the rest. */
    private static final double CLIENT_CONNECTION_SHARE = 0.55;
    /** Paths that a reloaded file may lack although the current one has them. */
    private static final Set<String> OPTIONAL_PATHS = Set.of("/known", "/admin_addr");

    /** The configuration can't be read, or a setting is missing or invalid; the message is for operators. */
    static final class BadConfigException extends Exception {
        private static final long serialVersionUID = 1L;

        BadConfigException(String message) {
            super(message);
        }
    }

    /**
     * Reads the configuration: {@code EDGE_CONFIG} names the file, {@code EDGE_STATE} the state folder, and
     * {@code EDGE_ADMIN_ADDR}, which may be absent, replaces the file's address for operators.
     */
    static Config read(Map<String, String> environment) throws BadConfigException {
        Path file = Path.of(requireVariable(environment, "EDGE_CONFIG"));
        Path stateFolder = Path.of(requireVariable(environment, "EDGE_STATE"));
        try (JsonParser parser = new JsonFactory().createParser(StateFolder.readFile(file))) {
            parser.nextToken();
            if (!(JsonReader.readValue(parser) instanceof Map<?, ?> source) || parser.nextToken() != null) {
                throw new JsonDataException("one object is needed");
            }
            return fromJson(source, stateFolder, environment.get("EDGE_ADMIN_ADDR"));
        } catch (IOException e) {
            throw new BadConfigException("EDGE_CONFIG: can't be read: " + e.getMessage());
        } catch (JsonDataException | IllegalArgumentException e) {
            throw new BadConfigException("EDGE_CONFIG: " + e.getMessage());
        }
    }

    private static Config fromJson(Map<?, ?> source, Path stateFolder, String adminOverride) {
        JsonReader json = JsonReader.ofObject("config", source);
        JsonReader settingsJson = json.object("settings");
        JsonReader limitsJson = json.object("limits");
        Policy.Settings settings = JsonCodec.readSettings(Long.parseUnsignedLong(json.text("seed"), 16), settingsJson);
        long knownVersion = -1;
        List<Target> known = List.of();
        if (json.value("known") != null) {
            JsonReader knownJson = json.object("known");
            knownVersion = knownJson.integer("rev");
            known = Target.readAll(knownJson);
        }
        String reportMode = settingsJson.value("stats") == null ? null : settingsJson.object("stats").textOrNull("how");
        // During an upgrade two processes run from one file; each gets an address of its own from its environment.
        String adminText = adminOverride == null || adminOverride.isEmpty() ? json.textOrNull("admin_addr")
                : adminOverride;
        return new Config(parseAddress(json.text("listen")), adminText == null ? null : parseAddress(adminText),
                parseAddress(json.text("discovery")), stateFolder, socketLimit(limitsJson),
                (long) (limitsJson.number("disk_mb") * BYTES_PER_MIB), settings,
                settingsJson.secondsAsMicros("period-s", 0),
                settingsJson.object("limits").secondsAsMicros("conn-idle-s"),
                reportMode != null && !reportMode.equals("off"), knownVersion, known, source);
    }

    /**
     * Compares a file read later with this one. Returns the path of the first setting that the later file lacks or has
     * with another JSON type, or null if there is none. Without this check an incomplete file that can still be
     * parsed would be accepted, and its missing optional settings would silently take their defaults.
     */
    String findMissingSetting(Config later) {
        return findMissingPath("", source, later.source);
    }

    /** Compares the JSON values of both files at one path; returns as {@link #findMissingSetting} does. */
    private static String findMissingPath(String path, Object current, Object later) {
        if (current instanceof Map<?, ?> currentMembers) {
            if (!(later instanceof Map<?, ?> laterMembers)) {
                return path;
            }
            for (Map.Entry<?, ?> member : currentMembers.entrySet()) {
                String memberPath = path + "/" + member.getKey();
                String missing = OPTIONAL_PATHS.contains(memberPath) ? null
                        : findMissingPath(memberPath, member.getValue(), laterMembers.get(member.getKey()));
                if (missing != null) {
                    return missing;
                }
            }
            return null;
        }
        if (current instanceof List<?> currentEntries) {
            return later instanceof List<?> laterEntries
                    ? findMissingPathInEntries(path, currentEntries, laterEntries) : path;
        }
        boolean sameType = current == null || current instanceof Number && later instanceof Number
                || later != null && current.getClass() == later.getClass();
        return sameType ? null : path;
    }

    /**
     * Compares two lists. Entries may have been added or removed, but each entry of the later list needs the members
     * that all entries of the current list have in common.
     */
    private static String findMissingPathInEntries(String path, List<?> currentEntries, List<?> laterEntries) {
        if (currentEntries.isEmpty() || !currentEntries.stream().allMatch(entry -> entry instanceof Map)) {
            return null;
        }
        Map<Object, Object> commonMembers = new HashMap<>((Map<?, ?>) currentEntries.get(0));
        currentEntries.forEach(entry -> commonMembers.keySet().retainAll(((Map<?, ?>) entry).keySet()));
        return laterEntries.stream().map(entry -> findMissingPath(path, commonMembers, entry))
                .filter(Objects::nonNull).findFirst().orElse(null);
    }

    /** Reads {@code limits.sockets}, which must leave descriptors for connections. */
    private static int socketLimit(JsonReader limitsJson) {
        long sockets = limitsJson.integer("sockets");
        if (sockets <= RESERVED_DESCRIPTORS) {
            throw new IllegalArgumentException("limits.sockets: more than " + RESERVED_DESCRIPTORS + " are needed");
        }
        return (int) Math.min(sockets, Integer.MAX_VALUE);
    }

    /** Descriptors that a process with this many connections takes, including those for everything else. */
    static int descriptorsFor(int connections) {
        return connections + RESERVED_DESCRIPTORS;
    }

    /** Largest number of connections that clients may hold. */
    int maxClientConnections() {
        return (int) Math.ceil(CLIENT_CONNECTION_SHARE * (socketLimit - RESERVED_DESCRIPTORS));
    }

    /** Largest number of connections to hosts. */
    int maxHostConnections() {
        return Math.max(1, socketLimit - RESERVED_DESCRIPTORS - maxClientConnections());
    }

    private static String requireVariable(Map<String, String> environment, String name) throws BadConfigException {
        String value = environment.get(name);
        if (value == null || value.isEmpty()) {
            throw new BadConfigException(name + " is not set");
        }
        return value;
    }

    /** Parses a numeric IPv4 address, or an IPv6 address in brackets, with its port; names are not resolved. */
    static InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        String host = colon < 0 ? "" : text.substring(0, colon);
        if (!host.matches("[0-9.]+|\\[[0-9a-fA-F:]+]")) {
            throw new IllegalArgumentException("no address with a port: " + text);
        }
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            return new InetSocketAddress(InetAddress.getByName(host), port);
        } catch (NumberFormatException | UnknownHostException e) {
            throw new IllegalArgumentException("no address with a port: " + text, e);
        }
    }
}
