package drumdeal.relay;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;

/**
 * Bounds how long bytes that are read now may have lain unread, and reports stalls of the event loop.
 *
 * <p>A pass of the loop polls its sockets and reads, then runs its timers. No pass runs two checks, so the check before
 * the last one ran before the previous pass polled. Bytes that are read now had not arrived when that pass polled, so
 * they arrived after that check.
 */
final class EventLoopMonitor {
    /** A request is taken to be older than it is by up to two intervals. */
    private static final long CHECK_INTERVAL_MILLIS = 10;
    /**
     * Longer stalls are logged and reported: they take most of the time in which a notice or a client's response is
     * due. Without the log line a relay that is short of CPU looks faulty.
     */
    private static final long MIN_LOGGED_STALL_MICROS = 250_000;

    private final EventLoop loop;
    private final Clock clock;
    private long lastCheckAt;
    /** The check before the last one. */
    private long previousCheckAt;
    private final LongConsumer onStall;

    /** Passes the length of each stall, in microseconds, to {@code onStall}. */
    EventLoopMonitor(EventLoop loop, Clock clock, LongConsumer onStall) {
        this.loop = loop;
        this.clock = clock;
        this.onStall = onStall;
        lastCheckAt = clock.micros();
        previousCheckAt = lastCheckAt;
    }

    /** Checks now and at each interval. Before the first call all bytes count as having arrived at the start. */
    void checkPeriodically() {
        previousCheckAt = lastCheckAt;
        lastCheckAt = clock.micros();
        if (lastCheckAt - previousCheckAt > MIN_LOGGED_STALL_MICROS) {
            Log.write("the event loop stalled for " + (lastCheckAt - previousCheckAt) / 1000 + " ms");
            onStall.accept(lastCheckAt - previousCheckAt);
        }
        loop.schedule(this::checkPeriodically, CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** The earliest time at which bytes read now, or connections accepted now, can have arrived. */
    long earliestArrival() {
        return previousCheckAt;
    }
}
