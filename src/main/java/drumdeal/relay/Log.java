package drumdeal.relay;

/** One plain line on standard error for staff, so many in a second at the most. */
final class Log {
    private static final int MAX_LINE_LENGTH = 300;
    private static final int MAX_LINES_PER_SECOND = 20;
    private static final long NANOS_PER_SECOND = 1_000_000_000;

    private static long currentSecond = Long.MIN_VALUE;
    private static int linesThisSecond;

    private Log() { }

    /** Writes a line; what a peer sent is cut short and can't break out of its line. */
    static void write(String text) {
        // Guards against a peer that makes the relay write more than its reader takes.
        if (countAndCheckLimit(System.nanoTime() / NANOS_PER_SECOND)) {
            String flat = text.length() > MAX_LINE_LENGTH ? text.substring(0, MAX_LINE_LENGTH) : text;
            System.err.println("drumdeal: " + flat.replaceAll("\\p{Cntrl}", "?"));
        }
    }

    private static synchronized boolean countAndCheckLimit(long now) {
        if (now != currentSecond) {
            if (linesThisSecond > MAX_LINES_PER_SECOND) {
                System.err.println("drumdeal: " + (linesThisSecond - MAX_LINES_PER_SECOND) + " lines left out");
            }
            currentSecond = now;
            linesThisSecond = 0;
        }
        return ++linesThisSecond <= MAX_LINES_PER_SECOND;
    }
}
