package brackenbridge.fleet.agreed;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.fleet.agreed.AgreedValues.Lease;
import brackenbridge.fleet.agreed.AgreedValues.Verdict;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.awaitility.core.ConditionFactory;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Members in one process, under crashes, partitions, lost disks and stalls. After each test, {@link InProcessFleet}
 * must have found no contradicting values and no role with two holders.
 */
class AgreementMemberTest {
    @TempDir
    Path root;

    private InProcessFleet fleet;

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private CompletableFuture<Verdict> proposeAsync(String member, long expected, String content, double withinMs) {
        return fleet.member(member).propose(AgreedValues.SETTINGS, expected, bytes(content), withinMs);
    }

    private Verdict propose(String member, long expected, String content) throws Exception {
        return proposeAsync(member, expected, content, 8000).get(10, TimeUnit.SECONDS);
    }

    private static ConditionFactory await15s() {
        return await().atMost(Duration.ofSeconds(15)).pollInterval(Duration.ofMillis(5));
    }

    private String awaitLeader() {
        return await15s().until(() -> fleet.leader(), leader -> !leader.isEmpty());
    }

    private boolean usesOnly(AgreementMember member, long generation) {
        return member.effectiveValues(AgreedValues.SETTINGS)
                .map(values -> values.staged() == null && values.inForce().generation() == generation)
                .orElse(false);
    }

    private void awaitAllUse(long generation) {
        await15s().until(() -> fleet.all().stream().allMatch(member -> usesOnly(member, generation)));
    }

    private String lastKnown(String member) {
        return fleet.member(member)
                .lastKnown(AgreedValues.SETTINGS)
                .map(value -> new String(value.content(), StandardCharsets.UTF_8))
                .orElse("");
    }

    private Lease claim(String member, double leaseMs) throws Exception {
        return fleet.member(member).acquire("driver", leaseMs).get(10, TimeUnit.SECONDS);
    }

    @AfterEach
    void assertNoViolations() {
        fleet.close();
        assertTrue(fleet.checks() > 100, "checks: " + fleet.checks());
        assertEquals(List.of(), fleet.violations());
    }

    @Test
    void nonVoterProposalTakesEffectEverywhereAndStaleProposalIsOvertaken() throws Exception {
        fleet = new InProcessFleet(4, root, 1);
        awaitLeader();
        assertEquals(Verdict.IN_FORCE, propose("m3", 0, "a"));
        awaitAllUse(1);
        assertEquals(Verdict.OVERTAKEN, propose("m0", 0, "b"));
        assertEquals(Verdict.IN_FORCE, propose("m0", 1, "b"));
        awaitAllUse(2);
        assertEquals("b", lastKnown("m3"));
    }

    @Test
    void valueRejectedByOneMemberIsAbandonedAndItsGenerationIsNotReused() throws Exception {
        fleet = new InProcessFleet(3, null, 2);
        awaitLeader();
        assertEquals(Verdict.IN_FORCE, propose("m0", 0, "a"));
        awaitAllUse(1);
        assertEquals(Verdict.REFUSED, propose("m0", 1, "bad at m2"));
        assertEquals(Verdict.IN_FORCE, propose("m0", 1, "b"));
        awaitAllUse(3);
        SettingsAdminHandler calls = new SettingsAdminHandler(fleet.member("m1"), 3000);
        assertTrue(
                calls.history(AgreedValues.SETTINGS)
                        .text()
                        .matches("(?s).*1  in_force .*2  abandoned .*3  in_force, now.*"),
                calls.history(AgreedValues.SETTINGS).text());
        assertEquals(
                "from line 1\n- a\n+ b\n",
                calls.diff(AgreedValues.SETTINGS, 1, 3).text());
        assertTrue(calls.withdraw(AgreedValues.SETTINGS, 1).succeeded());
        awaitAllUse(4);
        assertTrue(calls.show(AgreedValues.SETTINGS).text().startsWith("generation 4 by m1\na"));
        assertFalse(calls.withdraw(AgreedValues.SETTINGS, 9).succeeded());
    }

