package drumdeal.relay;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

/** Totals since the start of the process, for operators. Unlike {@link IntervalCounters}, they are never reset. */
final class Stats {
    /** Messages of one class by the way they ended. */
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

    /** Adds an entry for each class; it stays after the settings drop the class. */
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

    /** Counts messages that have been written completely to an endpoint. */
    void countWritten(int messages) {
        writtenMessages += messages;
    }

    void countReload() {
        reloads++;
    }

    void countReloadError() {
        reloadErrors++;
    }

    /**
     * All totals as a JSON object, with three current figures: messages whose end is not decided ({@code pending}),
     * hosts in the list ({@code members}) and routes that are avoided now ({@code unavailable}).
     */
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
