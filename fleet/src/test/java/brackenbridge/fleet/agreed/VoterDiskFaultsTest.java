package brackenbridge.fleet.agreed;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.fleet.FaultyFiles;
import brackenbridge.fleet.FaultyFiles.Fault;
import brackenbridge.fleet.agreed.AgreedValues.Verdict;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.awaitility.core.ConditionFactory;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Voters with temporary disk faults must stop voting, recover, and lose no decided value. */
class VoterDiskFaultsTest {
    @TempDir
    Path root;

    private final Map<String, FaultyFiles.Faults> disks = new TreeMap<>();
    private InProcessFleet fleet;

    private void startFleet(long seed) throws Exception {
        for (int i = 0; i < 3; i++) {
            disks.put("m" + i, FaultyFiles.injectBelow(root.resolve("m" + i)));
        }
        fleet = new InProcessFleet(3, root, seed, FaultyFiles.SCHEME);
    }

    @AfterEach
    void assertNoViolations() {
        fleet.close();
        assertEquals(List.of(), fleet.violations());
    }

    private static ConditionFactory await30s() {
        return await().atMost(Duration.ofSeconds(30)).pollInterval(Duration.ofMillis(5));
    }

    private String awaitLeader() {
        return await30s().until(() -> fleet.leader(), leader -> !leader.isEmpty());
    }

    private void decide(String member, long expected, String content) throws Exception {
        Verdict verdict = fleet.member(member)
                .propose(AgreedValues.SETTINGS, expected, content.getBytes(StandardCharsets.UTF_8), 20_000)
                .get(25, TimeUnit.SECONDS);
        assertEquals(Verdict.IN_FORCE, verdict, () -> fleet.member(member).status());
    }

    private void assertStopsVotingAndRecovers(Fault fault, boolean failLeader) throws Exception {
        startFleet(31 + fault.ordinal());
        String leader = awaitLeader();
        List<String> names = new ArrayList<>(disks.keySet());
        names.remove(leader);
        String failing = failLeader ? leader : names.get(0);
        String otherVoter = failLeader ? names.get(0) : leader;
        String thirdVoter = names.get(1);
        decide("m0", 0, "a");
        disks.get(failing).failAll(fault);
        decide(otherVoter, 1, "b");
        await30s().until(() -> fleet.member(failing).status().contains("does not vote: its disk can't be written"));
        assertTrue(
                fleet.member(failing).alarm().contains("disk"),
                () -> fleet.member(failing).alarm());
        assertFalse(fleet.member(failing).isLeader());
        decide(otherVoter, 2, "c");
        disks.get(failing).clear();
        await30s()
                .until(() -> fleet.member(failing).alarm().isEmpty()
                        && fleet.member(failing).status().matches("(?s).*, (votes|leads).*"));
        // From here on each decision needs the vote of the recovered voter.
        fleet.kill(thirdVoter);
        decide(otherVoter, 3, "d");
        decide(failing, 4, "e");
    }

    @Test
    void leaderWithFailingSyncsStopsVotingAndRecovers() throws Exception {
        assertStopsVotingAndRecovers(Fault.SYNC_ERROR, true);
    }

    @Test
    void followerWithFailingSyncsStopsVotingAndRecovers() throws Exception {
        assertStopsVotingAndRecovers(Fault.SYNC_ERROR, false);
    }

    @Test
    void leaderWithFullDiskStopsVotingAndRecovers() throws Exception {
        assertStopsVotingAndRecovers(Fault.NO_SPACE, true);
    }

    @Test
    void followerWithShortWritesStopsVotingAndRecovers() throws Exception {
        assertStopsVotingAndRecovers(Fault.SHORT_WRITE, false);
    }

    /** All disks fail at once, so that there is no majority; values decided before must not be lost. */
    @Test
    void failureOfAllDisksPreservesDecidedValues() throws Exception {
        startFleet(47);
        awaitLeader();
        decide("m0", 0, "a");
        disks.values().forEach(disk -> disk.failAll(Fault.WRITE_ERROR));
        Verdict verdict = fleet.member("m1")
                .propose(AgreedValues.SETTINGS, 1, "b".getBytes(StandardCharsets.UTF_8), 1000)
                .get(25, TimeUnit.SECONDS);
        assertEquals(Verdict.UNKNOWN, verdict);
        await30s().until(() -> fleet.all().stream().noneMatch(AgreementMember::isLeader));
        disks.values().forEach(FaultyFiles.Faults::clear);
        awaitLeader();
        await30s()
                .until(() -> fleet.all().stream()
                        .allMatch(member ->
                                member.effectiveValues(AgreedValues.SETTINGS).isPresent()));
        long generation = fleet.member("m0")
                .effectiveValues(AgreedValues.SETTINGS)
                .orElseThrow()
                .inForce()
                .generation();
        assertTrue(generation >= 1, "in force: " + generation);
    }
}
