package brackenbridge.fleet.agreed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.fleet.FaultyFiles;
import brackenbridge.fleet.FaultyFiles.Fault;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A voter's disk that fails for a while, a kill between two writes, and a loss of power. */
class StoreFaultsTest {
    private static final DefaultRaftModelFactory MODEL = new DefaultRaftModelFactory();
    private static final VoterEndpoint ME = new VoterEndpoint("m", "d");
    /** More writes and syncs than any opening needs. */
    private static final int MAX_OPEN_OPERATIONS = 200;

    @TempDir
    Path root;

    private Path directory;
    private FaultyFiles.Faults faults;
    private int term;

    @BeforeEach
    void initializeStore() throws IOException {
        directory = root.resolve("m");
        faults = FaultyFiles.injectBelow(directory);
        try (VoterStore s = open()) {
            RaftGroupMembersView one = MODEL.createRaftGroupMembersViewBuilder()
                    .setLogIndex(0)
                    .setMembers(Set.of(ME))
                    .setVotingMembers(Set.of(ME))
                    .build();
            s.persistAndFlushLocalEndpoint(MODEL.createRaftEndpointPersistentStateBuilder()
                    .setLocalEndpoint(ME)
                    .setVoting(true)
                    .build());
            s.persistAndFlushInitialGroupMembers(one);
            persistVote(s);
        }
    }

    private VoterStore open() throws IOException {
        return VoterStore.open(directory, "f", "m", FaultyFiles.SCHEME);
    }

    /** Votes in the next term, and takes an entry of it. */
    private void persistVote(VoterStore s) throws IOException {
        s.persistLogEntries(List.of(entry(term + 1)));
        s.persistAndFlushTerm(MODEL.createRaftTermPersistentStateBuilder()
                .setTerm(term + 1)
                .setVotedFor(ME)
                .build());
        term++;
    }

    private static LogEntry entry(int index) {
        return MODEL.createLogEntryBuilder()
                .setIndex(index)
                .setTerm(index)
                .setOperation(new LogCommand.Stage("settings", index, new byte[100], "m", 1, index))
                .build();
    }

    /** The last term that the disk has a vote of; all entries up to there must be with it. */
    private int readLastTerm() throws IOException {
        try (VoterStore s = open()) {
            RestoredRaftState r = s.restored().orElseThrow();
            assertEquals(r.getTermPersistentState().getTerm(), r.getLogEntries().size());
            return r.getTermPersistentState().getTerm();
        }
    }

    @Test
    void votesSurviveDiskFaultAndPowerLoss() throws IOException {
        for (Fault fault : Fault.values()) {
            VoterStore s = open();
            persistVote(s);
            faults.failAll(fault);
            assertThrows(IOException.class, () -> persistVote(s));
            assertTrue(s.failed());
            assertThrows(IOException.class, this::open, "it can't be written yet");
            faults.clear();
            assertThrows(IOException.class, () -> persistVote(s), "nothing more is promised by what failed");
            s.close();
            try (VoterStore again = open()) {
                // A vote that was not given may be on the disk all the same; it binds, as it would have.
                term = again.restored().orElseThrow().getTermPersistentState().getTerm();
                persistVote(again);
            }
            faults.simulatePowerLoss();
            assertEquals(term, readLastTerm(), fault.toString());
        }
    }

    @Test
    void diskFaultAtOpenIsNotReportedAsDamage() throws IOException {
        for (Fault fault : Fault.values()) {
            faults.failAll(fault);
            IOException refused = assertThrows(IOException.class, this::open);
            assertFalse(refused instanceof VoterStore.DamagedDiskException, refused.toString());
            faults.clear();
            assertEquals(term, readLastTerm(), fault.toString());
        }
    }

