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
    private static final long CHECK_INTERVAL_MS = 10;
    /** Most of what a notice, or a client's answer, has; staff are told, as every relay short of CPU looks faulty. */
    private static final long LOGGED_STALL = 250_000;

    private final EventLoop loop;
    private final Clock clock;
    private long lastCheck;
    private long previousCheck;
    private final LongConsumer stalls;

    /** Tells {@code stalls} how long the loop has stood still, in microseconds, each time. */
    EventLoopMonitor(EventLoop loop, Clock clock, LongConsumer stalls) {
        this.loop = loop;
        this.clock = clock;
        this.stalls = stalls;
        lastCheck = clock.micros();
        previousCheck = lastCheck;
    }

    /** Checks from now on; until then everything counts as having come at the start. */
    void start() {
        previousCheck = lastCheck;
        lastCheck = clock.micros();
        if (lastCheck - previousCheck > LOGGED_STALL) {
            Log.line("the loop stood still for " + (lastCheck - previousCheck) / 1000 + " ms");
            stalls.accept(lastCheck - previousCheck);
        }
        loop.schedule(this::start, CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /** The earliest time at which what is read or accepted now can have come. */
    long unreadSince() {
        return previousCheck;
    }
}
