package brackenbridge.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.core.Effect.LocalReply;
import brackenbridge.core.Event.ResponseKind;
import brackenbridge.core.balancing.DeduplicationScope;
import brackenbridge.core.balancing.Idempotence;
import brackenbridge.core.balancing.RequestClass;
import brackenbridge.counters.Counter;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Requests from their receipt to their single final response. */
class RequestLifecycleTest {
    private static Event answer(long requestId, int attempt, ResponseKind reply) {
        return new Event.ResponseReceived(requestId, attempt, reply, "body", null);
    }

    @Test
    void requestsLongAfterTheStartAreNotRejected() {
        ReducerHarness harness = new ReducerHarness(4).advance(3000);
        for (int i = 0; i < 8; i++) {
            assertEquals(List.of(), harness.localReplies(harness.open(ReducerHarness.FILE, 5000)), "request " + i);
            harness.advance(20);
        }
    }

    @Test
    void responseIsSentOnceAndUnchanged() {
        ReducerHarness harness = new ReducerHarness(4);
        long requestId = harness.open(ReducerHarness.FILE, 5000);
        assertEquals("message 0", harness.attempts(requestId).get(0).message());
        harness.send(new Event.AttemptWritten(requestId, 0))
                .send(answer(requestId, 0, ResponseKind.SERVED))
                .send(answer(requestId, 0, ResponseKind.SERVED));
        assertEquals(List.of(new Effect.SendResponse(requestId, "body")), harness.effects(Effect.SendResponse.class));
        assertEquals(List.of(), harness.advance(9000).localReplies(requestId));
    }

    @Test
    void nonIdempotentRequestIsRetriedOnlyIfItsLastByteWasNeverWritten() {
        ReducerHarness harness = new ReducerHarness(4);
        long lost = harness.open(ReducerHarness.FILE, 5000);
        harness.send(new Event.AttemptConnectionLost(lost, 0));
        assertEquals(2, harness.attempts(lost).size());
        harness.send(new Event.AttemptWritten(lost, 1)).send(new Event.AttemptConnectionLost(lost, 1));
        assertEquals(2, harness.attempts(lost).size());
        assertEquals(List.of(LocalReply.FAILED), harness.localReplies(lost));
        long rejected = harness.open(ReducerHarness.FILE, 5000);
        harness.send(new Event.AttemptWritten(rejected, 0)).send(answer(rejected, 0, ResponseKind.SERVER_FULL));
        assertEquals(2, harness.attempts(rejected).size());
    }

    @Test
    void deadlineCancelsTheAttemptAndAnswersBeforeTheClientGivesUp() {
        ReducerHarness harness = new ReducerHarness(4);
        long requestId = harness.open(ReducerHarness.FILE, 5000);
        harness.send(new Event.AttemptWritten(requestId, 0)).advance(4999);
        assertEquals(List.of(new Effect.CancelAttempt(requestId, 0)), harness.effects(Effect.CancelAttempt.class));
        assertEquals(List.of(LocalReply.TIMED_OUT), harness.localReplies(requestId));
        assertEquals(1, harness.counters.get(Counter.ATTEMPTS_TIMED_OUT));
        harness.send(answer(requestId, 0, ResponseKind.SERVED));
        assertEquals(0, harness.effects(Effect.SendResponse.class).size());
    }

    /** A request that may have waited in the backlog: a retry must end before the earliest possible client timeout. */
    @Test
    void retryHasOnlyTheTimeThatIsCertainlyLeft() {
        ReducerHarness harness = new ReducerHarness(4);
        long requestId = 70;
        harness.send(new Event.RequestReceived(
                requestId, new ClientRequest(ReducerHarness.FILE.name(), null, 5000, false, true, 1500, "m")));
        double openedMs = harness.clock.nowMs();
        assertEquals(openedMs + 4995, harness.attempts(requestId).get(0).deadlineMs(), 1e-6);
        harness.send(new Event.AttemptConnectionLost(requestId, 0));
        assertEquals(openedMs + 3495, harness.attempts(requestId).get(1).deadlineMs(), 1e-6);
        long late = 71;
        harness.send(new Event.RequestReceived(
                        late, new ClientRequest(ReducerHarness.FILE.name(), null, 1000, false, true, 1500, "m")))
                .send(new Event.AttemptConnectionLost(late, 0));
        assertEquals(1, harness.attempts(late).size());
        assertEquals(List.of(LocalReply.REJECTED), harness.localReplies(late));
    }

    @Test
    void lateTimersWidenTheDeadlineMarginForAWhile() {
        ReducerHarness harness = new ReducerHarness(4);
        long requestId = harness.open(ReducerHarness.FILE, 1000);
        harness.send(new Event.AttemptWritten(requestId, 0));
        harness.clock.advance(1030);
        harness.send(new Event.TimerFired(new TimerKey.RequestDeadline(requestId)));
        assertEquals(List.of(LocalReply.TIMED_OUT), harness.localReplies(requestId));
        long next = harness.open(ReducerHarness.FILE, 5000);
        assertEquals(
                harness.clock.nowMs()
                        + 5000
                        - RequestLifecycle.DEADLINE_MARGIN_MS
                        - RequestLifecycle.MAX_LATENESS_MARGIN_MS,
                harness.attempts(next).get(0).deadlineMs(),
                1e-6);
        long shortRequest = harness.open(ReducerHarness.VIEW, 40);
        assertEquals(
                harness.clock.nowMs() + 40 - RequestLifecycle.DEADLINE_MARGIN_MS - 10,
                harness.attempts(shortRequest).get(0).deadlineMs(),
                1e-6);
        harness.advance(30_000);
        long afterDecay = harness.open(ReducerHarness.FILE, 5000);
        assertEquals(
                harness.clock.nowMs() + 5000 - RequestLifecycle.DEADLINE_MARGIN_MS,
                harness.attempts(afterDecay).get(0).deadlineMs(),
                0.1);
    }

