package brackenbridge.cli;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** The real signal, sent to the process that runs the tests. */
class HangupTest {
    @Test
    void eachSignalRunsTheWorkAndEndsNothing() throws Exception {
        Semaphore heard = new Semaphore(0);
        assertTrue(Hangup.handle(heard::release));
        for (int i = 0; i < 2; i++) {
            new ProcessBuilder("kill", "-HUP", Long.toString(ProcessHandle.current().pid())).start().waitFor();
            assertTrue(heard.tryAcquire(10, TimeUnit.SECONDS));
        }
    }
}
