package brackenbridge.fleet.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;

/** The propagation deadline that follows from the limits, and the limiter of admissions. */
class ControlLimitsTest {
    /** The target, the time of an agreement under a stable leader, and its lease; see docs/design/control.md. */
    private static final double TARGET_MS = 13_000;

    private static final double AGREEMENT_MS = 2000;
    private static final double LEASE_MS = 1600;

    @Test
    void changeMeetsTheDeadlineWithTwoUnresponsiveMachinesInARow() {
        double worstMs = AGREEMENT_MS + ControlLimits.DEFAULTS.maxPropagationMs(2, LEASE_MS);
        assertTrue(worstMs <= TARGET_MS, worstMs + " ms");
        assertTrue(
                AGREEMENT_MS + ControlLimits.DEFAULTS.maxPropagationMs(4, LEASE_MS) > TARGET_MS,
                "the deadline does not cover four unresponsive machines");
    }

    @Test
    void inconsistentLimitsAreRejected() {
        ControlLimits defaults = ControlLimits.DEFAULTS;
        assertThrows(
                IllegalArgumentException.class,
                () -> new ControlLimits(
                        1000, 2000, 2000, 50, 3000, 1000, 250, 4000, 1000, 30_000, 90_000, 200, 100, 800, 256));
        assertThrows(
                IllegalArgumentException.class,
                () -> new ControlLimits(
                        defaults.heartbeatMs(),
                        defaults.silenceTimeoutMs(),
                        defaults.unconfirmedTimeoutMs(),
                        50,
                        3000,
                        1000,
                        250,
                        100,
                        1000,
                        30_000,
                        90_000,
                        200,
                        100,
                        800,
                        256));
        assertThrows(
                IllegalArgumentException.class,
                () -> new ControlLimits(
                        defaults.heartbeatMs(),
                        defaults.silenceTimeoutMs(),
                        defaults.unconfirmedTimeoutMs(),
                        50,
                        3000,
                        1000,
                        250,
                        4000,
                        1000,
                        30_000,
                        90_000,
                        200,
                        0,
                        800,
                        256));
    }

    @Test
    void rejectedSubscriptionsRetryAtTheAdmissionRate() {
        AdmissionLimiter limiter = new AdmissionLimiter(100, 20);
        List<Double> retryAfterMs = new ArrayList<>();
        int admitted = 0;
        for (int i = 0; i < 120; i++) {
            OptionalDouble retryAfter = limiter.admit(0);
            if (retryAfter.isEmpty()) {
                admitted++;
            } else {
                retryAfterMs.add(retryAfter.getAsDouble());
            }
        }
        assertEquals(20, admitted);
        for (int i = 0; i < retryAfterMs.size(); i++) {
            assertEquals(
                    10.0 * (i + 1), retryAfterMs.get(i), 1e-6, "each gets a later Retry-After than the one before");
        }
        for (double retryAtMs : retryAfterMs) {
            assertTrue(limiter.admit(retryAtMs).isEmpty(), "a retry at its Retry-After is admitted, at " + retryAtMs);
        }
    }
}
