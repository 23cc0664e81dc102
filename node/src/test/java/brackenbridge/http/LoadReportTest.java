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
        LoadReport r = LoadReportParser.parse("queue=2, qps=7.5,unheard_of=3,util=NaN");
        assertEquals(2, r.queued());
        assertEquals(7.5, r.requestsPerSecond());
        assertTrue(Double.isNaN(r.inFlight()) && Double.isNaN(r.utilization()));
        assertNull(LoadReportParser.parse(null));
        assertNull(LoadReportParser.parse("queue=,qps"));
    }

    @Property(seed = "41", tries = 500)
    void garbageNeverGivesANegativeOrInfiniteValue(@ForAll long seed) {
        LoadReport r = LoadReportParser.parse(Bytes.mutateRandomly("queue=2,qps=7.5", seed));
        assertTrue(r == null || !(r.queued() < 0 || r.requestsPerSecond() < 0 || Double.isInfinite(r.queued())));
    }
}
