package brackenbridge.lab.live;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

class ProcessTableTest {
    // Guards a process that ends in time against a judgement by a parent that has not looked since.
    @Test
    @Timeout(20)
    void processHasEndedThoughItsParentHasNotAskedForItsStatus() throws Exception {
        // The shell starts one process and then becomes a program that never asks for the status of its children.
        Process parent = new ProcessBuilder("sh", "-c", "exec 3<&0; cat <&3 & echo $!; exec sleep 60").start();
        try {
            long child = readNumber(parent);
            assertFalse(ProcessTable.hasEnded(parent.pid()));
            // At the end of its input, the child ends.
            parent.getOutputStream().close();
            while (!ProcessTable.hasEnded(child)) {
                Thread.onSpinWait();
            }
            assertTrue(ProcessHandle.of(child).isPresent(), "its status has not been asked for");
            assertFalse(ProcessTable.hasEnded(parent.pid()));
        } finally {
            parent.destroyForcibly();
        }
        assertTrue(parent.waitFor(10, TimeUnit.SECONDS));
        assertTrue(ProcessTable.hasEnded(parent.pid()));
    }

    private static long readNumber(Process process) throws IOException {
        BufferedReader output = process.inputReader();
        return Long.parseLong(output.readLine());
    }

    @Test
    void thisProcessHasNotEnded() {
        assertFalse(ProcessTable.hasEnded(ProcessHandle.current().pid()));
    }
}
