package drumdeal;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStreamWriter;
import java.io.Reader;
import java.io.StringWriter;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * Connects decision modules to the simulator: hosts one module for each simulated relay, called an instance
 * on the wire.
 *
 * <p>The simulator sends a batch as one JSON line and waits for one JSON line in reply. A batch
 * {@code {"t-s":...,"n":...,"groups":[{"i":...,"in":[...]},...]}} has the time in seconds, its own number,
 * and for each instance its messages. A batch is one round of each instance that it launches or has events
 * for. The reply {@code {"n":...,"groups":[{"i":...,"cmds":[...]},...]}} has the number of the batch and
 * the commands of each instance. {@link JsonCodec} describes messages and commands.
 */
public final class SimulatorAdapter {
    private final JsonFactory jsonFactory = new JsonFactory();
    private final JsonCodec codec = new JsonCodec();
    private final Function<Policy.Settings, Policy> moduleFactory;
    private final Map<Long, Policy> modulesByInstance = new HashMap<>();
    /**
     * Events of the batch that is being read, by instance; an instance in it gets a round even without
     * events.
     */
    private final Map<Long, List<Policy.Event>> pendingEvents = new LinkedHashMap<>();

    /** Creates an adapter that uses {@code factory} to create the module of each instance. */
    SimulatorAdapter(Function<Policy.Settings, Policy> factory) {
        this.moduleFactory = factory;
    }

    /** Serves a simulator on standard input and output until the input ends. */
    public static void runOnStandardStreams() throws IOException {
        new SimulatorAdapter(DeliveryPolicy::new).run(
                new InputStreamReader(System.in, StandardCharsets.UTF_8),
                new OutputStreamWriter(System.out, StandardCharsets.UTF_8));
    }

    /**
     * Answers each line of {@code in} with one line on {@code out}, until the input ends.
     *
     * @throws JsonDataException if a line cannot be read; its message names the line
     */
    void run(Reader in, Writer out) throws IOException {
        BufferedReader lines = new BufferedReader(in);
        BufferedWriter replies = new BufferedWriter(out);
        long lineNumber = 0;
        for (String line = lines.readLine(); line != null; line = lines.readLine()) {
            lineNumber++;
            try {
                replies.write(processBatch(line));
            } catch (JsonProcessingException e) {
                throw new JsonDataException("line " + lineNumber + ": not JSON: " + e.getOriginalMessage());
            } catch (JsonDataException e) {
                throw new JsonDataException("line " + lineNumber + ": " + e.getMessage());
            }
            replies.write('\n');
            replies.flush();
        }
    }

    private String processBatch(String line) throws IOException {
        JsonReader batch;
        try (JsonParser parser = jsonFactory.createParser(line)) {
            parser.nextToken();
            batch = JsonReader.ofObject("batch", JsonReader.readValue(parser));
            if (parser.nextToken() != null) {
                throw new JsonDataException("batch: more than one JSON value in the line");
            }
        }
        long now = batch.secondsAsMicros("t-s");
        long batchNumber = batch.integer("n");
        pendingEvents.clear();
        for (Object json : batch.listOrEmpty("groups")) {
            JsonReader group = JsonReader.ofObject("group", json);
            long instance = group.integer("i");
            for (Object message : group.listOrEmpty("in")) {
                handleMessage(instance, JsonReader.ofMessage(message));
            }
        }
        return buildReply(batchNumber, now);
    }

    /**
     * Stores a route list, starts or ends the module of an instance, or adds an event. Events for an
     * instance without a module are ignored.
     */
    private void handleMessage(long instance, JsonReader message) {
        String name = message.text(0);
        switch (name) {
            case "directory" -> codec.storeRouteList(message);
            case "launch" -> {
                modulesByInstance.put(instance, createModule(message));
                pendingEvents.put(instance, new ArrayList<>());
            }
            case "detach" -> {
                modulesByInstance.remove(instance);
                pendingEvents.remove(instance);
            }
            default -> {
                Policy.Event event = codec.readEvent(name, message);
                if (modulesByInstance.containsKey(instance)) {
                    pendingEvents.computeIfAbsent(instance, key -> new ArrayList<>()).add(event);
                }
            }
        }
    }

    private Policy createModule(JsonReader message) {
        try {
            return moduleFactory.apply(JsonCodec.readSettings(message.integer(1), message.object(2)));
        } catch (IllegalArgumentException e) {
            throw new JsonDataException("launch: " + e.getMessage());
        }
    }

    private String buildReply(long batchNumber, long now) throws IOException {
        StringWriter text = new StringWriter();
        try (JsonGenerator json = jsonFactory.createGenerator(text)) {
            json.writeStartObject();
            json.writeNumberField("n", batchNumber);
            json.writeArrayFieldStart("groups");
            for (Map.Entry<Long, List<Policy.Event>> entry : pendingEvents.entrySet()) {
                json.writeStartObject();
                json.writeNumberField("i", entry.getKey());
                json.writeArrayFieldStart("cmds");
                runRound(modulesByInstance.get(entry.getKey()), now, entry.getValue(),
                        new JsonCodec.CommandWriter(json));
                json.writeEndArray();
                json.writeEndObject();
            }
            json.writeEndArray();
            json.writeEndObject();
        }
        return text.toString();
    }

    /**
     * Runs a round of one instance; an exception of its module is reported to the simulator as a command.
     */
    private static void runRound(Policy policy, long now, List<Policy.Event> events,
            JsonCodec.CommandWriter commands) {
        try {
            policy.onRound(now, events, commands);
        } catch (RuntimeException e) {
            commands.writeInternalError(String.valueOf(e));
        }
    }
}
