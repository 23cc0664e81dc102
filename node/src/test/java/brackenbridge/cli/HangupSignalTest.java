package brackenbridge.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Sends the real signal to the process that runs the tests. */
class HangupSignalTest {
    @Test
    void eachSignalRunsTheActionAndTheProcessContinues() throws Exception {
        Semaphore heard = new Semaphore(0);
        assertTrue(HangupSignal.handle(heard::release));
        for (int i = 0; i < 2; i++) {
            new ProcessBuilder(
                            "kill",
                            "-HUP",
                            Long.toString(ProcessHandle.current().pid()))
                    .start()
                    .waitFor();
            assertTrue(heard.tryAcquire(10, TimeUnit.SECONDS));
        }
    }

    /** Prints whether the signal will be handled. */
    static final class HandlerProgram {
        public static void main(String[] args) {
            System.out.println("handled: " + HangupSignal.handle(() -> {}));
        }
    }

    private static String outputOfProgram(String before) throws Exception {
        String java = ProcessHandle.current().info().command().orElse("java");
        Process p = new ProcessBuilder(
                        "sh",
                        "-c",
                        before + "exec \"$0\" \"$@\"",
                        java,
                        "-cp",
                        System.getProperty("java.class.path"),
                        HandlerProgram.class.getName())
                .start();
        String said = new String(p.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        assertEquals(0, p.waitFor());
        return said.strip();
    }

    @Test
    void ignoredSignalIsDetected() throws Exception {
        assertEquals("handled: false", outputOfProgram("trap '' HUP; "));
    }
}
