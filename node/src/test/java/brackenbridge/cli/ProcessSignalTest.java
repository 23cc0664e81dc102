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
        Semaphore handled = new Semaphore(0);
        assertTrue(HangupSignal.handle(handled::release));
        for (int i = 0; i < 2; i++) {
            new ProcessBuilder(
                            "kill",
                            "-HUP",
                            Long.toString(ProcessHandle.current().pid()))
                    .start()
                    .waitFor();
            assertTrue(handled.tryAcquire(10, TimeUnit.SECONDS));
        }
    }

    /** Prints whether the signal will be handled. */
    static final class HandlerProgram {
        public static void main(String[] args) {
            System.out.println("handled: " + HangupSignal.handle(() -> {}));
        }
    }

    private static String outputOfProgram(String shellCommands) throws Exception {
        String java = ProcessHandle.current().info().command().orElse("java");
        Process process = new ProcessBuilder(
                        "sh",
                        "-c",
                        shellCommands + "exec \"$0\" \"$@\"",
                        java,
                        "-cp",
                        System.getProperty("java.class.path"),
                        HandlerProgram.class.getName())
                .start();
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        assertEquals(0, process.waitFor());
        return output.strip();
    }

    @Test
    void ignoredSignalIsDetected() throws Exception {
        assertEquals("handled: false", outputOfProgram("trap '' HUP; "));
    }
}
