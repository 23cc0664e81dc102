package brackenbridge.counters;

import brackenbridge.counters.Counters.Kind;
import brackenbridge.testing.GoldenText;
import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The names of all counters and figures, against the golden files. */
class GoldenFormsTest {
    private static Counters counted() {
        Counters counters = new Counters();
        for (Kind kind : Kind.values()) {
            for (int i = 0; i <= kind.ordinal(); i++) {
                counters.count(kind, "read");
            }
        }
        for (RejectionReason.Port port : RejectionReason.Port.values()) {
            for (RejectionReason why : RejectionReason.values()) {
                for (int i = 0; i <= port.ordinal() * 10 + why.ordinal(); i++) {
                    counters.refuse(port, why);
                }
            }
        }
        return counters;
    }

    @Test
    void countersAsTheHealthPageAndTheLogHaveThem() throws IOException {
        GoldenText.check("counters-text.txt", counted().text());
        GoldenText.check("counters-line.txt", counted().line());
    }

    @Test
    void figuresOfStaff() throws IOException {
        GoldenText.check(
                "figures.txt",
                Figures.lines(counted(), List.of("read", "write"), new Figures.Gauges(3, 40, 2, 1234.5)));
        GoldenText.check(
                "figures-without-discovery.txt",
                Figures.lines(new Counters(), List.of("read"), new Figures.Gauges(0, 0, 0, Double.POSITIVE_INFINITY)));
    }
}
