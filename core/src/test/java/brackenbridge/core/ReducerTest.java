package brackenbridge.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.core.Effect.LocalReply;
import brackenbridge.core.Event.ServerReply;
import brackenbridge.core.balancing.DeduplicationScope;
import brackenbridge.core.balancing.EndpointState;
import brackenbridge.core.balancing.Idempotence;
import brackenbridge.core.balancing.RequestClass;
import brackenbridge.counters.Counter;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Event in, effects out. */
class ReducerTest {

    private static Event answer(long flow, int forward, ServerReply reply) {
        return new Event.AttemptAnswered(flow, forward, reply, "body", null);
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
        p.tell(new Event.AttemptWritten(f, 0))
                .tell(answer(f, 0, ServerReply.SERVED))
                .tell(answer(f, 0, ServerReply.SERVED));
        assertEquals(List.of(new Effect.SendResponse(f, "body")), p.of(Effect.SendResponse.class));
        assertEquals(List.of(), p.pass(9000).fixed(f));
    }

    @Test
    void unsafeFlowGoesOutAgainOnlyIfItsLastByteWasNeverWritten() {
        Play p = new Play(4);
        long broken = p.open(Play.FILE, 5000);
        p.tell(new Event.AttemptConnectionLost(broken, 0));
        assertEquals(2, p.forwards(broken).size());
        p.tell(new Event.AttemptWritten(broken, 1)).tell(new Event.AttemptConnectionLost(broken, 1));
        assertEquals(2, p.forwards(broken).size());
        assertEquals(List.of(LocalReply.FAILED), p.fixed(broken));
        long away = p.open(Play.FILE, 5000);
        p.tell(new Event.AttemptWritten(away, 0)).tell(answer(away, 0, ServerReply.SERVER_FULL));
        assertEquals(2, p.forwards(away).size());
    }

    @Test
    void deadlineEndsTheForwardAndAnswersBeforeTheClientGivesUp() {
        Play p = new Play(4);
        long f = p.open(Play.FILE, 5000);
        p.tell(new Event.AttemptWritten(f, 0)).pass(4999);
        assertEquals(List.of(new Effect.CancelAttempt(f, 0)), p.of(Effect.CancelAttempt.class));
        assertEquals(List.of(LocalReply.TIMED_OUT), p.fixed(f));
        assertEquals(1, p.counters.of(Counter.ATTEMPTS_TIMED_OUT));
        p.tell(answer(f, 0, ServerReply.SERVED));
        assertEquals(0, p.of(Effect.SendResponse.class).size());
    }

    /** It may have stood in the backlog: only what is surely left of its client's time is told to a second server. */
    @Test
    void furtherAttemptIsToldWhatIsSurelyLeftAndIsNotMadeBeyondIt() {
        Play p = new Play(4);
        long f = 70;
        p.tell(new Event.RequestReceived(f, new ClientRequest(Play.FILE.name(), null, 5000, false, true, 1500, "m")));
        double opened = p.clock.nowMs();
        assertEquals(opened + 4995, p.forwards(f).get(0).giveUpMs(), 1e-6);
        p.tell(new Event.AttemptConnectionLost(f, 0));
        assertEquals(opened + 3495, p.forwards(f).get(1).giveUpMs(), 1e-6);
        long late = 71;
        p.tell(new Event.RequestReceived(late, new ClientRequest(Play.FILE.name(), null, 1000, false, true, 1500, "m")))
                .tell(new Event.AttemptConnectionLost(late, 0));
        assertEquals(1, p.forwards(late).size());
        assertEquals(List.of(LocalReply.REJECTED), p.fixed(late));
    }

