package brackenbridge.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.core.Event.ResponseKind;
import brackenbridge.core.balancing.EndpointState;
import brackenbridge.counters.Counter;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Endpoint lists from discovery and from the configuration. */
class EndpointDiscoveryTest {
    private static Event answer(long requestId, int attempt, ResponseKind reply) {
        return new Event.ResponseReceived(requestId, attempt, reply, "body", null);
    }

    @Test
    void silentWatchFailsAndIsOpenedAgain() {
        ReducerHarness harness = new ReducerHarness(4).advance(4100);
        Effect.WatchDiscovery watch =
                harness.effects(Effect.WatchDiscovery.class).get(0);
        assertEquals(41, watch.afterVersion());
        for (int i = 0; i < 5; i++) {
            harness.send(new Event.DiscoveryHeartbeat(watch.call())).advance(2000);
        }
        assertEquals(0, harness.effects(Effect.CancelDiscoveryCall.class).size());
        harness.advance(1300);
        assertEquals(
                List.of(new Effect.CancelDiscoveryCall(watch.call())),
                harness.effects(Effect.CancelDiscoveryCall.class));
        assertEquals(2, harness.effects(Effect.WatchDiscovery.class).size());
        harness.send(new Event.DiscoveryCallEnded(watch.call())).advance(1000);
        assertEquals(2, harness.effects(Effect.WatchDiscovery.class).size());
    }

    @Test
    void outdatedListRestoresNoServer() {
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
        long oldCall = harness.effects(Effect.WatchDiscovery.class).get(0).call();
        EndpointList configured =
                new EndpointList(40, true, List.of(ReducerHarness.endpoint("s-old", EndpointState.UP)));
        harness.send(new Event.Reconfigured(harness.settings, configured, true));
        assertEquals(
                List.of(new Effect.CancelDiscoveryCall(oldCall)), harness.effects(Effect.CancelDiscoveryCall.class));
        Effect.WatchDiscovery watch =
                harness.effects(Effect.WatchDiscovery.class).get(1);
        assertEquals(41, watch.afterVersion());
        harness.send(new Event.DiscoveryCallEnded(oldCall));
        harness.send(new Event.EndpointListReceived(oldCall, new EndpointList(99, true, List.of())));
        assertTrue(harness.reducer.isReady());
        harness.send(new Event.EndpointListReceived(
                watch.call(), new EndpointList(7, true, List.of(ReducerHarness.endpoint("s-new", EndpointState.UP)))));
        assertEquals(
                "s-new",
                harness.attempts(harness.open(ReducerHarness.FILE, 5000)).get(0).host());
        harness.advance(1000).send(new Event.DiscoveryHeartbeat(watch.call())).advance(2500);
        assertEquals(
                2,
                harness.effects(Effect.WatchDiscovery.class).size(),
                "the watch's own backoff causes no further call");
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
        assertEquals(0, harness.effects(Effect.CancelDiscoveryCall.class).size());
        assertEquals(1, harness.counters.get(Counter.RECONFIGURED));
    }

    /**
     * Three reloads, each during the drain grace that the first one has started, and each with another discovery
     * address. Guards against a grace that starts again with each reload, and against watches that stay open.
     */
    @Test
    void repeatedReconfigurationExtendsNoGraceAndLeavesOneWatch() {
        ReducerHarness harness = new ReducerHarness(1).advance(4100);
        long requestId = harness.open(ReducerHarness.FILE, 5000);
        double firstMs = harness.clock.nowMs();
        for (int i = 0; i < 3; i++) {
            assertEquals(
                    0,
                    harness.effects(Effect.CancelAttempt.class).size(),
                    "ms since the first reload: " + (harness.clock.nowMs() - firstMs));
            EndpointList configured = new EndpointList(
                    42 + i,
                    true,
                    List.of(
                            ReducerHarness.endpoint("s-0", EndpointState.DRAINING),
                            ReducerHarness.endpoint("s-new-" + i, EndpointState.UP)));
            harness.send(new Event.Reconfigured(harness.settings, configured, true))
                    .advance(90);
        }
        assertEquals(
                List.of(new Effect.CancelAttempt(requestId, 0)),
                harness.effects(Effect.CancelAttempt.class),
                "at the cut-off, 200 ms after the first reload");
        assertEquals("s-new-2", harness.attempts(requestId).get(1).host());
        List<Effect.WatchDiscovery> watches = harness.effects(Effect.WatchDiscovery.class);
        assertEquals(4, watches.size());
        assertEquals(
                watches.subList(0, 3).stream()
                        .map(watch -> new Effect.CancelDiscoveryCall(watch.call()))
                        .toList(),
                harness.effects(Effect.CancelDiscoveryCall.class));
        harness.send(new Event.EndpointListReceived(
                watches.get(2).call(),
                new EndpointList(99, true, List.of(ReducerHarness.endpoint("s-old", EndpointState.UP)))));
        harness.send(new Event.EndpointListReceived(
                watches.get(3).call(),
                new EndpointList(7, true, List.of(ReducerHarness.endpoint("s-last", EndpointState.UP)))));
        for (int i = 0; i < 4; i++) {
            harness.open(ReducerHarness.FILE, 5000);
        }
        List<Effect.StartAttempt> attempts = harness.effects(Effect.StartAttempt.class);
        assertEquals("s-last", attempts.get(attempts.size() - 1).host());
        assertEquals(
                1,
                attempts.stream()
                        .filter(attempt -> attempt.host().equals("s-0"))
                        .count());
        assertEquals(
                0,
                attempts.stream()
                        .filter(attempt -> attempt.host().equals("s-old"))
                        .count());
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
            assertEquals(2, harness.reducer.hostCount(), "the host that is up and the host with an attempt in flight");
        }
        harness.send(answer(requestId, 0, ResponseKind.SERVED));
        assertEquals(1, harness.effects(Effect.SendResponse.class).size());
        harness.send(new Event.EndpointListReceived(call, new EndpointList(900, false, List.of())));
        assertEquals(1, harness.reducer.hostCount());
    }

    @Test
    void malformedEntryOfACompleteListLeavesItsHostUnchanged() {
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
                    1, harness.attempts(harness.open(ReducerHarness.FILE, 5000)).size(), "both hosts still serve");
        }
        harness.send(new Event.EndpointListReceived(
                call, new EndpointList(43, true, List.of(ReducerHarness.endpoint("s-1", EndpointState.UP)))));
        assertEquals(2, harness.reducer.hostCount(), "removed, but an attempt is in flight");
        assertTrue(harness.reducer.metricsText().contains("proxy.pool_size:1|g"));
    }
}
