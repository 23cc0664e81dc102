package brackenbridge.fleet.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;

/** The deadline by construction, and the bound on subscriptions that begin. */
class ControlLimitsTest {
    /** The target, the time of an agreement with its leader in place, and its lease; docs/design/control.md. */
    private static final double TARGET_MS = 13_000;

    private static final double AGREEMENT_MS = 2000;
    private static final double LEASE_MS = 1600;

    @Test
    void changeMeetsTheDeadlineWithTwoUnresponsiveMachinesInARow() {
        double worst = AGREEMENT_MS + ControlLimits.DEFAULTS.maxPropagationMs(2, LEASE_MS);
        assertTrue(worst <= TARGET_MS, worst + " ms");
        assertTrue(
                AGREEMENT_MS + ControlLimits.DEFAULTS.maxPropagationMs(4, LEASE_MS) > TARGET_MS,
                "with four it is not promised");
    }

    @Test
    void inconsistentLimitsAreRejected() {
        ControlLimits usual = ControlLimits.DEFAULTS;
        assertThrows(
                IllegalArgumentException.class,
                () -> new ControlLimits(
                        1000, 2000, 2000, 50, 3000, 1000, 250, 4000, 1000, 30_000, 90_000, 200, 100, 800, 256));
        assertThrows(
                IllegalArgumentException.class,
                () -> new ControlLimits(
                        usual.heartbeatMs(),
                        usual.silenceTimeoutMs(),
                        usual.unconfirmedTimeoutMs(),
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
                        usual.heartbeatMs(),
                        usual.silenceTimeoutMs(),
                        usual.unconfirmedTimeoutMs(),
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
        List<Double> told = new ArrayList<>();
        int admitted = 0;
        for (int i = 0; i < 120; i++) {
            OptionalDouble retryAfter = limiter.admit(0);
            if (retryAfter.isEmpty()) {
                admitted++;
            } else {
                told.add(retryAfter.getAsDouble());
            }
        }
        assertEquals(20, admitted);
        for (int i = 0; i < told.size(); i++) {
            assertEquals(10.0 * (i + 1), told.get(i), 1e-6, "each is told a later time than the one before");
        }
        for (double at : told) {
            assertTrue(limiter.admit(at).isEmpty(), "who comes back when told to is admitted, at " + at);
        }
    }
}
