package brackenbridge.fleet.replica;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.clock.Clock;
import brackenbridge.fleet.FaultyFiles;
import brackenbridge.fleet.FaultyFiles.Fault;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the disk under temporary failures, kills during writes, and power loss. */
class DiskFaultsTest {
    private static final ReplicationLimits FAST =
            new ReplicationLimits(10_000_000, 5, 50, 60, 30, 500, 60_000, 32, 4, 4096);

    /** This number of zeros on both sides of a cut can only be padding, not part of a record. */
    private static final int PADDING = 64;

    @TempDir
    private Path directory;

    private FaultyFiles.Faults faults;
    private final RecordStore owner = new RecordStore("a", 3, 9, false);
    private final RecordStore copy = new RecordStore("b", 1, 7, false);

    @BeforeEach
    void interceptFiles() {
        faults = FaultyFiles.injectBelow(directory);
    }

    private ReplicaDisk open() throws IOException {
        return ReplicaDisk.open(directory, "fleet", "b", 1, FaultyFiles.SCHEME);
    }

    /** Writes at the owner and merges into the copy. */
    private void writeAndReplicate(String value) {
        owner.put(RecordSpace.SERVERS, "h", value.getBytes(UTF_8), 0);
        owner.add(RecordSpace.USED, "k", 1, 0);
        copy.merge(owner.answer(copy.createRequest("a", 3), 1 << 20), 0);
    }

    private void writeToDisk(ReplicaDisk disk) throws IOException {
        List<ReplicatedRecord> records = copy.records("a", 3);
        disk.write(
                List.of(new ReplicaDisk.Batch(
                        "a", 3, copy.appliedSequence("a", 3).orElseThrow(), 0, records, List.of())),
                Map.of(new CatchUp.LogId("a", 3), records.size()));
    }

    /** The position of the copy on disk; checks that its counter matches this position. */
    private long sequenceOnDisk() throws IOException {
        try (ReplicaDisk disk = open()) {
            RecordStore store = new RecordStore("b", disk.incarnation(), 8, false);
            disk.restore(store);
            long appliedSequence = store.appliedSequence("a", 3).orElse(0);
            assertEquals(appliedSequence / 2, store.sum(RecordSpace.USED, "k"));
            disk.closeImmediately();
            return appliedSequence;
        }
    }

    @Test
    void writesAfterAFailureSurvivePowerLoss() throws IOException {
        for (Fault fault : Fault.values()) {
            ReplicaDisk disk = open();
            writeAndReplicate("before " + fault);
            writeToDisk(disk);
            writeAndReplicate("lost " + fault);
            faults.failAll(fault);
            assertThrows(IOException.class, () -> writeToDisk(disk));
            assertThrows(IOException.class, () -> writeToDisk(disk), "it fails until the fault is removed");
            faults.clear();
            writeToDisk(disk);
            writeAndReplicate("after " + fault);
            writeToDisk(disk);
            disk.closeImmediately();
            faults.simulatePowerLoss();
            assertEquals(copy.appliedSequence("a", 3).orElseThrow(), sequenceOnDisk(), fault.toString());
        }
    }

    @Test
    void nextProcessSyncsWhatItReadAfterAFailedSync() throws IOException {
        ReplicaDisk disk = open();
        writeAndReplicate("first");
        writeToDisk(disk);
        writeAndReplicate("second");
        faults.failAll(Fault.SYNC_ERROR);
        assertThrows(IOException.class, () -> writeToDisk(disk));
        disk.closeImmediately();
        faults.clear();
        // The next process reads the second write from the page cache, which was never synced.
        ReplicaDisk nextDisk = open();
        RecordStore store = new RecordStore("b", nextDisk.incarnation(), 8, false);
        nextDisk.restore(store);
        assertTrue(nextDisk.needsFullWrite());
        writeToDisk(nextDisk);
        nextDisk.closeImmediately();
        faults.simulatePowerLoss();
        assertEquals(4, sequenceOnDisk());
    }

    @Test
    void accessFailureAtOpenDoesNotReplaceTheFile() throws IOException {
        try (ReplicaDisk disk = open()) {
            writeAndReplicate("first");
            writeToDisk(disk);
        }
        for (Fault fault : Fault.values()) {
            faults.failAll(fault);
            String message = assertThrows(IOException.class, this::open).getMessage();
            assertEquals(1, message.lines().count(), message);
            faults.clear();
            assertFalse(Files.exists(directory.resolve("replica.mv.broken")));
            assertEquals(2, sequenceOnDisk(), fault.toString());
        }
    }

    @Test
    void randomFaultsAndPowerLossKeepAcknowledgedWrites() throws IOException {
        for (long seed = 0; seed < 20; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            long acknowledged = sequenceOnDisk();
            ReplicaDisk disk = open();
            faults.failRandomly(seed, 0.15);
            for (int i = 0; i < 20; i++) {
                writeAndReplicate(seed + "/" + i);
                try {
                    writeToDisk(disk);
                    acknowledged = copy.appliedSequence("a", 3).orElseThrow();
                } catch (IOException refused) {
                    assertTrue(disk.needsFullWrite());
                }
            }
            disk.closeImmediately();
            faults.clear();
            if (random.nextBoolean()) {
                faults.simulatePowerLoss();
            }
            long sequence = sequenceOnDisk();
            assertTrue(sequence >= acknowledged, "seed " + seed + ": " + sequence + " of " + acknowledged);
        }
        assertTrue(faults.failedCount() > 20, "failed " + faults.failedCount());
    }

