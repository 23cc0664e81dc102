package brackenbridge.fleet.agreed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The store of a voter must return all forced writes when it is opened again, or report the disk as damaged. */
class VoterStoreTest {
    private static final DefaultRaftModelFactory MODEL = new DefaultRaftModelFactory();
    private static final VoterEndpoint ME = new VoterEndpoint("m", "d");

    @TempDir
    Path root;

    private Path disk;

    @BeforeEach
    void initializeStore() throws IOException {
        disk = root.resolve("m");
        try (VoterStore store = VoterStore.open(disk, "f", "m")) {
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
            store.persistSnapshotChunk(MODEL.createSnapshotChunkBuilder()
                    .setIndex(3)
                    .setTerm(1)
                    .setOperation(new byte[] {1, 2, 3})
                    .setSnapshotChunkIndex(0)
                    .setSnapshotChunkCount(1)
                    .setGroupMembersView(members)
                    .build());
            // An incomplete snapshot: only the first of two chunks.
            store.persistSnapshotChunk(MODEL.createSnapshotChunkBuilder()
                    .setIndex(5)
                    .setTerm(1)
                    .setOperation(new byte[] {4})
                    .setSnapshotChunkIndex(0)
                    .setSnapshotChunkCount(2)
                    .setGroupMembersView(members)
                    .build());
            store.persistLogEntries(List.of(entry(2), entry(3), entry(4), entry(5), entry(6)));
            store.truncateLogEntriesFrom(6);
            store.truncateLogEntriesUntil(2);
            store.persistAndFlushTerm(MODEL.createRaftTermPersistentStateBuilder()
                    .setTerm(7)
                    .setVotedFor(ME)
                    .build());
            store.persistLogEntries(List.of(entry(6)));
        }
    }

    private static LogEntry entry(long index) {
        return MODEL.createLogEntryBuilder()
                .setIndex(index)
                .setTerm(1)
                .setOperation(new LogCommand.Stage("settings", index, new byte[3000], "m", 1, index))
                .build();
    }

    @Test
    void reopenedStoreHasForcedWritesOnly() throws IOException {
        try (VoterStore store = VoterStore.open(disk, "f", "m")) {
            RestoredRaftState restored = store.restored().orElseThrow();
            assertEquals(7, restored.getTermPersistentState().getTerm());
            assertEquals(ME, restored.getTermPersistentState().getVotedFor());
            assertEquals(3, restored.getSnapshotEntry().getIndex());
            assertEquals(
                    List.of(4L, 5L),
                    restored.getLogEntries().stream().map(LogEntry::getIndex).toList());
            assertEquals(2, store.startCount());
        }
    }

    @Test
    void rejectsDiskOfAnotherFleetOrMemberOrInUse() throws IOException {
        assertThrows(VoterStore.ForeignDiskException.class, () -> VoterStore.open(disk, "g", "m"));
        assertThrows(VoterStore.ForeignDiskException.class, () -> VoterStore.open(disk, "f", "n"));
        try (VoterStore store = VoterStore.open(disk, "f", "m")) {
            assertTrue(
                    assertThrows(IOException.class, () -> VoterStore.open(disk, "f", "m"))
                            .getMessage()
                            .contains("in use"),
                    () -> "forced " + store.forcedWrites());
        }
    }

    @Test
    void rolledBackStoreIsDamagedAndReplacedByNewDiskId() throws IOException {
        Path file = disk.resolve("agreed.mv");
        byte[] before = Files.readAllBytes(file);
        String diskId;
        try (VoterStore store = VoterStore.open(disk, "f", "m")) {
            diskId = store.diskId();
            store.saveBootstrapVoters(List.of("m@d"), false);
        }
        Files.write(file, before);
        assertThrows(VoterStore.DamagedDiskException.class, () -> VoterStore.open(disk, "f", "m"));
        Path aside = VoterStore.putAside(disk);
        assertTrue(Files.exists(aside.resolve("agreed.mv")));
        try (VoterStore store = VoterStore.open(disk, "f", "m")) {
            assertNotEquals(diskId, store.diskId());
            assertTrue(store.restored().isEmpty());
        }
    }

    @Test
    void truncationAndBitFlipsAreDetected() throws IOException {
        Path file = disk.resolve("agreed.mv");
        byte[] intact = Files.readAllBytes(file);
        byte[] mark = Files.readAllBytes(disk.resolve("agreed.mark"));
        Random random = new Random(11);
        int detected = 0;
        for (int i = 0; i < 150; i++) {
            Files.write(file, intact);
            Files.write(disk.resolve("agreed.mark"), mark);
            try (RandomAccessFile corrupted = new RandomAccessFile(file.toFile(), "rw")) {
                if (i % 3 == 0) {
                    corrupted.setLength(random.nextInt(intact.length));
                } else {
                    int offset = random.nextInt(intact.length);
                    corrupted.seek(offset);
                    corrupted.write(intact[offset] ^ 1 << random.nextInt(8));
                }
            }
            try (VoterStore store = VoterStore.open(disk, "f", "m")) {
                RestoredRaftState restored = store.restored().orElseThrow();
                assertEquals(7, restored.getTermPersistentState().getTerm(), "round " + i);
                assertEquals(
                        List.of(4L, 5L),
                        restored.getLogEntries().stream()
                                .map(LogEntry::getIndex)
                                .toList());
                for (LogEntry entry : restored.getLogEntries()) {
                    assertEquals(
                            new String(AgreementCodec.logEntry(entry(entry.getIndex()))),
                            new String(AgreementCodec.logEntry(entry)));
                }
            } catch (VoterStore.DamagedDiskException e) {
                detected++;
            }
        }
        assertTrue(detected > 30, "detected: " + detected);
    }
}
