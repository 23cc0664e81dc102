package brackenbridge.fleet.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import brackenbridge.core.observe.TrafficObserver;
import brackenbridge.core.observe.TrafficObserver.PoolKey;
import brackenbridge.fleet.evacuation.PoolObservation;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Traffic counters of a node are reported as rates and latencies over a sliding window. */
class PoolReporterTest {
    private static final PoolKey POOL_A = new PoolKey("a", 1, "view");
    private static final PoolKey POOL_B = new PoolKey("b", 2, "view");
    private final TrafficObserver observer = new TrafficObserver();
    private final PoolReporter reporter = new PoolReporter("tier-0", 4, 0.3, 8500);
    private double nowMs = 1_000_000;

    private Map<String, PoolObservation> reportSecond(int toA, int toB, double latencyMs, int rejected) {
        for (int i = 0; i < toA; i++) {
            observer.onAttemptStarted(POOL_A, true);
            observer.onAttemptEnded(POOL_A, true, true, latencyMs);
        }
        for (int i = 0; i < toB; i++) {
            observer.onAttemptStarted(POOL_B, i % 2 == 0);
            observer.onAttemptEnded(POOL_B, i % 2 == 1, true, latencyMs);
        }
        for (int i = 0; i < rejected; i++) {
            observer.onRejected("view");
        }
        nowMs += 1000;
        return reporter.report(
                observer.snapshot(nowMs, Map.of(new PoolKey("a", 1, ""), 3, new PoolKey("b", 2, ""), 5)));
    }

    @Test
    void ratesLatenciesAndServersOfEachPool() {
        reportSecond(0, 0, 0, 0);
        Map<String, PoolObservation> observations = reportSecond(40, 20, 50, 10);
        PoolObservation poolA = observations.get("tier-0/a/w1.0/view");
        PoolObservation poolB = observations.get("tier-0/b/w2.0/view");
        assertEquals(40, poolA.arrivalRate(), 1e-9);
        assertEquals(2, poolA.inFlight(), 1e-9, "40 requests of 50 ms within a second");
        assertEquals(50, poolA.latencyMs(), 1e-9);
        assertEquals(0, poolA.squaredVariation(), 1e-9);
        assertEquals(8, poolA.rejectionRate(), 1e-9, "four of five first attempts went to a");
        assertEquals(10, poolB.arrivalRate(), 1e-9);
        assertEquals(20, poolB.attemptRate(), 1e-9);
        assertEquals(0.5, poolB.failureRatio(), 1e-9);
        assertEquals(5, poolB.servers());
        assertEquals(8, poolB.connections(), 1e-9, "a server of weight 2 can handle twice as many");
    }

    @Test
    void baselineLatencyPersistsAndOldTrafficLeavesTheWindow() {
        reportSecond(0, 0, 0, 0);
        reportSecond(50, 0, 20, 0);
        for (int i = 0; i < 12; i++) {
            reportSecond(50, 0, 200, 0);
        }
        PoolObservation poolA = reportSecond(50, 0, 200, 0).get("tier-0/a/w1.0/view");
        assertEquals(20, poolA.serviceMs(), 0.5);
        assertEquals(200, poolA.latencyMs(), 1e-9, "the fast second has left the window");
    }
}