    /** Whether a write that is cut at this position is cut within the padding of a block. */
    private static boolean isWithinPadding(byte[] bytes, int prefix) {
        int zeros = 0;
        for (int i = Math.max(0, prefix - PADDING); i < Math.min(bytes.length, prefix + PADDING); i++) {
            zeros += bytes[i] == 0 ? 1 : 0;
        }
        return zeros == 2 * PADDING;
    }

    /** Cuts each recorded write at every length that a kill can leave, and checks what can be read from the file. */
    private void tearEachWrite(Path file, byte[] before, List<FaultyFiles.Write> writes, long minSequence)
            throws IOException {
        byte[] content = before;
        for (FaultyFiles.Write write : writes) {
            if (!write.file().equals(file)) {
                continue;
            }
            byte[] previous = null;
            for (int prefix = 0; prefix <= write.bytes().length; prefix++) {
                byte[] torn = write.applyTo(content, prefix);
                if (!Arrays.equals(torn, previous) && !isWithinPadding(write.bytes(), prefix)) {
                    Files.write(file, torn);
                    long sequence = sequenceOnDisk();
                    assertTrue(
                            sequence >= minSequence,
                            write.offset() + "+" + prefix + " of " + write.bytes().length + ": " + sequence);
                }
                previous = torn;
            }
            content = previous;
        }
    }

    @Test
    void tornLastWriteKeepsEarlierWrites() throws IOException {
        Path file = directory.resolve("replica.mv");
        ReplicaDisk disk = open();
        writeAndReplicate("first");
        writeToDisk(disk);
        byte[] before = Files.readAllBytes(file);
        writeAndReplicate("second");
        faults.startRecording();
        writeToDisk(disk);
        disk.closeImmediately();
        tearEachWrite(file, before, faults.stopRecording(), 2);
        assertEquals(4, sequenceOnDisk());
    }

    @Test
    void tornNewFileKeepsTheOldFile() throws IOException {
        Path newFile = directory.resolve("replica.mv.new");
        ReplicaDisk disk = open();
        writeAndReplicate("first");
        writeToDisk(disk);
        disk.closeImmediately();
        byte[] before = Files.readAllBytes(directory.resolve("replica.mv"));
        writeAndReplicate("second");
        faults.startRecording();
        writeToDisk(disk);
        disk.closeImmediately();
        List<FaultyFiles.Write> writes = faults.stopRecording();
        assertTrue(writes.stream().anyMatch(write -> write.file().equals(newFile)));
        Files.write(directory.resolve("replica.mv"), before);
        byte[] content = {};
        for (FaultyFiles.Write write : writes) {
            for (int prefix = 0; write.file().equals(newFile) && prefix <= write.bytes().length; prefix++) {
                if (!isWithinPadding(write.bytes(), prefix)) {
                    Files.write(newFile, write.applyTo(content, prefix));
                    assertEquals(2, sequenceOnDisk(), write.offset() + "+" + prefix);
                }
            }
            content = write.file().equals(newFile) ? write.applyTo(content, write.bytes().length) : content;
        }
        try (ReplicaDisk nextDisk = open()) {
            RecordStore store = new RecordStore("b", nextDisk.incarnation(), 8, false);
            nextDisk.restore(store);
            writeToDisk(nextDisk);
        }
        assertFalse(Files.exists(newFile));
        assertEquals(4, sequenceOnDisk());
    }

    @Test
    void killAtAnyFileOperationKeepsAcknowledgedWrites() throws IOException {
        for (long operation = 0; operation < 40; operation++) {
            ReplicaDisk disk = open();
            long acknowledged = copy.appliedSequence("a", 3).orElse(0);
            faults.killAt(faults.operationCount() + operation, (int) (operation * 37 % 4096));
            try {
                for (int i = 0; i < 3; i++) {
                    writeAndReplicate(operation + "/" + i);
                    writeToDisk(disk);
                    acknowledged = copy.appliedSequence("a", 3).orElseThrow();
                }
            } catch (IOException killed) {
                assertTrue(disk.needsFullWrite());
            }
            disk.closeImmediately();
            faults.clear();
            assertTrue(sequenceOnDisk() >= acknowledged, "killed at " + operation);
            // The next process writes the complete copy.
            ReplicaDisk nextDisk = open();
            nextDisk.closeImmediately();
            writeToDisk(nextDisk);
            nextDisk.closeImmediately();
        }
    }

    /** A node must continue in memory while its disk fails, report it, and write everything once the disk works. */
    @Test
    void nodeContinuesWhileItsDiskFailsAndWritesEverythingAfterwards() throws Exception {
        try (InMemoryLinks links = new InMemoryLinks("b")) {
            ReplicaDisk disk = open();
            ReplicaNode node = new ReplicaNode(links.connect("b", disk.incarnation()), disk, Clock.system(), FAST);
            node.start();
            node.put(RecordSpace.SERVERS, "h", "1".getBytes(UTF_8));
            assertTrue(node.awaitFlushed(10_000));
            faults.failAll(Fault.SYNC_ERROR);
            node.put(RecordSpace.SERVERS, "h", "2".getBytes(UTF_8));
            await().atMost(Duration.ofSeconds(20))
                    .until(() -> !node.statistics().diskHealthy());
            assertFalse(node.awaitFlushed(1));
            node.add(RecordSpace.USED, "k", 5);
            faults.clear();
            await().atMost(Duration.ofSeconds(20)).until(() -> node.statistics().diskHealthy());
            assertTrue(node.awaitFlushed(10_000));
            node.close();
            faults.simulatePowerLoss();
        }
        try (ReplicaDisk disk = open()) {
            RecordStore store = new RecordStore("b", disk.incarnation(), 8, false);
            disk.restore(store);
            assertEquals(5, store.sum(RecordSpace.USED, "k"));
        }
    }
}
