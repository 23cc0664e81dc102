package brackenbridge.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.core.Effect.Fixed;
import brackenbridge.core.Event.Reply;
import brackenbridge.core.balancing.BalancerApi;
import brackenbridge.core.balancing.BalancerApi.EndpointState;
import brackenbridge.core.balancing.BalancerApi.RequestClass;
import brackenbridge.counters.Counters.Kind;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Event in, effects out. */
class ReducerTest {

    private static Event answer(long flow, int forward, Reply reply) {
        return new Event.ForwardAnswered(flow, forward, reply, "body", null);
    }

    @Test
    void clientsThatComeLongAfterTheStartAreNotRefused() {
        Play p = new Play(4).pass(3000);
        for (int i = 0; i < 8; i++) {
            assertEquals(List.of(), p.fixed(p.open(Play.FILE, 5000)), "flow " + i);
            p.pass(20);
        }
    }

    @Test
    void serversAnswerGoesOutOnceAndUnchanged() {
        Play p = new Play(4);
        long f = p.open(Play.FILE, 5000);
        assertEquals("message 0", p.forwards(f).get(0).message());
        p.tell(new Event.ForwardWritten(f, 0)).tell(answer(f, 0, Reply.SERVED)).tell(answer(f, 0, Reply.SERVED));
        assertEquals(List.of(new Effect.Respond(f, "body")), p.of(Effect.Respond.class));
        assertEquals(List.of(), p.pass(9000).fixed(f));
    }

    @Test
    void unsafeFlowGoesOutAgainOnlyIfItsLastByteWasNeverWritten() {
        Play p = new Play(4);
        long broken = p.open(Play.FILE, 5000);
        p.tell(new Event.ForwardBroken(broken, 0));
        assertEquals(2, p.forwards(broken).size());
        p.tell(new Event.ForwardWritten(broken, 1)).tell(new Event.ForwardBroken(broken, 1));
        assertEquals(2, p.forwards(broken).size());
        assertEquals(List.of(Fixed.FAILED), p.fixed(broken));
        long away = p.open(Play.FILE, 5000);
        p.tell(new Event.ForwardWritten(away, 0)).tell(answer(away, 0, Reply.TURNED_AWAY));
        assertEquals(2, p.forwards(away).size());
    }

    @Test
    void deadlineEndsTheForwardAndAnswersBeforeTheClientGivesUp() {
        Play p = new Play(4);
        long f = p.open(Play.FILE, 5000);
        p.tell(new Event.ForwardWritten(f, 0)).pass(4999);
        assertEquals(List.of(new Effect.CancelForward(f, 0)), p.of(Effect.CancelForward.class));
        assertEquals(List.of(Fixed.TIMED_OUT), p.fixed(f));
        assertEquals(1, p.counters.of(Kind.FORWARDS_TIMED_OUT));
        p.tell(answer(f, 0, Reply.SERVED));
        assertEquals(0, p.of(Effect.Respond.class).size());
    }

    /** It may have stood in the backlog: only what is surely left of its client's time is told to a second server. */
    @Test
    void furtherAttemptIsToldWhatIsSurelyLeftAndIsNotMadeBeyondIt() {
        Play p = new Play(4);
        long f = 70;
        p.tell(new Event.FlowOpened(f, new ClientRequest(Play.FILE.name(), null, 5000, false, true, 1500, "m")));
        double opened = p.clock.nowMs();
        assertEquals(opened + 4995, p.forwards(f).get(0).giveUpMs(), 1e-6);
        p.tell(new Event.ForwardBroken(f, 0));
        assertEquals(opened + 3495, p.forwards(f).get(1).giveUpMs(), 1e-6);
        long late = 71;
        p.tell(new Event.FlowOpened(late, new ClientRequest(Play.FILE.name(), null, 1000, false, true, 1500, "m")))
                .tell(new Event.ForwardBroken(late, 0));
        assertEquals(1, p.forwards(late).size());
        assertEquals(List.of(Fixed.REFUSED), p.fixed(late));
    }

