package drumdeal.relay;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.stream.Collectors;

/** Counts events by name, from one periodic log line to the next. */
final class IntervalCounters {
    private final Map<String, Integer> counts = new LinkedHashMap<>();

    void count(String name) {
        counts.merge(name, 1, Integer::sum);
    }

    /** Formats all counts for the log and resets them; empty if nothing was counted. */
    String formatAndReset() {
        String text = counts.entrySet().stream().map(entry -> entry.getKey() + " " + entry.getValue())
                .collect(Collectors.joining(", "));
        counts.clear();
        return text;
    }
}
