package drumdeal;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;

/**
 * Translates JSON into the types of {@link Policy} and back: the simulator's messages into events, a
 * module's actions into the simulator's commands, and the settings, which the simulator sends in its
 * {@code launch} message and a relay on sockets reads from its configuration.
 *
 * <p>Messages and commands are arrays that begin with their name; the comments here give the other values
 * in order. Values written as {@code -} are not read. Times are in seconds on the wire, unless a comment
 * says otherwise.
 */
public final class JsonCodec {
    /** Stands for all other relays in the command {@code memo-to}. */
    private static final String ALL_OTHER_RELAYS = "*";
    private static final int MICROS_PER_MILLI = 1000;

    /**
     * Route lists by the number that the simulator gave them. All instances share them, and a later list
     * replaces the one with the same number.
     */
    private final Map<Long, List<Policy.ListedRoute>> routeListsByNumber = new HashMap<>();

    /**
     * Stores the route list of a message {@code directory, number, entries}. An entry is
     * {@code kind, state, zone, -, route, destination, rate}; its rate is optional.
     */
    void storeRouteList(JsonReader message) {
        List<Policy.ListedRoute> entries = new ArrayList<>();
        for (Object json : message.listOrEmpty(2)) {
            JsonReader entry = JsonReader.ofArray("directory entry", json);
            entries.add(new Policy.ListedRoute(entry.text(4), (int) entry.integer(5), entry.text(0),
                    entry.text(2), parseAvailability(entry.text(1)), entry.number(6, 0)));
        }
        routeListsByNumber.put(message.integer(1), List.copyOf(entries));
    }

    /**
     * Reads an event of an instance; {@code name} is the first value of the message. The messages are:
     *
     * <ul>
     * <li>{@code job-in, id, class, tenant, key, deadline, -, destination}; tenant and key may be null
     * <li>{@code flowing, id, -, route, attempt}
     * <li>{@code outcome, id, retry-after, closed, code, attempt, route, elapsed, report}; the retry-after
     * is in milliseconds and read for the code {@code full} only
     * <li>{@code dropped, id}
     * <li>{@code reminder, timer}
     * <li>{@code discovery, type, version, number of the list}; with the type {@code failed} the version is
     * optional and there is no list
     * <li>{@code probe-done, route, code, elapsed, report}
     * <li>{@code memo, relay, payload}; the payload is in hexadecimal
     * </ul>
     */
    Policy.Event readEvent(String name, JsonReader message) {
        return switch (name) {
            case "job-in" -> new Policy.RequestAccepted(message.integer(1), message.text(2),
                    message.textOrNull(3), message.textOrNull(4), message.secondsAsMicros(5),
                    (int) message.integer(7));
            case "flowing" -> new Policy.AnswerStarted(message.integer(1), (int) message.integer(4),
                    message.text(3));
            case "outcome" -> readOutcome(message);
            case "dropped" -> new Policy.RequestWithdrawn(message.integer(1));
            case "reminder" -> new Policy.TimerFired(message.integer(1));
            case "discovery" -> readRouteListUpdate(message);
            case "probe-done" -> new Policy.ProbeEnded(message.text(1), parseResult(message.text(2)), 0,
                    message.secondsAsMicros(3, 0), readLimitReport(message, 4));
            case "memo" -> new Policy.PeerNote((int) message.integer(1), decodeHex(message.text(2)));
            default -> throw new JsonDataException("unknown event " + name);
        };
    }

    private static Policy.AttemptEnded readOutcome(JsonReader message) {
        Policy.Result result = parseResult(message.text(4));
        long retryAfterMicros = result == Policy.Result.FULL ? message.integer(2, 0) * MICROS_PER_MILLI : 0;
        return new Policy.AttemptEnded(message.integer(1), (int) message.integer(5), message.text(6), result,
                message.booleanOrFalse(3), retryAfterMicros, message.secondsAsMicros(7, 0),
                readLimitReport(message, 8));
    }

    private Policy.RouteListUpdate readRouteListUpdate(JsonReader message) {
        Policy.RouteListUpdateType type = switch (message.text(1)) {
            case "full" -> Policy.RouteListUpdateType.FULL;
            case "cached" -> Policy.RouteListUpdateType.CACHED;
            case "delta" -> Policy.RouteListUpdateType.CHANGES;
            case "failed" -> Policy.RouteListUpdateType.FAILED;
            default -> throw new JsonDataException("discovery: unknown type of update " + message.text(1));
        };
        if (type == Policy.RouteListUpdateType.FAILED) {
            return new Policy.RouteListUpdate(type, message.integer(2, 0), List.of());
        }
        List<Policy.ListedRoute> entries = routeListsByNumber.get(message.integer(3));
        if (entries == null) {
            throw new JsonDataException("discovery: unknown directory number " + message.integer(3));
        }
        return new Policy.RouteListUpdate(type, message.integer(2), entries);
    }

