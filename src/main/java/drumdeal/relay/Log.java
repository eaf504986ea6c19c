package drumdeal.relay;

/** Writes log lines for operators to standard error, up to a limit per second. */
final class Log {
    /** In characters, without the prefix. */
    private static final int MAX_LINE_LENGTH = 300;
    private static final int MAX_LINES_PER_SECOND = 20;
    private static final long NANOS_PER_SECOND = 1_000_000_000;

    private static long currentSecond = Long.MIN_VALUE;
    private static int linesThisSecond;

    private Log() { }

    /** Writes one line. Text that a peer sent can't make it longer than the limit or add lines. */
    static void write(String text) {
        // A peer could otherwise make the relay write more than the reader of the log can process.
        if (countAndCheckLimit(System.nanoTime() / NANOS_PER_SECOND)) {
            String line = text.length() > MAX_LINE_LENGTH ? text.substring(0, MAX_LINE_LENGTH) : text;
            System.err.println("drumdeal: " + line.replaceAll("\\p{Cntrl}", "?"));
        }
    }

    /** Counts a line; returns false if the limit of the current second is exceeded. */
    private static synchronized boolean countAndCheckLimit(long second) {
        if (second != currentSecond) {
            if (linesThisSecond > MAX_LINES_PER_SECOND) {
                System.err.println("drumdeal: " + (linesThisSecond - MAX_LINES_PER_SECOND)
                        + " log lines dropped, over the limit per second");
            }
            currentSecond = second;
            linesThisSecond = 0;
        }
        return ++linesThisSecond <= MAX_LINES_PER_SECOND;
    }
}
