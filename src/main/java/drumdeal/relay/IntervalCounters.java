package drumdeal.relay;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.stream.Collectors;

/** What has happened since the last line of figures, each thing by its name. */
final class IntervalCounters {
    private final Map<String, Integer> counts = new LinkedHashMap<>();

    void count(String what) {
        counts.merge(what, 1, Integer::sum);
    }

    /** Says all counts and starts again from nothing; empty where nothing has happened. */
    String formatAndReset() {
        String text = counts.entrySet().stream().map(e -> e.getKey() + " " + e.getValue())
                .collect(Collectors.joining(", "));
        counts.clear();
        return text;
    }
}
