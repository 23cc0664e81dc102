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
    private final Observed observed = new Observed();

    private static Forecast forecast(PoolModel m, EvacuationPlan plan) {
        return Forecast.of(m.snapshot(60_000, -1), plan, SharePolicy.maxMin(Map.of()), 7);
    }

    private static EvacuationPlan plan() {
        return EvacuationPlan.even("p", "a", 4, 10_000);
    }

    @Test
    void learnsWhatPoolsCanDoAndHoldsWhereThereIsRoom() {
        PoolSnapshot picture = observed.learnt(60).snapshot(60_000, -1);
        assertEquals(5 * Observed.FRONT, picture.pool(FRONT_B).capacity(), 5);
        assertEquals(Observed.CALLS, picture.pool(FRONT_B).calls(), 0.05);
        Forecast f = forecast(observed.learnt(60), plan());
        assertEquals(Verdict.HOLDS, f.verdict(), () -> f.toString());
        // A half of zone a's load comes to it.
        assertEquals(90, f.of(FRONT_B).steps().get(3).load().expected(), 4);
        assertTrue(f.of(FRONT_B).steps().get(3).load().contains(90));
    }

    @Test
    void saturatesInTheStepThatPassesWhatThePoolCanDo() {
        // Zone b can do 165 a second and has 120; the third quarter of the 60 passes it with half of each.
        observed.rates.put("b", 120.0);
        observed.rates.put("a", 120.0);
        observed.parcels.replaceAll((z, n) -> 8);
        PoolForecast p = forecast(observed.learnt(60), plan()).of(FRONT_B);
        assertEquals(Verdict.SATURATES, p.verdict());
        assertEquals(Forecast.Resource.SLOTS, p.resource());
        assertTrue(
                p.saturationMs().expected() > 20_000 && p.saturationMs().expected() < 40_000,
                () -> p.saturationMs().toString());
        assertTrue(p.saturationMs().low() <= p.saturationMs().expected()
                && p.saturationMs().expected() <= p.saturationMs().high());
    }

    @Test
    void aSlowPoolBehindFillsTheSlotsOfTheOneBeforeIt() {
        observed.parcels.put("b", 2);
        observed.rates.put("b", 80.0);
        Forecast f = forecast(observed.learnt(60), plan());
        PoolForecast behind = f.of(PARCEL_B);
        assertEquals(Verdict.SATURATES, behind.verdict());
        assertTrue(f.of(FRONT_B).steps().get(3).slots()
                > 2 * f.of(FRONT_B).steps().get(0).slots());
        assertTrue(behind.steps().get(3).amplification() > 1.02);
    }

    @Test
    void saysUnknownWithTheReasonInPlaceOfAGuess() {
        observed.heardMs.put("n-a1", 40_000.0);
        Forecast f = forecast(observed.learnt(60), plan());
        assertEquals(Verdict.UNKNOWN, f.verdict());
        assertTrue(f.of(FRONT_B).why().contains("n-a1"), f.of(FRONT_B).why());
        Observed idle = new Observed();
        idle.rates.put("c", 0.0);
        PoolForecast p = forecast(idle.learnt(60), plan()).of(PoolName.parse("front/c/std"));
        assertEquals(Verdict.UNKNOWN, p.verdict());
        assertTrue(p.why().contains("no load"), p.why());
    }

    @Test
    void intervalsWidenWithAgeAndThinData() {
        PoolModel m = observed.learnt(60);
        m.expectNodes(Map.of());
        double young = width(Forecast.of(m.snapshot(60_000, -1), plan(), SharePolicy.maxMin(Map.of()), 3));
        double old = width(Forecast.of(m.snapshot(150_000, -1), plan(), SharePolicy.maxMin(Map.of()), 3));
        assertTrue(old > 1.5 * young, young + " " + old);
        assertTrue(observed.learnt(4).snapshot(4000, -1).pool(FRONT_B).capacitySpread()
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
        observed.clocks.put("n-a1", 1.01);
        observed.clocks.put("n-b2", 1.01);
        Forecast f = forecast(observed.learnt(60), plan());
        assertEquals(Verdict.HOLDS, f.verdict());
        assertTrue(f.of(FRONT_B).steps().get(3).load().contains(90));
    }

    @Test
    void namesTheTenantsThatSharesWouldRefuse() {
        PoolModel m = observed.learnt(60);
        m.wanted(List.of(new PoolSnapshot.Want(FRONT_B, "large", 120), new PoolSnapshot.Want(FRONT_B, "small", 5)));
        Map<String, Double> refused =
                forecast(m, plan()).of(FRONT_B).steps().get(3).refusedTenants();
        assertEquals(List.of("large"), List.copyOf(refused.keySet()));
        // 130 slots, 7.5 for the small one; the large one wants 180.
        assertEquals(1 - 122.5 / 180, refused.get("large"), 0.05);
    }

    @Test
    void aDayThatWasSeenTwiceMovesTheForecast() {
        DailyProfile s = new DailyProfile();
        for (int day = 0; day < 3; day++) {
            for (int q = 0; q < 96; q++) {
                s.take("a", q * 900_000.0, q == 40 ? 200 : 100);
            }
        }
        assertEquals(2, s.factor("a", 0, 40 * 900_000.0), 1e-9);
        assertEquals(1, new DailyProfile().factor("a", 0, 40 * 900_000.0), 1e-9);
    }

    @Test
    void checksAPlanWhole() {
        List<PoolName> pools = observed.learnt(5).names();
        assertEquals(List.of(), plan().faults(pools));
        EvacuationPlan bad = new EvacuationPlan(
                "no name",
                "z",
                -1,
                List.of(new EvacuationPlan.Step(0.5, 10_000), new EvacuationPlan.Step(0.2, 5)),
                0.9,
                8000,
                null,
                0,
                List.of(new EvacuationPlan.Comes(PoolName.parse("front/a/gone"), 1, 0)));
        List<String> faults = bad.faults(pools);
        assertEquals(6, faults.size(), faults::toString);
        assertTrue(EvacuationPlan.even("p", "a", 2, 5000)
                .faults(List.of(PoolName.parse("front/a/std")))
                .get(0)
                .contains("last one"));
        assertTrue(EvacuationPlan.even("p", "a", 2, 5000)
                .faults(List.of(PoolName.parse("front/a/std"), PARCEL_B))
                .get(0)
                .contains("last one with [front]"));
    }
}
