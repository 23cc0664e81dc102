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

/** Fair sharing of connections between tenants by quota, burst credit and spare capacity. */
class TenantSchedulerTest {
    private static final double FOREVER = Double.POSITIVE_INFINITY;

    private static TenantQuotas quotasOf(Map<String, Double> tenants, double others) {
        return new TenantQuotas(1, tenants, others, Map.of(), FOREVER, Map.of());
    }

    /** Simulates tenants with Poisson arrivals whose requests hold a connection for a given time. */
    private static final class Simulation {
        private record Event(double atMs, long order, Runnable action) {}

        private final TenantScheduler scheduler;
        private final Random random = new Random(7);
        private final PriorityQueue<Event> events =
                new PriorityQueue<>(Comparator.comparingDouble(Event::atMs).thenComparingLong(Event::order));
        private final Map<Long, Runnable> startActions = new HashMap<>();
        private final Map<String, Double> usedMs = new HashMap<>();
        private final Map<String, Integer> rejected = new HashMap<>();
        private double nowMs;
        private double measuredFromMs;
        private long nextId;
        private int maxRunning;

        Simulation(TenantScheduler scheduler) {
            this.scheduler = scheduler;
        }

        void schedule(double ms, Runnable action) {
            events.add(new Event(ms, nextId++, action));
        }

        void startArrivals(String tenant, double perSecond, DoubleUnaryOperator holdMs, double patienceMs) {
            schedule(nowMs - Math.log(1 - random.nextDouble()) * 1000 / perSecond, () -> {
                open(tenant, holdMs.applyAsDouble(nowMs), patienceMs);
                startArrivals(tenant, perSecond, holdMs, patienceMs);
            });
        }

        private void open(String tenant, double holdMs, double patienceMs) {
            long requestId = nextId++;
            startActions.put(requestId, () -> {
                maxRunning = Math.max(maxRunning, scheduler.running());
                double startedMs = nowMs;
                schedule(nowMs + holdMs, () -> {
                    usedMs.merge(tenant, Math.max(0, nowMs - Math.max(startedMs, measuredFromMs)), Double::sum);
                    apply(scheduler.onRequestEnded(nowMs, requestId));
                });
            });
            switch (scheduler
                    .onRequest(nowMs, requestId, tenant, nowMs + patienceMs, 0)
                    .verdict()) {
                case ADMIT -> startActions.remove(requestId).run();
                case REJECT -> {
                    startActions.remove(requestId);
                    rejected.merge(tenant, 1, Integer::sum);
                }
                default -> {
                    // A queued request starts when a scheduling result admits it.
                }
            }
        }

        void apply(SchedulingResult result) {
            result.rejected().forEach(rejection -> startActions.remove(rejection.requestId()));
            result.admitted()
                    .forEach(requestId -> startActions.remove(requestId).run());
        }

        void runUntil(double untilMs) {
            while (nowMs < untilMs) {
                double wakeMs = Math.max(nowMs, scheduler.nextTimerMs());
                if (wakeMs < events.peek().atMs()) {
                    nowMs = wakeMs;
                    apply(scheduler.onTimer(nowMs));
                } else {
                    Event event = events.poll();
                    nowMs = event.atMs();
                    event.action().run();
                }
            }
        }

        /** The mean number of connections in use by each tenant between two times. */
        Map<String, Double> mean(double fromMs, double untilMs) {
            runUntil(fromMs);
            measuredFromMs = fromMs;
            usedMs.clear();
            runUntil(untilMs);
            Map<String, Double> mean = new HashMap<>();
            usedMs.forEach((tenant, ms) -> mean.put(tenant, ms / (untilMs - fromMs)));
            return mean;
        }
    }

    private static Simulation simulate(TenantQuotas quotas) {
        TenantScheduler scheduler = new TenantScheduler(SchedulerLimits.NODE_LIMITS);
        scheduler.applyQuotas(0, quotas);
        return new Simulation(scheduler);
    }

    @Test
    void everyRequestIsAdmittedBeforeQuotasAreReceived() {
        TenantScheduler scheduler = new TenantScheduler(SchedulerLimits.NODE_LIMITS);
        for (int i = 0; i < 1000; i++) {
            assertEquals(
                    AdmissionVerdict.ADMIT,
                    scheduler.onRequest(i, i, "t" + i % 3, i + 10, 0).verdict());
        }
        assertEquals(1000, scheduler.running());
    }

    @Test
    void tenantAtFiftyTimesItsQuotaLeavesOthersTheirs() {
        Simulation simulation = simulate(quotasOf(Map.of("greedy", 4.0, "a", 4.0, "b", 2.0), 0));
        simulation.startArrivals("greedy", 2000, t -> 100, 500);
        simulation.startArrivals("a", 60, t -> 100, 500);
        simulation.startArrivals("b", 30, t -> 100, 500);
        Map<String, Double> mean = simulation.mean(2000, 30_000);
        assertEquals(4, mean.get("greedy"), 0.25);
        assertEquals(4, mean.get("a"), 0.2);
        assertEquals(2, mean.get("b"), 0.1);
        assertEquals(10, simulation.maxRunning);
    }

