package brackenbridge.lab.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.lab.scale.ScaleFigures.Change;
import brackenbridge.lab.scale.ScaleFigures.Unreachable;
import brackenbridge.lab.world.FileFault;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The scale test itself: its files, how it counts, and one small play with real processes. */
class ScaleTest {
    private static final Path FILES = Path.of("scale");

    @Test
    void theFilesOfTheRepositoryAreRead() throws FileFault {
        ScalePlan target = ScaleFile.read(FILES.resolve("target.toml"));
        assertEquals(1600, target.nodes());
        assertEquals(9, target.machines());
        assertEquals(280, target.services());
        assertEquals(
                16, target.regions().stream().mapToInt(ScalePlan.Region::zones).sum());
        assertEquals(1600, Arrays.stream(target.nodesByRegion()).sum());
        assertEquals(284, new HashSet<>(target.resources()).size());
        assertEquals(200, ScaleFile.read(FILES.resolve("smoke.toml")).nodes());
        assertEquals(
                100, ScaleFile.read(FILES.resolve("rest.toml")).withNodes(100).nodes());
    }

    private static String fault(String text) {
        return assertThrows(FileFault.class, () -> ScaleFile.parse("f", text)).getMessage();
    }

    @Test
    void aFileThatCannotBeUsedIsRefusedWithItsPlace() {
        String fleet = "name = \"x\"\n[fleet]\nnodes = 10\nservices = 3\n";
        String region = "[[region]]\nname = \"a\"\n";
        assertTrue(fault("name = \"x\"\n[fleet]\nnodes = 0\nservices = 3\n").startsWith("f:3:1: fleet.nodes"));
        assertTrue(fault(fleet).contains("region"));
        assertTrue(fault(fleet + region + "[[region]]\nname = \"a\"\n").startsWith("f:8:1"));
        assertTrue(fault(fleet + region + "[[fault]]\nkind = \"kil\"\nat = 0\n").contains("did you mean 'kill'"));
        assertTrue(fault(fleet + region + "[changes]\nlength = \"5s\"\n[[fault]]\nkind = \"kill\"\nat = \"4s\"\n"
                        + "for = \"2s\"\n")
                .contains("outlast"));
        assertTrue(fault(fleet + region + "[[fault]]\nkind = \"cut\"\nregion = \"b\"\nat = 1\n")
                .contains("no region"));
        assertTrue(fault(fleet + "extra = 1\n" + region).contains("extra"));
    }

    private static ScalePlan tiny() throws FileFault {
        return ScaleFile.parse(
                "tiny",
                "name = \"tiny\"\n[fleet]\nnodes = 2\nservices = 1\ncalls = 1\ntiers = 1\n"
                        + "[[region]]\nname = \"a\"\n");
    }

    @Test
    void aChangeCountsFromItsProposalOrFromTheNodesReturnAndALaterChangeStandsForIt() throws FileFault {
        ScaleFigures figures = new ScaleFigures(tiny(), 2, 1);
        List<Change> changes =
                List.of(new Change(1, "settings/tier-0", 1000, 1300), new Change(2, "settings/tier-0", 2000, 2400));
        figures.applied(0, "settings/tier-0", 1, 1500);
        figures.applied(0, "settings/tier-0", 2, 2700);
        figures.applied(1, "settings/tier-0", 2, 9000);
        figures.unreachable(new Unreachable(1, 500, 8200));
        ScaleFigures.Result result = figures.result(changes, 20_000);
        assertEquals(4, result.pairs());
        assertEquals(0, result.missing());
        assertEquals(800, ScaleFigures.Result.quantile(result.node(), 1), 1e-9);
        assertEquals(500, ScaleFigures.Result.quantile(result.node(), 0), 1e-9);
        assertEquals(400, ScaleFigures.Result.quantile(result.agreed(), 1), 1e-9);
    }

    @Test
    void aChangeThatNeverComesIsMissingUnlessTheNodeIsAwayAtTheEnd() throws FileFault {
        List<Change> changes = List.of(new Change(1, "settings/tier-0", 1000, 1300));
        ScaleFigures figures = new ScaleFigures(tiny(), 2, 1);
        figures.applied(0, "settings/tier-0", 1, 1500);
        assertEquals(1, figures.result(changes, 20_000).missing());
        figures.unreachable(new Unreachable(1, 900, 20_000));
        assertEquals(0, figures.result(changes, 20_000).missing());
    }

    @Test
    void twoHundredNodesAndThreeMachinesKeepTheBoundsWithAMachineKilledAndNodesRestarted(@TempDir Path folder)
            throws Exception {
        ScaleOutcome outcome = ScaleRunner.play(ScaleFile.read(FILES.resolve("smoke.toml")), 1, folder);
        assertTrue(outcome.passed(), outcome.text() + outcome.summary());
        assertTrue(outcome.result().pairs() > 200, outcome.text());
        assertTrue(outcome.connections() > 200, "the nodes of the killed machine went elsewhere");
        ScalePlan.Bounds unkept = new ScalePlan.Bounds(1, 0, 1, 0, 0);
        ScalePlan plan = outcome.plan();
        assertFalse(new ScaleOutcome(
                        new ScalePlan(
                                plan.name(),
                                plan.nodes(),
                                plan.services(),
                                plan.calls(),
                                plan.tiers(),
                                plan.regions(),
                                plan.nodesPerProcess(),
                                plan.startMs(),
                                plan.restMs(),
                                plan.changes(),
                                unkept,
                                plan.faults()),
                        1,
                        outcome.startedMs(),
                        outcome.result(),
                        outcome.rest(),
                        outcome.busy(),
                        outcome.connections(),
                        0,
                        0,
                        List.of())
                .passed());
    }
}
