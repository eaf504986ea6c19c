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
    void registerClasses(Collection<String> classNames) {
        classNames.forEach(this::totalsFor);
    }

    private ClassTotals totalsFor(String className) {
        return totalsByClass.computeIfAbsent(className, n -> new ClassTotals());
    }

    void countCompleted(String className) {
        totalsFor(className).completed++;
    }

    void countRejected(String className) {
        totalsFor(className).rejected++;
    }

    void countFailed(String className) {
        totalsFor(className).failed++;
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
        try (JsonGenerator json = jsonFactory.createGenerator(text)) {
            json.writeStartObject();
            json.writeObjectFieldStart("downstream_requests");
            for (Map.Entry<String, ClassTotals> entry : totalsByClass.entrySet()) {
                json.writeObjectFieldStart(entry.getKey());
                json.writeNumberField("completed", entry.getValue().completed);
                json.writeNumberField("rejected", entry.getValue().rejected);
                json.writeNumberField("failed", entry.getValue().failed);
                json.writeEndObject();
            }
            json.writeEndObject();
            json.writeNumberField("upstream_requests", writtenMessages);
            json.writeNumberField("pending", pending);
            json.writeNumberField("members", members);
            json.writeNumberField("members_unavailable", unavailable);
            json.writeNumberField("config_reloads", reloads);
            json.writeNumberField("config_reload_errors", reloadErrors);
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return text.toString();
    }
}