    /**
     * Reads a load report, an object with the optional members {@code x0} and {@code x1};
     * {@link Policy.LimitReport#NONE} if the value is not an object.
     */
    private static Policy.LimitReport readLimitReport(JsonReader message, int index) {
        if (!(message.value(index) instanceof Map<?, ?>)) {
            return Policy.LimitReport.NONE;
        }
        JsonReader report = message.object(index);
        return new Policy.LimitReport(report.number("x0", Double.NaN), report.number("x1", Double.NaN));
    }

    private static Policy.Result parseResult(String code) {
        return switch (code) {
            case "ok" -> Policy.Result.OK;
            case "error" -> Policy.Result.ERROR;
            case "full" -> Policy.Result.FULL;
            case "timeout" -> Policy.Result.TIMEOUT;
            case "connect_failed" -> Policy.Result.CONNECT_FAILED;
            case "reset" -> Policy.Result.RESET;
            case "cancelled" -> Policy.Result.CANCELLED;
            case "moot" -> Policy.Result.NOT_SENT;
            default -> throw new JsonDataException("unknown result code " + code);
        };
    }

    private static Policy.Availability parseAvailability(String state) {
        return switch (state) {
            case "IN" -> Policy.Availability.LISTED;
            case "LAME" -> Policy.Availability.DRAINING;
            case "OUT" -> Policy.Availability.REMOVED;
            default -> throw new JsonDataException("directory entry: unknown state " + state);
        };
    }

    private static byte[] decodeHex(String hex) {
        try {
            return HexFormat.of().parseHex(hex);
        } catch (IllegalArgumentException e) {
            throw new JsonDataException("memo: payload is not hexadecimal");
        }
    }

    /**
     * Reads the settings from the object that the simulator sends as {@code launch, seed, settings} and
     * that a relay on sockets reads as {@code settings} in its configuration. Unknown members are ignored.
     */
    public static Policy.Settings readSettings(long seed, JsonReader settings) {
        JsonReader familyInfo = settings.object("family-info");
        return new Policy.Settings(seed, (int) settings.integer("me"), (int) settings.integer("fleet-size"),
                settings.text("zone"), readRequestClasses(settings), readTenants(settings),
                readKinds(settings, familyInfo), readZones(settings, familyInfo),
                readLimits(settings.object("limits"), familyInfo), readRules(settings.object("contract")),
                settings.number("over-share-worth", 1), "by_half".equals(familyInfo.textOrNull("fades")),
                "subscribe".equals(settings.textOrNull("registry-mode")), readRateHint(settings),
                settings.object("fees").number("cross-zone", 0));
    }

    private static Policy.RateHint readRateHint(JsonReader settings) {
        String source = settings.textOrNull("weight-source");
        return source == null ? Policy.RateHint.NONE : switch (source) {
            case "nominal" -> Policy.RateHint.NOMINAL;
            case "rough" -> Policy.RateHint.ROUGH;
            default -> Policy.RateHint.NONE;
        };
    }

    private static List<Policy.RequestClass> readRequestClasses(JsonReader settings) {
        List<Policy.RequestClass> classes = new ArrayList<>();
        for (Object json : settings.listOrEmpty("classes")) {
            JsonReader entry = JsonReader.ofObject("classes", json);
            classes.add(new Policy.RequestClass(entry.text("name"), parseIdempotency(entry.text("repeat")),
                    readKeyScope(entry), entry.secondsAsMicros("dedup-window-s", 0),
                    entry.secondsAsMicros("goal-time-s"), entry.secondsAsMicros("deadline-s"),
                    entry.number("worth", 1), entry.number("late-worth", 0),
                    entry.booleanOrFalse("fifo-by-key")));
        }
        return classes;
    }

    private static Policy.Idempotency parseIdempotency(String repeat) {
        return switch (repeat) {
            case "repeatable" -> Policy.Idempotency.REPEATABLE;
            case "by_key" -> Policy.Idempotency.BY_KEY;
            case "once" -> Policy.Idempotency.ONCE;
            default -> throw new JsonDataException("classes: unknown repeat " + repeat);
        };
    }

    private static Policy.KeyScope readKeyScope(JsonReader entry) {
        String scope = entry.textOrNull("key-scope");
        return scope == null ? Policy.KeyScope.ALL : switch (scope) {
            case "all" -> Policy.KeyScope.ALL;
            case "zone" -> Policy.KeyScope.ZONE;
            case "cell" -> Policy.KeyScope.CELL;
            default -> throw new JsonDataException("classes: unknown key-scope " + scope);
        };
    }

    private static List<Policy.Tenant> readTenants(JsonReader settings) {
        List<Policy.Tenant> tenants = new ArrayList<>();
        for (Object json : settings.listOrEmpty("accounts")) {
            JsonReader entry = JsonReader.ofObject("accounts", json);
            tenants.add(new Policy.Tenant(entry.text("name"), entry.number("quota-rps", 0)));
        }
        return tenants;
    }

