package brackenbridge.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.core.Event.ResponseKind;
import brackenbridge.core.balancing.EndpointState;
import brackenbridge.core.observe.TrafficObserver;
import brackenbridge.core.share.ZoneWeights;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Zone weights shift load between zones until they expire. */
class ZoneWeightsTest {
    private static final double WEIGHT_LIFETIME_MS = 10_000;

    private static ReducerHarness twoZones() {
        ReducerHarness harness = new ReducerHarness(0);
        List<ServerEndpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            ServerEndpoint endpoint = ReducerHarness.endpoint("s-" + i, EndpointState.UP);
            endpoints.add(new ServerEndpoint(
                    endpoint.host(), endpoint.address(), i % 2 == 0 ? "a" : "b", -1, 1, 0, EndpointState.UP));
        }
        return harness.send(new Event.Started(new EndpointList(42, true, endpoints)));
    }

    /** The number of sequential requests that went to zone a. */
    private static int countInZoneA(ReducerHarness harness, int requests) {
        int inZoneA = 0;
        for (int i = 0; i < requests; i++) {
            long requestId = harness.open(ReducerHarness.VIEW, 5000);
            Effect.StartAttempt attempt = harness.attempts(requestId).get(0);
            inZoneA += Character.digit(attempt.host().charAt(2), 10) % 2 == 0 ? 1 : 0;
            harness.send(new Event.AttemptWritten(requestId, 0))
                    .advance(2)
                    .send(new Event.ResponseReceived(requestId, 0, ResponseKind.SERVED, "body", null));
        }
        return inZoneA;
    }

    private static Event weights(ReducerHarness harness, long token, long epoch, double weight) {
        return new Event.ZoneWeightsReceived(
                new ZoneWeights(token, epoch, Map.of("a", weight), harness.clock.nowMs() + WEIGHT_LIFETIME_MS));
    }

    @Test
    void zoneHasItsWeightUntilItExpires() {
        ReducerHarness harness = twoZones();
        assertEquals(100, countInZoneA(harness, 200), 4);
        harness.send(weights(harness, 1, 1, 0.25));
        assertEquals(200 * 0.25 / 1.25, countInZoneA(harness, 200), 4);
        harness.send(weights(harness, 1, 2, 0));
        assertEquals(0, countInZoneA(harness, 100));
        harness.advance(WEIGHT_LIFETIME_MS);
        assertEquals(100, countInZoneA(harness, 200), 6);
    }

    @Test
    void repeatedWeightsExpireLater() {
        ReducerHarness harness = twoZones();
        harness.send(weights(harness, 1, 1, 0))
                .advance(WEIGHT_LIFETIME_MS / 2)
                .send(weights(harness, 1, 1, 0))
                .advance(WEIGHT_LIFETIME_MS / 2 + 100);
        assertEquals(0, countInZoneA(harness, 50), "the first weights would have expired");
        harness.advance(WEIGHT_LIFETIME_MS / 2);
        assertTrue(countInZoneA(harness, 100) > 30);
    }

    @Test
    void weightsOfAnEarlierDriverAreIgnored() {
        ReducerHarness harness = twoZones();
        harness.send(weights(harness, 2, 3, 0)).send(weights(harness, 1, 9, 1)).send(weights(harness, 2, 2, 1));
        assertEquals(0, countInZoneA(harness, 50));
        harness.send(weights(harness, 3, 1, 1));
        assertTrue(countInZoneA(harness, 100) > 30);
    }

    @Test
    void requestsToEachPoolAreCounted() {
        ReducerHarness harness = twoZones();
        harness.reducer.startObserving();
        countInZoneA(harness, 40);
        long lost = harness.open(ReducerHarness.VIEW, 5000);
        harness.send(new Event.AttemptConnectionLost(lost, 0));
        long attempts = 0;
        double served = 0;
        double inFlightMs = 0;
        long failed = 0;
        int inFlight = 0;
        for (Map.Entry<TrafficObserver.PoolKey, TrafficObserver.PoolTally> pool :
                harness.reducer.observation().pools().entrySet()) {
            attempts += pool.getValue().attempts();
            served += pool.getValue().served();
            inFlightMs += pool.getValue().inFlightMs();
            failed += pool.getValue().failed();
            inFlight += pool.getValue().inFlight();
        }
        assertEquals(42, attempts, "the attempt without a connection and its retry count as attempts");
        assertEquals(40, served);
        assertEquals(80, inFlightMs, 1);
        assertEquals(0, failed, "an attempt that was never written is no failure of a server");
        assertEquals(1, inFlight);
        assertEquals(
                Map.of(new TrafficObserver.PoolKey("a", 1, ""), 4, new TrafficObserver.PoolKey("b", 1, ""), 4),
                harness.reducer.observation().servers());
    }
}