    @Test
    void nodeThatNoticesDeadlinesLateAnswersEarlierForAWhile() {
        Play p = new Play(4);
        long f = p.open(Play.FILE, 1000);
        p.tell(new Event.AttemptWritten(f, 0));
        p.clock.pass(1030);
        p.tell(new Event.TimerFired(new TimerKey.RequestDeadline(f)));
        assertEquals(List.of(LocalReply.TIMED_OUT), p.fixed(f));
        long next = p.open(Play.FILE, 5000);
        assertEquals(
                p.clock.nowMs() + 5000 - RequestLifecycle.DEADLINE_MARGIN_MS - RequestLifecycle.MAX_LATENESS_MARGIN_MS,
                p.forwards(next).get(0).giveUpMs(),
                1e-6);
        long brief = p.open(Play.VIEW, 40);
        assertEquals(
                p.clock.nowMs() + 40 - RequestLifecycle.DEADLINE_MARGIN_MS - 10,
                p.forwards(brief).get(0).giveUpMs(),
                1e-6);
        p.pass(30_000);
        long calm = p.open(Play.FILE, 5000);
        assertEquals(
                p.clock.nowMs() + 5000 - RequestLifecycle.DEADLINE_MARGIN_MS,
                p.forwards(calm).get(0).giveUpMs(),
                0.1);
    }

    @Test
    void flowWithoutTimeLeftHasItsClasssDeadline() {
        Play p = new Play(4);
        long f = p.open(Play.FILE, -1);
        p.tell(new Event.AttemptWritten(f, 0)).pass(5900);
        assertEquals(List.of(), p.fixed(f));
        assertEquals(List.of(LocalReply.TIMED_OUT), p.pass(100).fixed(f));
    }

    @Test
    void flowThatNoServerCouldTakeIsRefusedInTime() {
        Play p = new Play(0);
        long f = p.open(Play.FILE, 1000);
        assertFalse(p.reducer.isReady());
        assertEquals(List.of(LocalReply.REJECTED), p.pass(999).fixed(f));
    }

    @Test
    void goneClientsForwardIsCalledOffAndNothingIsOwed() {
        Play p = new Play(4);
        long f = p.open(Play.VIEW, 5000);
        p.tell(new Event.ClientDisconnected(f))
                .tell(new Event.ClientDisconnected(f))
                .pass(9000);
        assertEquals(List.of(new Effect.CancelAttempt(f, 0)), p.of(Effect.CancelAttempt.class));
        assertEquals(List.of(), p.fixed(f));
        assertEquals(1, p.counters.of(Counter.CLIENTS_DISCONNECTED));
        assertEquals(1, p.counters.of(Counter.ATTEMPTS_NEVER_STARTED));
    }

    @Test
    void hiddenClientsForwardThatIsNotWrittenIsCalledOffAndRefusedAtOnce() {
        Play p = new Play(4);
        long f = p.open(Play.FILE, 5000);
        p.tell(new Event.ClientPresenceUnknown(f)).tell(new Event.ClientPresenceUnknown(f));
        assertEquals(List.of(new Effect.CancelAttempt(f, 0)), p.of(Effect.CancelAttempt.class));
        assertEquals(List.of(LocalReply.REJECTED), p.fixed(f));
        p.pass(9000);
        assertEquals(1, p.forwards(f).size());
        assertEquals(List.of(LocalReply.REJECTED), p.fixed(f));
        assertEquals(1, p.counters.of(Counter.ATTEMPTS_NEVER_STARTED));
    }

    @Test
    void hiddenClientsForwardThatIsWrittenGoesOnAndItsFlowIsRefusedWhenItIsTurnedAway() {
        Play p = new Play(1);
        long f = p.open(Play.FILE, 5000);
        p.tell(new Event.AttemptWritten(f, 0)).tell(new Event.ClientPresenceUnknown(f));
        assertEquals(List.of(), p.fixed(f));
        p.tell(new Event.AttemptAnswered(f, 0, ServerReply.SERVER_FULL, null, null))
                .tell(new Event.ClientPresenceUnknown(f));
        assertEquals(List.of(LocalReply.REJECTED), p.fixed(f));
        p.pass(9000);
        int further = p.forwards(f).size() - 1;
        assertEquals(further, p.of(Effect.CancelAttempt.class).size(), "what was to go out again is called off");
    }

