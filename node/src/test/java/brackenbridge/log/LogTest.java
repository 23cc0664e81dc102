package brackenbridge.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.clock.Clock;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class LogTest {
    private final Clock.Settable clock = new Clock.Settable(1000);
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final Log log = new Log(clock, new PrintStream(out, true, StandardCharsets.UTF_8));

    @Test
    void flushWaitsForTheLineThatIsBeingWritten() throws InterruptedException {
        for (int i = 0; i < 30; i++) {
            log.info("line " + i);
            log.flush();
            assertTrue(out.toString(StandardCharsets.UTF_8).endsWith("line " + i + System.lineSeparator()));
        }
    }

    @Test
    void linesOverTheLimitAreCountedAndNothingBreaksALine() throws InterruptedException {
        for (int i = 0; i < 100; i++) {
            log.warn("a\nb");
        }
        clock.pass(1000);
        log.info("next");
        log.flush();
        String text = out.toString(StandardCharsets.UTF_8);
        assertEquals(42, text.lines().count());
        assertTrue(text.contains("60 log lines dropped"), text);
    }
}