    @Test
    void nodeThatNoticesDeadlinesLateAnswersEarlierForAWhile() {
        Play p = new Play(4);
        long f = p.open(Play.FILE, 1000);
        p.tell(new Event.ForwardWritten(f, 0));
        p.clock.pass(1030);
        p.tell(new Event.TimerFired(new TimerKey.Deadline(f)));
        assertEquals(List.of(Fixed.TIMED_OUT), p.fixed(f));
        long next = p.open(Play.FILE, 5000);
        assertEquals(
                p.clock.nowMs() + 5000 - Reducer.MARGIN_MS - Reducer.MOST_LATE_MS,
                p.forwards(next).get(0).giveUpMs(),
                1e-6);
        long brief = p.open(Play.VIEW, 40);
        assertEquals(
                p.clock.nowMs() + 40 - Reducer.MARGIN_MS - 10,
                p.forwards(brief).get(0).giveUpMs(),
                1e-6);
        p.pass(30_000);
        long calm = p.open(Play.FILE, 5000);
        assertEquals(
                p.clock.nowMs() + 5000 - Reducer.MARGIN_MS,
                p.forwards(calm).get(0).giveUpMs(),
                0.1);
    }

    @Test
    void flowWithoutTimeLeftHasItsClasssDeadline() {
        Play p = new Play(4);
        long f = p.open(Play.FILE, -1);
        p.tell(new Event.ForwardWritten(f, 0)).pass(5900);
        assertEquals(List.of(), p.fixed(f));
        assertEquals(List.of(Fixed.TIMED_OUT), p.pass(100).fixed(f));
    }

    @Test
    void flowThatNoServerCouldTakeIsRefusedInTime() {
        Play p = new Play(0);
        long f = p.open(Play.FILE, 1000);
        assertFalse(p.reducer.ready());
        assertEquals(List.of(Fixed.REFUSED), p.pass(999).fixed(f));
    }

    @Test
    void goneClientsForwardIsCalledOffAndNothingIsOwed() {
        Play p = new Play(4);
        long f = p.open(Play.VIEW, 5000);
        p.tell(new Event.FlowGone(f)).tell(new Event.FlowGone(f)).pass(9000);
        assertEquals(List.of(new Effect.CancelForward(f, 0)), p.of(Effect.CancelForward.class));
        assertEquals(List.of(), p.fixed(f));
        assertEquals(1, p.counters.of(Kind.FLOWS_GONE));
        assertEquals(1, p.counters.of(Kind.FORWARDS_MOOT));
    }

    @Test
    void hiddenClientsForwardThatIsNotWrittenIsCalledOffAndRefusedAtOnce() {
        Play p = new Play(4);
        long f = p.open(Play.FILE, 5000);
        p.tell(new Event.ClientHidden(f)).tell(new Event.ClientHidden(f));
        assertEquals(List.of(new Effect.CancelForward(f, 0)), p.of(Effect.CancelForward.class));
        assertEquals(List.of(Fixed.REFUSED), p.fixed(f));
        p.pass(9000);
        assertEquals(1, p.forwards(f).size());
        assertEquals(List.of(Fixed.REFUSED), p.fixed(f));
        assertEquals(1, p.counters.of(Kind.FORWARDS_MOOT));
    }

    @Test
    void hiddenClientsForwardThatIsWrittenGoesOnAndItsFlowIsRefusedWhenItIsTurnedAway() {
        Play p = new Play(1);
        long f = p.open(Play.FILE, 5000);
        p.tell(new Event.ForwardWritten(f, 0)).tell(new Event.ClientHidden(f));
        assertEquals(List.of(), p.fixed(f));
        p.tell(new Event.ForwardAnswered(f, 0, Reply.TURNED_AWAY, null, null)).tell(new Event.ClientHidden(f));
        assertEquals(List.of(Fixed.REFUSED), p.fixed(f));
        p.pass(9000);
        int further = p.forwards(f).size() - 1;
        assertEquals(further, p.of(Effect.CancelForward.class).size(), "what was to go out again is called off");
    }

