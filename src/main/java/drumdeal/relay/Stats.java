package drumdeal.relay;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

/** Totals since the start of the process, for operators; unlike {@link IntervalCounters} they are never cleared. */
final class Stats {
    /** How the messages of one class have ended. */
    private static final class ClassTotals {
        private long completed;
        private long rejected;
        private long failed;
    }

    private final JsonFactory jsonFactory = new JsonFactory();
    private final Map<String, ClassTotals> totalsByClass = new LinkedHashMap<>();
    private long writtenMessages;
    private long reloads;
    private long reloadErrors;

    /** A class has its entry from now on, also once it is dropped. */
    void registerClasses(Collection<String> names) {
        names.forEach(this::totalsFor);
    }

    private ClassTotals totalsFor(String name) {
        return totalsByClass.computeIfAbsent(name, n -> new ClassTotals());
    }

    void countCompleted(String name) {
        totalsFor(name).completed++;
    }

    void countRejected(String name) {
        totalsFor(name).rejected++;
    }

    void countFailed(String name) {
        totalsFor(name).failed++;
    }

    /** So many messages have been written whole to an endpoint. */
    void countWritten(int messages) {
        writtenMessages += messages;
    }

    void countReload() {
        reloads++;
    }

    void countReloadError() {
        reloadErrors++;
    }

    /** All figures as JSON, with those that stand for this moment alone. */
    String toJson(int pending, int members, int unavailable) {
        StringWriter text = new StringWriter();
        try (JsonGenerator out = jsonFactory.createGenerator(text)) {
            out.writeStartObject();
            out.writeObjectFieldStart("downstream_requests");
            for (Map.Entry<String, ClassTotals> entry : totalsByClass.entrySet()) {
                out.writeObjectFieldStart(entry.getKey());
                out.writeNumberField("completed", entry.getValue().completed);
                out.writeNumberField("rejected", entry.getValue().rejected);
                out.writeNumberField("failed", entry.getValue().failed);
                out.writeEndObject();
            }
            out.writeEndObject();
            out.writeNumberField("upstream_requests", writtenMessages);
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
