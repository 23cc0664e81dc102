package brackenbridge.net.client;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** A body is too slow if it stays behind its pace or silent for too long. */
class BodyPaceTest {
    private static final double CHECK_MS = 100;
    private static final int BYTES_AT_PACE = 3200;

    private final BodyRateMonitor pace = new BodyRateMonitor(0);
    private double now;

    /** One check of a sweep in which these bytes have come since the one before. */
    private boolean isTooSlowWith(int bytes) {
        now += CHECK_MS;
        pace.onBytes(bytes);
        boolean tooSlow = pace.isTooSlow(now);
        pace.endCheck(now);
        return tooSlow;
    }

    @Test
    void bodyAtItsPaceIsNeverTooSlow() {
        for (int i = 0; i < 1000; i++) {
            assertFalse(isTooSlowWith(BYTES_AT_PACE));
        }
    }

    @Test
    void bodyThatIsSilentIsTooSlowBehindTheLimit() {
        for (double waited = CHECK_MS; waited <= BodyRateMonitor.MAX_LAG_MS; waited += CHECK_MS) {
            assertFalse(isTooSlowWith(0));
        }
        assertTrue(isTooSlowWith(0));
    }

    @Test
    void bodyThatWasQuickAtFirstMayNotBeSilentForLonger() {
        assertFalse(isTooSlowWith(100 * BYTES_AT_PACE));
        for (double waited = CHECK_MS; waited <= BodyRateMonitor.MAX_LAG_MS; waited += CHECK_MS) {
            assertFalse(isTooSlowWith(0));
        }
        assertTrue(isTooSlowWith(0));
    }

    @Test
    void bodyAtHalfItsPaceIsTooSlowAfterTwiceTheLimit() {
        for (double waited = CHECK_MS; waited <= 2 * BodyRateMonitor.MAX_LAG_MS; waited += CHECK_MS) {
            assertFalse(isTooSlowWith(BYTES_AT_PACE / 2));
        }
        assertTrue(isTooSlowWith(BYTES_AT_PACE / 2));
    }
}