    @Test
    void hiddenClientsFlowThatMayHaveRunIsFailedNotRefused() {
        Play p = new Play(4);
        long f = p.open(Play.VIEW, 5000);
        p.tell(new Event.AttemptWritten(f, 0)).tell(new Event.AttemptConnectionLost(f, 0));
        assertEquals(2, p.forwards(f).size(), "safe, so it goes out again");
        p.tell(new Event.ClientPresenceUnknown(f));
        assertEquals(List.of(LocalReply.FAILED), p.fixed(f));
        assertEquals(List.of(new Effect.CancelAttempt(f, 1)), p.of(Effect.CancelAttempt.class));
    }

    @Test
    void flowThatTheModuleHoldsForAHiddenOrGoneClientNeverBegins() {
        Play p = new Play(0);
        long hidden = p.open(Play.VIEW, 8000);
        long gone = p.open(Play.VIEW, 8000);
        long other = p.open(Play.VIEW, 8000);
        p.tell(new Event.ClientPresenceUnknown(hidden)).tell(new Event.ClientDisconnected(gone));
        assertEquals(List.of(LocalReply.REJECTED), p.fixed(hidden));
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
        Effect.WatchDiscovery w = p.of(Effect.WatchDiscovery.class).get(0);
        assertEquals(41, w.afterVersion());
        for (int i = 0; i < 5; i++) {
            p.tell(new Event.DiscoveryHeartbeat(w.call())).pass(2000);
        }
        assertEquals(0, p.of(Effect.EndDiscoveryCall.class).size());
        p.pass(1300);
        assertEquals(List.of(new Effect.EndDiscoveryCall(w.call())), p.of(Effect.EndDiscoveryCall.class));
        assertEquals(2, p.of(Effect.WatchDiscovery.class).size());
        p.tell(new Event.DiscoveryEnded(w.call())).pass(1000);
        assertEquals(2, p.of(Effect.WatchDiscovery.class).size());
    }

    @Test
    void staleListBringsNoServerBack() {
        Play p = new Play(1).pass(4100);
        long call = p.of(Effect.WatchDiscovery.class).get(0).call();
        p.tell(new Event.EndpointListReceived(
                call, new EndpointList(50, false, List.of(Play.target("s-0", EndpointState.DRAINING)))));
        assertFalse(p.reducer.isReady());
        p.tell(new Event.EndpointListReceived(
                call, new EndpointList(49, true, List.of(Play.target("s-0", EndpointState.UP)))));
        assertFalse(p.reducer.isReady());
        p.tell(new Event.EndpointListReceived(
                call, new EndpointList(51, false, List.of(Play.target("s-0", EndpointState.UP)))));
        assertTrue(p.reducer.isReady());
    }

    @Test
    void forwardWithoutAConnectionIsCutOffAtADrain() {
        Play p = new Play(1).pass(4100);
        long f = p.open(Play.FILE, 5000);
        p.tell(new Event.EndpointListReceived(
                        p.of(Effect.WatchDiscovery.class).get(0).call(),
                        new EndpointList(50, false, List.of(Play.target("s-0", EndpointState.REMOVED)))))
                .pass(490);
        assertEquals(List.of(new Effect.CancelAttempt(f, 0)), p.of(Effect.CancelAttempt.class));
        assertEquals(1, p.forwards(f).size());
    }

    @Test
    void newDialIsUsedFromThenOn() {
        Play p = new Play(1).pass(4100);
        ServerEndpoint moved = new ServerEndpoint("s-0", "127.0.0.9:9", "room", -1, 1, 0, EndpointState.UP);
        p.tell(new Event.EndpointListReceived(
                p.of(Effect.WatchDiscovery.class).get(0).call(), new EndpointList(50, false, List.of(moved))));
        assertEquals("127.0.0.9:9", p.forwards(p.open(Play.FILE, 5000)).get(0).address());
        assertEquals(
                List.of(new Effect.CloseIdleConnections(
                        "s-0", Play.target("s-0", EndpointState.UP).address())),
                p.of(Effect.CloseIdleConnections.class));
    }