    @Test
    void costIsConnectionTimeNotRequestCount() {
        Simulation simulation = simulate(quotasOf(Map.of("long", 1.5, "short", 1.5), 0));
        simulation.startArrivals("long", 50, t -> 400, 2000);
        simulation.startArrivals("short", 2000, t -> 10, 2000);
        Map<String, Double> mean = simulation.mean(2000, 60_000);
        assertEquals(1.5, mean.get("long"), 0.08);
        assertEquals(1.5, mean.get("short"), 0.08);
    }

    @Test
    void unusedCapacityIsLentByWeightsAndReturned() {
        TenantScheduler scheduler = new TenantScheduler(SchedulerLimits.NODE_LIMITS);
        scheduler.applyQuotas(
                0,
                new TenantQuotas(
                        1, Map.of("idle", 6.0, "a", 3.0, "b", 3.0), 0, Map.of("a", 2.0, "b", 1.0), FOREVER, Map.of()));
        Simulation simulation = new Simulation(scheduler);
        simulation.startArrivals("a", 500, t -> 50, 300);
        simulation.startArrivals("b", 500, t -> 50, 300);
        Map<String, Double> borrowed = simulation.mean(2000, 20_000);
        assertEquals(12, borrowed.get("a") + borrowed.get("b"), 0.2);
        assertTrue(borrowed.get("a") > borrowed.get("b") + 1, borrowed::toString);
        simulation.startArrivals("idle", 500, t -> 50, 300);
        Map<String, Double> returned = simulation.mean(20_500, 30_000);
        assertEquals(6, returned.get("idle"), 0.15);
    }

    @Test
    void tenantWithHangingRequestsKeepsToItsQuota() {
        Simulation simulation = simulate(quotasOf(Map.of("hangs", 3.0, "a", 7.0), 0));
        simulation.startArrivals("hangs", 200, t -> t < 2000 ? 20 : 10_000, 500);
        simulation.startArrivals("a", 120, t -> 50, 500);
        simulation.runUntil(6000);
        simulation.startArrivals("a", 500, t -> 50, 500);
        Map<String, Double> mean = simulation.mean(12_500, 30_000);
        assertTrue(mean.get("a") > 6.6, mean::toString);
    }

    @Test
    void unnamedTenantsShareTheirQuotaFairly() {
        Simulation simulation = simulate(quotasOf(Map.of("named", 5.0), 5));
        simulation.startArrivals("named", 500, t -> 50, 300);
        simulation.startArrivals("big", 1000, t -> 50, 300);
        for (int i = 0; i < 4; i++) {
            simulation.startArrivals("small" + i, 30, t -> 50, 300);
        }
        Map<String, Double> mean = simulation.mean(2000, 30_000);
        assertEquals(5, mean.get("named"), 0.15);
        for (int i = 0; i < 4; i++) {
            assertEquals(1, mean.get("small" + i), 0.12);
        }
    }

    @Test
    void burstCreditIsBoundedAndUsedUp() {
        TenantScheduler scheduler = new TenantScheduler(new SchedulerLimits(500, 0, 1000, 10));
        scheduler.applyQuotas(0, quotasOf(Map.of("a", 4.0, "b", 100.0), 0));
        scheduler.onTimer(10_000);
        int atOnce = 0;
        for (int i = 0; i < 20; i++) {
            atOnce += scheduler.onRequest(10_000, i, "a", 20_000, 100).verdict() == AdmissionVerdict.ADMIT ? 1 : 0;
        }
        assertTrue(atOnce > 5 && atOnce <= 8, "admitted at once: " + atOnce);
        scheduler.onTimer(12_000);
        for (long i = 0; i < atOnce; i++) {
            scheduler.onRequestEnded(12_000, i);
        }
        assertTrue(scheduler.running() <= 4, "running with the burst credit used up: " + scheduler.running());
    }

    @Test
    void requestThatMissesItsDeadlineIsRejectedAtOnceWithRetryTime() {
        TenantScheduler scheduler = new TenantScheduler(SchedulerLimits.NODE_LIMITS);
        scheduler.applyQuotas(0, quotasOf(Map.of("a", 1.0), 0));
        assertEquals(
                AdmissionVerdict.ADMIT,
                scheduler.onRequest(0, 1, "a", 1000, 200).verdict());
        scheduler.onRequestEnded(200, 1);
        assertEquals(
                AdmissionVerdict.ADMIT,
                scheduler.onRequest(200, 2, "a", 1000, 200).verdict());
        assertEquals(
                AdmissionVerdict.QUEUE,
                scheduler.onRequest(200, 3, "a", 900, 200).verdict());
        TenantScheduler.AdmissionDecision late = scheduler.onRequest(200, 4, "a", 500, 200);
        assertEquals(AdmissionVerdict.REJECT, late.verdict());
        assertTrue(late.retryAfterMs() >= 200 && late.retryAfterMs() < 1000, late::toString);
        assertEquals(700, scheduler.nextTimerMs());
        assertEquals(
                List.of(3L),
                scheduler.onTimer(701).rejected().stream()
                        .map(SchedulingResult.Rejection::requestId)
                        .toList());
        assertEquals(0, scheduler.waiting());
    }