    @Test
    void requestWithoutTimeLeftHasTheDeadlineOfItsClass() {
        ReducerHarness harness = new ReducerHarness(4);
        long requestId = harness.open(ReducerHarness.FILE, -1);
        harness.send(new Event.AttemptWritten(requestId, 0)).advance(5900);
        assertEquals(List.of(), harness.localReplies(requestId));
        assertEquals(List.of(LocalReply.TIMED_OUT), harness.advance(100).localReplies(requestId));
    }

    @Test
    void requestWithoutAServerIsRejectedInTime() {
        ReducerHarness harness = new ReducerHarness(0);
        long requestId = harness.open(ReducerHarness.FILE, 1000);
        assertFalse(harness.reducer.isReady());
        assertEquals(List.of(LocalReply.REJECTED), harness.advance(999).localReplies(requestId));
    }

    @Test
    void invalidRequestIsAnsweredAtOnceAndCountsAgainstNoServer() {
        ReducerHarness harness = new ReducerHarness(2);
        for (int i = 0; i < 20; i++) {
            long requestId = harness.open(ReducerHarness.VIEW, 5000);
            harness.send(new Event.AttemptWritten(requestId, 0))
                    .send(answer(requestId, 0, ResponseKind.INVALID_REQUEST));
            assertEquals(List.of(LocalReply.INVALID_REQUEST), harness.localReplies(requestId));
            assertEquals(1, harness.attempts(requestId).size());
        }
        assertEquals(20, harness.counters.get(Counter.ATTEMPTS_INVALID_REQUEST));
        long one = harness.open(ReducerHarness.FILE, 5000);
        long other = harness.open(ReducerHarness.FILE, 5000);
        assertFalse(
                harness.attempts(one)
                        .get(0)
                        .host()
                        .equals(harness.attempts(other).get(0).host()),
                "both servers are in use, none is ejected");
    }

    @Test
    void deadlineTimerOfAnEndedRequestIsCancelled() {
        ReducerHarness harness = new ReducerHarness(1);
        long requestId = harness.open(ReducerHarness.FILE, 999_999_999);
        harness.send(new Event.AttemptWritten(requestId, 0)).send(answer(requestId, 0, ResponseKind.SERVED));
        assertEquals(
                List.of(new Effect.CancelTimer(new TimerKey.RequestDeadline(requestId))),
                harness.effects(Effect.CancelTimer.class));
    }

    @Test
    void openRequestsKeepTheRulesTheyStartedUnder() {
        ReducerHarness harness = new ReducerHarness(8, 2);
        long beforeChange = harness.open(ReducerHarness.VIEW, 5000);
        RequestClass strict = new RequestClass(
                "view", 1_000_000, 2_000_000, Idempotence.NOT_IDEMPOTENT, DeduplicationScope.ALL, 0, false, 20, 0.25);
        RequestClass other = new RequestClass(
                "other", 1_000_000, 3_000_000, Idempotence.IDEMPOTENT, DeduplicationScope.ALL, 0, false, 5, 0.25);
        harness.send(new Event.Reconfigured(
                ReducerHarness.settings(2, 2, strict, other), new EndpointList(41, true, List.of()), false));
        for (int i = 0; i < 4; i++) {
            harness.send(new Event.AttemptWritten(beforeChange, i))
                    .send(new Event.AttemptConnectionLost(beforeChange, i));
        }
        assertEquals(5, harness.attempts(beforeChange).size(), "idempotent and five attempts, as at its receipt");
        long afterChange = harness.open(strict, -1);
        harness.send(new Event.AttemptWritten(afterChange, 0)).send(new Event.AttemptConnectionLost(afterChange, 0));
        assertEquals(
                List.of(LocalReply.FAILED), harness.localReplies(afterChange), "not idempotent by the new settings");
        long added = harness.open(other, -1);
        for (int i = 0; i < 2; i++) {
            harness.send(new Event.AttemptWritten(added, i)).send(new Event.AttemptConnectionLost(added, i));
        }
        assertEquals(2, harness.attempts(added).size(), "two attempts by the new settings");
        assertFalse(
                harness.reducer.metricsText().contains("proxy.ok.file:"),
                "a removed class without requests is not published");
    }

    @Test
    void queuedRequestsAreServedAcrossNewPriorityLevels() {
        ReducerHarness harness = new ReducerHarness(1, 1);
        java.util.ArrayList<Long> requestIds = new java.util.ArrayList<>();
        for (int i = 0; i < 12; i++) {
            requestIds.add(harness.open(i % 2 == 0 ? ReducerHarness.VIEW : ReducerHarness.FILE, 5000));
        }
        int before = harness.effects(Effect.StartAttempt.class).size();
        assertTrue(before < 12, "some requests are queued");
        harness.send(new Event.Reconfigured(
                ReducerHarness.settings(1, 5, ReducerHarness.FILE), new EndpointList(41, true, List.of()), false));
        for (int i = 0; i < 12; i++) {
            for (Effect.StartAttempt start : harness.effects(Effect.StartAttempt.class)) {
                harness.send(new Event.AttemptWritten(start.requestId(), start.attempt()));
                harness.send(answer(start.requestId(), start.attempt(), ResponseKind.SERVED));
            }
        }
        assertEquals(
                12,
                harness.effects(Effect.SendResponse.class).size()
                        + harness.effects(Effect.SendLocalReply.class).size());
        assertTrue(harness.effects(Effect.SendResponse.class).size() > before, "queued requests are served too");
        assertEquals(0, harness.effects(Effect.ReportFault.class).size());
    }
}
