package brackenbridge.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.core.Effect.LocalReply;
import brackenbridge.core.Event.ResponseKind;
import brackenbridge.counters.Counter;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Drains and their cancellation, also during a stop, and the counters after each step. */
class LifeCycleTest {
    private static final Event DRAIN = new Event.DrainRequested(true);
    private static final Event CANCEL_DRAIN = new Event.DrainRequested(false);

    @Test
    void drainEndsReadinessAtOnceAndRejectsLateRequests() {
        ReducerHarness harness = new ReducerHarness(4, 2).send(DRAIN);
        assertFalse(harness.reducer.isReady());
        assertEquals(List.of(new Effect.AnnounceClose(true)), harness.effects(Effect.AnnounceClose.class));
        long early = harness.advance(1000).open(ReducerHarness.FILE, 5000);
        assertEquals(1, harness.attempts(early).size(), "requests are accepted until the front end has noticed");
        assertEquals(
                List.of(new Effect.CloseClientsWhenIdle(true)), harness.effects(Effect.CloseClientsWhenIdle.class));
        long late = harness.advance(900).open(ReducerHarness.FILE, 5000);
        assertEquals(List.of(LocalReply.REJECTED), harness.localReplies(late));
        assertEquals(List.of(), harness.attempts(late));
        assertEquals(
                1,
                harness.advance(1500)
                        .effects(Effect.RejectIncompleteRequests.class)
                        .size());
        harness.send(new Event.AttemptWritten(early, 0))
                .send(new Event.ResponseReceived(early, 0, ResponseKind.SERVED, "b", null));
        assertEquals(1, harness.effects(Effect.SendResponse.class).size());
    }

    @Test
    void cancelledDrainRestoresReadinessAndEndsItsSteps() {
        ReducerHarness harness =
                new ReducerHarness(4, 2).send(DRAIN).advance(700).send(CANCEL_DRAIN);
        assertTrue(harness.reducer.isReady());
        assertEquals(
                List.of(true, false),
                harness.effects(Effect.AnnounceClose.class).stream()
                        .map(Effect.AnnounceClose::enabled)
                        .toList());
        assertEquals(
                List.of(true, false),
                harness.effects(Effect.CloseClientsWhenIdle.class).stream()
                        .map(effect -> effect.enabled())
                        .toList());
        harness.advance(5000);
        assertEquals(List.of(), harness.localReplies(harness.open(ReducerHarness.FILE, 5000)));
        assertEquals(0, harness.effects(Effect.RejectIncompleteRequests.class).size());
        harness.send(DRAIN).advance(2000).send(CANCEL_DRAIN);
        assertEquals(
                List.of(),
                harness.localReplies(harness.open(ReducerHarness.FILE, 5000)),
                "no request is rejected after a cancelled drain");
    }

    @Test
    void repeatedDrainRequestsAndCancelsDoNothing() {
        ReducerHarness harness = new ReducerHarness(4, 2).send(CANCEL_DRAIN);
        assertTrue(harness.reducer.isReady());
        harness.send(DRAIN).advance(400).send(DRAIN).advance(250);
        assertEquals(
                1, harness.effects(Effect.CloseClientsWhenIdle.class).size(), "the steps count from the first request");
        assertEquals(1, harness.counters.get(Counter.DRAINS));
        harness.send(new Event.StopRequested()).send(CANCEL_DRAIN).send(DRAIN);
        assertFalse(harness.reducer.isReady());
        assertTrue(harness.reducer.isStopping());
        assertEquals(0, harness.counters.get(Counter.DRAINS_CANCELLED));
        assertFalse(harness.advance(5000).effects(Effect.Exit.class).isEmpty());
    }

    @Test
    void newSettingsDoNotChangeADrain() {
        ReducerHarness harness = new ReducerHarness(4, 2).send(DRAIN).advance(700);
        harness.send(new Event.Reconfigured(
                ReducerHarness.settings(2, 3, ReducerHarness.FILE), new EndpointList(41, true, List.of()), false));
        assertFalse(harness.reducer.isReady());
        assertEquals(
                List.of(LocalReply.REJECTED),
                harness.advance(1200).localReplies(harness.open(ReducerHarness.FILE, 5000)));
        assertTrue(harness.send(CANCEL_DRAIN).reducer.isReady());
    }

    @Property(seed = "52", tries = 300)
    void receivedRequestsAreAnsweredAbandonedOrActive(@ForAll long seed) {
        java.util.SplittableRandom random = new java.util.SplittableRandom(seed);
        ReducerHarness harness = new ReducerHarness(2, 2);
        List<Long> requestIds = new ArrayList<>();
        for (int i = 0; i < 120; i++) {
            long requestId = requestIds.isEmpty() ? -1 : requestIds.get(random.nextInt(requestIds.size()));
            switch (random.nextInt(9)) {
                case 0, 1 ->
                    requestIds.add(harness.open(
                            random.nextBoolean() ? ReducerHarness.FILE : ReducerHarness.VIEW, random.nextInt(300)));
                case 2 -> harness.send(new Event.AttemptWritten(requestId, random.nextInt(2)));
                case 3 ->
                    harness.send(new Event.ResponseReceived(
                            requestId, random.nextInt(2), ResponseKind.values()[random.nextInt(4)], "b", null));
                case 4 -> harness.send(new Event.AttemptConnectionLost(requestId, random.nextInt(2)));
                case 5 -> harness.send(new Event.ClientDisconnected(requestId));
                case 6 ->
                    harness.send(new Event.ResponseFinished(requestId, Event.ResponseEnd.values()[random.nextInt(3)]));
                case 7 -> harness.send(random.nextInt(5) > 0 ? CANCEL_DRAIN : DRAIN);
                default -> harness.advance(random.nextInt(60));
            }
            String metrics = harness.reducer.metricsText();
            long active = Long.parseLong(metrics.replaceAll("(?s).*proxy.active:([0-9]+)[|]g.*", "$1"));
            long sum = active;
            for (String className : List.of("view", "file")) {
                for (Counter counter : List.of(
                        Counter.ANSWERED_SERVED,
                        Counter.ANSWERED_REJECTED,
                        Counter.ANSWERED_FAILED,
                        Counter.ANSWERED_INVALID_REQUEST,
                        Counter.CLIENTS_DISCONNECTED)) {
                    sum += harness.counters.get(counter, className);
                }
            }
            assertEquals(harness.counters.get(Counter.REQUESTS_RECEIVED), sum, metrics);
        }
    }
}