    @Test
    void movedDiscoveryIsAskedAtOnceAndItsWholeListHolds() {
        Play p = new Play(1).pass(4100);
        long old = p.of(Effect.WatchDiscovery.class).get(0).call();
        EndpointList known = new EndpointList(40, true, List.of(Play.target("s-old", EndpointState.UP)));
        p.tell(new Event.Reconfigured(p.settings, known, true));
        assertEquals(List.of(new Effect.EndDiscoveryCall(old)), p.of(Effect.EndDiscoveryCall.class));
        Effect.WatchDiscovery w = p.of(Effect.WatchDiscovery.class).get(1);
        assertEquals(41, w.afterVersion());
        p.tell(new Event.DiscoveryEnded(old));
        p.tell(new Event.EndpointListReceived(old, new EndpointList(99, true, List.of())));
        assertTrue(p.reducer.isReady());
        p.tell(new Event.EndpointListReceived(
                w.call(), new EndpointList(7, true, List.of(Play.target("s-new", EndpointState.UP)))));
        assertEquals("s-new", p.forwards(p.open(Play.FILE, 5000)).get(0).host());
        p.pass(1000).tell(new Event.DiscoveryHeartbeat(w.call())).pass(2500);
        assertEquals(2, p.of(Effect.WatchDiscovery.class).size(), "the module's own pause brings no further call");
    }

    @Test
    void reconfiguredNodeTakesANewerListAndKeepsItsWatch() {
        Play p = new Play(1).pass(4100);
        p.tell(new Event.Reconfigured(
                p.settings, new EndpointList(42, true, List.of(Play.target("s-new", EndpointState.UP))), false));
        assertEquals("s-new", p.forwards(p.open(Play.FILE, 5000)).get(0).host());
        assertEquals(0, p.of(Effect.EndDiscoveryCall.class).size());
        assertEquals(1, p.counters.of(Counter.RECONFIGURED));
    }

    /** Three times SIGHUP, each while the grace that the first one has begun is on, and discovery moves each time. */
    @Test
    void settingsInQuickSuccessionExtendNoGraceAndLeaveOneWatch() {
        Play p = new Play(1).pass(4100);
        long f = p.open(Play.FILE, 5000);
        double first = p.clock.nowMs();
        for (int i = 0; i < 3; i++) {
            assertEquals(0, p.of(Effect.CancelAttempt.class).size(), "after " + (p.clock.nowMs() - first));
            EndpointList known = new EndpointList(
                    42 + i,
                    true,
                    List.of(Play.target("s-0", EndpointState.DRAINING), Play.target("s-new-" + i, EndpointState.UP)));
            p.tell(new Event.Reconfigured(p.settings, known, true)).pass(100);
        }
        assertEquals(
                List.of(new Effect.CancelAttempt(f, 0)), p.of(Effect.CancelAttempt.class), "250 ms after the first");
        assertEquals("s-new-2", p.forwards(f).get(1).host());
        List<Effect.WatchDiscovery> watches = p.of(Effect.WatchDiscovery.class);
        assertEquals(4, watches.size());
        assertEquals(
                watches.subList(0, 3).stream()
                        .map(w -> new Effect.EndDiscoveryCall(w.call()))
                        .toList(),
                p.of(Effect.EndDiscoveryCall.class));
        p.tell(new Event.EndpointListReceived(
                watches.get(2).call(), new EndpointList(99, true, List.of(Play.target("s-old", EndpointState.UP)))));
        p.tell(new Event.EndpointListReceived(
                watches.get(3).call(), new EndpointList(7, true, List.of(Play.target("s-last", EndpointState.UP)))));
        for (int i = 0; i < 4; i++) {
            p.open(Play.FILE, 5000);
        }
        List<Effect.StartAttempt> forwards = p.of(Effect.StartAttempt.class);
        assertEquals("s-last", forwards.get(forwards.size() - 1).host());
        assertEquals(1, forwards.stream().filter(w -> w.host().equals("s-0")).count());
        assertEquals(0, forwards.stream().filter(w -> w.host().equals("s-old")).count());
    }