    @Test
    void hiddenClientsFlowThatMayHaveRunIsFailedNotRefused() {
        Play p = new Play(4);
        long f = p.open(Play.VIEW, 5000);
        p.tell(new Event.ForwardWritten(f, 0)).tell(new Event.ForwardBroken(f, 0));
        assertEquals(2, p.forwards(f).size(), "safe, so it goes out again");
        p.tell(new Event.ClientHidden(f));
        assertEquals(List.of(Fixed.FAILED), p.fixed(f));
        assertEquals(List.of(new Effect.CancelForward(f, 1)), p.of(Effect.CancelForward.class));
    }

    @Test
    void flowThatTheModuleHoldsForAHiddenOrGoneClientNeverBegins() {
        Play p = new Play(0);
        long hidden = p.open(Play.VIEW, 8000);
        long gone = p.open(Play.VIEW, 8000);
        long other = p.open(Play.VIEW, 8000);
        p.tell(new Event.ClientHidden(hidden)).tell(new Event.FlowGone(gone));
        assertEquals(List.of(Fixed.REFUSED), p.fixed(hidden));
        p.tell(new Event.Reconfigured(
                p.settings, new EndpointList(42, true, List.of(Play.target("s-0", EndpointState.UP))), false));
        p.pass(100);
        assertEquals(1, p.forwards(other).size());
        assertEquals(List.of(), p.forwards(hidden));
        assertEquals(List.of(), p.forwards(gone));
    }

    @Test
    void silentWatchFailsAndIsAskedForAgain() {
        Play p = new Play(4).pass(4100);
        Effect.Watch w = p.of(Effect.Watch.class).get(0);
        assertEquals(41, w.afterSeq());
        for (int i = 0; i < 5; i++) {
            p.tell(new Event.DiscoveryBeat(w.call())).pass(2000);
        }
        assertEquals(0, p.of(Effect.EndDiscovery.class).size());
        p.pass(1300);
        assertEquals(List.of(new Effect.EndDiscovery(w.call())), p.of(Effect.EndDiscovery.class));
        assertEquals(2, p.of(Effect.Watch.class).size());
        p.tell(new Event.DiscoveryEnded(w.call())).pass(1000);
        assertEquals(2, p.of(Effect.Watch.class).size());
    }

    @Test
    void staleListBringsNoServerBack() {
        Play p = new Play(1).pass(4100);
        long call = p.of(Effect.Watch.class).get(0).call();
        p.tell(new Event.TargetsTold(
                call, new EndpointList(50, false, List.of(Play.target("s-0", EndpointState.DRAINING)))));
        assertFalse(p.reducer.ready());
        p.tell(new Event.TargetsTold(call, new EndpointList(49, true, List.of(Play.target("s-0", EndpointState.UP)))));
        assertFalse(p.reducer.ready());
        p.tell(new Event.TargetsTold(call, new EndpointList(51, false, List.of(Play.target("s-0", EndpointState.UP)))));
        assertTrue(p.reducer.ready());
    }

    @Test
    void forwardWithoutAConnectionIsCutOffAtADrain() {
        Play p = new Play(1).pass(4100);
        long f = p.open(Play.FILE, 5000);
        p.tell(new Event.TargetsTold(
                        p.of(Effect.Watch.class).get(0).call(),
                        new EndpointList(50, false, List.of(Play.target("s-0", EndpointState.REMOVED)))))
                .pass(490);
        assertEquals(List.of(new Effect.CancelForward(f, 0)), p.of(Effect.CancelForward.class));
        assertEquals(1, p.forwards(f).size());
    }

    @Test
    void newDialIsUsedFromThenOn() {
        Play p = new Play(1).pass(4100);
        ServerEndpoint moved = new ServerEndpoint("s-0", "127.0.0.9:9", "room", -1, 1, 0, EndpointState.UP);
        p.tell(new Event.TargetsTold(
                p.of(Effect.Watch.class).get(0).call(), new EndpointList(50, false, List.of(moved))));
        assertEquals("127.0.0.9:9", p.forwards(p.open(Play.FILE, 5000)).get(0).dial());
        assertEquals(
                List.of(new Effect.CloseIdle(
                        "s-0", Play.target("s-0", EndpointState.UP).dial())),
                p.of(Effect.CloseIdle.class));
    }

