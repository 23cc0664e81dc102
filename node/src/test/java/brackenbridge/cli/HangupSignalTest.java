package brackenbridge.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** The real signal, sent to the process that runs the tests. */
class HangupSignalTest {
    @Test
    void eachSignalRunsTheWorkAndEndsNothing() throws Exception {
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

    /** Says whether the signal will be heard. */
    static final class Asked {
        public static void main(String[] args) {
            System.out.println("heard: " + HangupSignal.handle(() -> {}));
        }
    }

    private static String asked(String before) throws Exception {
        String java = ProcessHandle.current().info().command().orElse("java");
        Process p = new ProcessBuilder(
                        "sh",
                        "-c",
                        before + "exec \"$0\" \"$@\"",
                        java,
                        "-cp",
                        System.getProperty("java.class.path"),
                        Asked.class.getName())
                .start();
        String said = new String(p.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        assertEquals(0, p.waitFor());
        return said.strip();
    }

    @Test
    void processThatWasStartedWithTheSignalIgnoredSaysSo() throws Exception {
        assertEquals("heard: false", asked("trap '' HUP; "));
    }
}
