package drumdeal;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.function.IntFunction;

/**
 * A fleet of simulated relays. Each relay accepts requests to destination 1 at random times and passes the attempts
 * that it sends to a receiver.
 */
final class SimulatedFleet {
    final List<SimulatedRelay> relays = new ArrayList<>();
    /** Random numbers of the fleet, which receivers use as well. */
    final SplittableRandom random;
    /** For each relay, the number of its attempts that were passed to the receiver. */
    private final int[] forwardedCounts;
    private long nextId;

    /** A fleet of {@code size} relays; {@code factory} creates each of them from its number, which counts from 0. */
    SimulatedFleet(int size, long randomSeed, IntFunction<SimulatedRelay> factory) {
        for (int i = 0; i < size; i++) {
            relays.add(factory.apply(i));
        }
        random = new SplittableRandom(randomSeed);
        forwardedCounts = new int[size];
    }

    /**
     * Lets one relay accept a request with the given probability, then passes the attempts that it has sent since the
     * last step to the receiver.
     */
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