    @Test
    void movedDiscoveryIsAskedAtOnceAndItsWholeListHolds() {
        Play p = new Play(1).pass(4100);
        long old = p.of(Effect.Watch.class).get(0).call();
        EndpointList known = new EndpointList(40, true, List.of(Play.target("s-old", EndpointState.UP)));
        p.tell(new Event.Reconfigured(p.settings, known, true));
        assertEquals(List.of(new Effect.EndDiscovery(old)), p.of(Effect.EndDiscovery.class));
        Effect.Watch w = p.of(Effect.Watch.class).get(1);
        assertEquals(41, w.afterSeq());
        p.tell(new Event.DiscoveryEnded(old));
        p.tell(new Event.TargetsTold(old, new EndpointList(99, true, List.of())));
        assertTrue(p.reducer.ready());
        p.tell(new Event.TargetsTold(
                w.call(), new EndpointList(7, true, List.of(Play.target("s-new", EndpointState.UP)))));
        assertEquals("s-new", p.forwards(p.open(Play.FILE, 5000)).get(0).host());
        p.pass(1000).tell(new Event.DiscoveryBeat(w.call())).pass(2500);
        assertEquals(2, p.of(Effect.Watch.class).size(), "the module's own pause brings no further call");
    }

    @Test
    void reconfiguredNodeTakesANewerListAndKeepsItsWatch() {
        Play p = new Play(1).pass(4100);
        p.tell(new Event.Reconfigured(
                p.settings, new EndpointList(42, true, List.of(Play.target("s-new", EndpointState.UP))), false));
        assertEquals("s-new", p.forwards(p.open(Play.FILE, 5000)).get(0).host());
        assertEquals(0, p.of(Effect.EndDiscovery.class).size());
        assertEquals(1, p.counters.of(Kind.RECONFIGURED));
    }

    /** Three times SIGHUP, each while the grace that the first one has begun is on, and discovery moves each time. */
    @Test
    void settingsInQuickSuccessionExtendNoGraceAndLeaveOneWatch() {
        Play p = new Play(1).pass(4100);
        long f = p.open(Play.FILE, 5000);
        double first = p.clock.nowMs();
        for (int i = 0; i < 3; i++) {
            assertEquals(0, p.of(Effect.CancelForward.class).size(), "after " + (p.clock.nowMs() - first));
            EndpointList known = new EndpointList(
                    42 + i,
                    true,
                    List.of(Play.target("s-0", EndpointState.DRAINING), Play.target("s-new-" + i, EndpointState.UP)));
            p.tell(new Event.Reconfigured(p.settings, known, true)).pass(100);
        }
        assertEquals(
                List.of(new Effect.CancelForward(f, 0)), p.of(Effect.CancelForward.class), "250 ms after the first");
        assertEquals("s-new-2", p.forwards(f).get(1).host());
        List<Effect.Watch> watches = p.of(Effect.Watch.class);
        assertEquals(4, watches.size());
        assertEquals(
                watches.subList(0, 3).stream()
                        .map(w -> new Effect.EndDiscovery(w.call()))
                        .toList(),
                p.of(Effect.EndDiscovery.class));
        p.tell(new Event.TargetsTold(
                watches.get(2).call(), new EndpointList(99, true, List.of(Play.target("s-old", EndpointState.UP)))));
        p.tell(new Event.TargetsTold(
                watches.get(3).call(), new EndpointList(7, true, List.of(Play.target("s-last", EndpointState.UP)))));
        for (int i = 0; i < 4; i++) {
            p.open(Play.FILE, 5000);
        }
        List<Effect.Forward> forwards = p.of(Effect.Forward.class);
        assertEquals("s-last", forwards.get(forwards.size() - 1).host());
        assertEquals(1, forwards.stream().filter(w -> w.host().equals("s-0")).count());
        assertEquals(0, forwards.stream().filter(w -> w.host().equals("s-old")).count());
    }

