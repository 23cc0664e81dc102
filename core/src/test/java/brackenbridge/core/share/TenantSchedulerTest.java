package brackenbridge.core.share;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.core.share.TenantScheduler.AdmissionVerdict;
import brackenbridge.core.share.TenantScheduler.SchedulerLimits;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.DoubleUnaryOperator;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class TenantSchedulerTest {
    private static final double FOREVER = Double.POSITIVE_INFINITY;

    private static TenantQuotas allow(Map<String, Double> tenants, double others) {
        return new TenantQuotas(1, tenants, others, Map.of(), FOREVER, Map.of());
    }

    /** Tenants with arrivals at a steady mean, each call holding its connection for a while; time is played. */
    private static final class World {
        private record Event(double atMs, long order, Runnable what) {}

        private final TenantScheduler s;
        private final Random random = new Random(7);
        private final PriorityQueue<Event> events =
                new PriorityQueue<>(Comparator.comparingDouble(Event::atMs).thenComparingLong(Event::order));
        private final Map<Long, Runnable> begin = new HashMap<>();
        private final Map<String, Double> used = new HashMap<>();
        private final Map<String, Integer> refused = new HashMap<>();
        private double now;
        private double from;
        private long next;
        private int most;

        World(TenantScheduler s) {
            this.s = s;
        }

        void at(double ms, Runnable what) {
            events.add(new Event(ms, next++, what));
        }

        void arrivals(String tenant, double aSecond, DoubleUnaryOperator holdMs, double patienceMs) {
            at(now - Math.log(1 - random.nextDouble()) * 1000 / aSecond, () -> {
                open(tenant, holdMs.applyAsDouble(now), patienceMs);
                arrivals(tenant, aSecond, holdMs, patienceMs);
            });
        }

        private void open(String tenant, double holdMs, double patienceMs) {
            long flow = next++;
            begin.put(flow, () -> {
                most = Math.max(most, s.running());
                double began = now;
                at(now + holdMs, () -> {
                    used.merge(tenant, Math.max(0, now - Math.max(began, from)), Double::sum);
                    took(s.onRequestEnded(now, flow));
                });
            });
            switch (s.onRequest(now, flow, tenant, now + patienceMs, 0).verdict()) {
                case ADMIT -> begin.remove(flow).run();
                case REJECT -> {
                    begin.remove(flow);
                    refused.merge(tenant, 1, Integer::sum);
                }
                default -> {
                    // Nothing else matters here.
                }
            }
        }

        void took(SchedulingResult t) {
            t.rejected().forEach(r -> begin.remove(r.requestId()));
            t.admitted().forEach(f -> begin.remove(f).run());
        }

        void play(double untilMs) {
            while (now < untilMs) {
                double wake = Math.max(now, s.nextTimerMs());
                if (wake < events.peek().atMs()) {
                    now = wake;
                    took(s.onTimer(now));
                } else {
                    Event e = events.poll();
                    now = e.atMs();
                    e.what().run();
                }
            }
        }

        /** Connections in use on average from one moment to another. */
        Map<String, Double> mean(double fromMs, double untilMs) {
            play(fromMs);
            from = fromMs;
            used.clear();
            play(untilMs);
            Map<String, Double> mean = new HashMap<>();
            used.forEach((t, ms) -> mean.put(t, ms / (untilMs - fromMs)));
            return mean;
        }
    }

    private static World world(TenantQuotas a) {
        TenantScheduler s = new TenantScheduler(SchedulerLimits.USUAL);
        s.applyQuotas(0, a);
        return new World(s);
    }

    @Test
    void everyCallGoesUntilAllowancesAreTold() {
        TenantScheduler s = new TenantScheduler(SchedulerLimits.USUAL);
        for (int i = 0; i < 1000; i++) {
            assertEquals(
                    AdmissionVerdict.ADMIT,
                    s.onRequest(i, i, "t" + i % 3, i + 10, 0).verdict());
        }
        assertEquals(1000, s.running());
    }

    @Test
    void aTenantAtFiftyTimesItsShareLeavesTheOthersTheirs() {
        World w = world(allow(Map.of("greedy", 4.0, "a", 4.0, "b", 2.0), 0));
        w.arrivals("greedy", 2000, t -> 100, 500);
        w.arrivals("a", 60, t -> 100, 500);
        w.arrivals("b", 30, t -> 100, 500);
        Map<String, Double> mean = w.mean(2000, 30_000);
        assertEquals(4, mean.get("greedy"), 0.25);
        assertEquals(4, mean.get("a"), 0.2);
        assertEquals(2, mean.get("b"), 0.1);
        assertEquals(10, w.most);
    }

    @Test
    void costIsConnectionTimeNotCalls() {
        World w = world(allow(Map.of("long", 1.5, "short", 1.5), 0));
        w.arrivals("long", 50, t -> 400, 2000);
        w.arrivals("short", 2000, t -> 10, 2000);
        Map<String, Double> mean = w.mean(2000, 60_000);
        assertEquals(1.5, mean.get("long"), 0.08);
        assertEquals(1.5, mean.get("short"), 0.08);
    }

    @Test
    void whatIsUnusedIsLentByWeightsAndComesBack() {
        TenantScheduler s = new TenantScheduler(SchedulerLimits.USUAL);
        s.applyQuotas(
                0,
                new TenantQuotas(
                        1, Map.of("idle", 6.0, "a", 3.0, "b", 3.0), 0, Map.of("a", 2.0, "b", 1.0), FOREVER, Map.of()));
        World w = new World(s);
        w.arrivals("a", 500, t -> 50, 300);
        w.arrivals("b", 500, t -> 50, 300);
        Map<String, Double> lent = w.mean(2000, 20_000);
        assertEquals(12, lent.get("a") + lent.get("b"), 0.2);
        assertTrue(lent.get("a") > lent.get("b") + 1, lent::toString);
        w.arrivals("idle", 500, t -> 50, 300);
        Map<String, Double> back = w.mean(20_500, 30_000);
        assertEquals(6, back.get("idle"), 0.15);
    }

    @Test
    void aTenantWhoseCallsAllHangKeepsToItsAllowance() {
        World w = world(allow(Map.of("hangs", 3.0, "a", 7.0), 0));
        w.arrivals("hangs", 200, t -> t < 2000 ? 20 : 10_000, 500);
        w.arrivals("a", 120, t -> 50, 500);
        w.play(6000);
        w.arrivals("a", 500, t -> 50, 500);
        Map<String, Double> mean = w.mean(12_500, 30_000);
        assertTrue(mean.get("a") > 6.6, mean::toString);
    }

    @Test
    void unnamedTenantsShareWhatIsForOthersFairly() {
        World w = world(allow(Map.of("named", 5.0), 5));
        w.arrivals("named", 500, t -> 50, 300);
        w.arrivals("big", 1000, t -> 50, 300);
        for (int i = 0; i < 4; i++) {
            w.arrivals("small" + i, 30, t -> 50, 300);
        }
        Map<String, Double> mean = w.mean(2000, 30_000);
        assertEquals(5, mean.get("named"), 0.15);
        for (int i = 0; i < 4; i++) {
            assertEquals(1, mean.get("small" + i), 0.12);
        }
    }

    @Test
    void creditIsBoundedAndSpent() {
        TenantScheduler s = new TenantScheduler(new SchedulerLimits(500, 0, 1000, 10));
        s.applyQuotas(0, allow(Map.of("a", 4.0, "b", 100.0), 0));
        s.onTimer(10_000);
        int atOnce = 0;
        for (int i = 0; i < 20; i++) {
            atOnce += s.onRequest(10_000, i, "a", 20_000, 100).verdict() == AdmissionVerdict.ADMIT ? 1 : 0;
        }
        assertTrue(atOnce > 5 && atOnce <= 8, "went at once: " + atOnce);
        s.onTimer(12_000);
        for (long i = 0; i < atOnce; i++) {
            s.onRequestEnded(12_000, i);
        }
        assertTrue(s.running() <= 4, "with its credit spent: " + s.running());
    }

    @Test
    void aCallWhoseTimeCannotBeMetIsRefusedAtOnceWithWhenToComeBack() {
        TenantScheduler s = new TenantScheduler(SchedulerLimits.USUAL);
        s.applyQuotas(0, allow(Map.of("a", 1.0), 0));
        assertEquals(AdmissionVerdict.ADMIT, s.onRequest(0, 1, "a", 1000, 200).verdict());
        s.onRequestEnded(200, 1);
        assertEquals(AdmissionVerdict.ADMIT, s.onRequest(200, 2, "a", 1000, 200).verdict());
        assertEquals(AdmissionVerdict.QUEUE, s.onRequest(200, 3, "a", 900, 200).verdict());
        TenantScheduler.AdmissionDecision late = s.onRequest(200, 4, "a", 500, 200);
        assertEquals(AdmissionVerdict.REJECT, late.verdict());
        assertTrue(late.retryAfterMs() >= 200 && late.retryAfterMs() < 1000, late::toString);
        assertEquals(700, s.nextTimerMs());
        assertEquals(
                List.of(3L),
                s.onTimer(701).rejected().stream()
                        .map(SchedulingResult.Rejection::requestId)
                        .toList());
        assertEquals(0, s.waiting());
    }

    @Test
    void guaranteedPartsHoldOnceTheTimeIsOver() {
        TenantScheduler s = new TenantScheduler(SchedulerLimits.USUAL);
        s.applyQuotas(0, new TenantQuotas(5, Map.of("a", 8.0), 0, Map.of(), 1000, Map.of("a", 2.0)));
        for (int i = 0; i < 8; i++) {
            assertEquals(
                    AdmissionVerdict.ADMIT, s.onRequest(1, i, "a", 100_000, 10).verdict());
        }
        // As a node that stood still: no call of due, the next event comes long after.
        assertEquals(1000, s.nextTimerMs());
        assertEquals(List.of(0L, 1L, 2L, 3L, 4L, 5L), s.overstaying(11_000));
        assertEquals(2, s.maxRunning());
        assertEquals(
                AdmissionVerdict.QUEUE,
                s.onRequest(11_000, 9, "a", 1_000_000, 10).verdict());
        s.applyQuotas(11_001, new TenantQuotas(4, Map.of("a", 80.0), 0, Map.of(), FOREVER, Map.of()));
        assertEquals(2, s.maxRunning(), "an older epoch is passed over");
    }

    @Test
    void aHundredThousandTenantsAreForgottenOnceIdle() {
        TenantScheduler s = new TenantScheduler(new SchedulerLimits(100, 1000, 100, 50_000));
        s.applyQuotas(0, allow(Map.of(), 1000));
        for (int i = 0; i < 100_000; i++) {
            s.onRequest(i, i, "t" + i, i + 10, 1);
            s.onRequestEnded(i + 1, i);
        }
        assertTrue(s.tenantCount() <= 50_001, "remembered: " + s.tenantCount());
        s.takeUse(200_000);
        s.takeUse(200_001);
        assertTrue(s.tenantCount() <= 1, "remembered: " + s.tenantCount());
    }

    @Property(tries = 200, seed = "29")
    void whateverHappensNoMoreRunThanMayAndNoFlowIsLost(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 8) int names) {
        Random r = new Random(seed);
        TenantScheduler s = new TenantScheduler(new SchedulerLimits(r.nextInt(3) * 100, 200, 20, 5));
        Map<Long, AdmissionVerdict> state = new HashMap<>();
        double now = 0;
        for (int i = 0; i < 400; i++) {
            now += r.nextDouble() * 40;
            int before = s.running();
            SchedulingResult t = SchedulingResult.NONE;
            switch (r.nextInt(6)) {
                case 0, 1, 2 -> {
                    AdmissionVerdict v = s.onRequest(
                                    now, i, "t" + r.nextInt(names), now + r.nextInt(500), r.nextInt(100))
                            .verdict();
                    state.put((long) i, v);
                    assertFalse(v == AdmissionVerdict.ADMIT && before >= s.maxRunning(), "went beyond the total");
                }
                case 3 -> {
                    long f = r.nextInt(i + 1);
                    t = s.onRequestEnded(now, f);
                    state.remove(f);
                }
                case 4 -> t = s.onTimer(now);
                default -> {
                    Map<String, Double> a = new HashMap<>();
                    for (int k = 0; k < names; k += 2) {
                        a.put("t" + k, r.nextDouble() * 3);
                    }
                    t = s.applyQuotas(
                            now,
                            new TenantQuotas(
                                    i, a, r.nextDouble() * 2, Map.of(), now + r.nextInt(400), Map.of("t0", 1.0)));
                    s.takeUse(now);
                }
            }
            t.rejected().forEach(f -> assertEquals(AdmissionVerdict.QUEUE, state.remove(f.requestId())));
            t.admitted().forEach(f -> assertEquals(AdmissionVerdict.QUEUE, state.put(f, AdmissionVerdict.ADMIT)));
            assertTrue(t.admitted().isEmpty() || s.running() <= s.maxRunning(), "began beyond the total");
            assertEquals(
                    s.running(),
                    state.values().stream()
                            .filter(AdmissionVerdict.ADMIT::equals)
                            .count());
            assertEquals(
                    s.waiting(),
                    state.values().stream()
                            .filter(AdmissionVerdict.QUEUE::equals)
                            .count());
        }
    }
}
