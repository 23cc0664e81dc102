package brackenbridge.fleet.evacuation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.fleet.evacuation.Forecast.PoolForecast;
import brackenbridge.fleet.evacuation.Forecast.Verdict;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class ForecastTest {
    private static final PoolName FRONT_B = PoolName.parse("front/b/std");
    private static final PoolName PARCEL_B = PoolName.parse("parcel/b/std");
    private final ZoneRecords records = new ZoneRecords();

    private static Forecast forecast(PoolModel m, EvacuationPlan plan) {
        return Forecast.of(m.snapshot(60_000, -1), plan, SharePolicy.maxMin(Map.of()), 7);
    }

    private static EvacuationPlan plan() {
        return EvacuationPlan.withEvenSteps("p", "a", 4, 10_000);
    }

    @Test
    void learnsCapacityAndPredictsThatPoolsWithRoomHold() {
        PoolSnapshot picture = records.trainedModel(60).snapshot(60_000, -1);
        assertEquals(5 * ZoneRecords.FRONT_CAPACITY, picture.pool(FRONT_B).capacity(), 5);
        assertEquals(ZoneRecords.CALLS_PER_ATTEMPT, picture.pool(FRONT_B).callsPerAttempt(), 0.05);
        Forecast f = forecast(records.trainedModel(60), plan());
        assertEquals(Verdict.HOLDS, f.verdict(), () -> f.toString());
        // A half of zone a's load comes to it.
        assertEquals(90, f.of(FRONT_B).steps().get(3).load().expected(), 4);
        assertTrue(f.of(FRONT_B).steps().get(3).load().contains(90));
    }

    @Test
    void predictsSaturationInTheStepThatExceedsCapacity() {
        // Zone b can do 165 a second and has 120; the third quarter of the 60 passes it with half of each.
        records.firstAttemptRates.put("b", 120.0);
        records.firstAttemptRates.put("a", 120.0);
        records.parcelServers.replaceAll((z, n) -> 8);
        PoolForecast p = forecast(records.trainedModel(60), plan()).of(FRONT_B);
        assertEquals(Verdict.SATURATES, p.verdict());
        assertEquals(Forecast.Resource.SLOTS, p.resource());
        assertTrue(
                p.saturationMs().expected() > 20_000 && p.saturationMs().expected() < 40_000,
                () -> p.saturationMs().toString());
        assertTrue(p.saturationMs().low() <= p.saturationMs().expected()
                && p.saturationMs().expected() <= p.saturationMs().high());
    }

    @Test
    void aSlowDownstreamPoolFillsTheSlotsOfItsCallers() {
        records.parcelServers.put("b", 2);
        records.firstAttemptRates.put("b", 80.0);
        Forecast f = forecast(records.trainedModel(60), plan());
        PoolForecast behind = f.of(PARCEL_B);
        assertEquals(Verdict.SATURATES, behind.verdict());
        assertTrue(f.of(FRONT_B).steps().get(3).slots()
                > 2 * f.of(FRONT_B).steps().get(0).slots());
        assertTrue(behind.steps().get(3).amplification() > 1.02);
    }

    @Test
    void reportsUnknownWithTheReasonWhenDataIsMissing() {
        records.ageMs.put("n-a1", 40_000.0);
        Forecast f = forecast(records.trainedModel(60), plan());
        assertEquals(Verdict.UNKNOWN, f.verdict());
        assertTrue(f.of(FRONT_B).reason().contains("n-a1"), f.of(FRONT_B).reason());
        ZoneRecords idle = new ZoneRecords();
        idle.firstAttemptRates.put("c", 0.0);
        PoolForecast p = forecast(idle.trainedModel(60), plan()).of(PoolName.parse("front/c/std"));
        assertEquals(Verdict.UNKNOWN, p.verdict());
        assertTrue(p.reason().contains("no load"), p.reason());
    }

    @Test
    void intervalsWidenWithAgeAndFewSamples() {
        PoolModel m = records.trainedModel(60);
        m.expectNodes(Map.of());
        double young = width(Forecast.of(m.snapshot(60_000, -1), plan(), SharePolicy.maxMin(Map.of()), 3));
        double old = width(Forecast.of(m.snapshot(150_000, -1), plan(), SharePolicy.maxMin(Map.of()), 3));
        assertTrue(old > 1.5 * young, young + " " + old);
        assertTrue(records.trainedModel(4).snapshot(4000, -1).pool(FRONT_B).capacitySpread()
                > 1.5 * m.snapshot(60_000, -1).pool(FRONT_B).capacitySpread());
    }

    private static double width(Forecast f) {
        return f.pools().stream()
                .filter(p -> !p.steps().isEmpty())
                .mapToDouble(p ->
                        p.steps().get(0).load().high() - p.steps().get(0).load().low())
                .average()
                .orElse(0);
    }

    @Test
    void aClockThatRunsFastChangesNoVerdict() {
        records.clockRates.put("n-a1", 1.01);
        records.clockRates.put("n-b2", 1.01);
        Forecast f = forecast(records.trainedModel(60), plan());
        assertEquals(Verdict.HOLDS, f.verdict());
        assertTrue(f.of(FRONT_B).steps().get(3).load().contains(90));
    }

    @Test
    void listsTenantsThatTheSharePolicyWouldReject() {
        PoolModel m = records.trainedModel(60);
        m.setTenantDemand(List.of(
                new PoolSnapshot.TenantDemand(FRONT_B, "large", 120),
                new PoolSnapshot.TenantDemand(FRONT_B, "small", 5)));
        Map<String, Double> refused =
                forecast(m, plan()).of(FRONT_B).steps().get(3).rejectedTenants();
        assertEquals(List.of("large"), List.copyOf(refused.keySet()));
        // 130 slots, 7.5 for the small one; the large one wants 180.
        assertEquals(1 - 122.5 / 180, refused.get("large"), 0.05);
    }

    @Test
    void dailyProfileScalesLoadOnceItHasSeenTwoDays() {
        DailyProfile s = new DailyProfile();
        for (int day = 0; day < 3; day++) {
            for (int q = 0; q < 96; q++) {
                s.add("a", q * 900_000.0, q == 40 ? 200 : 100);
            }
        }
        assertEquals(2, s.ratio("a", 0, 40 * 900_000.0), 1e-9);
        assertEquals(1, new DailyProfile().ratio("a", 0, 40 * 900_000.0), 1e-9);
    }

    @Test
    void reportsAllValidationErrorsOfAPlan() {
        List<PoolName> pools = records.trainedModel(5).poolNames();
        assertEquals(List.of(), plan().validationErrors(pools));
        EvacuationPlan bad = new EvacuationPlan(
                "no name",
                "z",
                -1,
                List.of(new EvacuationPlan.Step(0.5, 10_000), new EvacuationPlan.Step(0.2, 5)),
                0.9,
                8000,
                null,
                0,
                List.of(new EvacuationPlan.AddedServers(PoolName.parse("front/a/gone"), 1, 0)));
        List<String> faults = bad.validationErrors(pools);
        assertEquals(6, faults.size(), faults::toString);
        assertTrue(EvacuationPlan.withEvenSteps("p", "a", 2, 5000)
                .validationErrors(List.of(PoolName.parse("front/a/std")))
                .get(0)
                .contains("last one"));
        assertTrue(EvacuationPlan.withEvenSteps("p", "a", 2, 5000)
                .validationErrors(List.of(PoolName.parse("front/a/std"), PARCEL_B))
                .get(0)
                .contains("last one with [front]"));
    }
}
