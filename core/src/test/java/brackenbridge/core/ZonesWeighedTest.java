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
class ZonesWeighedTest {
    private static final double UNTIL = 10_000;

    private static Play twoZones() {
        Play p = new Play(0);
        List<ServerEndpoint> targets = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            ServerEndpoint t = Play.target("s-" + i, EndpointState.UP);
            targets.add(new ServerEndpoint(t.host(), t.address(), i % 2 == 0 ? "a" : "b", -1, 1, 0, EndpointState.UP));
        }
        return p.tell(new Event.Started(new EndpointList(42, true, targets)));
    }

    /** How many of so many calls, one after the other, went to zone a. */
    private static int toA(Play p, int calls) {
        int a = 0;
        for (int i = 0; i < calls; i++) {
            long f = p.open(Play.VIEW, 5000);
            Effect.StartAttempt out = p.forwards(f).get(0);
            a += Character.digit(out.host().charAt(2), 10) % 2 == 0 ? 1 : 0;
            p.tell(new Event.AttemptWritten(f, 0))
                    .pass(2)
                    .tell(new Event.AttemptAnswered(f, 0, ServerReply.SERVED, "body", null));
        }
        return a;
    }

    private static Event weights(Play p, long token, long epoch, double part) {
        return new Event.ZoneWeightsReceived(new ZoneWeights(token, epoch, Map.of("a", part), p.clock.nowMs() + UNTIL));
    }

    @Test
    void zoneGetsItsPartUntilTheWordRunsOut() {
        Play p = twoZones();
        assertEquals(100, toA(p, 200), 4);
        p.tell(weights(p, 1, 1, 0.25));
        assertEquals(200 * 0.25 / 1.25, toA(p, 200), 4);
        p.tell(weights(p, 1, 2, 0));
        assertEquals(0, toA(p, 100));
        p.pass(UNTIL);
        assertEquals(100, toA(p, 200), 6);
    }

    @Test
    void wordThatIsSaidAgainHoldsForLonger() {
        Play p = twoZones();
        p.tell(weights(p, 1, 1, 0)).pass(UNTIL / 2).tell(weights(p, 1, 1, 0)).pass(UNTIL / 2 + 100);
        assertEquals(0, toA(p, 50), "the first word would have run out");
        p.pass(UNTIL / 2);
        assertTrue(toA(p, 100) > 30);
    }

    @Test
    void wordOfAnEarlierDriverIsPassedOver() {
        Play p = twoZones();
        p.tell(weights(p, 2, 3, 0)).tell(weights(p, 1, 9, 1)).tell(weights(p, 2, 2, 1));
        assertEquals(0, toA(p, 50));
        p.tell(weights(p, 3, 1, 1));
        assertTrue(toA(p, 100) > 30);
    }

    @Test
    void eachPoolsCallsAreCounted() {
        Play p = twoZones();
        p.reducer.startObserving();
        toA(p, 40);
        long broken = p.open(Play.VIEW, 5000);
        p.tell(new Event.AttemptConnectionLost(broken, 0));
        long attempts = 0;
        double served = 0;
        double held = 0;
        long failed = 0;
        int out = 0;
        for (Map.Entry<TrafficObserver.PoolKey, TrafficObserver.PoolTally> e :
                p.reducer.observation().pools().entrySet()) {
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
                p.reducer.observation().servers());
    }
}
