package drumdeal.relay;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import org.junit.jupiter.api.Test;

/** The limit on log lines per second: a peer must not make the relay log more than its reader can take. */
class LogTest {
    @Test
    void linesPerSecondAreLimited() {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        PrintStream originalErr = System.err;
        System.setErr(new PrintStream(output, true));
        try {
            for (int i = 0; i < 10_000; i++) {
                Log.write("line " + i);
            }
        } finally {
            System.setErr(originalErr);
        }
        assertTrue(output.toString().lines().count() < 1_000, output.toString());
    }
}
