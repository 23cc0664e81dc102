package brackenbridge.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Sends real signals to the process that runs the tests. */
class ProcessSignalTest {
    @ParameterizedTest
    @EnumSource(ProcessSignal.class)
    void eachSignalRunsTheActionAndTheProcessContinues(ProcessSignal signal) throws Exception {
        Semaphore handled = new Semaphore(0);
        assertTrue(signal.handle(handled::release));
        for (int i = 0; i < 2; i++) {
            new ProcessBuilder(
                            "kill",
                            "-" + signal,
                            Long.toString(ProcessHandle.current().pid()))
                    .start()
                    .waitFor();
            assertTrue(handled.tryAcquire(10, TimeUnit.SECONDS));
        }
    }

    /** Prints whether the signal will be handled. */
    static final class HandlerProgram {
        public static void main(String[] args) {
            System.out.println("handled: " + ProcessSignal.HUP.handle(() -> {}));
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