    @Test
    void guaranteedQuotasApplyAfterExpiry() {
        TenantScheduler scheduler = new TenantScheduler(SchedulerLimits.NODE_LIMITS);
        scheduler.applyQuotas(0, new TenantQuotas(5, Map.of("a", 8.0), 0, Map.of(), 1000, Map.of("a", 2.0)));
        for (int i = 0; i < 8; i++) {
            assertEquals(
                    AdmissionVerdict.ADMIT,
                    scheduler.onRequest(1, i, "a", 100_000, 10).verdict());
        }
        // As on a node that was suspended: the timer is missed, and the next event follows long after.
        assertEquals(1000, scheduler.nextTimerMs());
        assertEquals(List.of(0L, 1L, 2L, 3L, 4L, 5L), scheduler.selectExcessRequests(11_000));
        assertEquals(2, scheduler.maxRunning());
        assertEquals(
                AdmissionVerdict.QUEUE,
                scheduler.onRequest(11_000, 9, "a", 1_000_000, 10).verdict());
        scheduler.applyQuotas(11_001, new TenantQuotas(4, Map.of("a", 80.0), 0, Map.of(), FOREVER, Map.of()));
        assertEquals(2, scheduler.maxRunning(), "a lower epoch is ignored");
    }

    @Test
    void hundredThousandTenantsAreForgottenOnceIdle() {
        TenantScheduler scheduler = new TenantScheduler(new SchedulerLimits(100, 1000, 100, 50_000));
        scheduler.applyQuotas(0, quotasOf(Map.of(), 1000));
        for (int i = 0; i < 100_000; i++) {
            scheduler.onRequest(i, i, "t" + i, i + 10, 1);
            scheduler.onRequestEnded(i + 1, i);
        }
        assertTrue(scheduler.tenantCount() <= 50_001, "remembered: " + scheduler.tenantCount());
        scheduler.takeUsage(200_000);
        scheduler.takeUsage(200_001);
        assertTrue(scheduler.tenantCount() <= 1, "remembered: " + scheduler.tenantCount());
    }

    @Property(tries = 200, seed = "29")
    void randomEventsNeverExceedQuotasOrLoseRequests(@ForAll long seed, @ForAll @IntRange(min = 1, max = 8) int names) {
        Random random = new Random(seed);
        TenantScheduler scheduler = new TenantScheduler(new SchedulerLimits(random.nextInt(3) * 100, 200, 20, 5));
        Map<Long, AdmissionVerdict> state = new HashMap<>();
        double now = 0;
        for (int i = 0; i < 400; i++) {
            now += random.nextDouble() * 40;
            int before = scheduler.running();
            SchedulingResult result = SchedulingResult.NONE;
            switch (random.nextInt(6)) {
                case 0, 1, 2 -> {
                    AdmissionVerdict verdict = scheduler
                            .onRequest(
                                    now, i, "t" + random.nextInt(names), now + random.nextInt(500), random.nextInt(100))
                            .verdict();
                    state.put((long) i, verdict);
                    assertFalse(
                            verdict == AdmissionVerdict.ADMIT && before >= scheduler.maxRunning(),
                            "admitted beyond the maximum");
                }
                case 3 -> {
                    long ended = random.nextInt(i + 1);
                    result = scheduler.onRequestEnded(now, ended);
                    state.remove(ended);
                }
                case 4 -> result = scheduler.onTimer(now);
                default -> {
                    Map<String, Double> tenantQuotas = new HashMap<>();
                    for (int k = 0; k < names; k += 2) {
                        tenantQuotas.put("t" + k, random.nextDouble() * 3);
                    }
                    result = scheduler.applyQuotas(
                            now,
                            new TenantQuotas(
                                    i,
                                    tenantQuotas,
                                    random.nextDouble() * 2,
                                    Map.of(),
                                    now + random.nextInt(400),
                                    Map.of("t0", 1.0)));
                    scheduler.takeUsage(now);
                }
            }
            result.rejected().forEach(r -> assertEquals(AdmissionVerdict.QUEUE, state.remove(r.requestId())));
            result.admitted().forEach(r -> assertEquals(AdmissionVerdict.QUEUE, state.put(r, AdmissionVerdict.ADMIT)));
            assertTrue(
                    result.admitted().isEmpty() || scheduler.running() <= scheduler.maxRunning(),
                    "admitted beyond the maximum");
            assertEquals(
                    scheduler.running(),
                    state.values().stream()
                            .filter(AdmissionVerdict.ADMIT::equals)
                            .count());
            assertEquals(
                    scheduler.waiting(),
                    state.values().stream()
                            .filter(AdmissionVerdict.QUEUE::equals)
                            .count());
        }
    }
}
