package brackenbridge.counters;

import brackenbridge.testing.GoldenText;
import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Compares the names of all counters and metrics with the golden files. */
class GoldenFormsTest {
    private static Counters createCounters() {
        Counters counters = new Counters();
        for (Counter counter : Counter.values()) {
            for (int i = 0; i <= counter.ordinal(); i++) {
                counters.count(counter, "read");
            }
        }
        for (RejectionReason.Port port : RejectionReason.Port.values()) {
            for (RejectionReason reason : RejectionReason.values()) {
                for (int i = 0; i <= port.ordinal() * 10 + reason.ordinal(); i++) {
                    counters.countRejection(port, reason);
                }
            }
        }
        return counters;
    }

    @Test
    void countersOfTheHealthEndpointAndTheLog() throws IOException {
        GoldenText.check("counters-text.txt", createCounters().toText());
        GoldenText.check("counters-line.txt", createCounters().toLine());
    }

    @Test
    void operatorMetrics() throws IOException {
        GoldenText.check(
                "figures.txt",
                OperatorMetrics.format(
                        createCounters(), List.of("read", "write"), new OperatorMetrics.Gauges(3, 40, 2, 1234.5)));
        GoldenText.check(
                "figures-without-discovery.txt",
                OperatorMetrics.format(
                        new Counters(),
                        List.of("read"),
                        new OperatorMetrics.Gauges(0, 0, 0, Double.POSITIVE_INFINITY)));
    }
}
