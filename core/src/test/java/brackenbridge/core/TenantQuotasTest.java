package brackenbridge.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.core.Effect.LocalReply;
import brackenbridge.core.Event.ResponseKind;
import brackenbridge.core.share.TenantQuotas;
import brackenbridge.counters.Counter;
import java.util.List;
import java.util.Map;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** Requests start when their tenant's quota admits them, and every request is answered. */
class TenantQuotasTest {
    private final ReducerHarness harness = new ReducerHarness(8);
    private long nextRequestId = 1000;

    private long open(String tenant, double timeLeftMs) {
        harness.send(new Event.RequestReceived(
                nextRequestId, new ClientRequest("view", tenant, timeLeftMs, false, true, "message")));
        return nextRequestId++;
    }

    private void applyQuotas(long epoch, double quotaA, double quotaB, double lifetimeMs) {
        harness.send(new Event.TenantQuotasReceived(new TenantQuotas(
                epoch,
                Map.of("a", quotaA, "b", quotaB),
                1,
                Map.of(),
                harness.clock.nowMs() + lifetimeMs,
                Map.of("a", 1.0, "b", 1.0))));
    }

    private void serve(long requestId) {
        harness.send(new Event.AttemptWritten(requestId, 0))
                .send(new Event.ResponseReceived(requestId, 0, ResponseKind.SERVED, "body", null));
    }

    private long countStarted(LongStream requestIds) {
        return requestIds
                .filter(requestId -> !harness.attempts(requestId).isEmpty())
                .count();
    }

    @Test
    void overloadOfOneTenantLeavesTheQuotasOfOthers() {
        applyQuotas(1, 3, 2, 60_000);
        for (int i = 0; i < 20; i++) {
            open("a", 4000);
        }
        long firstOfB = nextRequestId;
        open("b", 4000);
        open("b", 4000);
        long startedOfA = countStarted(LongStream.range(1000, firstOfB));
        assertTrue(startedOfA >= 3 && startedOfA <= 6, "quota of a and spare capacity: " + startedOfA);
        int served = 0;
        for (long requestId = 1000;
                requestId < firstOfB && countStarted(LongStream.range(firstOfB, nextRequestId)) < 2;
                requestId++) {
            harness.advance(5);
            serve(requestId);
            served++;
        }
        assertEquals(2, served, "lent capacity returns with the first connections released");
    }

    @Test
    void requestThatCannotBeAdmittedInTimeIsRejectedWithRetryAfter() {
        applyQuotas(1, 1, 1, 60_000);
        harness.send(new Event.TimerFired(new TimerKey.TenantSchedulerTimer()));
        for (int i = 0; i < 200; i++) {
            open("a", 120);
        }
        assertTrue(
                harness.counters.get(Counter.REQUESTS_OVER_QUOTA) > 100,
                "" + harness.counters.get(Counter.REQUESTS_OVER_QUOTA));
        Effect.SendLocalReply last = harness.effects(Effect.SendLocalReply.class)
                .get(harness.effects(Effect.SendLocalReply.class).size() - 1);
        assertEquals(LocalReply.REJECTED, last.reply());
        assertTrue(last.retryAfterMs() > 0);
    }

    @Test
    void eachWaitingRequestIsAdmittedOrAnsweredByItsDeadline() {
        applyQuotas(1, 1, 1, 60_000);
        for (int i = 0; i < 40; i++) {
            open(i % 3 == 0 ? "b" : "a", 1000);
            harness.advance(7);
        }
        for (long requestId = 1000; requestId < nextRequestId; requestId += 4) {
            harness.send(new Event.ClientDisconnected(requestId));
        }
        harness.advance(1000);
        for (long requestId = 1000; requestId < nextRequestId; requestId++) {
            boolean disconnected = (requestId - 1000) % 4 == 0;
            assertTrue(
                    harness.localReplies(requestId).size() == 1
                            || disconnected && harness.localReplies(requestId).isEmpty(),
                    "request " + requestId + " " + harness.localReplies(requestId));
        }
    }

    @Test
    void releasedQuotaAdmitsWaitingRequests() {
        applyQuotas(1, 2, 2, 60_000);
        for (int i = 0; i < 12; i++) {
            open("a", 5000);
        }
        long waiting = 12 - countStarted(LongStream.range(1000, nextRequestId));
        assertTrue(waiting > 0);
        for (long requestId = 1000; requestId < nextRequestId; requestId++) {
            harness.advance(3);
            if (!harness.attempts(requestId).isEmpty()) {
                serve(requestId);
            }
        }
        assertEquals(12, harness.effects(Effect.SendResponse.class).size());
        assertEquals(12, countStarted(LongStream.range(1000, nextRequestId)));
    }

    @Test
    void requestOfADisconnectedOrUnknownClientIsNeverAdmitted() {
        applyQuotas(1, 2, 2, 60_000);
        for (int i = 0; i < 12; i++) {
            open("a", 5000);
        }
        List<Long> abandoned = LongStream.range(1000, nextRequestId)
                .filter(requestId -> harness.attempts(requestId).isEmpty())
                .limit(4)
                .boxed()
                .toList();
        assertEquals(4, abandoned.size());
        harness.send(new Event.ClientDisconnected(abandoned.get(0)))
                .send(new Event.ClientPresenceUnknown(abandoned.get(1)));
        harness.send(new Event.ClientDisconnected(abandoned.get(2)))
                .send(new Event.ClientPresenceUnknown(abandoned.get(3)));
        for (long requestId = 1000; requestId < nextRequestId; requestId++) {
            harness.advance(3);
            if (!harness.attempts(requestId).isEmpty()) {
                serve(requestId);
            }
        }
        assertEquals(8, harness.effects(Effect.SendResponse.class).size(), "all other requests are served");
        assertEquals(0, countStarted(abandoned.stream().mapToLong(requestId -> requestId)));
        assertEquals(List.of(LocalReply.REJECTED), harness.localReplies(abandoned.get(1)));
        assertEquals(List.of(), harness.localReplies(abandoned.get(0)));
    }

    @Test
    void guaranteedQuotasRemainWhenTheAllocationExpires() {
        applyQuotas(1, 6, 1, 500);
        harness.advance(600);
        for (int i = 0; i < 10; i++) {
            open("a", 3000);
            open("b", 3000);
        }
        assertTrue(
                countStarted(LongStream.range(1000, nextRequestId)) <= 3,
                "" + countStarted(LongStream.range(1000, nextRequestId)));
        applyQuotas(2, 6, 1, 5000);
        assertTrue(countStarted(LongStream.range(1000, nextRequestId)) >= 6);
    }

    @Test
    void withoutQuotasEachRequestStartsAtOnceAndNoUseIsCounted() {
        for (int i = 0; i < 5; i++) {
            open("a", 3000);
        }
        assertEquals(5, countStarted(LongStream.range(1000, nextRequestId)));
        assertEquals(0, harness.reducer.takeTenantUsage(harness.clock.nowMs()).size());
    }
}