    /** Each fault from each write or sync of an opening on, until the opening needs no more of them. */
    @Test
    void faultAtAnyOperationOfOpenIsNotReportedAsDamage() throws IOException {
        for (Fault fault : Fault.values()) {
            int refusals = 0;
            for (boolean opened = false; !opened; ) {
                assertTrue(refusals < MAX_OPEN_OPERATIONS, fault + ": it never opens");
                faults.failAfter(refusals, fault);
                try (VoterStore s = open()) {
                    opened = s.restored().isPresent();
                } catch (IOException refused) {
                    assertFalse(
                            refused instanceof VoterStore.DamagedDiskException,
                            fault + " after " + refusals + ": " + refused);
                    refusals++;
                }
                faults.clear();
                assertEquals(term, readLastTerm(), fault + " after " + refusals);
            }
            assertTrue(refusals > 2, fault + " was refused only " + refusals + " times");
        }
    }

    @Test
    void votesSurviveRandomFaultsAndPowerLoss() throws IOException {
        for (long seed = 0; seed < 20; seed++) {
            Random random = new Random(seed);
            faults.failRandomly(seed, 0.1);
            for (int i = 0; i < 10; i++) {
                try (VoterStore s = open()) {
                    term = s.restored().orElseThrow().getTermPersistentState().getTerm();
                    persistVote(s);
                    persistVote(s);
                } catch (VoterStore.DamagedDiskException e) {
                    throw new AssertionError("seed " + seed, e);
                } catch (IOException refused) {
                    assertTrue(faults.failedCount() > 0);
                }
            }
            faults.clear();
            if (random.nextBoolean()) {
                faults.simulatePowerLoss();
            }
            int there = readLastTerm();
            assertTrue(there >= term, "seed " + seed + ": " + there + " of " + term);
            term = there;
        }
        assertTrue(faults.failedCount() > 20, "failed " + faults.failedCount());
    }

    @Test
    void previousVoteSurvivesTornWriteOfAnyLength() throws IOException {
        VoterStore s = open();
        persistVote(s);
        Map<Path, byte[]> before = files();
        faults.startRecording();
        persistVote(s);
        s.close();
        Map<Path, byte[]> now = new HashMap<>(before);
        for (FaultyFiles.Write w : faults.stopRecording()) {
            byte[] last = null;
            for (int prefix = 0; prefix <= w.bytes().length; prefix++) {
                byte[] torn = w.applyTo(now.get(w.file()), prefix);
                if (!Arrays.equals(torn, last)) {
                    for (Map.Entry<Path, byte[]> e : now.entrySet()) {
                        Files.write(e.getKey(), e.getValue());
                    }
                    Files.write(w.file(), torn);
                    int there = readLastTerm();
                    assertTrue(there >= term - 1, w.file() + " " + w.offset() + "+" + prefix + ": " + there);
                    last = torn;
                }
            }
            now.put(w.file(), last);
        }
        assertEquals(term, readLastTerm());
    }

    private Map<Path, byte[]> files() throws IOException {
        Map<Path, byte[]> all = new HashMap<>();
        for (String name : List.of("agreed.mv", "agreed.mark")) {
            all.put(directory.resolve(name), Files.readAllBytes(directory.resolve(name)));
        }
        return all;
    }

    @Test
    void persistedVotesSurviveKillAtAnyOperation() throws IOException {
        for (int at = 0; at < 60; at++) {
            faults.killAt(faults.operationCount() + at, at * 37 % 4096);
            try (VoterStore s = open()) {
                persistVote(s);
                persistVote(s);
            } catch (VoterStore.DamagedDiskException e) {
                throw new AssertionError("killed at " + at, e);
            } catch (IOException killed) {
                Throwable first = killed;
                while (first.getCause() != null) {
                    first = first.getCause();
                }
                assertEquals("killed", first.getMessage(), killed.toString());
            }
            faults.clear();
            int there = readLastTerm();
            assertTrue(there >= term, "killed at " + at + ": " + there + " of " + term);
            term = there;
        }
    }
}
