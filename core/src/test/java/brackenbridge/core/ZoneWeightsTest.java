package brackenbridge.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.core.Event.ServerReply;
import brackenbridge.core.balancing.EndpointState;
import brackenbridge.core.observe.TrafficObserver;
import brackenbridge.core.share.ZoneWeights;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** What a fleet says of zones moves load, holds for its time and no longer. */
class ZoneWeightsTest {
    private static final double UNTIL = 10_000;

    private static ReducerHarness twoZones() {
        ReducerHarness harness = new ReducerHarness(0);
        List<ServerEndpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            ServerEndpoint t = ReducerHarness.endpoint("s-" + i, EndpointState.UP);
            endpoints.add(
                    new ServerEndpoint(t.host(), t.address(), i % 2 == 0 ? "a" : "b", -1, 1, 0, EndpointState.UP));
        }
        return harness.send(new Event.Started(new EndpointList(42, true, endpoints)));
    }

    /** How many of so many calls, one after the other, went to zone a. */
    private static int toA(ReducerHarness harness, int calls) {
        int a = 0;
        for (int i = 0; i < calls; i++) {
            long requestId = harness.open(ReducerHarness.VIEW, 5000);
            Effect.StartAttempt out = harness.attempts(requestId).get(0);
            a += Character.digit(out.host().charAt(2), 10) % 2 == 0 ? 1 : 0;
            harness.send(new Event.AttemptWritten(requestId, 0))
                    .advance(2)
                    .send(new Event.AttemptAnswered(requestId, 0, ServerReply.SERVED, "body", null));
        }
        return a;
    }

    private static Event weights(ReducerHarness harness, long token, long epoch, double part) {
        return new Event.ZoneWeightsReceived(
                new ZoneWeights(token, epoch, Map.of("a", part), harness.clock.nowMs() + UNTIL));
    }

    @Test
    void zoneHasItsWeightUntilItExpires() {
        ReducerHarness harness = twoZones();
        assertEquals(100, toA(harness, 200), 4);
        harness.send(weights(harness, 1, 1, 0.25));
        assertEquals(200 * 0.25 / 1.25, toA(harness, 200), 4);
        harness.send(weights(harness, 1, 2, 0));
        assertEquals(0, toA(harness, 100));
        harness.advance(UNTIL);
        assertEquals(100, toA(harness, 200), 6);
    }

    @Test
    void repeatedWeightsExpireLater() {
        ReducerHarness harness = twoZones();
        harness.send(weights(harness, 1, 1, 0))
                .advance(UNTIL / 2)
                .send(weights(harness, 1, 1, 0))
                .advance(UNTIL / 2 + 100);
        assertEquals(0, toA(harness, 50), "the first word would have run out");
        harness.advance(UNTIL / 2);
        assertTrue(toA(harness, 100) > 30);
    }

    @Test
    void weightsOfAnEarlierDriverAreIgnored() {
        ReducerHarness harness = twoZones();
        harness.send(weights(harness, 2, 3, 0)).send(weights(harness, 1, 9, 1)).send(weights(harness, 2, 2, 1));
        assertEquals(0, toA(harness, 50));
        harness.send(weights(harness, 3, 1, 1));
        assertTrue(toA(harness, 100) > 30);
    }

    @Test
    void requestsToEachPoolAreCounted() {
        ReducerHarness harness = twoZones();
        harness.reducer.startObserving();
        toA(harness, 40);
        long broken = harness.open(ReducerHarness.VIEW, 5000);
        harness.send(new Event.AttemptConnectionLost(broken, 0));
        long attempts = 0;
        double served = 0;
        double held = 0;
        long failed = 0;
        int out = 0;
        for (Map.Entry<TrafficObserver.PoolKey, TrafficObserver.PoolTally> e :
                harness.reducer.observation().pools().entrySet()) {
            attempts += e.getValue().attempts();
            served += e.getValue().served();
            held += e.getValue().inFlightMs();
            failed += e.getValue().failed();
            out += e.getValue().inFlight();
        }
        assertEquals(42, attempts, "one try without a connection and the next one count as tries");
        assertEquals(40, served);
        assertEquals(80, held, 1);
        assertEquals(0, failed, "what was never sent says nothing of a server's work");
        assertEquals(1, out);
        assertEquals(
                Map.of(new TrafficObserver.PoolKey("a", 1, ""), 4, new TrafficObserver.PoolKey("b", 1, ""), 4),
                harness.reducer.observation().servers());
    }
}