    @Test
    void partitionedLeaderDecidesNothingWhileMajorityContinues() throws Exception {
        fleet = new InProcessFleet(3, root, 3);
        String oldLeader = awaitLeader();
        assertEquals(Verdict.IN_FORCE, propose("m0", 0, "a"));
        awaitAllUse(1);
        fleet.network.partition(oldLeader);
        CompletableFuture<Verdict> isolated = proposeAsync(oldLeader, 1, "alone", 1500);
        String other = oldLeader.equals("m0") ? "m1" : "m0";
        assertEquals(Verdict.IN_FORCE, propose(other, 1, "b"));
        assertTrue(
                fleet.member(oldLeader).effectiveValues(AgreedValues.SETTINGS).isEmpty(),
                "partitioned for longer than a lease");
        assertEquals(Verdict.UNKNOWN, isolated.get(5, TimeUnit.SECONDS));
        fleet.network.partition();
        awaitAllUse(2);
        assertEquals("b", lastKnown(oldLeader));
    }

    @Test
    void proposalSurvivesLeaderCrashAndRestartOfAllMembers() throws Exception {
        fleet = new InProcessFleet(3, root, 4);
        String oldLeader = awaitLeader();
        assertEquals(Verdict.IN_FORCE, propose("m0", 0, "a"));
        awaitAllUse(1);
        String other = oldLeader.equals("m0") ? "m1" : "m0";
        CompletableFuture<Verdict> verdict = proposeAsync(other, 1, "b", 8000);
        fleet.kill(oldLeader);
        assertEquals(Verdict.IN_FORCE, verdict.get(10, TimeUnit.SECONDS));
        for (String member : List.of("m0", "m1", "m2")) {
            if (fleet.member(member) != null) {
                fleet.kill(member);
            }
        }
        for (String member : List.of("m0", "m1", "m2")) {
            fleet.start(member, 1);
        }
        awaitAllUse(2);
        assertEquals("b", lastKnown(oldLeader));
        assertEquals(Verdict.IN_FORCE, propose(oldLeader, 2, "c"));
    }

    private void deleteDisk(String member) throws IOException {
        try (Stream<Path> files = Files.walk(fleet.disk(member))) {
            for (Path path : files.sorted(java.util.Comparator.reverseOrder()).toList()) {
                Files.delete(path);
            }
        }
    }

    @Test
    void voterWithLostDiskRejoinsAsNewVoter() throws Exception {
        fleet = new InProcessFleet(3, root, 5);
        String leader = awaitLeader();
        assertEquals(Verdict.IN_FORCE, propose("m0", 0, "a"));
        String lostVoter = leader.equals("m1") ? "m2" : "m1";
        // Enough data to truncate the beginning of the log: the new disk starts from a snapshot of several chunks.
        for (int generation = 1; generation < 20; generation++) {
            byte[] large = new byte[AgreedState.MAX_CONTENT_BYTES];
            assertEquals(
                    Verdict.IN_FORCE,
                    fleet.member("m0")
                            .propose(AgreedValues.SETTINGS, generation, large, 8000)
                            .get(10, TimeUnit.SECONDS));
        }
        fleet.kill(lostVoter);
        deleteDisk(lostVoter);
        fleet.start(lostVoter, 1);
        await15s()
                .until(() -> fleet.member(lostVoter).status().contains("votes")
                        && !fleet.member(lostVoter).status().contains("joins"));
        // Without the third voter, every decision needs the vote of the new disk.
        String thirdVoter = List.of("m0", "m1", "m2").stream()
                .filter(member -> !member.equals(lostVoter) && !member.equals(leader))
                .findFirst()
                .orElseThrow();
        fleet.kill(thirdVoter);
        assertEquals(Verdict.IN_FORCE, propose(lostVoter, 20, "b"));
        assertEquals("b", lastKnown(lostVoter));
    }

    @Test
    void restoredOldDiskIsPutAside() throws Exception {
        fleet = new InProcessFleet(3, root, 6);
        String leader = awaitLeader();
        String voter = leader.equals("m1") ? "m2" : "m1";
        fleet.kill(voter);
        Path copy = root.resolve("copy");
        Files.createDirectories(copy);
        for (String file : List.of("agreed.mv", "agreed.mark")) {
            Files.copy(fleet.disk(voter).resolve(file), copy.resolve(file));
        }
        fleet.start(voter, 1);
        await15s().until(() -> fleet.member(voter).status().contains("votes"));
        assertEquals(Verdict.IN_FORCE, propose(voter, 0, "a"));
        fleet.kill(voter);
        deleteDisk(voter);
        Files.move(copy, fleet.disk(voter));
        fleet.start(voter, 1);
        await15s().until(() -> Files.exists(root.resolve(voter + ".aside-1")));
        await15s()
                .until(() -> fleet.member(voter).status().contains("votes")
                        && !fleet.member(voter).status().contains("joins"));
        awaitAllUse(1);
    }

