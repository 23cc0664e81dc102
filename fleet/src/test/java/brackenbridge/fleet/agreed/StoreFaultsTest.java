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
    private static final int MOST_OPERATIONS_OF_AN_OPENING = 200;

    @TempDir
    Path root;

    private Path directory;
    private FaultyFiles.Faults faults;
    private int term;

    @BeforeEach
    void fill() throws IOException {
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
            vote(s);
        }
    }

    private VoterStore open() throws IOException {
        return VoterStore.open(directory, "f", "m", FaultyFiles.SCHEME);
    }

    /** Votes in the next term, and takes an entry of it. */
    private void vote(VoterStore s) throws IOException {
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
    private int onDisk() throws IOException {
        try (VoterStore s = open()) {
            RestoredRaftState r = s.restored().orElseThrow();
            assertEquals(r.getTermPersistentState().getTerm(), r.getLogEntries().size());
            return r.getTermPersistentState().getTerm();
        }
    }

    @Test
    void votesOverAFailureAreThereAfterALossOfPower() throws IOException {
        for (Fault fault : Fault.values()) {
            VoterStore s = open();
            vote(s);
            faults.failAll(fault);
            assertThrows(IOException.class, () -> vote(s));
            assertTrue(s.failed());
            assertThrows(IOException.class, this::open, "it can't be written yet");
            faults.clear();
            assertThrows(IOException.class, () -> vote(s), "nothing more is promised by what failed");
            s.close();
            try (VoterStore again = open()) {
                // A vote that was not given may be on the disk all the same; it binds, as it would have.
                term = again.restored().orElseThrow().getTermPersistentState().getTerm();
                vote(again);
            }
            faults.simulatePowerLoss();
            assertEquals(term, onDisk(), fault.toString());
        }
    }

    @Test
    void aDiskThatIsFullAtTheStartIsNotTakenForADamagedOne() throws IOException {
        for (Fault fault : Fault.values()) {
            faults.failAll(fault);
            IOException refused = assertThrows(IOException.class, this::open);
            assertFalse(refused instanceof VoterStore.Damaged, refused.toString());
            faults.clear();
            assertEquals(term, onDisk(), fault.toString());
        }
    }

    /** Each fault from each write or sync of an opening on, until the opening needs no more of them. */
    @Test
    void aFaultAtAnyOperationOfAnOpeningIsToldAsADiskThatFails() throws IOException {
        for (Fault fault : Fault.values()) {
            int refusals = 0;
            for (boolean opened = false; !opened; ) {
                assertTrue(refusals < MOST_OPERATIONS_OF_AN_OPENING, fault + ": it never opens");
                faults.failAfter(refusals, fault);
                try (VoterStore s = open()) {
                    opened = s.restored().isPresent();
                } catch (IOException refused) {
                    assertFalse(refused instanceof VoterStore.Damaged, fault + " after " + refusals + ": " + refused);
                    refusals++;
                }
                faults.clear();
                assertEquals(term, onDisk(), fault + " after " + refusals);
            }
            assertTrue(refusals > 2, fault + " was refused only " + refusals + " times");
        }
    }

    @Test
    void randomFaultsAndLossesOfPowerTakeNoVote() throws IOException {
        for (long seed = 0; seed < 20; seed++) {
            Random random = new Random(seed);
            faults.failRandomly(seed, 0.1);
            for (int i = 0; i < 10; i++) {
                try (VoterStore s = open()) {
                    term = s.restored().orElseThrow().getTermPersistentState().getTerm();
                    vote(s);
                    vote(s);
                } catch (VoterStore.Damaged e) {
                    throw new AssertionError("seed " + seed, e);
                } catch (IOException refused) {
                    assertTrue(faults.failedCount() > 0);
                }
            }
            faults.clear();
            if (random.nextBoolean()) {
                faults.simulatePowerLoss();
            }
            int there = onDisk();
            assertTrue(there >= term, "seed " + seed + ": " + there + " of " + term);
            term = there;
        }
        assertTrue(faults.failedCount() > 20, "failed " + faults.failedCount());
    }

    @Test
    void everyLengthOfATornLastWriteLeavesTheVoteBefore() throws IOException {
        VoterStore s = open();
        vote(s);
        Map<Path, byte[]> before = files();
        faults.startRecording();
        vote(s);
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
                    int there = onDisk();
                    assertTrue(there >= term - 1, w.file() + " " + w.offset() + "+" + prefix + ": " + there);
                    last = torn;
                }
            }
            now.put(w.file(), last);
        }
        assertEquals(term, onDisk());
    }

    private Map<Path, byte[]> files() throws IOException {
        Map<Path, byte[]> all = new HashMap<>();
        for (String name : List.of("agreed.mv", "agreed.mark")) {
            all.put(directory.resolve(name), Files.readAllBytes(directory.resolve(name)));
        }
        return all;
    }

    @Test
    void aKillAtAnyWriteOrSyncLeavesWhatWasPromised() throws IOException {
        for (int at = 0; at < 60; at++) {
            faults.killAt(faults.operationCount() + at, at * 37 % 4096);
            try (VoterStore s = open()) {
                vote(s);
                vote(s);
            } catch (VoterStore.Damaged e) {
                throw new AssertionError("killed at " + at, e);
            } catch (IOException killed) {
                Throwable first = killed;
                while (first.getCause() != null) {
                    first = first.getCause();
                }
                assertEquals("killed", first.getMessage(), killed.toString());
            }
            faults.clear();
            int there = onDisk();
            assertTrue(there >= term, "killed at " + at + ": " + there + " of " + term);
            term = there;
        }
    }
}
