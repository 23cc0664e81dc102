package brackenbridge.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.core.Effect.LocalReply;
import brackenbridge.core.Event.ServerReply;
import brackenbridge.counters.Counter;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Drains and returns, alone and crossed with a stop; and the figures at every step of all that. */
class LifeCycleTest {
    private static final Event DRAIN = new Event.DrainRequested(true);
    private static final Event RETURN = new Event.DrainRequested(false);

    @Test
    void drainSaysNoAtOnceAndTurnsLateFlowsAway() {
        Play p = new Play(4, 2).tell(DRAIN);
        assertFalse(p.reducer.isReady());
        assertEquals(List.of(new Effect.AnnounceClose(true)), p.of(Effect.AnnounceClose.class));
        long early = p.pass(1000).open(Play.FILE, 5000);
        assertEquals(1, p.forwards(early).size(), "clients still come until the front has noticed");
        assertEquals(List.of(new Effect.CloseClientsWhenIdle(true)), p.of(Effect.CloseClientsWhenIdle.class));
        long late = p.pass(900).open(Play.FILE, 5000);
        assertEquals(List.of(LocalReply.REJECTED), p.fixed(late));
        assertEquals(List.of(), p.forwards(late));
        assertEquals(1, p.pass(1500).of(Effect.RejectIncompleteRequests.class).size());
        p.tell(new Event.AttemptWritten(early, 0))
                .tell(new Event.AttemptAnswered(early, 0, ServerReply.SERVED, "b", null));
        assertEquals(1, p.of(Effect.SendResponse.class).size());
    }

    @Test
    void returnTakesOneEventAndEndsTheDrainsSteps() {
        Play p = new Play(4, 2).tell(DRAIN).pass(700).tell(RETURN);
        assertTrue(p.reducer.isReady());
        assertEquals(
                List.of(true, false),
                p.of(Effect.AnnounceClose.class).stream()
                        .map(Effect.AnnounceClose::on)
                        .toList());
        assertEquals(
                List.of(true, false),
                p.of(Effect.CloseClientsWhenIdle.class).stream()
                        .map(e -> e.on())
                        .toList());
        p.pass(5000);
        assertEquals(List.of(), p.fixed(p.open(Play.FILE, 5000)));
        assertEquals(0, p.of(Effect.RejectIncompleteRequests.class).size());
        p.tell(DRAIN).pass(2000).tell(RETURN);
        assertEquals(List.of(), p.fixed(p.open(Play.FILE, 5000)), "nothing is turned away after a return");
    }

    @Test
    void callsThatChangeNothingDoNothing() {
        Play p = new Play(4, 2).tell(RETURN);
        assertTrue(p.reducer.isReady());
        p.tell(DRAIN).pass(400).tell(DRAIN).pass(250);
        assertEquals(1, p.of(Effect.CloseClientsWhenIdle.class).size(), "the steps run from the first call");
        assertEquals(1, p.counters.of(Counter.DRAINS));
        p.tell(new Event.StopRequested()).tell(RETURN).tell(DRAIN);
        assertFalse(p.reducer.isReady());
        assertTrue(p.reducer.isStopping());
        assertEquals(0, p.counters.of(Counter.DRAINS_CANCELLED));
        assertFalse(p.pass(5000).of(Effect.Exit.class).isEmpty());
    }

    @Test
    void newSettingsLeaveADrainAsItIs() {
        Play p = new Play(4, 2).tell(DRAIN).pass(700);
        p.tell(new Event.Reconfigured(Play.settings(2, 3, Play.FILE), new EndpointList(41, true, List.of()), false));
        assertFalse(p.reducer.isReady());
        assertEquals(List.of(LocalReply.REJECTED), p.pass(1200).fixed(p.open(Play.FILE, 5000)));
        assertTrue(p.tell(RETURN).reducer.isReady());
    }

    @Property(seed = "52", tries = 300)
    void takenIsWhatWasAnsweredAbandonedAndActive(@ForAll long seed) {
        java.util.SplittableRandom r = new java.util.SplittableRandom(seed);
        Play p = new Play(2, 2);
        List<Long> flows = new ArrayList<>();
        for (int i = 0; i < 120; i++) {
            long f = flows.isEmpty() ? -1 : flows.get(r.nextInt(flows.size()));
            switch (r.nextInt(9)) {
                case 0, 1 -> flows.add(p.open(r.nextBoolean() ? Play.FILE : Play.VIEW, r.nextInt(300)));
                case 2 -> p.tell(new Event.AttemptWritten(f, r.nextInt(2)));
                case 3 ->
                    p.tell(new Event.AttemptAnswered(f, r.nextInt(2), ServerReply.values()[r.nextInt(4)], "b", null));
                case 4 -> p.tell(new Event.AttemptConnectionLost(f, r.nextInt(2)));
                case 5 -> p.tell(new Event.ClientDisconnected(f));
                case 6 -> p.tell(new Event.ResponseFinished(f, Event.ResponseEnd.values()[r.nextInt(3)]));
                case 7 -> p.tell(r.nextInt(5) > 0 ? RETURN : DRAIN);
                default -> p.pass(r.nextInt(60));
            }
            String told = p.reducer.metricsText();
            long active = Long.parseLong(told.replaceAll("(?s).*proxy.active:([0-9]+)[|]g.*", "$1"));
            long sum = active;
            for (String c : List.of("view", "file")) {
                for (Counter k : List.of(
                        Counter.ANSWERED_SERVED,
                        Counter.ANSWERED_REJECTED,
                        Counter.ANSWERED_FAILED,
                        Counter.ANSWERED_INVALID_REQUEST,
                        Counter.CLIENTS_DISCONNECTED)) {
                    sum += p.counters.of(k, c);
                }
            }
            assertEquals(p.counters.of(Counter.REQUESTS_RECEIVED), sum, told);
        }
    }
}
