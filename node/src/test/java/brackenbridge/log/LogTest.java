package brackenbridge.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.clock.Clock;
import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

class LogTest {
    /** The time that a stopping process has after its last responses before it is killed. */
    private static final double MAX_FLUSH_TEST_MS = 140;

    private final Clock.Manual clock = new Clock.Manual(1000);
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final Log log = new Log(clock, new PrintStream(out, true, StandardCharsets.UTF_8));

    @Test
    void flushWaitsForTheLineBeingWritten() throws InterruptedException {
        for (int i = 0; i < 30; i++) {
            log.info("line " + i);
            log.flush();
            assertTrue(out.toString(StandardCharsets.UTF_8).endsWith("line " + i + System.lineSeparator()));
        }
    }

    @Test
    void linesOverTheLimitAreCountedAndLineBreaksAreRemoved() throws InterruptedException {
        for (int i = 0; i < 100; i++) {
            log.warn("a\nb");
        }
        clock.advance(1000);
        log.info("next");
        log.flush();
        String text = out.toString(StandardCharsets.UTF_8);
        assertEquals(42, text.lines().count());
        assertTrue(text.contains("60 log lines dropped"), text);
    }

    /** Guards entries about the node as a whole against being displaced by one for each failed request. */
    @Test
    void detailsLeaveRoomForOtherEntries() throws InterruptedException {
        for (int i = 0; i < 100; i++) {
            log.detail(() -> "request");
        }
        log.info("endpoint list");
        log.flush();
        String text = out.toString(StandardCharsets.UTF_8);
        assertEquals(16, text.lines().count());
        assertTrue(text.contains("endpoint list"), text);
    }

    /** Guards the exit of a process, which has to happen before it is killed, against a log that nobody reads. */
    @Test
    void flushOfAnUnreadLogReturnsSoon() throws InterruptedException {
        CountDownLatch released = new CountDownLatch(1);
        Clock system = Clock.system();
        Log unread = new Log(system, new PrintStream(new BlockedStream(released)));
        unread.info("a line");
        double startMs = system.nowMs();
        unread.flush();
        double tookMs = system.nowMs() - startMs;
        released.countDown();
        assertTrue(tookMs < MAX_FLUSH_TEST_MS, "took " + tookMs + " ms");
    }

    /** Blocks each write until the latch is released. */
    private static final class BlockedStream extends OutputStream {
        private final CountDownLatch read;

        BlockedStream(CountDownLatch read) {
            this.read = read;
        }

        @Override
        public void write(int character) {
            try {
                read.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
