package brackenbridge.net.client;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** A body is too slow if it lags behind the minimum rate, or stays silent, for too long. */
class BodyRateMonitorTest {
    private static final double CHECK_MS = 100;
    private static final int BYTES_AT_MIN_RATE = 3200;

    private final BodyRateMonitor monitor = new BodyRateMonitor(0);
    private double now;

    /** Runs one check, with this many bytes received since the previous one. */
    private boolean isTooSlowWith(int bytes) {
        now += CHECK_MS;
        monitor.onBytes(bytes);
        boolean tooSlow = monitor.isTooSlow(now);
        monitor.endCheck(now);
        return tooSlow;
    }

    @Test
    void bodyAtTheMinimumRateIsNeverTooSlow() {
        for (int i = 0; i < 1000; i++) {
            assertFalse(isTooSlowWith(BYTES_AT_MIN_RATE));
        }
    }

    @Test
    void silentBodyIsTooSlowAfterTheLimit() {
        for (double waited = CHECK_MS; waited <= BodyRateMonitor.MAX_LAG_MS; waited += CHECK_MS) {
            assertFalse(isTooSlowWith(0));
        }
        assertTrue(isTooSlowWith(0));
    }

    @Test
    void fastStartDoesNotExtendTheLimitOfSilence() {
        assertFalse(isTooSlowWith(100 * BYTES_AT_MIN_RATE));
        for (double waited = CHECK_MS; waited <= BodyRateMonitor.MAX_LAG_MS; waited += CHECK_MS) {
            assertFalse(isTooSlowWith(0));
        }
        assertTrue(isTooSlowWith(0));
    }

    @Test
    void bodyAtHalfTheMinimumRateIsTooSlowAfterTwiceTheLimit() {
        for (double waited = CHECK_MS; waited <= 2 * BodyRateMonitor.MAX_LAG_MS; waited += CHECK_MS) {
            assertFalse(isTooSlowWith(BYTES_AT_MIN_RATE / 2));
        }
        assertTrue(isTooSlowWith(BYTES_AT_MIN_RATE / 2));
    }
}
