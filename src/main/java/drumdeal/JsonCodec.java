package drumdeal;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;

/** Translates the simulator's messages into events and settings, and actions into its commands. */
public final class JsonCodec {
    private static final String EVERY_PEER = "*";

    /** Lists named by number; they belong to the process and are replaced as they come. */
    private final Map<Long, List<Policy.ListedRoute>> routeListsByNumber = new HashMap<>();

    /** Remembers a numbered list of hosts. */
    void storeRouteList(JsonReader message) {
        List<Policy.ListedRoute> entries = new ArrayList<>();
        for (Object line : message.listOrEmpty(2)) {
            JsonReader entry = JsonReader.ofArray("directory entry", line);
            entries.add(new Policy.ListedRoute(entry.text(4), (int) entry.integer(5), entry.text(0), entry.text(2),
                    parseAvailability(entry.text(1)), entry.number(6, 0)));
        }
        routeListsByNumber.put(message.integer(1), List.copyOf(entries));
    }

    /** Reads one event of an instance; {@code name} is the first value of the message. */
    Policy.Event readEvent(String name, JsonReader message) {
        return switch (name) {
            case "job-in" -> new Policy.RequestAccepted(message.integer(1), message.text(2), message.textOrNull(3),
                    message.textOrNull(4), message.secondsAsMicros(5), (int) message.integer(7));
            case "flowing" -> new Policy.AnswerStarted(message.integer(1), (int) message.integer(4), message.text(3));
            case "outcome" -> readOutcome(message);
            case "dropped" -> new Policy.RequestWithdrawn(message.integer(1));
            case "reminder" -> new Policy.TimerFired(message.integer(1));
            case "discovery" -> readRouteList(message);
            case "probe-done" -> new Policy.ProbeEnded(message.text(1), parseResult(message.text(2)), 0,
                    message.secondsAsMicros(3, 0), readLimitReport(message, 4));
            case "memo" -> new Policy.PeerNote((int) message.integer(1), decodeHex(message.text(2)));
            default -> throw new JsonDataException("unknown event " + name);
        };
    }

    private static Policy.AttemptEnded readOutcome(JsonReader message) {
        Policy.Result result = parseResult(message.text(4));
        long wait = result == Policy.Result.FULL ? message.integer(2, 0) * 1000 : 0;
        return new Policy.AttemptEnded(message.integer(1), (int) message.integer(5), message.text(6), result,
                message.booleanOrFalse(3), wait, message.secondsAsMicros(7, 0), readLimitReport(message, 8));
    }

    private Policy.RouteListUpdate readRouteList(JsonReader message) {
        Policy.RouteListUpdateType kind = switch (message.text(1)) {
            case "full" -> Policy.RouteListUpdateType.FULL;
            case "cached" -> Policy.RouteListUpdateType.CACHED;
            case "delta" -> Policy.RouteListUpdateType.CHANGES;
            case "failed" -> Policy.RouteListUpdateType.FAILED;
            default -> throw new JsonDataException("discovery: unknown kind " + message.text(1));
        };
        if (kind == Policy.RouteListUpdateType.FAILED) {
            return new Policy.RouteListUpdate(kind, message.integer(2, 0), List.of());
        }
        List<Policy.ListedRoute> entries = routeListsByNumber.get(message.integer(3));
        if (entries == null) {
            throw new JsonDataException("discovery: no directory " + message.integer(3));
        }
        return new Policy.RouteListUpdate(kind, message.integer(2), entries);
    }

