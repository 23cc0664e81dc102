package brackenbridge.fleet.evacuation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import brackenbridge.fleet.GoldenFiles;
import brackenbridge.fleet.evacuation.Forecast.Interval;
import brackenbridge.fleet.evacuation.Forecast.Verdict;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Checks the encoded weight commands, observations and plan records against the golden files. */
class GoldenFormsTest {
    private static final PoolName POOL = new PoolName("tier-1", "zone-a", "large");
    /** Listed one by one, so that each constant keeps its file when it is renamed. */
    private static final List<EvacuationStatus> STATUSES = List.of(
            EvacuationStatus.DRAFTED,
            EvacuationStatus.FORECAST,
            EvacuationStatus.REHEARSING,
            EvacuationStatus.HALTED,
            EvacuationStatus.PASSED,
            EvacuationStatus.EVACUATING,
            EvacuationStatus.EVACUATED,
            EvacuationStatus.RETURNING,
            EvacuationStatus.CLOSED,
            EvacuationStatus.ABANDONED);

    private static final List<Verdict> VERDICTS =
            List.of(Verdict.HOLDS, Verdict.TIGHT, Verdict.SATURATES, Verdict.UNKNOWN);

    private static PlanState state(EvacuationStatus status, Verdict verdict) {
        EvacuationPlan plan = new EvacuationPlan(
                "move-a",
                "zone-a",
                3_600_000,
                List.of(new EvacuationPlan.Step(0.25, 1000), new EvacuationPlan.Step(0.75, 2000)),
                0.05,
                8000,
                List.of(new EvacuationPlan.Step(1, 500)),
                60_000,
                List.of(new EvacuationPlan.AddedServers(POOL, 3, 1500)));
        PlanState.PoolPrediction prediction = new PlanState.PoolPrediction(
                POOL, 7, 100.5, new Interval(101, 95, 107.5), List.of(new Interval(120, 110, 130)));
        List<PlanState.HistoryEntry> history = new ArrayList<>();
        for (EvacuationStatus previous : STATUSES) {
            history.add(new PlanState.HistoryEntry(previous, 1, "staff", "because"));
        }
        return new PlanState(plan, status, 1, List.of(prediction), verdict, true, 77, history);
    }

    @Test
    void weightCommand() throws IOException {
        // A map with a single key: the order of several is not defined.
        GoldenFiles.check(
                "evacuation/order",
                new WeightCommand(77, 12, Map.of("zone-a", 0.75), 2500.5),
                WeightCommand::encode,
                WeightCommand::decode);
    }

    @Test
    void poolObservation() throws IOException {
        ObjectMapper mapper = new ObjectMapper();
        GoldenFiles.check(
                "evacuation/pool-seen",
                new PoolObservation(
                        1.5, 2.5, 3.5, 4, 5.5, 6.5, 7.5, 8.5, 9.5, 0.25, 11.5, 0.75, 13.5, 0.5, 15.5, 0.875, 17.5),
                mapper::writeValueAsBytes,
                form -> mapper.readValue(form, PoolObservation.class));
    }

    @Test
    void planStateWithEachStatusAndVerdict() throws IOException {
        assertEquals(EvacuationStatus.values().length, STATUSES.size());
        assertEquals(Verdict.values().length, VERDICTS.size());
        for (int i = 0; i < STATUSES.size(); i++) {
            check("status-" + i, state(STATUSES.get(i), Verdict.HOLDS));
        }
        for (int i = 0; i < VERDICTS.size(); i++) {
            check("verdict-" + i, state(EvacuationStatus.FORECAST, VERDICTS.get(i)));
        }
        check("drafted", PlanState.drafted(EvacuationPlan.withEvenSteps("move-b", "zone-b", 4, 1000), "staff"));
    }

    private static void check(String name, PlanState state) throws IOException {
        GoldenFiles.check("evacuation/plan-" + name, state, PlanState::encode, PlanState::decode);
    }

    /** The lower-case names are part of plan histories and of what operators read. */
    @Test
    void lowerCaseNamesOfStatusesAndVerdicts() throws IOException {
        StringBuilder words = new StringBuilder();
        STATUSES.forEach(status -> words.append(PlanState.lowerCaseName(status)).append('\n'));
        VERDICTS.forEach(
                verdict -> words.append(PlanState.lowerCaseName(verdict)).append('\n'));
        GoldenFiles.check("evacuation/words", words.toString(), String::getBytes, String::new);
    }
}
