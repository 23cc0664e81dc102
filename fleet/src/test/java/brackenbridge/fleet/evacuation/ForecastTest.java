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

    private static Forecast forecast(PoolModel model, EvacuationPlan plan) {
        return Forecast.of(model.snapshot(60_000, -1), plan, SharePolicy.maxMin(Map.of()), 7);
    }

    private static EvacuationPlan plan() {
        return EvacuationPlan.withEvenSteps("p", "a", 4, 10_000);
    }

    @Test
    void learnsCapacityAndPredictsThatPoolsWithRoomHold() {
        PoolSnapshot snapshot = records.trainedModel(60).snapshot(60_000, -1);
        assertEquals(5 * ZoneRecords.FRONT_CAPACITY, snapshot.pool(FRONT_B).capacity(), 5);
        assertEquals(ZoneRecords.CALLS_PER_ATTEMPT, snapshot.pool(FRONT_B).callsPerAttempt(), 0.05);
        Forecast forecast = forecast(records.trainedModel(60), plan());
        assertEquals(Verdict.HOLDS, forecast.verdict(), () -> forecast.toString());
        // Half of zone a's load moves to zone b.
        assertEquals(90, forecast.of(FRONT_B).steps().get(3).load().expected(), 4);
        assertTrue(forecast.of(FRONT_B).steps().get(3).load().contains(90));
    }

    @Test
    void predictsSaturationInTheStepThatExceedsCapacity() {
        // Zone b can serve 165/s and has 120/s. It gets half of zone a's 120/s in four steps; the third exhausts it.
        records.firstAttemptRates.put("b", 120.0);
        records.firstAttemptRates.put("a", 120.0);
        records.parcelServers.replaceAll((zone, servers) -> 8);
        PoolForecast poolForecast = forecast(records.trainedModel(60), plan()).of(FRONT_B);
        assertEquals(Verdict.SATURATES, poolForecast.verdict());
        assertEquals(Forecast.Resource.SLOTS, poolForecast.resource());
        assertTrue(
                poolForecast.saturationMs().expected() > 20_000
                        && poolForecast.saturationMs().expected() < 40_000,
                () -> poolForecast.saturationMs().toString());
        assertTrue(
                poolForecast.saturationMs().low() <= poolForecast.saturationMs().expected()
                        && poolForecast.saturationMs().expected()
                                <= poolForecast.saturationMs().high());
    }

    @Test
    void aSlowDownstreamPoolFillsTheSlotsOfItsCallers() {
        records.parcelServers.put("b", 2);
        records.firstAttemptRates.put("b", 80.0);
        Forecast forecast = forecast(records.trainedModel(60), plan());
        PoolForecast downstream = forecast.of(PARCEL_B);
        assertEquals(Verdict.SATURATES, downstream.verdict());
        assertTrue(forecast.of(FRONT_B).steps().get(3).slots()
                > 2 * forecast.of(FRONT_B).steps().get(0).slots());
        assertTrue(downstream.steps().get(3).amplification() > 1.02);
    }

    @Test
    void reportsUnknownWithTheReasonWhenDataIsMissing() {
        records.ageMs.put("n-a1", 40_000.0);
        Forecast forecast = forecast(records.trainedModel(60), plan());
        assertEquals(Verdict.UNKNOWN, forecast.verdict());
        assertTrue(
                forecast.of(FRONT_B).reason().contains("n-a1"),
                forecast.of(FRONT_B).reason());
        ZoneRecords idle = new ZoneRecords();
        idle.firstAttemptRates.put("c", 0.0);
        PoolForecast poolForecast = forecast(idle.trainedModel(60), plan()).of(PoolName.parse("front/c/std"));
        assertEquals(Verdict.UNKNOWN, poolForecast.verdict());
        assertTrue(poolForecast.reason().contains("no load"), poolForecast.reason());
    }

    @Test
    void intervalsWidenWithAgeAndFewSamples() {
        PoolModel model = records.trainedModel(60);
        model.expectNodes(Map.of());
        double young = width(Forecast.of(model.snapshot(60_000, -1), plan(), SharePolicy.maxMin(Map.of()), 3));
        double old = width(Forecast.of(model.snapshot(150_000, -1), plan(), SharePolicy.maxMin(Map.of()), 3));
        assertTrue(old > 1.5 * young, young + " " + old);
        assertTrue(records.trainedModel(4).snapshot(4000, -1).pool(FRONT_B).capacitySpread()
                > 1.5 * model.snapshot(60_000, -1).pool(FRONT_B).capacitySpread());
    }

    private static double width(Forecast forecast) {
        return forecast.pools().stream()
                .filter(poolForecast -> !poolForecast.steps().isEmpty())
                .mapToDouble(poolForecast -> poolForecast.steps().get(0).load().high()
                        - poolForecast.steps().get(0).load().low())
                .average()
                .orElse(0);
    }

    @Test
    void aClockThatRunsFastChangesNoVerdict() {
        records.clockRates.put("n-a1", 1.01);
        records.clockRates.put("n-b2", 1.01);
        Forecast forecast = forecast(records.trainedModel(60), plan());
        assertEquals(Verdict.HOLDS, forecast.verdict());
        assertTrue(forecast.of(FRONT_B).steps().get(3).load().contains(90));
    }

    @Test
    void listsTenantsThatTheSharePolicyWouldReject() {
        PoolModel model = records.trainedModel(60);
        model.setTenantDemand(List.of(
                new PoolSnapshot.TenantDemand(FRONT_B, "large", 120),
                new PoolSnapshot.TenantDemand(FRONT_B, "small", 5)));
        Map<String, Double> rejected =
                forecast(model, plan()).of(FRONT_B).steps().get(3).rejectedTenants();
        assertEquals(List.of("large"), List.copyOf(rejected.keySet()));
        // Of the 130 slots the small tenant gets 7.5; the large one demands 180.
        assertEquals(1 - 122.5 / 180, rejected.get("large"), 0.05);
    }

    @Test
    void dailyProfileScalesLoadOnceItHasSeenTwoDays() {
        DailyProfile profile = new DailyProfile();
        for (int day = 0; day < 3; day++) {
            for (int quarter = 0; quarter < 96; quarter++) {
                profile.add("a", quarter * 900_000.0, quarter == 40 ? 200 : 100);
            }
        }
        assertEquals(2, profile.ratio("a", 0, 40 * 900_000.0), 1e-9);
        assertEquals(1, new DailyProfile().ratio("a", 0, 40 * 900_000.0), 1e-9);
    }

    @Test
    void reportsAllValidationErrorsOfAPlan() {
        List<PoolName> pools = records.trainedModel(5).poolNames();
        assertEquals(List.of(), plan().validationErrors(pools));
        EvacuationPlan invalid = new EvacuationPlan(
                "no name",
                "z",
                -1,
                List.of(new EvacuationPlan.Step(0.5, 10_000), new EvacuationPlan.Step(0.2, 5)),
                0.9,
                8000,
                null,
                0,
                List.of(new EvacuationPlan.AddedServers(PoolName.parse("front/a/gone"), 1, 0)));
        List<String> errors = invalid.validationErrors(pools);
        assertEquals(6, errors.size(), errors::toString);
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