    private static Policy.LimitReport readLimitReport(JsonReader message, int at) {
        if (!(message.value(at) instanceof Map<?, ?>)) {
            return Policy.LimitReport.NONE;
        }
        JsonReader report = message.object(at);
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
            default -> throw new JsonDataException("unknown completion code " + code);
        };
    }

    private static Policy.Availability parseAvailability(String word) {
        return switch (word) {
            case "IN" -> Policy.Availability.LISTED;
            case "LAME" -> Policy.Availability.DRAINING;
            case "OUT" -> Policy.Availability.REMOVED;
            default -> throw new JsonDataException("directory entry: unknown availability " + word);
        };
    }

    private static byte[] decodeHex(String hex) {
        try {
            return HexFormat.of().parseHex(hex);
        } catch (IllegalArgumentException e) {
            throw new JsonDataException("memo: blob is not hex");
        }
    }

    /** Reads the settings of a {@code launch}, which a relay on sockets finds in its configuration. */
    public static Policy.Settings readSettings(long seed, JsonReader params) {
        JsonReader info = params.object("family-info");
        return new Policy.Settings(seed, (int) params.integer("me"), (int) params.integer("fleet-size"),
                params.text("zone"), readRequestClasses(params), readTenants(params), readKinds(params, info), readZones(params, info),
                readLimits(params.object("limits"), info), readRules(params.object("contract")),
                params.number("over-share-worth", 1), "by_half".equals(info.textOrNull("fades")),
                "subscribe".equals(params.textOrNull("registry-mode")), readRateHint(params),
                params.object("fees").number("cross-zone", 0));
    }

    private static Policy.RateHint readRateHint(JsonReader params) {
        String source = params.textOrNull("weight-source");
        return source == null ? Policy.RateHint.NONE : switch (source) {
            case "nominal" -> Policy.RateHint.NOMINAL;
            case "rough" -> Policy.RateHint.ROUGH;
            default -> Policy.RateHint.NONE;
        };
    }

    private static List<Policy.RequestClass> readRequestClasses(JsonReader params) {
        List<Policy.RequestClass> classes = new ArrayList<>();
        for (Object json : params.listOrEmpty("classes")) {
            JsonReader entry = JsonReader.ofObject("classes", json);
            classes.add(new Policy.RequestClass(entry.text("name"), parseRepeat(entry.text("repeat")), readKeyScope(entry),
                    entry.secondsAsMicros("dedup-window-s", 0), entry.secondsAsMicros("goal-time-s"), entry.secondsAsMicros("deadline-s"),
                    entry.number("worth", 1), entry.number("late-worth", 0), entry.booleanOrFalse("fifo-by-key")));
        }
        return classes;
    }

    private static Policy.Idempotency parseRepeat(String word) {
        return switch (word) {
            case "repeatable" -> Policy.Idempotency.REPEATABLE;
            case "by_key" -> Policy.Idempotency.BY_KEY;
            case "once" -> Policy.Idempotency.ONCE;
            default -> throw new JsonDataException("classes: unknown repeat " + word);
        };
    }

    private static Policy.KeyScope readKeyScope(JsonReader entry) {
        String word = entry.textOrNull("key-scope");
        return word == null ? Policy.KeyScope.ALL : switch (word) {
            case "all" -> Policy.KeyScope.ALL;
            case "zone" -> Policy.KeyScope.ZONE;
            case "cell" -> Policy.KeyScope.CELL;
            default -> throw new JsonDataException("classes: unknown key-scope " + word);
        };
    }

    private static List<Policy.Tenant> readTenants(JsonReader params) {
        List<Policy.Tenant> tenants = new ArrayList<>();
        for (Object json : params.listOrEmpty("accounts")) {
            JsonReader entry = JsonReader.ofObject("accounts", json);
            tenants.add(new Policy.Tenant(entry.text("name"), entry.number("quota-rps", 0)));
        }
        return tenants;
    }

    private static List<Policy.DestinationKind> readKinds(JsonReader params, JsonReader info) {
        List<?> names = params.listOrEmpty("kinds");
        List<?> apart = info.listOrEmpty("routes-apart");
        List<?> batches = info.listOrEmpty("batch-by-kind");
        List<Policy.DestinationKind> kinds = new ArrayList<>();
        for (int i = 0; i < names.size(); i++) {
            int batch = i < batches.size() && batches.get(i) instanceof Number n ? n.intValue() : 1;
            boolean separate = i < apart.size() && Boolean.TRUE.equals(apart.get(i));
            kinds.add(new Policy.DestinationKind(String.valueOf(names.get(i)), separate, batch));
        }
        return kinds;
    }

    private static List<Policy.Zone> readZones(JsonReader params, JsonReader info) {
        List<?> names = params.listOrEmpty("zones");
        List<?> tolls = info.listOrEmpty("toll");
        List<Policy.Zone> zones = new ArrayList<>();
        for (int i = 0; i < names.size(); i++) {
            double toll = i < tolls.size() && tolls.get(i) instanceof Number n ? n.doubleValue() : 0;
            zones.add(new Policy.Zone(String.valueOf(names.get(i)), toll));
        }
        return zones;
    }

    private static Policy.Limits readLimits(JsonReader limits, JsonReader info) {
        return new Policy.Limits((int) info.integer("call-slots"), (int) limits.integer("max-open"),
                (int) limits.integer("send-cap"), limits.booleanOrFalse("may-cancel"), limits.booleanOrFalse("probes"),
                limits.booleanOrFalse("peers"), limits.booleanOrFalse("second-copies"), limits.booleanOrFalse("retry-after"),
                limits.secondsAsMicros("connect-timeout-s", 0));
    }

    private static Policy.ServiceRules readRules(JsonReader contract) {
        return new Policy.ServiceRules(contract.secondsAsMicros("answer-slack-s", 0), contract.secondsAsMicros("drain-grace-s", 0),
                contract.number("fall-multiple", 1), contract.secondsAsMicros("fall-s", 0),
                contract.number("cold-from", 0), contract.secondsAsMicros("warm-up-s", 0),
                contract.secondsAsMicros("must-ask-in-s", 0), contract.secondsAsMicros("order-pause-s", 0));
    }

    /** Writes actions as the commands of one instance. */
    record CommandWriter(JsonGenerator generator) implements Policy.Actions {
        @Override
        public void startAttempt(long id, String route, long timeout) {
            writeCommand("place", id, route, timeout / 1e6);
        }

        @Override
        public void cancelAttempt(long id, int attempt) {
            writeCommand("withdraw", id, attempt);
        }

        @Override
        public void rejectRequest(long id, long retryIn) {
            writeCommand("deny", id, retryIn / 1e6);
        }

        @Override
        public void failRequest(long id) {
            writeCommand("end-failed", id);
        }

        @Override
        public void setTimer(long name, long delay) {
            writeCommand("remind", name, delay / 1e6);
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
        public void sendPeerNote(int relay, byte[] bytes) {
            String hex = HexFormat.of().formatHex(bytes);
            if (relay < 0) {
                writeCommand("memo-to", EVERY_PEER, hex);
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

        void writeInternalError(String text) {
            writeCommand("internal-error", text);
        }

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
