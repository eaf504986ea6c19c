package drumdeal.relay;

/**
 * A monotonic clock in microseconds. It starts at the wall clock's time, so that a deadline that one process writes to
 * the journal is valid in the next one.
 */
final class Clock {
    private final long startWallMicros = System.currentTimeMillis() * 1000;
    private final long startNanos = System.nanoTime();

    /** Microseconds since 1970, as far as the wall clock was right at the start of the process. */
    long micros() {
        return startWallMicros + (System.nanoTime() - startNanos) / 1000;
    }
}
