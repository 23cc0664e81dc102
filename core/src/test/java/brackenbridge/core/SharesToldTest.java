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

/** Tenants' flows begin when their turn comes, and every one of them is answered. */
class SharesToldTest {
    private final Play p = new Play(8);
    private long next = 1000;

    private long open(String tenant, double leftMs) {
        p.tell(new Event.RequestReceived(next, new ClientRequest("view", tenant, leftMs, false, true, "message")));
        return next++;
    }

    private void shares(long epoch, double a, double b, double forMs) {
        p.tell(new Event.TenantQuotasReceived(new TenantQuotas(
                epoch, Map.of("a", a, "b", b), 1, Map.of(), p.clock.nowMs() + forMs, Map.of("a", 1.0, "b", 1.0))));
    }

    private void serve(long flow) {
        p.tell(new Event.AttemptWritten(flow, 0))
                .tell(new Event.AttemptAnswered(flow, 0, ServerReply.SERVED, "body", null));
    }

    private long begun(LongStream flows) {
        return flows.filter(f -> !p.forwards(f).isEmpty()).count();
    }

    @Test
    void oneTenantsCrowdLeavesTheOthersTheirPlaces() {
        shares(1, 3, 2, 60_000);
        for (int i = 0; i < 20; i++) {
            open("a", 4000);
        }
        long first = next;
        open("b", 4000);
        open("b", 4000);
        long lent = begun(LongStream.range(1000, first));
        assertTrue(lent >= 3 && lent <= 6, "a has its own and what nobody used: " + lent);
        int served = 0;
        for (long f = 1000; f < first && begun(LongStream.range(first, next)) < 2; f++) {
            p.pass(5);
            serve(f);
            served++;
        }
        assertEquals(2, served, "what was lent goes back with the first places that come free");
    }

    @Test
    void flowWhoseTurnCannotComeInTimeIsRefusedAtOnceAndToldWhenToComeBack() {
        shares(1, 1, 1, 60_000);
        p.tell(new Event.TimerFired(new TimerKey.TenantSchedulerTimer()));
        for (int i = 0; i < 200; i++) {
            open("a", 120);
        }
        assertTrue(p.counters.of(Counter.REQUESTS_OVER_QUOTA) > 100, "" + p.counters.of(Counter.REQUESTS_OVER_QUOTA));
        Effect.SendLocalReply last = p.of(Effect.SendLocalReply.class)
                .get(p.of(Effect.SendLocalReply.class).size() - 1);
        assertEquals(LocalReply.REJECTED, last.reply());
        assertTrue(last.retryAfterMs() > 0);
    }

    @Test
    void eachFlowThatWaitsBeginsOrIsAnsweredByItsDeadline() {
        shares(1, 1, 1, 60_000);
        for (int i = 0; i < 40; i++) {
            open(i % 3 == 0 ? "b" : "a", 1000);
            p.pass(7);
        }
        for (long f = 1000; f < next; f += 4) {
            p.tell(new Event.ClientDisconnected(f));
        }
        p.pass(1000);
        for (long f = 1000; f < next; f++) {
            boolean gone = (f - 1000) % 4 == 0;
            assertTrue(p.fixed(f).size() == 1 || gone && p.fixed(f).isEmpty(), "flow " + f + " " + p.fixed(f));
        }
    }

    @Test
    void placesThatComeFreeGoToThoseThatWait() {
        shares(1, 2, 2, 60_000);
        for (int i = 0; i < 12; i++) {
            open("a", 5000);
        }
        long waiting = 12 - begun(LongStream.range(1000, next));
        assertTrue(waiting > 0);
        for (long f = 1000; f < next; f++) {
            p.pass(3);
            if (!p.forwards(f).isEmpty()) {
                serve(f);
            }
        }
        assertEquals(12, p.of(Effect.SendResponse.class).size());
        assertEquals(12, begun(LongStream.range(1000, next)));
    }

    @Test
    void flowWhoseClientIsGoneOrHiddenNeverGetsItsTurn() {
        shares(1, 2, 2, 60_000);
        for (int i = 0; i < 12; i++) {
            open("a", 5000);
        }
        List<Long> withdrawn = LongStream.range(1000, next)
                .filter(f -> p.forwards(f).isEmpty())
                .limit(4)
                .boxed()
                .toList();
        assertEquals(4, withdrawn.size());
        p.tell(new Event.ClientDisconnected(withdrawn.get(0))).tell(new Event.ClientPresenceUnknown(withdrawn.get(1)));
        p.tell(new Event.ClientDisconnected(withdrawn.get(2))).tell(new Event.ClientPresenceUnknown(withdrawn.get(3)));
        for (long f = 1000; f < next; f++) {
            p.pass(3);
            if (!p.forwards(f).isEmpty()) {
                serve(f);
            }
        }
        assertEquals(8, p.of(Effect.SendResponse.class).size(), "all others had their turn");
        assertEquals(0, begun(withdrawn.stream().mapToLong(f -> f)));
        assertEquals(List.of(LocalReply.REJECTED), p.fixed(withdrawn.get(1)));
        assertEquals(List.of(), p.fixed(withdrawn.get(0)));
    }

    @Test
    void whenTheWordRunsOutTheGuaranteedPartIsLeft() {
        shares(1, 6, 1, 500);
        p.pass(600);
        for (int i = 0; i < 10; i++) {
            open("a", 3000);
            open("b", 3000);
        }
        assertTrue(begun(LongStream.range(1000, next)) <= 3, "" + begun(LongStream.range(1000, next)));
        shares(2, 6, 1, 5000);
        assertTrue(begun(LongStream.range(1000, next)) >= 6);
    }

    @Test
    void withoutSharesEachFlowBeginsAtOnceAndNothingIsCounted() {
        for (int i = 0; i < 5; i++) {
            open("a", 3000);
        }
        assertEquals(5, begun(LongStream.range(1000, next)));
        assertEquals(0, p.reducer.tenantUse(p.clock.nowMs()).size());
    }
}
