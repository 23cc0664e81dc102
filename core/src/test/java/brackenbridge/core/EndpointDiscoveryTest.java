package brackenbridge.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.core.Event.ServerReply;
import brackenbridge.core.balancing.EndpointState;
import brackenbridge.counters.Counter;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Endpoint lists from discovery and from the configuration. */
class EndpointDiscoveryTest {
    private static Event answer(long requestId, int forward, ServerReply reply) {
        return new Event.AttemptAnswered(requestId, forward, reply, "body", null);
    }

    @Test
    void silentWatchFailsAndIsOpenedAgain() {
        ReducerHarness harness = new ReducerHarness(4).advance(4100);
        Effect.WatchDiscovery w = harness.effects(Effect.WatchDiscovery.class).get(0);
        assertEquals(41, w.afterVersion());
        for (int i = 0; i < 5; i++) {
            harness.send(new Event.DiscoveryHeartbeat(w.call())).advance(2000);
        }
        assertEquals(0, harness.effects(Effect.EndDiscoveryCall.class).size());
        harness.advance(1300);
        assertEquals(List.of(new Effect.EndDiscoveryCall(w.call())), harness.effects(Effect.EndDiscoveryCall.class));
        assertEquals(2, harness.effects(Effect.WatchDiscovery.class).size());
        harness.send(new Event.DiscoveryEnded(w.call())).advance(1000);
        assertEquals(2, harness.effects(Effect.WatchDiscovery.class).size());
    }

    @Test
    void outdatedListBringsNoServerBack() {
        ReducerHarness harness = new ReducerHarness(1).advance(4100);
        long call = harness.effects(Effect.WatchDiscovery.class).get(0).call();
        harness.send(new Event.EndpointListReceived(
                call, new EndpointList(50, false, List.of(ReducerHarness.endpoint("s-0", EndpointState.DRAINING)))));
        assertFalse(harness.reducer.isReady());
        harness.send(new Event.EndpointListReceived(
                call, new EndpointList(49, true, List.of(ReducerHarness.endpoint("s-0", EndpointState.UP)))));
        assertFalse(harness.reducer.isReady());
        harness.send(new Event.EndpointListReceived(
                call, new EndpointList(51, false, List.of(ReducerHarness.endpoint("s-0", EndpointState.UP)))));
        assertTrue(harness.reducer.isReady());
    }

    @Test
    void attemptWithoutAConnectionIsCancelledWhenItsHostIsRemoved() {
        ReducerHarness harness = new ReducerHarness(1).advance(4100);
        long requestId = harness.open(ReducerHarness.FILE, 5000);
        harness.send(new Event.EndpointListReceived(
                        harness.effects(Effect.WatchDiscovery.class).get(0).call(),
                        new EndpointList(50, false, List.of(ReducerHarness.endpoint("s-0", EndpointState.REMOVED)))))
                .advance(490);
        assertEquals(List.of(new Effect.CancelAttempt(requestId, 0)), harness.effects(Effect.CancelAttempt.class));
        assertEquals(1, harness.attempts(requestId).size());
    }

    @Test
    void newAddressIsUsedAndIdleConnectionsToTheOldOneClose() {
        ReducerHarness harness = new ReducerHarness(1).advance(4100);
        ServerEndpoint moved = new ServerEndpoint("s-0", "127.0.0.9:9", "room", -1, 1, 0, EndpointState.UP);
        harness.send(new Event.EndpointListReceived(
                harness.effects(Effect.WatchDiscovery.class).get(0).call(),
                new EndpointList(50, false, List.of(moved))));
        assertEquals(
                "127.0.0.9:9",
                harness.attempts(harness.open(ReducerHarness.FILE, 5000)).get(0).address());
        assertEquals(
                List.of(new Effect.CloseIdleConnections(
                        "s-0", ReducerHarness.endpoint("s-0", EndpointState.UP).address())),
                harness.effects(Effect.CloseIdleConnections.class));
    }

    @Test
    void movedDiscoveryIsCalledAtOnceAndItsCompleteListCounts() {
        ReducerHarness harness = new ReducerHarness(1).advance(4100);
        long old = harness.effects(Effect.WatchDiscovery.class).get(0).call();
        EndpointList known = new EndpointList(40, true, List.of(ReducerHarness.endpoint("s-old", EndpointState.UP)));
        harness.send(new Event.Reconfigured(harness.settings, known, true));
        assertEquals(List.of(new Effect.EndDiscoveryCall(old)), harness.effects(Effect.EndDiscoveryCall.class));
        Effect.WatchDiscovery w = harness.effects(Effect.WatchDiscovery.class).get(1);
        assertEquals(41, w.afterVersion());
        harness.send(new Event.DiscoveryEnded(old));
        harness.send(new Event.EndpointListReceived(old, new EndpointList(99, true, List.of())));
        assertTrue(harness.reducer.isReady());
        harness.send(new Event.EndpointListReceived(
                w.call(), new EndpointList(7, true, List.of(ReducerHarness.endpoint("s-new", EndpointState.UP)))));
        assertEquals(
                "s-new",
                harness.attempts(harness.open(ReducerHarness.FILE, 5000)).get(0).host());
        harness.advance(1000).send(new Event.DiscoveryHeartbeat(w.call())).advance(2500);
        assertEquals(
                2,
                harness.effects(Effect.WatchDiscovery.class).size(),
                "the module's own pause brings no further call");
    }

