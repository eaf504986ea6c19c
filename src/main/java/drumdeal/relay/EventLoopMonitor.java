package drumdeal.relay;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;

/**
 * Tells since when bytes that are read now may have lain unread. A pass of the loop reads, then runs its timers:
 * what it reads had not come when the pass before it looked, and no pass runs two checks.
 */
final class EventLoopMonitor {
    /** Every message counts as up to two intervals older than it is. */
    private static final long CHECK_INTERVAL_MILLIS = 10;
    /** Most of what a notice, or a client's answer, has; staff are told, as every relay short of CPU looks faulty. */
    private static final long MIN_LOGGED_STALL_MICROS = 250_000;

    private final EventLoop loop;
    private final Clock clock;
    private long lastCheckAt;
    private long previousCheckAt;
    private final LongConsumer onStall;

    /** Tells {@code stalls} how long the loop has stood still, in microseconds, each time. */
    EventLoopMonitor(EventLoop loop, Clock clock, LongConsumer stalls) {
        this.loop = loop;
        this.clock = clock;
        this.onStall = stalls;
        lastCheckAt = clock.micros();
        previousCheckAt = lastCheckAt;
    }

    /** Checks from now on; until then everything counts as having come at the start. */
    void checkPeriodically() {
        previousCheckAt = lastCheckAt;
        lastCheckAt = clock.micros();
        if (lastCheckAt - previousCheckAt > MIN_LOGGED_STALL_MICROS) {
            Log.write("the loop stood still for " + (lastCheckAt - previousCheckAt) / 1000 + " ms");
            onStall.accept(lastCheckAt - previousCheckAt);
        }
        loop.schedule(this::checkPeriodically, CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** The earliest time at which what is read or accepted now can have come. */
    long earliestArrival() {
        return previousCheckAt;
    }
}