    @Test
    void requestThatAServerRejectsIsAnsweredAtOnceAndHarmsNoServer() {
        Play p = new Play(2);
        for (int i = 0; i < 20; i++) {
            long f = p.open(Play.VIEW, 5000);
            p.tell(new Event.ForwardWritten(f, 0)).tell(answer(f, 0, Reply.REJECTED));
            assertEquals(List.of(Fixed.REJECTED), p.fixed(f));
            assertEquals(1, p.forwards(f).size());
        }
        assertEquals(20, p.counters.of(Kind.FORWARDS_REJECTED));
        long one = p.open(Play.FILE, 5000);
        long other = p.open(Play.FILE, 5000);
        assertFalse(
                p.forwards(one).get(0).host().equals(p.forwards(other).get(0).host()), "both servers are in use");
    }

    /** The front sends no more connections to it; its peers may be stopped by the same release, or only just back. */
    @Test
    void stoppingNodeServesTheConnectionsItHasAndEndsWhenAllIsAnswered() {
        for (int peers : new int[] {1, 2}) {
            Play p = new Play(4, peers).tell(new Event.StopAsked()).pass(450);
            assertFalse(p.reducer.ready());
            assertEquals(0, p.of(Effect.StopAccepting.class).size());
            p.pass(100);
            assertEquals(1, p.of(Effect.StopAccepting.class).size());
            p.pass(2450);
            assertEquals(0, p.of(Effect.SayClose.class).size());
            assertEquals(0, p.of(Effect.CloseIdleClients.class).size());
            long f = p.open(Play.FILE, 5000);
            p.tell(new Event.ForwardWritten(f, 0)).pass(200);
            assertEquals(1, p.of(Effect.SayClose.class).size());
            assertEquals(1, p.of(Effect.CloseIdleClients.class).size());
            assertEquals(0, p.of(Effect.Exit.class).size());
            p.tell(answer(f, 0, Reply.SERVED));
            assertEquals(1, p.of(Effect.Respond.class).size());
            assertEquals(List.of(new Effect.Exit(false)), p.of(Effect.Exit.class));
        }
    }

    /** Half of a request may have been here when the last answers went. */
    @Test
    void requestThatIsWholeOnlyAfterTheLastAnswersIsRefusedAtOnce() {
        Play p = new Play(4);
        p.open(Play.FILE, 6000);
        p.tell(new Event.StopAsked()).pass(3420);
        assertEquals(
                0, p.of(Effect.Exit.class).stream().filter(Effect.Exit::atOnce).count());
        long late = p.open(Play.FILE, 6000);
        assertEquals(List.of(Fixed.REFUSED), p.fixed(late));
        assertEquals(0, p.forwards(late).size());
    }

    @Test
    void drainedNodeStopsSoon() {
        Play p = new Play(4, 2)
                .tell(new Event.DrainAsked(true))
                .pass(2000)
                .tell(new Event.StopAsked())
                .pass(600);
        assertEquals(List.of(new Effect.Exit(false)), p.of(Effect.Exit.class));
    }

    @Test
    void stoppingNodeAnswersWhatIsOpenBeforeItIsKilled() {
        Play p = new Play(4);
        long ran = p.open(Play.FILE, 6000);
        long waits = p.open(Play.FILE, 6000);
        p.tell(new Event.ForwardWritten(ran, 0)).tell(new Event.StopAsked()).pass(3500);
        assertEquals(List.of(Fixed.TIMED_OUT), p.fixed(ran));
        assertEquals(List.of(Fixed.REFUSED), p.fixed(waits));
        assertEquals(new Effect.Exit(false), p.of(Effect.Exit.class).get(0));
    }