    @Test
    void roleHasOneHolderWhenHolderStallsAndLeaderCrashes() throws Exception {
        fleet = new InProcessFleet(4, root, 7);
        String leader = awaitLeader();
        // The holder is not a voter, so that a majority is left when it stalls and the leader is dead.
        String holder = "m3";
        String otherMember = leader.equals("m0") ? "m1" : "m0";
        Lease initialLease = claim(holder, 500);
        assertTrue(fleet.member(holder).holdsLease("driver"));
        assertEquals(holder, claim(otherMember, 500).holder());
        assertFalse(fleet.member(otherMember).holdsLease("driver"));
        Lease extendedLease = claim(holder, 500);
        assertEquals(initialLease.token(), extendedLease.token());
        assertTrue(extendedLease.untilMs() > initialLease.untilMs());
        // The holder's thread stalls. A response queued meanwhile must not extend the expired lease.
        CountDownLatch released = new CountDownLatch(1);
        AgreementMember stalled = fleet.member(holder);
        CompletableFuture<Lease> lateClaim = stalled.acquire("driver", 500);
        stalled.execute(() -> {
            try {
                released.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        fleet.kill(leader);
        Lease newLease = await15s()
                .until(
                        () -> claim(otherMember, 500),
                        lease -> lease.holder().equals(otherMember) && lease.untilMs() > 0);
        assertTrue(newLease.token() > initialLease.token());
        released.countDown();
        lateClaim.get(10, TimeUnit.SECONDS);
        assertFalse(stalled.holdsLease("driver"));
    }

    @Test
    void acknowledgedProposalsSurviveRandomFaults() throws Exception {
        Random random = new Random(8);
        fleet = new InProcessFleet(5, root, 8);
        awaitLeader();
        fleet.network.setFaults(0.05, 0.05, 8000);
        Map<Long, String> acknowledged = new TreeMap<>();
        List<String> names =
                fleet.network.members().stream().map(member -> member.name()).toList();
        for (int round = 0; round < 8; round++) {
            String victim = names.get(random.nextInt(5));
            String otherVictim = names.get(random.nextInt(5));
            int fault = random.nextInt(3);
            if (fault == 0) {
                fleet.kill(victim);
            } else if (fault == 1) {
                fleet.network.partition(victim);
            } else {
                fleet.network.partition(victim, otherVictim);
            }
            String proposer = names.stream()
                    .filter(survivor -> !survivor.equals(victim) && !survivor.equals(otherVictim))
                    .findFirst()
                    .orElseThrow();
            List<CompletableFuture<Lease>> claims = new ArrayList<>();
            fleet.all().forEach(member -> claims.add(member.acquire("driver", 300)));
            long expected = fleet.member(proposer)
                    .lastKnown(AgreedValues.SETTINGS)
                    .map(AgreedValues.Value::generation)
                    .orElse(0L);
            String content = "round " + round;
            if (proposeAsync(proposer, expected, content, 4000).get(8, TimeUnit.SECONDS) == Verdict.IN_FORCE) {
                acknowledged.put((long) round, content);
            }
            for (CompletableFuture<Lease> claim : claims) {
                claim.get(10, TimeUnit.SECONDS);
            }
            fleet.network.partition();
            if (fault == 0) {
                fleet.start(victim, random.nextBoolean() ? 1.01 : 0.99);
            }
        }
        assertTrue(acknowledged.size() >= 4, "acknowledged: " + acknowledged);
        fleet.network.setFaults(0, 0, 300);
        SettingsAdminHandler calls = new SettingsAdminHandler(fleet.member("m0"), 5000);
        String listing = await15s()
                .until(() -> calls.history(AgreedValues.SETTINGS), SettingsAdminHandler.Reply::succeeded)
                .text();
        List<String> contents = new ArrayList<>();
        for (String line : listing.split("\n")) {
            long generation = Long.parseLong(line.trim().split(" ")[0]);
            contents.add(new String(
                    fleet.member("m0")
                            .readHistory(AgreedValues.SETTINGS, generation, 5000)
                            .get(8, TimeUnit.SECONDS)
                            .orElseThrow()
                            .content(),
                    StandardCharsets.UTF_8));
        }
        assertTrue(contents.containsAll(acknowledged.values()), contents + " of " + acknowledged);
    }
}