    @Test
    void requestThatAServerRejectsIsAnsweredAtOnceAndHarmsNoServer() {
        Play p = new Play(2);
        for (int i = 0; i < 20; i++) {
            long f = p.open(Play.VIEW, 5000);
            p.tell(new Event.AttemptWritten(f, 0)).tell(answer(f, 0, ServerReply.INVALID_REQUEST));
            assertEquals(List.of(LocalReply.INVALID_REQUEST), p.fixed(f));
            assertEquals(1, p.forwards(f).size());
        }
        assertEquals(20, p.counters.of(Counter.ATTEMPTS_INVALID_REQUEST));
        long one = p.open(Play.FILE, 5000);
        long other = p.open(Play.FILE, 5000);
        assertFalse(
                p.forwards(one).get(0).host().equals(p.forwards(other).get(0).host()), "both servers are in use");
    }

    /** The front sends no more connections to it; its peers may be stopped by the same release, or only just back. */
    @Test
    void stoppingNodeServesTheConnectionsItHasAndEndsWhenAllIsAnswered() {
        for (int peers : new int[] {1, 2}) {
            Play p = new Play(4, peers).tell(new Event.StopRequested()).pass(450);
            assertFalse(p.reducer.isReady());
            assertEquals(0, p.of(Effect.StopAccepting.class).size());
            p.pass(100);
            assertEquals(1, p.of(Effect.StopAccepting.class).size());
            p.pass(2450);
            assertEquals(0, p.of(Effect.AnnounceClose.class).size());
            assertEquals(0, p.of(Effect.CloseIdleClients.class).size());
            long f = p.open(Play.FILE, 5000);
            p.tell(new Event.AttemptWritten(f, 0)).pass(200);
            assertEquals(1, p.of(Effect.AnnounceClose.class).size());
            assertEquals(1, p.of(Effect.CloseIdleClients.class).size());
            assertEquals(0, p.of(Effect.Exit.class).size());
            p.tell(answer(f, 0, ServerReply.SERVED));
            assertEquals(1, p.of(Effect.SendResponse.class).size());
            assertEquals(List.of(new Effect.Exit(false)), p.of(Effect.Exit.class));
        }
    }

    /** Half of a request may have been here when the last answers went. */
    @Test
    void requestThatIsWholeOnlyAfterTheLastAnswersIsRefusedAtOnce() {
        Play p = new Play(4);
        p.open(Play.FILE, 6000);
        p.tell(new Event.StopRequested()).pass(3420);
        assertEquals(
                0,
                p.of(Effect.Exit.class).stream()
                        .filter(Effect.Exit::immediately)
                        .count());
        long late = p.open(Play.FILE, 6000);
        assertEquals(List.of(LocalReply.REJECTED), p.fixed(late));
        assertEquals(0, p.forwards(late).size());
    }

    @Test
    void drainedNodeStopsSoon() {
        Play p = new Play(4, 2)
                .tell(new Event.DrainRequested(true))
                .pass(2000)
                .tell(new Event.StopRequested())
                .pass(600);
        assertEquals(List.of(new Effect.Exit(false)), p.of(Effect.Exit.class));
    }

    @Test
    void stoppingNodeAnswersWhatIsOpenBeforeItIsKilled() {
        Play p = new Play(4);
        long ran = p.open(Play.FILE, 6000);
        long waits = p.open(Play.FILE, 6000);
        p.tell(new Event.AttemptWritten(ran, 0)).tell(new Event.StopRequested()).pass(3500);
        assertEquals(List.of(LocalReply.TIMED_OUT), p.fixed(ran));
        assertEquals(List.of(LocalReply.REJECTED), p.fixed(waits));
        assertEquals(new Effect.Exit(false), p.of(Effect.Exit.class).get(0));
    }

