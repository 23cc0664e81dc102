package brackenbridge.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.core.Effect.Fixed;
import brackenbridge.core.Event.Reply;
import brackenbridge.counters.Counters.Kind;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Drains and returns, alone and crossed with a stop; and the figures at every step of all that. */
class LifeCycleTest {
    private static final Event DRAIN = new Event.DrainAsked(true);
    private static final Event RETURN = new Event.DrainAsked(false);

    @Test
    void drainSaysNoAtOnceAndTurnsLateFlowsAway() {
        Play p = new Play(4, 2).tell(DRAIN);
        assertFalse(p.reducer.ready());
        assertEquals(List.of(new Effect.SayClose(true)), p.of(Effect.SayClose.class));
        long early = p.pass(1000).open(Play.FILE, 5000);
        assertEquals(1, p.forwards(early).size(), "clients still come until the front has noticed");
        assertEquals(List.of(new Effect.KeepNoClients(true)), p.of(Effect.KeepNoClients.class));
        long late = p.pass(900).open(Play.FILE, 5000);
        assertEquals(List.of(Fixed.REFUSED), p.fixed(late));
        assertEquals(List.of(), p.forwards(late));
        assertEquals(1, p.pass(1500).of(Effect.EndUnfinished.class).size());
        p.tell(new Event.ForwardWritten(early, 0)).tell(new Event.ForwardAnswered(early, 0, Reply.SERVED, "b", null));
        assertEquals(1, p.of(Effect.Respond.class).size());
    }

    @Test
    void returnTakesOneEventAndEndsTheDrainsSteps() {
        Play p = new Play(4, 2).tell(DRAIN).pass(700).tell(RETURN);
        assertTrue(p.reducer.ready());
        assertEquals(
                List.of(true, false),
                p.of(Effect.SayClose.class).stream().map(Effect.SayClose::on).toList());
        assertEquals(
                List.of(true, false),
                p.of(Effect.KeepNoClients.class).stream().map(e -> e.on()).toList());
        p.pass(5000);
        assertEquals(List.of(), p.fixed(p.open(Play.FILE, 5000)));
        assertEquals(0, p.of(Effect.EndUnfinished.class).size());
        p.tell(DRAIN).pass(2000).tell(RETURN);
        assertEquals(List.of(), p.fixed(p.open(Play.FILE, 5000)), "nothing is turned away after a return");
    }

    @Test
    void callsThatChangeNothingDoNothing() {
        Play p = new Play(4, 2).tell(RETURN);
        assertTrue(p.reducer.ready());
        p.tell(DRAIN).pass(400).tell(DRAIN).pass(250);
        assertEquals(1, p.of(Effect.KeepNoClients.class).size(), "the steps run from the first call");
        assertEquals(1, p.counters.of(Kind.DRAINS));
        p.tell(new Event.StopAsked()).tell(RETURN).tell(DRAIN);
        assertFalse(p.reducer.ready());
        assertTrue(p.reducer.stopping());
        assertEquals(0, p.counters.of(Kind.RETURNS));
        assertFalse(p.pass(5000).of(Effect.Exit.class).isEmpty());
    }

    @Test
    void newSettingsLeaveADrainAsItIs() {
        Play p = new Play(4, 2).tell(DRAIN).pass(700);
        p.tell(new Event.Reconfigured(Play.settings(2, 3, Play.FILE), new EndpointList(41, true, List.of()), false));
        assertFalse(p.reducer.ready());
        assertEquals(List.of(Fixed.REFUSED), p.pass(1200).fixed(p.open(Play.FILE, 5000)));
        assertTrue(p.tell(RETURN).reducer.ready());
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
                case 2 -> p.tell(new Event.ForwardWritten(f, r.nextInt(2)));
                case 3 -> p.tell(new Event.ForwardAnswered(f, r.nextInt(2), Reply.values()[r.nextInt(4)], "b", null));
                case 4 -> p.tell(new Event.ForwardBroken(f, r.nextInt(2)));
                case 5 -> p.tell(new Event.FlowGone(f));
                case 6 -> p.tell(new Event.AnswerLeft(f, Event.Left.values()[r.nextInt(3)]));
                case 7 -> p.tell(r.nextInt(5) > 0 ? RETURN : DRAIN);
                default -> p.pass(r.nextInt(60));
            }
            String told = p.reducer.figures();
            long active = Long.parseLong(told.replaceAll("(?s).*proxy.active:([0-9]+)[|]g.*", "$1"));
            long sum = active;
            for (String c : List.of("view", "file")) {
                for (Kind k : List.of(
                        Kind.ANSWERED_SERVED,
                        Kind.ANSWERED_REFUSED,
                        Kind.ANSWERED_FAILED,
                        Kind.ANSWERED_REJECTED,
                        Kind.FLOWS_GONE)) {
                    sum += p.counters.of(k, c);
                }
            }
            assertEquals(p.counters.of(Kind.FLOWS_IN), sum, told);
        }
    }
}