    @Test
    void newerConfiguredListIsAppliedAndTheWatchStaysOpen() {
        ReducerHarness harness = new ReducerHarness(1).advance(4100);
        harness.send(new Event.Reconfigured(
                harness.settings,
                new EndpointList(42, true, List.of(ReducerHarness.endpoint("s-new", EndpointState.UP))),
                false));
        assertEquals(
                "s-new",
                harness.attempts(harness.open(ReducerHarness.FILE, 5000)).get(0).host());
        assertEquals(0, harness.effects(Effect.EndDiscoveryCall.class).size());
        assertEquals(1, harness.counters.get(Counter.RECONFIGURED));
    }

    /** Three times SIGHUP, each while the grace that the first one has begun is on, and discovery moves each time. */
    @Test
    void repeatedReconfigurationExtendsNoGraceAndLeavesOneWatch() {
        ReducerHarness harness = new ReducerHarness(1).advance(4100);
        long requestId = harness.open(ReducerHarness.FILE, 5000);
        double first = harness.clock.nowMs();
        for (int i = 0; i < 3; i++) {
            assertEquals(
                    0, harness.effects(Effect.CancelAttempt.class).size(), "after " + (harness.clock.nowMs() - first));
            EndpointList known = new EndpointList(
                    42 + i,
                    true,
                    List.of(
                            ReducerHarness.endpoint("s-0", EndpointState.DRAINING),
                            ReducerHarness.endpoint("s-new-" + i, EndpointState.UP)));
            harness.send(new Event.Reconfigured(harness.settings, known, true)).advance(90);
        }
        assertEquals(
                List.of(new Effect.CancelAttempt(requestId, 0)),
                harness.effects(Effect.CancelAttempt.class),
                "200 ms after the first");
        assertEquals("s-new-2", harness.attempts(requestId).get(1).host());
        List<Effect.WatchDiscovery> watches = harness.effects(Effect.WatchDiscovery.class);
        assertEquals(4, watches.size());
        assertEquals(
                watches.subList(0, 3).stream()
                        .map(w -> new Effect.EndDiscoveryCall(w.call()))
                        .toList(),
                harness.effects(Effect.EndDiscoveryCall.class));
        harness.send(new Event.EndpointListReceived(
                watches.get(2).call(),
                new EndpointList(99, true, List.of(ReducerHarness.endpoint("s-old", EndpointState.UP)))));
        harness.send(new Event.EndpointListReceived(
                watches.get(3).call(),
                new EndpointList(7, true, List.of(ReducerHarness.endpoint("s-last", EndpointState.UP)))));
        for (int i = 0; i < 4; i++) {
            harness.open(ReducerHarness.FILE, 5000);
        }
        List<Effect.StartAttempt> forwards = harness.effects(Effect.StartAttempt.class);
        assertEquals("s-last", forwards.get(forwards.size() - 1).host());
        assertEquals(1, forwards.stream().filter(w -> w.host().equals("s-0")).count());
        assertEquals(0, forwards.stream().filter(w -> w.host().equals("s-old")).count());
    }

    @Test
    void removedHostsWithoutAttemptsAreForgotten() {
        ReducerHarness harness = new ReducerHarness(2).advance(4100);
        long call = harness.effects(Effect.WatchDiscovery.class).get(0).call();
        long requestId = harness.open(ReducerHarness.FILE, 5000);
        harness.send(new Event.AttemptWritten(requestId, 0));
        for (int i = 0; i < 100; i++) {
            harness.send(new Event.EndpointListReceived(
                    call,
                    new EndpointList(50 + 2 * i, false, List.of(ReducerHarness.endpoint("n-" + i, EndpointState.UP)))));
            harness.send(new Event.EndpointListReceived(
                    call,
                    new EndpointList(
                            51 + 2 * i,
                            false,
                            List.of(
                                    ReducerHarness.endpoint("n-" + i, EndpointState.REMOVED),
                                    ReducerHarness.endpoint(
                                            harness.attempts(requestId).get(0).host(), EndpointState.REMOVED)))));
            assertEquals(2, harness.reducer.hostCount(), "the one that is up and the one with an attempt in flight");
        }
        harness.send(answer(requestId, 0, ServerReply.SERVED));
        assertEquals(1, harness.effects(Effect.SendResponse.class).size());
        harness.send(new Event.EndpointListReceived(call, new EndpointList(900, false, List.of())));
        assertEquals(1, harness.reducer.hostCount());
    }

    @Test
    void unreadableEntryOfACompleteListLeavesItsHostUnchanged() {
        ReducerHarness harness = new ReducerHarness(2, 2);
        while (harness.effects(Effect.WatchDiscovery.class).isEmpty()) {
            harness.advance(100);
        }
        long call = harness.effects(Effect.WatchDiscovery.class).get(0).call();
        harness.send(new Event.EndpointListReceived(
                call,
                new EndpointList(
                        42,
                        true,
                        List.of(ReducerHarness.endpoint("s-1", EndpointState.UP)),
                        List.of("s-0", "s-never-seen"))));
        assertEquals(2, harness.reducer.hostCount());
        for (int i = 0; i < 2; i++) {
            assertEquals(
                    1, harness.attempts(harness.open(ReducerHarness.FILE, 5000)).size(), "both still serve");
        }
        harness.send(new Event.EndpointListReceived(
                call, new EndpointList(43, true, List.of(ReducerHarness.endpoint("s-1", EndpointState.UP)))));
        assertEquals(2, harness.reducer.hostCount(), "gone, but an attempt is in flight");
        assertTrue(harness.reducer.metricsText().contains("proxy.pool_size:1|g"));
    }
}
