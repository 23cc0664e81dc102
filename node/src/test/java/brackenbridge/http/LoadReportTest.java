package brackenbridge.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.core.balancing.LoadReport;
import brackenbridge.testing.Bytes;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class LoadReportTest {
    @Test
    void absentAndInvalidFieldsAreNaN() {
        LoadReport report = LoadReportParser.parse("queue=2, qps=7.5,unheard_of=3,util=NaN");
        assertEquals(2, report.queued());
        assertEquals(7.5, report.requestsPerSecond());
        assertTrue(Double.isNaN(report.inFlight()) && Double.isNaN(report.utilization()));
        assertNull(LoadReportParser.parse(null));
        assertNull(LoadReportParser.parse("queue=,qps"));
    }

    @Property(seed = "41", tries = 500)
    void garbageNeverGivesANegativeOrInfiniteValue(@ForAll long seed) {
        LoadReport report = LoadReportParser.parse(Bytes.mutateRandomly("queue=2,qps=7.5", seed));
        assertTrue(report == null
                || !(report.queued() < 0 || report.requestsPerSecond() < 0 || Double.isInfinite(report.queued())));
    }
}