    @Test
    void hostsThatAreGoneAndIdleAreForgotten() {
        Play p = new Play(2).pass(4100);
        long call = p.of(Effect.WatchDiscovery.class).get(0).call();
        long f = p.open(Play.FILE, 5000);
        p.tell(new Event.AttemptWritten(f, 0));
        for (int i = 0; i < 100; i++) {
            p.tell(new Event.EndpointListReceived(
                    call, new EndpointList(50 + 2 * i, false, List.of(Play.target("n-" + i, EndpointState.UP)))));
            p.tell(new Event.EndpointListReceived(
                    call,
                    new EndpointList(
                            51 + 2 * i,
                            false,
                            List.of(
                                    Play.target("n-" + i, EndpointState.REMOVED),
                                    Play.target(p.forwards(f).get(0).host(), EndpointState.REMOVED)))));
            assertEquals(2, p.reducer.hostCount(), "the one that is up and the one that has a forward out");
        }
        p.tell(answer(f, 0, ServerReply.SERVED));
        assertEquals(1, p.of(Effect.SendResponse.class).size());
        p.tell(new Event.EndpointListReceived(call, new EndpointList(900, false, List.of())));
        assertEquals(1, p.reducer.hostCount());
    }

    @Test
    void timerOfAFlowThatHasEndedIsUnset() {
        Play p = new Play(1);
        long f = p.open(Play.FILE, 999_999_999);
        p.tell(new Event.AttemptWritten(f, 0)).tell(answer(f, 0, ServerReply.SERVED));
        assertEquals(List.of(new Effect.CancelTimer(new TimerKey.RequestDeadline(f))), p.of(Effect.CancelTimer.class));
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
                "view", 1_000_000, 2_000_000, Idempotence.NOT_IDEMPOTENT, DeduplicationScope.ALL, 0, false, 20, 0.25);
        RequestClass other = new RequestClass(
                "other", 1_000_000, 3_000_000, Idempotence.IDEMPOTENT, DeduplicationScope.ALL, 0, false, 5, 0.25);
        p.tell(new Event.Reconfigured(
                Play.settings(2, 2, strict, other), new EndpointList(41, true, List.of()), false));
        for (int i = 0; i < 4; i++) {
            p.tell(new Event.AttemptWritten(old, i)).tell(new Event.AttemptConnectionLost(old, i));
        }
        assertEquals(5, p.forwards(old).size(), "safe, with five attempts");
        long now = p.open(strict, -1);
        p.tell(new Event.AttemptWritten(now, 0)).tell(new Event.AttemptConnectionLost(now, 0));
        assertEquals(List.of(LocalReply.FAILED), p.fixed(now), "unsafe by the new rules");
        long added = p.open(other, -1);
        for (int i = 0; i < 2; i++) {
            p.tell(new Event.AttemptWritten(added, i)).tell(new Event.AttemptConnectionLost(added, i));
        }
        assertEquals(2, p.forwards(added).size(), "attempts have got fewer");
        assertFalse(p.reducer.metricsText().contains("proxy.ok.file:"), "a class that never asked is gone");
    }

    @Test
    void callsThatWaitAreServedAcrossNewLevels() {
        Play p = new Play(1, 1);
        java.util.ArrayList<Long> flows = new java.util.ArrayList<>();
        for (int i = 0; i < 12; i++) {
            flows.add(p.open(i % 2 == 0 ? Play.VIEW : Play.FILE, 5000));
        }
        int before = p.of(Effect.StartAttempt.class).size();
        assertTrue(before < 12, "some wait");
        p.tell(new Event.Reconfigured(Play.settings(1, 5, Play.FILE), new EndpointList(41, true, List.of()), false));
        for (int i = 0; i < 12; i++) {
            for (Effect.StartAttempt f : p.of(Effect.StartAttempt.class)) {
                p.tell(new Event.AttemptWritten(f.requestId(), f.attempt()));
                p.tell(answer(f.requestId(), f.attempt(), ServerReply.SERVED));
            }
        }
        assertEquals(
                12,
                p.of(Effect.SendResponse.class).size()
                        + p.of(Effect.SendLocalReply.class).size());
        assertTrue(p.of(Effect.SendResponse.class).size() > before, "those that waited too");
        assertEquals(0, p.of(Effect.Fault.class).size());
    }

    /** A flow whose body is still coming. */
    private static long openLong(Play p) {
        p.tell(new Event.RequestReceived(900, new ClientRequest("file", null, 1000, false, false, "part")));
        return 900;
    }

    @Test
    void longRequestIsSentAgainOnlyWhileNothingOfItIsSpent() {
        Play p = new Play(4);
        long f = openLong(p);
        p.tell(new Event.AttemptConnectionLost(f, 0));
        assertEquals(2, p.forwards(f).size());
        p.tell(new Event.RequestBodyReleased(f)).tell(new Event.AttemptConnectionLost(f, 1));
        assertEquals(2, p.forwards(f).size());
        assertEquals(List.of(LocalReply.REJECTED), p.fixed(f), "its last byte was never written");
    }

    @Test
    void longRequestThatMayHaveRunFails() {
        Play p = new Play(4);
        long f = openLong(p);
        p.tell(new Event.RequestBodyReleased(f))
                .tell(new Event.RequestCompleted(f))
                .tell(new Event.AttemptWritten(f, 0));
        p.tell(new Event.AttemptConnectionLost(f, 0));
        assertEquals(List.of(LocalReply.FAILED), p.fixed(f));
    }

    @Test
    void timeOfALongRequestBeginsWithItsLastByte() {
        Play p = new Play(4);
        long f = openLong(p);
        p.tell(new Event.RequestBodyReleased(f)).pass(7000);
        assertEquals(List.of(), p.fixed(f));
        p.tell(new Event.RequestCompleted(f))
                .tell(new Event.AttemptWritten(f, 0))
                .pass(990);
        assertEquals(List.of(), p.fixed(f));
        assertEquals(List.of(LocalReply.TIMED_OUT), p.pass(10).fixed(f));
    }

    @Test
    void stopAnswersALongRequestThatIsNotWhole() {
        Play p = new Play(4);
        long f = openLong(p);
        p.tell(new Event.RequestBodyReleased(f)).tell(new Event.StopRequested()).pass(5000);
        assertEquals(List.of(LocalReply.REJECTED), p.fixed(f));
    }

    @Test
    void longRequestsHoldNoServerUntilTheyAreWhole() {
        Play p = new Play(2, 2);
        for (long f = 500; f < 530; f++) {
            p.tell(new Event.RequestReceived(f, new ClientRequest("file", null, 5000, false, false, "part")));
            assertEquals(1, p.forwards(f).size(), "the " + f + " goes out at once");
        }
        long other = p.open(Play.FILE, 5000);
        assertEquals(1, p.forwards(other).size(), "and takes no other's place");
        for (long f = 500; f < 530; f++) {
            p.tell(new Event.RequestCompleted(f));
        }
        assertEquals(0, p.forwards(p.open(Play.VIEW, 5000)).size(), "whole, they do");
    }

    @Test
    void unreadableEntryOfAWholeListLeavesItsHostAsItWas() {
        Play p = new Play(2, 2);
        while (p.of(Effect.WatchDiscovery.class).isEmpty()) {
            p.pass(100);
        }
        long call = p.of(Effect.WatchDiscovery.class).get(0).call();
        p.tell(new Event.EndpointListReceived(
                call,
                new EndpointList(
                        42, true, List.of(Play.target("s-1", EndpointState.UP)), List.of("s-0", "s-never-seen"))));
        assertEquals(2, p.reducer.hostCount());
        for (int i = 0; i < 2; i++) {
            assertEquals(1, p.forwards(p.open(Play.FILE, 5000)).size(), "both still serve");
        }
        p.tell(new Event.EndpointListReceived(
                call, new EndpointList(43, true, List.of(Play.target("s-1", EndpointState.UP)))));
        assertEquals(2, p.reducer.hostCount(), "gone, but a forward is out there");
        assertTrue(p.reducer.metricsText().contains("proxy.pool_size:1|g"));
    }
}
