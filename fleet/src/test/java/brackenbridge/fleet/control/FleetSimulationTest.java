package brackenbridge.fleet.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Simulates 1,600 nodes and nine control machines: a start, and a region isolated for ten minutes. */
class FleetSimulationTest {
    private static final int NODES = 1600;
    private static final double TEN_MINUTES_MS = 600_000;
    private static final double DEADLINE_MS = 13_000;
    private static final List<String> REGIONS = List.of("a", "b", "c", "d", "e", "f");

    private static FleetSimulation newFleet(long seed) {
        List<ControlMachine> machines = new ArrayList<>();
        String regions = "aabbccdef";
        for (int i = 0; i < regions.length(); i++) {
            machines.add(new ControlMachine("m" + i, regions.substring(i, i + 1), "127.0.0.1:" + (9000 + i)));
        }
        return new FleetSimulation(machines, REGIONS, NODES, ControlLimits.DEFAULTS, seed);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void allNodesConnectToTheirOwnRegionWithinSeconds(long seed) {
        FleetSimulation fleet = newFleet(seed);
        fleet.runUntil(10_000);
        assertTrue(fleet.lastConfirmedMs() < 5000, "last node confirmed after " + fleet.lastConfirmedMs() + " ms");
        assertEquals(NODES, fleet.countAtHome());
        assertTrue(fleet.maxNodesPerMachine() < 300, fleet.maxNodesPerMachine() + " nodes at one machine");
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void isolatedRegionBacksOffAndRecoversWithinTheDeadline(long seed) {
        for (String region : List.of("a", "d")) {
            FleetSimulation fleet = newFleet(seed);
            fleet.runUntil(10_000);
            long outside = NODES - fleet.countConfirmed(region, true);
            fleet.isolatedRegion(region);
            fleet.runUntil(10_000 + DEADLINE_MS);
            assertEquals(
                    outside,
                    fleet.countConfirmed(region, false),
                    "nodes of other regions are served within the deadline");
            fleet.runUntil(10_000 + TEN_MINUTES_MS);
            assertEquals(0, fleet.countConfirmed(region, true));
            assertEquals(outside, fleet.countConfirmed(region, false));
            int maxAttempts = fleet.maxAttemptsPerSecond(70_000, 10_000 + TEN_MINUTES_MS);
            assertTrue(maxAttempts < 400, maxAttempts + " connection attempts per second while the region is isolated");
            double reconnectedAtMs = 10_000 + TEN_MINUTES_MS;
            fleet.isolatedRegion("");
            fleet.runUntil(reconnectedAtMs + DEADLINE_MS);
            assertTrue(
                    fleet.lastConfirmedMs() - reconnectedAtMs < DEADLINE_MS,
                    "last node confirmed after " + (fleet.lastConfirmedMs() - reconnectedAtMs) + " ms");
            fleet.runUntil(reconnectedAtMs + 4 * ControlLimits.DEFAULTS.returnHomeMaxMs());
            assertEquals(NODES, fleet.countAtHome(), "all nodes returned to their own region");
        }
    }
}