    @Test
    void hostsThatAreGoneAndIdleAreForgotten() {
        Play p = new Play(2).pass(4100);
        long call = p.of(Effect.Watch.class).get(0).call();
        long f = p.open(Play.FILE, 5000);
        p.tell(new Event.ForwardWritten(f, 0));
        for (int i = 0; i < 100; i++) {
            p.tell(new Event.TargetsTold(
                    call, new EndpointList(50 + 2 * i, false, List.of(Play.target("n-" + i, EndpointState.UP)))));
            p.tell(new Event.TargetsTold(
                    call,
                    new EndpointList(
                            51 + 2 * i,
                            false,
                            List.of(
                                    Play.target("n-" + i, EndpointState.REMOVED),
                                    Play.target(p.forwards(f).get(0).host(), EndpointState.REMOVED)))));
            assertEquals(2, p.reducer.hosts(), "the one that is up and the one that has a forward out");
        }
        p.tell(answer(f, 0, Reply.SERVED));
        assertEquals(1, p.of(Effect.Respond.class).size());
        p.tell(new Event.TargetsTold(call, new EndpointList(900, false, List.of())));
        assertEquals(1, p.reducer.hosts());
    }

    @Test
    void timerOfAFlowThatHasEndedIsUnset() {
        Play p = new Play(1);
        long f = p.open(Play.FILE, 999_999_999);
        p.tell(new Event.ForwardWritten(f, 0)).tell(answer(f, 0, Reply.SERVED));
        assertEquals(List.of(new Effect.UnsetTimer(new TimerKey.Deadline(f))), p.of(Effect.UnsetTimer.class));
    }

    @Test
    void hostsNumberIsItsNamesAlone() {
        HostIds one = new HostIds();
        HostIds other = new HostIds();
        long a = one.of("s-a");
        other.of("s-b");
        assertEquals(a, other.of("s-a"));
        assertEquals(one.of("s-b"), other.of("s-b"));
    }

    @Test
    void openFlowsKeepTheRulesTheyBeganUnder() {
        Play p = new Play(8, 2);
        long old = p.open(Play.VIEW, 5000);
        RequestClass strict = new RequestClass(
                "view",
                1_000_000,
                2_000_000,
                BalancerApi.Effect.UNSAFE,
                BalancerApi.DedupScope.ALL,
                0,
                false,
                20,
                0.25);
        RequestClass other = new RequestClass(
                "other", 1_000_000, 3_000_000, BalancerApi.Effect.SAFE, BalancerApi.DedupScope.ALL, 0, false, 5, 0.25);
        p.tell(new Event.Reconfigured(
                Play.settings(2, 2, strict, other), new EndpointList(41, true, List.of()), false));
        for (int i = 0; i < 4; i++) {
            p.tell(new Event.ForwardWritten(old, i)).tell(new Event.ForwardBroken(old, i));
        }
        assertEquals(5, p.forwards(old).size(), "safe, with five attempts");
        long now = p.open(strict, -1);
        p.tell(new Event.ForwardWritten(now, 0)).tell(new Event.ForwardBroken(now, 0));
        assertEquals(List.of(Fixed.FAILED), p.fixed(now), "unsafe by the new rules");
        long added = p.open(other, -1);
        for (int i = 0; i < 2; i++) {
            p.tell(new Event.ForwardWritten(added, i)).tell(new Event.ForwardBroken(added, i));
        }
        assertEquals(2, p.forwards(added).size(), "attempts have got fewer");
        assertFalse(p.reducer.figures().contains("proxy.ok.file:"), "a class that never asked is gone");
    }

    @Test
    void callsThatWaitAreServedAcrossNewLevels() {
        Play p = new Play(1, 1);
        java.util.ArrayList<Long> flows = new java.util.ArrayList<>();
        for (int i = 0; i < 12; i++) {
            flows.add(p.open(i % 2 == 0 ? Play.VIEW : Play.FILE, 5000));
        }
        int before = p.of(Effect.Forward.class).size();
        assertTrue(before < 12, "some wait");
        p.tell(new Event.Reconfigured(Play.settings(1, 5, Play.FILE), new EndpointList(41, true, List.of()), false));
        for (int i = 0; i < 12; i++) {
            for (Effect.Forward f : p.of(Effect.Forward.class)) {
                p.tell(new Event.ForwardWritten(f.flow(), f.forward()));
                p.tell(answer(f.flow(), f.forward(), Reply.SERVED));
            }
        }
        assertEquals(
                12,
                p.of(Effect.Respond.class).size()
                        + p.of(Effect.FixedResponse.class).size());
        assertTrue(p.of(Effect.Respond.class).size() > before, "those that waited too");
        assertEquals(0, p.of(Effect.Fault.class).size());
    }

