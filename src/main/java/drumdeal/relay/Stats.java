package drumdeal.relay;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

/** Totals since the start of the process, for operators; unlike {@link Counters} they are never cleared. */
final class Stats {
    /** How the messages of one class have ended. */
    private static final class Ends {
        private long completed;
        private long rejected;
        private long failed;
    }

    private final JsonFactory json = new JsonFactory();
    private final Map<String, Ends> classes = new LinkedHashMap<>();
    private long written;
    private long reloads;
    private long reloadErrors;

    /** A class has its entry from now on, also once it is dropped. */
    void know(Collection<String> names) {
        names.forEach(this::ends);
    }

    private Ends ends(String name) {
        return classes.computeIfAbsent(name, n -> new Ends());
    }

    void completed(String name) {
        ends(name).completed++;
    }

    void rejected(String name) {
        ends(name).rejected++;
    }

    void failed(String name) {
        ends(name).failed++;
    }

    /** So many messages have been written whole to an endpoint. */
    void written(int messages) {
        written += messages;
    }

    void reloaded() {
        reloads++;
    }

    void reloadFailed() {
        reloadErrors++;
    }

    /** All figures as JSON, with those that stand for this moment alone. */
    String json(int pending, int members, int unavailable) {
        StringWriter text = new StringWriter();
        try (JsonGenerator out = json.createGenerator(text)) {
            out.writeStartObject();
            out.writeObjectFieldStart("downstream_requests");
            for (Map.Entry<String, Ends> entry : classes.entrySet()) {
                out.writeObjectFieldStart(entry.getKey());
                out.writeNumberField("completed", entry.getValue().completed);
                out.writeNumberField("rejected", entry.getValue().rejected);
                out.writeNumberField("failed", entry.getValue().failed);
                out.writeEndObject();
            }
            out.writeEndObject();
            out.writeNumberField("upstream_requests", written);
            out.writeNumberField("pending", pending);
            out.writeNumberField("members", members);
            out.writeNumberField("members_unavailable", unavailable);
            out.writeNumberField("config_reloads", reloads);
            out.writeNumberField("config_reload_errors", reloadErrors);
            out.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return text.toString();
    }
}