    /**
     * Reads {@code kinds}; {@code routes-apart} and {@code batch-by-kind} have their values in the same
     * order.
     */
    private static List<Policy.DestinationKind> readKinds(JsonReader settings, JsonReader familyInfo) {
        List<?> names = settings.listOrEmpty("kinds");
        List<?> perRouteLimits = familyInfo.listOrEmpty("routes-apart");
        List<?> batchSizes = familyInfo.listOrEmpty("batch-by-kind");
        List<Policy.DestinationKind> kinds = new ArrayList<>();
        for (int i = 0; i < names.size(); i++) {
            int maxBatchSize = i < batchSizes.size() && batchSizes.get(i) instanceof Number n ? n.intValue()
                    : 1;
            boolean hasOwnLimits = i < perRouteLimits.size() && Boolean.TRUE.equals(perRouteLimits.get(i));
            kinds.add(new Policy.DestinationKind(String.valueOf(names.get(i)), hasOwnLimits, maxBatchSize));
        }
        return kinds;
    }

    /** Reads {@code zones}; {@code toll} has its values in the same order. */
    private static List<Policy.Zone> readZones(JsonReader settings, JsonReader familyInfo) {
        List<?> names = settings.listOrEmpty("zones");
        List<?> prices = familyInfo.listOrEmpty("toll");
        List<Policy.Zone> zones = new ArrayList<>();
        for (int i = 0; i < names.size(); i++) {
            double price = i < prices.size() && prices.get(i) instanceof Number n ? n.doubleValue() : 0;
            zones.add(new Policy.Zone(String.valueOf(names.get(i)), price));
        }
        return zones;
    }

    private static Policy.Limits readLimits(JsonReader limits, JsonReader familyInfo) {
        return new Policy.Limits((int) familyInfo.integer("call-slots"), (int) limits.integer("max-open"),
                (int) limits.integer("send-cap"), limits.booleanOrFalse("may-cancel"),
                limits.booleanOrFalse("probes"), limits.booleanOrFalse("peers"),
                limits.booleanOrFalse("second-copies"), limits.booleanOrFalse("retry-after"),
                limits.secondsAsMicros("connect-timeout-s", 0));
    }

    private static Policy.ServiceRules readRules(JsonReader contract) {
        return new Policy.ServiceRules(contract.secondsAsMicros("answer-slack-s", 0),
                contract.secondsAsMicros("drain-grace-s", 0),
                contract.number("fall-multiple", 1), contract.secondsAsMicros("fall-s", 0),
                contract.number("cold-from", 0), contract.secondsAsMicros("warm-up-s", 0),
                contract.secondsAsMicros("must-ask-in-s", 0), contract.secondsAsMicros("order-pause-s", 0));
    }

    /**
     * Writes a module's actions as commands of one instance, in the order of the calls. The values of a
     * command are the arguments of the action; timeouts and delays are written in seconds, payloads in
     * hexadecimal.
     */
    record CommandWriter(JsonGenerator generator) implements Policy.Actions {
        @Override
        public void startAttempt(long id, String route, long timeout) {
            writeCommand("place", id, route, timeout / JsonReader.MICROS_PER_SECOND);
        }

        @Override
        public void cancelAttempt(long id, int attempt) {
            writeCommand("withdraw", id, attempt);
        }

        @Override
        public void rejectRequest(long id, long retryIn) {
            writeCommand("deny", id, retryIn / JsonReader.MICROS_PER_SECOND);
        }

        @Override
        public void failRequest(long id) {
            writeCommand("end-failed", id);
        }

        @Override
        public void setTimer(long timer, long delay) {
            writeCommand("remind", timer, delay / JsonReader.MICROS_PER_SECOND);
        }

        @Override
        public void sendProbe(String route) {
            writeCommand("inspect", route);
        }

        @Override
        public void closeIdleConnections(String route) {
            writeCommand("let-go", route);
        }

        @Override
        public void sendPeerNote(int relay, byte[] payload) {
            String hex = HexFormat.of().formatHex(payload);
            if (relay < 0) {
                writeCommand("memo-to", ALL_OTHER_RELAYS, hex);
            } else {
                writeCommand("memo-to", relay, hex);
            }
        }

        @Override
        public void setRouteListSubscription(boolean on) {
            writeCommand("subscribe", on);
        }

        @Override
        public void fetchRouteList() {
            writeCommand("list-all");
        }

        @Override
        public void log(String text) {
            writeCommand("journal-line", text);
        }

        /** Reports that the module failed in this round. */
        void writeInternalError(String text) {
            writeCommand("internal-error", text);
        }

        /** Writes the array of a command's name and values. */
        private void writeCommand(Object... values) {
            try {
                generator.writeStartArray();
                for (Object value : values) {
                    generator.writePOJO(value);
                }
                generator.writeEndArray();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }
}
