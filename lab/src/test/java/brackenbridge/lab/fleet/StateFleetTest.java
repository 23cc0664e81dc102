package brackenbridge.lab.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.lab.world.FileFault;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Members as processes, with links cut and lame, members killed, stalled and without their disk. */
@Timeout(100)
class StateFleetTest {
    @Test
    void fiveMembersKeepTheirPromisesThroughAllFaults(@TempDir Path folder)
            throws FileFault, IOException, InterruptedException {
        MembersPlan plan = MembersFile.read(Path.of("fleets/state-smoke.toml"));
        MembersRunner.Outcome o = MembersRunner.play(plan, 1, null, folder.resolve("play"));
        assertNull(o.first(), () -> o.findings().toString());
        Map<String, Double> level = o.findings().get("level_after").figures();
        assertEquals(3, level.get("returns"), "killed, without its disk, stalled");
        assertEquals(3, level.get("level"));
        assertTrue(o.findings().get("converges").figures().get("compared") > 1000, "writes were compared");
        assertTrue(o.findings().get("no_contradiction").figures().get("generations") > 3, "values were agreed on");
        assertTrue(o.findings().get("one_holder").figures().get("holders") >= 1, "the role was held");
    }
}
