package brackenbridge.lab.grow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.lab.TestedNode;
import brackenbridge.lab.grow.GrowWorld.Ends;
import brackenbridge.lab.world.FileFault;
import brackenbridge.lab.world.World;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** What a node needs as its fleet grows: the bounds, the worlds, and a small play with a real node process. */
class GrowTest {
    private static final Needs USUAL = new Needs(2, 100, 60, 50, 100, 0.8);
    private static final int USUAL_SERVERS = 200;
    private static final int MANY_SERVERS = 800;
    private static final int MOST_SERVERS = 3200;
    private static final double SECONDS = 8;
    private static final long SEED = 1;

    @Test
    void eachBoundGrowsWithTheUsualNeedAndTheThousandsOfServers() {
        assertEquals(2.8 + 0.02 + 0.384, Bound.CPU.limit(USUAL, MOST_SERVERS), 1e-9);
        assertEquals(150 + 8 + 12.8, Bound.MEMORY.limit(USUAL, MOST_SERVERS), 1e-9);
        assertEquals(160, Bound.DESCRIPTORS.limit(USUAL, MOST_SERVERS), 1e-9);
        assertEquals(165, Bound.CONNECTIONS.limit(USUAL, MOST_SERVERS), 1e-9);
        assertEquals(200 + 64 + 1600, Bound.LISTS.limit(USUAL, MOST_SERVERS), 1e-9);
        assertEquals(0.68, Bound.SERVED.limit(USUAL, MOST_SERVERS), 1e-9);
    }

    @Test
    void oneBoundThatIsPassedFailsTheTable() {
        assertTrue(table(new Needs(3.2, 170, 160, 165, 1864, 0.69)).holds());
        assertFalse(table(new Needs(3.3, 170, 160, 165, 1864, 0.69)).holds());
        GrowTable lessServed = table(new Needs(3.2, 170, 160, 165, 1864, 0.67));
        assertFalse(lessServed.holds());
        assertTrue(lessServed.text().contains("| share served | 0.80 | 0.67 | at least 0.68 | PASSED |"));
    }

    private static GrowTable table(Needs many) {
        return new GrowTable(List.of(outcome(USUAL_SERVERS, USUAL), outcome(MOST_SERVERS, many)));
    }

    private static GrowRunner.Outcome outcome(int servers, Needs needs) {
        return new GrowRunner.Outcome(servers, needs, false, List.of());
    }

    @Test
    void trafficAndTheCapacityOfAllServersStayTheSame() throws FileFault, IOException {
        World usual = GrowWorld.of(USUAL_SERVERS, SECONDS, SEED, Ends.ABRUPT).world();
        for (int servers : new int[] {20, 333, MANY_SERVERS, MOST_SERVERS}) {
            World world = GrowWorld.of(servers, SECONDS, SEED, Ends.ABRUPT).world();
            assertEquals(servers, world.tiers().get(0).servers());
            assertEquals(usual.ratePerSecond(), world.ratePerSecond());
            assertEquals(usual.limits(), world.limits());
            assertEquals(1, world.capacityPerSecond() / usual.capacityPerSecond(), 1e-3);
        }
    }

    /** Quiet ends: a connection that breaks under a request costs more others than the fleet's size does. */
    @Test
    @Timeout(100)
    void fourTimesTheServersKeepToTheBoundsThatDoNotDependOnTheMachine(@TempDir Path folder)
            throws FileFault, IOException, InterruptedException {
        GrowRunner runner = new GrowRunner(TestedNode.HOME, TestedNode.command(), folder);
        GrowRunner.Outcome usual = runner.play(USUAL_SERVERS, SECONDS, SEED, Ends.QUIET);
        GrowRunner.Outcome many = runner.play(MANY_SERVERS, SECONDS, SEED, Ends.QUIET);
        assertTrue(usual.needs().servedShare() > 0, "something was served");
        assertTrue(usual.needs().connections() > 0, "connections were counted");
        assertTrue(many.needs().listKb() > usual.needs().listKb(), "changes were told and counted");
        String table = new GrowTable(List.of(usual, many)).text();
        for (Bound bound : Bound.values()) {
            if (bound.ofAnyMachine()) {
                assertTrue(bound.holds(usual.needs(), many.needs(), MANY_SERVERS), table);
            }
        }
    }
}
