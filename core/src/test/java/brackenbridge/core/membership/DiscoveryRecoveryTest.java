package brackenbridge.core.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.core.membership.RecoveringDiscoveryService.Result;
import brackenbridge.core.membership.RecoveringDiscoveryService.Service;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against nodes that are notified too late after an outage of discovery, whose recovered service answers their
 * calls one after another.
 */
class DiscoveryRecoveryTest {
    private static final double SERVICE_TIME_MS = 20;

    /**
     * Queue limits below and above what the service can answer within the time-out; abandoned calls still cost it their
     * service time.
     */
    @ParameterizedTest
    @CsvSource({"17, 1000", "77, 1000", "17, 2000", "77, 2000"})
    void hundredNodesAreAnsweredWithinSixSeconds(int queueLimit, double timeoutMs) {
        Result result = RecoveringDiscoveryService.simulate(100, new Service(queueLimit, timeoutMs, SERVICE_TIME_MS));
        assertEquals(100, result.answered(), "answered nodes");
        assertTrue(
                result.lastMs() < RecoveringDiscoveryService.MEASURED_TIME_MS,
                "the last node was answered after " + result.lastMs() + " ms");
    }
}
