package drumdeal;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.function.IntFunction;

/** Relays of tests on one clock that get messages for destination 1 at random moments. */
final class SimulatedFleet {
    final List<SimulatedRelay> relays = new ArrayList<>();
    final SplittableRandom random;
    private final int[] forwardedCounts;
    private long nextId;

    SimulatedFleet(int size, long randomSeed, IntFunction<SimulatedRelay> relay) {
        for (int i = 0; i < size; i++) {
            relays.add(relay.apply(i));
        }
        random = new SplittableRandom(randomSeed);
        forwardedCounts = new int[size];
    }

    /** Hands one relay a message with a probability, and passes on what it has sent since the last time. */
    void stepRelay(int number, double probability, BiConsumer<SimulatedRelay, SimulatedRelay.SentAttempt> receiver) {
        SimulatedRelay relay = relays.get(number);
        if (random.nextDouble() < probability) {
            relay.accept(nextId++, "safe", 1);
        }
        for (; forwardedCounts[number] < relay.sent.size(); forwardedCounts[number]++) {
            receiver.accept(relay, relay.sent.get(forwardedCounts[number]));
        }
    }
}
