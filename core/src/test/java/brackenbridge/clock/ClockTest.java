package brackenbridge.clock;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/** Tests that steps of the wall clock don't affect a clock after its start. */
class ClockTest {
    private static final long HOUR_MS = 3_600_000;

    private final AtomicLong wallMs = new AtomicLong(50 * HOUR_MS);
    private final AtomicLong monotonicNs = new AtomicLong(-7);
    private final Clock clock = Clock.from(wallMs::get, monotonicNs::get);

    @Test
    void wallClockStepsDoNotChangeDurations() {
        double before = clock.nowMs();
        for (long step : new long[] {-HOUR_MS, 2 * HOUR_MS, -3000, 3000}) {
            wallMs.addAndGet(step);
            assertEquals(before, clock.nowMs());
        }
        monotonicNs.addAndGet(1_500_000);
        assertEquals(before + 1.5, clock.nowMs());
    }

    @Test
    void processesStartedBeforeAndAfterAStepHaveDifferentOrigins() {
        wallMs.addAndGet(-HOUR_MS);
        assertEquals(
                clock.nowMs() - HOUR_MS,
                Clock.from(wallMs::get, monotonicNs::get).nowMs());
    }
}
