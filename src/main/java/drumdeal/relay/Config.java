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
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * Everything that a relay is told at its start. Spans are in microseconds; {@code knownVersion} is -1 and
 * {@code known} empty where no earlier list is known; {@code admin} is null where operators have no address.
 * {@code source} is the file as it was read.
 */
record Config(InetSocketAddress listenAddress, InetSocketAddress adminAddress, InetSocketAddress discoveryAddress, Path stateFolder,
        int socketLimit, long diskBytes,
        Policy.Settings settings, long roundDelayMicros, long connectionIdleTimeoutMicros, boolean usesLoadReports, long knownListVersion,
        List<Target> knownTargets, Map<?, ?> source) {

    private static final long BYTES_PER_MIB = 1 << 20;
    /** Descriptors for all but connections: the JVM's, journal's, discovery's, operators', one just accepted. */
    private static final int RESERVED_DESCRIPTORS = 36 + AdminServer.MAX_CONNECTIONS;
    private static final double CLIENT_CONNECTION_SHARE = 0.55;
    /** What a later file need not have. */
    private static final Set<String> OPTIONAL_PATHS = Set.of("/known", "/admin_addr");

    /** A setting that is missing or makes no sense; the message is for staff. */
    static final class BadConfigException extends Exception {
        private static final long serialVersionUID = 1L;

        BadConfigException(String message) {
            super(message);
        }
    }

    /** Reads the configuration that the environment names. */
    static Config read(Map<String, String> environment) throws BadConfigException {
        Path file = Path.of(requireVariable(environment, "EDGE_CONFIG"));
        Path state = Path.of(requireVariable(environment, "EDGE_STATE"));
        try (JsonParser parser = new JsonFactory().createParser(Files.readString(file))) {
            parser.nextToken();
            if (!(JsonReader.readValue(parser) instanceof Map<?, ?> source) || parser.nextToken() != null) {
                throw new JsonDataException("one object is needed");
            }
            return of(source, state, environment.get("EDGE_ADMIN_ADDR"));
        } catch (IOException e) {
            throw new BadConfigException("EDGE_CONFIG: can't be read: " + e.getMessage());
        } catch (JsonDataException | IllegalArgumentException e) {
            throw new BadConfigException("EDGE_CONFIG: " + e.getMessage());
        }
    }

    private static Config of(Map<?, ?> source, Path state, String ownAdmin) {
        JsonReader json = JsonReader.ofObject("config", source);
        JsonReader params = json.object("settings");
        JsonReader limits = json.object("limits");
        Policy.Settings settings = JsonCodec.readSettings(Long.parseUnsignedLong(json.text("seed"), 16), params);
        long version = -1;
        List<Target> known = List.of();
        if (json.value("known") != null) {
            JsonReader list = json.object("known");
            version = list.integer("rev");
            known = Target.readAll(list);
        }
        String how = params.value("stats") == null ? null : params.object("stats").textOrNull("how");
        // Guards against two versions that run at once from one file: each has the address of its environment.
        String admin = ownAdmin == null || ownAdmin.isEmpty() ? json.textOrNull("admin_addr") : ownAdmin;
        return new Config(parseAddress(json.text("listen")), admin == null ? null : parseAddress(admin),
                parseAddress(json.text("discovery")), state, socketLimit(limits),
                (long) (limits.number("disk_mb") * BYTES_PER_MIB), settings, params.secondsAsMicros("period-s", 0),
                params.object("limits").secondsAsMicros("conn-idle-s"), how != null && !how.equals("off"), version, known,
                source);
    }

    /**
     * What a later file lacks that this one has, or has of another kind; null where nothing. Guards against a file
     * that can be read but is not whole: what is optional by itself would silently take its default.
     */
    String findMissingSetting(Config later) {
        return findMissingPath("", source, later.source);
    }

    private static String findMissingPath(String where, Object here, Object there) {
        if (here instanceof Map<?, ?> members) {
            if (!(there instanceof Map<?, ?> others)) {
                return where;
            }
            for (Map.Entry<?, ?> member : members.entrySet()) {
                String path = where + "/" + member.getKey();
                String lack = OPTIONAL_PATHS.contains(path) ? null
                        : findMissingPath(path, member.getValue(), others.get(member.getKey()));
                if (lack != null) {
                    return lack;
                }
            }
            return null;
        }
        if (here instanceof List<?> entries) {
            return there instanceof List<?> others ? findMissingPathInEntries(where, entries, others) : where;
        }
        boolean alike = here == null || here instanceof Number && there instanceof Number
                || there != null && here.getClass() == there.getClass();
        return alike ? null : where;
    }

    /** Entries come and go; each has what all of the present ones have. */
    private static String findMissingPathInEntries(String where, List<?> here, List<?> there) {
        if (here.isEmpty() || !here.stream().allMatch(entry -> entry instanceof Map)) {
            return null;
        }
        Map<Object, Object> common = new HashMap<>((Map<?, ?>) here.get(0));
        here.forEach(entry -> common.keySet().retainAll(((Map<?, ?>) entry).keySet()));
        return there.stream().map(entry -> findMissingPath(where, common, entry)).filter(Objects::nonNull).findFirst()
                .orElse(null);
    }

    private static int socketLimit(JsonReader limits) {
        long sockets = limits.integer("sockets");
        if (sockets <= RESERVED_DESCRIPTORS) {
            throw new IllegalArgumentException("limits.sockets: more than " + RESERVED_DESCRIPTORS + " are needed");
        }
        return (int) Math.min(sockets, Integer.MAX_VALUE);
    }

    /** How many descriptors another process takes, with so many connections and all that it has besides. */
    static int descriptorsFor(int connections) {
        return connections + RESERVED_DESCRIPTORS;
    }

    /** How many connections clients may hold. */
    int maxClientConnections() {
        return (int) Math.ceil(CLIENT_CONNECTION_SHARE * (socketLimit - RESERVED_DESCRIPTORS));
    }

    /** How many connections to hosts there may be. */
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

    /** An address in digits with its port: there is no DNS. */
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
