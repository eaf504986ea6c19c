package drumdeal;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.function.IntFunction;

/** Relays of tests on one clock that get messages for destination 1 at random moments. */
final class Fleet {
    final List<Relay> relays = new ArrayList<>();
    final SplittableRandom random;
    private final int[] seen;
    private long nextId;

    Fleet(int size, long randomSeed, IntFunction<Relay> relay) {
        for (int i = 0; i < size; i++) {
            relays.add(relay.apply(i));
        }
        random = new SplittableRandom(randomSeed);
        seen = new int[size];
    }

    /** Hands one relay a message with a probability, and passes on what it has sent since the last time. */
    void play(int number, double probability, BiConsumer<Relay, Relay.Sent> receiver) {
        Relay relay = relays.get(number);
        if (random.nextDouble() < probability) {
            relay.accept(nextId++, "safe", 1);
        }
        for (; seen[number] < relay.sent.size(); seen[number]++) {
            receiver.accept(relay, relay.sent.get(seen[number]));
        }
    }
}