    /** A flow whose body is still coming. */
    private static long openLong(Play p) {
        p.tell(new Event.FlowOpened(900, new ClientRequest("file", null, 1000, false, false, "part")));
        return 900;
    }

    @Test
    void longRequestIsSentAgainOnlyWhileNothingOfItIsSpent() {
        Play p = new Play(4);
        long f = openLong(p);
        p.tell(new Event.ForwardBroken(f, 0));
        assertEquals(2, p.forwards(f).size());
        p.tell(new Event.FlowSpent(f)).tell(new Event.ForwardBroken(f, 1));
        assertEquals(2, p.forwards(f).size());
        assertEquals(List.of(Fixed.REFUSED), p.fixed(f), "its last byte was never written");
    }

    @Test
    void longRequestThatMayHaveRunFails() {
        Play p = new Play(4);
        long f = openLong(p);
        p.tell(new Event.FlowSpent(f)).tell(new Event.FlowWhole(f)).tell(new Event.ForwardWritten(f, 0));
        p.tell(new Event.ForwardBroken(f, 0));
        assertEquals(List.of(Fixed.FAILED), p.fixed(f));
    }

    @Test
    void timeOfALongRequestBeginsWithItsLastByte() {
        Play p = new Play(4);
        long f = openLong(p);
        p.tell(new Event.FlowSpent(f)).pass(7000);
        assertEquals(List.of(), p.fixed(f));
        p.tell(new Event.FlowWhole(f)).tell(new Event.ForwardWritten(f, 0)).pass(990);
        assertEquals(List.of(), p.fixed(f));
        assertEquals(List.of(Fixed.TIMED_OUT), p.pass(10).fixed(f));
    }

    @Test
    void stopAnswersALongRequestThatIsNotWhole() {
        Play p = new Play(4);
        long f = openLong(p);
        p.tell(new Event.FlowSpent(f)).tell(new Event.StopAsked()).pass(5000);
        assertEquals(List.of(Fixed.REFUSED), p.fixed(f));
    }

    @Test
    void longRequestsHoldNoServerUntilTheyAreWhole() {
        Play p = new Play(2, 2);
        for (long f = 500; f < 530; f++) {
            p.tell(new Event.FlowOpened(f, new ClientRequest("file", null, 5000, false, false, "part")));
            assertEquals(1, p.forwards(f).size(), "the " + f + " goes out at once");
        }
        long other = p.open(Play.FILE, 5000);
        assertEquals(1, p.forwards(other).size(), "and takes no other's place");
        for (long f = 500; f < 530; f++) {
            p.tell(new Event.FlowWhole(f));
        }
        assertEquals(0, p.forwards(p.open(Play.VIEW, 5000)).size(), "whole, they do");
    }

    @Test
    void unreadableEntryOfAWholeListLeavesItsHostAsItWas() {
        Play p = new Play(2, 2);
        while (p.of(Effect.Watch.class).isEmpty()) {
            p.pass(100);
        }
        long call = p.of(Effect.Watch.class).get(0).call();
        p.tell(new Event.TargetsTold(
                call,
                new EndpointList(
                        42, true, List.of(Play.target("s-1", EndpointState.UP)), List.of("s-0", "s-never-seen"))));
        assertEquals(2, p.reducer.hosts());
        for (int i = 0; i < 2; i++) {
            assertEquals(1, p.forwards(p.open(Play.FILE, 5000)).size(), "both still serve");
        }
        p.tell(new Event.TargetsTold(call, new EndpointList(43, true, List.of(Play.target("s-1", EndpointState.UP)))));
        assertEquals(2, p.reducer.hosts(), "gone, but a forward is out there");
        assertTrue(p.reducer.figures().contains("proxy.pool_size:1|g"));
    }
}
