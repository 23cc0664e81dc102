package brackenbridge.core.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.core.membership.RecoveringDiscoveryService.Result;
import brackenbridge.core.membership.RecoveringDiscoveryService.Service;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Many nodes at a service that was down and works through their calls in turn once it is back. */
class DiscoveryRecoveryTest {
    private static final double SERVICE_TIME_MS = 20;

    /** Lines shorter and longer than what is served within the time-out; calls given up cost the service their turn. */
    @ParameterizedTest
    @CsvSource({"17, 1000", "77, 1000", "17, 2000", "77, 2000"})
    void hundredNodesAreAnsweredWithinSixSeconds(int line, double timeOutMs) {
        Result result = RecoveringDiscoveryService.simulate(100, new Service(line, timeOutMs, SERVICE_TIME_MS));
        assertEquals(100, result.answered(), "answered");
        assertTrue(
                result.lastMs() < RecoveringDiscoveryService.MEASURED_TIME_MS,
                "the last one after " + result.lastMs() + " ms");
    }
}
