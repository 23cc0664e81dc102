package brackenbridge.core.balancing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Checks the invariants on every action of the balancer under random legal events. */
class BalancerInvariantsTest {
    private static final int STEPS = 2000;

    @Test
    void randomEventsNeverViolateTheInvariants() {
        int retries = 0;
        int rejections = 0;
        int failures = 0;
        for (long seed = 1; seed <= 24; seed++) {
            InvariantCheckingActions actions = RandomBalancerHistory.run(seed, STEPS);
            assertTrue(actions.attempts > 300, "attempts: " + actions.attempts);
            retries += actions.retries;
            rejections += actions.rejections;
            failures += actions.failures;
        }
        assertTrue(retries > 100, "retries: " + retries);
        assertTrue(rejections > 100, "rejections: " + rejections);
        assertTrue(failures > 100, "failures: " + failures);
    }

    @Test
    void sameEventsCauseSameActions() {
        assertEquals(
                RandomBalancerHistory.run(3, STEPS).log.toString(),
                RandomBalancerHistory.run(3, STEPS).log.toString());
    }
}
