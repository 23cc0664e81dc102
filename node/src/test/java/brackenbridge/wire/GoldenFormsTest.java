package brackenbridge.wire;

import brackenbridge.core.balancing.BalancerActions;
import brackenbridge.testing.GoldenText;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Compares the messages of the simulator's protocol with the golden files. */
class GoldenFormsTest {
    @Test
    void eachMessageToTheSimulator() throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        WireWriter writer = new WireWriter(out);
        BalancerActions first = writer.actionsOf(3);
        first.startAttempt(7, 101, 900_000);
        first.reject(8, 250_000);
        first.fail(9);
        first.setTimer(1_700_000, "tick \u00e4");
        writer.actionsOf(4).startHealthCheck(102);
        writer.writeWatch(4);
        RuntimeException fault = new IllegalStateException("of\nits own");
        // The source position would change with every edit.
        fault.setStackTrace(new StackTraceElement[0]);
        writer.writeFault(5, fault);
        writer.finishBatch(12);
        writer.actionsOf(4).fail(-1);
        writer.finishBatch(13);
        GoldenText.check("wire-actions.txt", out.toString(StandardCharsets.UTF_8));
    }

    @Test
    void repliesToAScript() throws IOException {
        byte[] script = GoldenText.read("wire-script-in.txt").getBytes(StandardCharsets.UTF_8);
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new WireHost(new ByteArrayInputStream(script), out).run();
        GoldenText.check("wire-script-out.txt", out.toString(StandardCharsets.UTF_8));
    }

    /** Each line of the script is the body of a separate batch, and its result is one line of the golden file. */
    @Test
    void errorsOfInvalidInput() throws IOException {
        StringBuilder complaints = new StringBuilder();
        for (String bad : GoldenText.read("wire-bad-in.txt").split("\n")) {
            String batch = "SYNC\t5\t1\n" + bad.replace(" | ", "\n") + "\nEOF_BATCH\n";
            complaints.append(errorOf(batch)).append('\n');
        }
        GoldenText.check("wire-bad-out.txt", complaints.toString());
    }

    private static String errorOf(String input) throws IOException {
        ByteArrayInputStream in = new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8));
        try {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            new WireHost(in, out).run();
            return "accepted: " + out.toString(StandardCharsets.UTF_8).replace("\n", " | ");
        } catch (WireException e) {
            return e.getMessage();
        }
    }
}
