package brackenbridge.fleet.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** 1,600 nodes and nine control machines in simulated time: a start, and a region cut off for ten minutes. */
class FleetSimulationTest {
    private static final int NODES = 1600;
    private static final double TEN_MINUTES_MS = 600_000;
    private static final double DEADLINE_MS = 13_000;
    private static final List<String> REGIONS = List.of("a", "b", "c", "d", "e", "f");

    private static FleetSimulation fleet(long seed) {
        List<ControlMachine> machines = new ArrayList<>();
        String regions = "aabbccdef";
        for (int i = 0; i < regions.length(); i++) {
            machines.add(new ControlMachine("m" + i, regions.substring(i, i + 1), "127.0.0.1:" + (9000 + i)));
        }
        return new FleetSimulation(machines, REGIONS, NODES, ControlLimits.DEFAULTS, seed);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void allStartWithinSecondsEachAtItsOwnRegion(long seed) {
        FleetSimulation fleet = fleet(seed);
        fleet.runUntil(10_000);
        assertTrue(fleet.allConfirmedMs() < 5000, "the last after " + fleet.allConfirmedMs());
        assertEquals(NODES, fleet.atHome());
        assertTrue(fleet.mostNodes() < 300, fleet.mostNodes() + " at one machine");
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void aRegionCutOffForTenMinutesAsksModeratelyAndIsBackWithinTheDeadline(long seed) {
        for (String region : List.of("a", "d")) {
            FleetSimulation fleet = fleet(seed);
            fleet.runUntil(10_000);
            long outside = NODES - fleet.confirmed(region, true);
            fleet.cut(region);
            fleet.runUntil(10_000 + DEADLINE_MS);
            assertEquals(outside, fleet.confirmed(region, false), "nodes outside are served within the deadline");
            fleet.runUntil(10_000 + TEN_MINUTES_MS);
            assertEquals(0, fleet.confirmed(region, true));
            assertEquals(outside, fleet.confirmed(region, false));
            int most = fleet.mostAttempts(70_000, 10_000 + TEN_MINUTES_MS);
            assertTrue(most < 400, most + " connections begun in a second while it is cut off");
            double backMs = 10_000 + TEN_MINUTES_MS;
            fleet.cut("");
            fleet.runUntil(backMs + DEADLINE_MS);
            assertTrue(
                    fleet.allConfirmedMs() - backMs < DEADLINE_MS,
                    "the last after " + (fleet.allConfirmedMs() - backMs) + " ms");
            fleet.runUntil(backMs + 4 * ControlLimits.DEFAULTS.returnHomeMaxMs());
            assertEquals(NODES, fleet.atHome(), "all are at home again");
        }
    }
}
