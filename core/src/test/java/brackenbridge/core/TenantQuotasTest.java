package brackenbridge.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.core.Effect.LocalReply;
import brackenbridge.core.Event.ServerReply;
import brackenbridge.core.share.TenantQuotas;
import brackenbridge.counters.Counter;
import java.util.List;
import java.util.Map;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** Tenants' requests begin when their turn comes, and every one of them is answered. */
class TenantQuotasTest {
    private final ReducerHarness harness = new ReducerHarness(8);
    private long next = 1000;

    private long open(String tenant, double leftMs) {
        harness.send(
                new Event.RequestReceived(next, new ClientRequest("view", tenant, leftMs, false, true, "message")));
        return next++;
    }

    private void applyQuotas(long epoch, double a, double b, double forMs) {
        harness.send(new Event.TenantQuotasReceived(new TenantQuotas(
                epoch,
                Map.of("a", a, "b", b),
                1,
                Map.of(),
                harness.clock.nowMs() + forMs,
                Map.of("a", 1.0, "b", 1.0))));
    }

    private void serve(long requestId) {
        harness.send(new Event.AttemptWritten(requestId, 0))
                .send(new Event.AttemptAnswered(requestId, 0, ServerReply.SERVED, "body", null));
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
        long first = next;
        open("b", 4000);
        open("b", 4000);
        long lent = countStarted(LongStream.range(1000, first));
        assertTrue(lent >= 3 && lent <= 6, "a has its own and what nobody used: " + lent);
        int served = 0;
        for (long requestId = 1000; requestId < first && countStarted(LongStream.range(first, next)) < 2; requestId++) {
            harness.advance(5);
            serve(requestId);
            served++;
        }
        assertEquals(2, served, "what was lent goes back with the first places that come free");
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
        for (long requestId = 1000; requestId < next; requestId += 4) {
            harness.send(new Event.ClientDisconnected(requestId));
        }
        harness.advance(1000);
        for (long requestId = 1000; requestId < next; requestId++) {
            boolean gone = (requestId - 1000) % 4 == 0;
            assertTrue(
                    harness.localReplies(requestId).size() == 1
                            || gone && harness.localReplies(requestId).isEmpty(),
                    "request " + requestId + " " + harness.localReplies(requestId));
        }
    }

    @Test
    void releasedQuotaAdmitsWaitingRequests() {
        applyQuotas(1, 2, 2, 60_000);
        for (int i = 0; i < 12; i++) {
            open("a", 5000);
        }
        long waiting = 12 - countStarted(LongStream.range(1000, next));
        assertTrue(waiting > 0);
        for (long requestId = 1000; requestId < next; requestId++) {
            harness.advance(3);
            if (!harness.attempts(requestId).isEmpty()) {
                serve(requestId);
            }
        }
        assertEquals(12, harness.effects(Effect.SendResponse.class).size());
        assertEquals(12, countStarted(LongStream.range(1000, next)));
    }

    @Test
    void requestOfADisconnectedOrUnknownClientIsNeverAdmitted() {
        applyQuotas(1, 2, 2, 60_000);
        for (int i = 0; i < 12; i++) {
            open("a", 5000);
        }
        List<Long> withdrawn = LongStream.range(1000, next)
                .filter(requestId -> harness.attempts(requestId).isEmpty())
                .limit(4)
                .boxed()
                .toList();
        assertEquals(4, withdrawn.size());
        harness.send(new Event.ClientDisconnected(withdrawn.get(0)))
                .send(new Event.ClientPresenceUnknown(withdrawn.get(1)));
        harness.send(new Event.ClientDisconnected(withdrawn.get(2)))
                .send(new Event.ClientPresenceUnknown(withdrawn.get(3)));
        for (long requestId = 1000; requestId < next; requestId++) {
            harness.advance(3);
            if (!harness.attempts(requestId).isEmpty()) {
                serve(requestId);
            }
        }
        assertEquals(8, harness.effects(Effect.SendResponse.class).size(), "all others had their turn");
        assertEquals(0, countStarted(withdrawn.stream().mapToLong(requestId -> requestId)));
        assertEquals(List.of(LocalReply.REJECTED), harness.localReplies(withdrawn.get(1)));
        assertEquals(List.of(), harness.localReplies(withdrawn.get(0)));
    }

    @Test
    void guaranteedQuotasRemainWhenTheAllocationExpires() {
        applyQuotas(1, 6, 1, 500);
        harness.advance(600);
        for (int i = 0; i < 10; i++) {
            open("a", 3000);
            open("b", 3000);
        }
        assertTrue(countStarted(LongStream.range(1000, next)) <= 3, "" + countStarted(LongStream.range(1000, next)));
        applyQuotas(2, 6, 1, 5000);
        assertTrue(countStarted(LongStream.range(1000, next)) >= 6);
    }

    @Test
    void withoutQuotasEachRequestStartsAtOnceAndNoUseIsCounted() {
        for (int i = 0; i < 5; i++) {
            open("a", 3000);
        }
        assertEquals(5, countStarted(LongStream.range(1000, next)));
        assertEquals(0, harness.reducer.tenantUse(harness.clock.nowMs()).size());
    }
}
