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

/**
 * Votes and entries that were persisted must survive temporary disk faults, a kill during any write and a loss of
 * power; a disk that fails must not be treated as damaged, because its votes would be lost.
 */
class StoreFaultsTest {
    private static final DefaultRaftModelFactory MODEL = new DefaultRaftModelFactory();
    private static final VoterEndpoint ME = new VoterEndpoint("m", "d");
    /** More writes and syncs than opening a store needs. */
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
        try (VoterStore store = open()) {
            RaftGroupMembersView members = MODEL.createRaftGroupMembersViewBuilder()
                    .setLogIndex(0)
                    .setMembers(Set.of(ME))
                    .setVotingMembers(Set.of(ME))
                    .build();
            store.persistAndFlushLocalEndpoint(MODEL.createRaftEndpointPersistentStateBuilder()
                    .setLocalEndpoint(ME)
                    .setVoting(true)
                    .build());
            store.persistAndFlushInitialGroupMembers(members);
            persistVote(store);
        }
    }

    private VoterStore open() throws IOException {
        return VoterStore.open(directory, "f", "m", FaultyFiles.SCHEME);
    }

    /** Persists a vote in the next term and a log entry of that term. */
    private void persistVote(VoterStore store) throws IOException {
        store.persistLogEntries(List.of(entry(term + 1)));
        store.persistAndFlushTerm(MODEL.createRaftTermPersistentStateBuilder()
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

    /** Reads the term of the last vote on the disk; all log entries up to that term must be present. */
    private int readLastTerm() throws IOException {
        try (VoterStore store = open()) {
            RestoredRaftState restored = store.restored().orElseThrow();
            assertEquals(
                    restored.getTermPersistentState().getTerm(),
                    restored.getLogEntries().size());
            return restored.getTermPersistentState().getTerm();
        }
    }

    @Test
    void votesSurviveDiskFaultAndPowerLoss() throws IOException {
        for (Fault fault : Fault.values()) {
            VoterStore store = open();
            persistVote(store);
            faults.failAll(fault);
            assertThrows(IOException.class, () -> persistVote(store));
            assertTrue(store.failed());
            assertThrows(IOException.class, this::open, "the disk still fails");
            faults.clear();
            assertThrows(IOException.class, () -> persistVote(store), "a store that has failed accepts no writes");
            store.close();
            try (VoterStore reopened = open()) {
                // A vote whose write failed may still be on the disk; it counts like any other.
                term = reopened.restored()
                        .orElseThrow()
                        .getTermPersistentState()
                        .getTerm();
                persistVote(reopened);
            }
            faults.simulatePowerLoss();
            assertEquals(term, readLastTerm(), fault.toString());
        }
    }

    @Test
    void diskFaultAtOpenIsNotReportedAsDamage() throws IOException {
        for (Fault fault : Fault.values()) {
            faults.failAll(fault);
            IOException failure = assertThrows(IOException.class, this::open);
            assertFalse(failure instanceof VoterStore.DamagedDiskException, failure.toString());
            faults.clear();
            assertEquals(term, readLastTerm(), fault.toString());
        }
    }

    /** Injects each fault starting at each write or sync of opening the store, until opening succeeds. */
    @Test
    void faultAtAnyOperationOfOpenIsNotReportedAsDamage() throws IOException {
        for (Fault fault : Fault.values()) {
            int failures = 0;
            for (boolean opened = false; !opened; ) {
                assertTrue(failures < MAX_OPEN_OPERATIONS, fault + ": the store never opens");
                faults.failAfter(failures, fault);
                try (VoterStore store = open()) {
                    opened = store.restored().isPresent();
                } catch (IOException failure) {
                    assertFalse(
                            failure instanceof VoterStore.DamagedDiskException,
                            fault + " after " + failures + ": " + failure);
                    failures++;
                }
                faults.clear();
                assertEquals(term, readLastTerm(), fault + " after " + failures);
            }
            assertTrue(failures > 2, fault + ": opening failed only " + failures + " times");
        }
    }

    @Test
    void votesSurviveRandomFaultsAndPowerLoss() throws IOException {
        for (long seed = 0; seed < 20; seed++) {
            Random random = new Random(seed);
            faults.failRandomly(seed, 0.1);
            for (int i = 0; i < 10; i++) {
                try (VoterStore store = open()) {
                    term = store.restored()
                            .orElseThrow()
                            .getTermPersistentState()
                            .getTerm();
                    persistVote(store);
                    persistVote(store);
                } catch (VoterStore.DamagedDiskException damage) {
                    throw new AssertionError("seed " + seed, damage);
                } catch (IOException failure) {
                    assertTrue(faults.failedCount() > 0);
                }
            }
            faults.clear();
            if (random.nextBoolean()) {
                faults.simulatePowerLoss();
            }
            int persistedTerm = readLastTerm();
            assertTrue(persistedTerm >= term, "seed " + seed + ": " + persistedTerm + " of " + term);
            term = persistedTerm;
        }
        assertTrue(faults.failedCount() > 20, "failed operations: " + faults.failedCount());
    }

    @Test
    void previousVoteSurvivesTornWriteOfAnyLength() throws IOException {
        VoterStore store = open();
        persistVote(store);
        Map<Path, byte[]> before = files();
        faults.startRecording();
        persistVote(store);
        store.close();
        Map<Path, byte[]> files = new HashMap<>(before);
        for (FaultyFiles.Write write : faults.stopRecording()) {
            byte[] last = null;
            for (int prefix = 0; prefix <= write.bytes().length; prefix++) {
                byte[] torn = write.applyTo(files.get(write.file()), prefix);
                if (!Arrays.equals(torn, last)) {
                    for (Map.Entry<Path, byte[]> file : files.entrySet()) {
                        Files.write(file.getKey(), file.getValue());
                    }
                    Files.write(write.file(), torn);
                    int persistedTerm = readLastTerm();
                    assertTrue(
                            persistedTerm >= term - 1,
                            write.file() + " " + write.offset() + "+" + prefix + ": " + persistedTerm);
                    last = torn;
                }
            }
            files.put(write.file(), last);
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
        for (int operation = 0; operation < 60; operation++) {
            faults.killAt(faults.operationCount() + operation, operation * 37 % 4096);
            try (VoterStore store = open()) {
                persistVote(store);
                persistVote(store);
            } catch (VoterStore.DamagedDiskException damage) {
                throw new AssertionError("killed at " + operation, damage);
            } catch (IOException killed) {
                Throwable rootCause = killed;
                while (rootCause.getCause() != null) {
                    rootCause = rootCause.getCause();
                }
                assertEquals("killed", rootCause.getMessage(), killed.toString());
            }
            faults.clear();
            int persistedTerm = readLastTerm();
            assertTrue(persistedTerm >= term, "killed at " + operation + ": " + persistedTerm + " of " + term);
            term = persistedTerm;
        }
    }
}
