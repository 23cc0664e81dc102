package brackenbridge.fleet.replica;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests what a disk stores and restores, and what it rejects. */
class ReplicaDiskTest {
    @TempDir
    private Path directory;

    private final RecordStore source = new RecordStore("b", 1, 7, false);

    @BeforeEach
    void fillSource() {
        RecordStore owner = new RecordStore("a", 3, 9, false);
        for (int i = 0; i < 300; i++) {
            owner.put(RecordSpace.SERVERS, "h" + i % 100, ("value " + i).getBytes(UTF_8), 0);
        }
        source.merge(owner.answer(new ReplicationMessage.LogRequest("a", 3, 0, 0, 0), 1 << 20), 0);
    }

    private ReplicaDisk open(double nowMs) throws IOException {
        return ReplicaDisk.open(directory, "fleet", "b", nowMs);
    }

    private void write(ReplicaDisk disk) throws IOException {
        disk.write(
                List.of(new ReplicaDisk.Batch("a", 3, 300L, 0, source.records("a", 3), List.of())),
                Map.of(new CatchUp.LogId("a", 3), 100));
    }

    private RecordStore read(ReplicaDisk disk) throws IOException {
        RecordStore store = new RecordStore("b", disk.incarnation(), 8, false);
        disk.restore(store);
        return store;
    }

    @Test
    void writtenRecordsAreReadBackAndIncarnationsGrowDespiteTheClock() throws IOException {
        long first;
        try (ReplicaDisk disk = open(1000)) {
            first = disk.incarnation();
            write(disk);
        }
        try (ReplicaDisk disk = open(10)) {
            assertEquals(first + 1, disk.incarnation());
            RecordStore store = read(disk);
            assertEquals(
                    source.records("a", 3).toString(), store.records("a", 3).toString());
            assertEquals(300, store.appliedSequence("a", 3).orElseThrow());
            assertTrue(store.readAll(RecordSpace.SERVERS, 0).stream()
                    .noneMatch(record -> record.isFresh(RecordSpace.SERVERS)));
            assertTrue(
                    assertThrows(IOException.class, () -> open(0)).getMessage().contains("another process"));
        }
        try (ReplicaDisk disk = open(1e12)) {
            assertEquals(1_000_000_000_000L, disk.incarnation());
        }
    }

    @Test
    void diskOfAnotherFleetOrMemberIsRejectedInOneLine() throws IOException {
        open(1).close();
        String fleet = assertThrows(IOException.class, () -> ReplicaDisk.open(directory, "other", "b", 1))
                .getMessage();
        String member = assertThrows(IOException.class, () -> ReplicaDisk.open(directory, "fleet", "x", 1))
                .getMessage();
        assertTrue(
                fleet.contains("belongs to the fleet fleet, not to other")
                        && fleet.lines().count() == 1,
                fleet);
        assertTrue(member.contains("belongs to the member b, not to x"), member);
    }

    /** A truncated file or one with a flipped bit must yield either the complete log as written or none of it. */
    @Test
    void truncationAndFlippedBitsAreNeverReadAsRecords() throws IOException {
        try (ReplicaDisk disk = open(1)) {
            write(disk);
        }
        Path file = directory.resolve("replica.mv");
        byte[] intact = Files.readAllBytes(file);
        SplittableRandom random = new SplittableRandom(5);
        int readable = 0;
        for (int i = 0; i < 150; i++) {
            byte[] damaged = i % 2 == 0 ? Arrays.copyOf(intact, random.nextInt(intact.length)) : intact.clone();
            if (i % 2 == 1) {
                damaged[random.nextInt(damaged.length)] ^= (byte) (1 << random.nextInt(8));
            }
            Files.write(file, damaged);
            try (ReplicaDisk disk = open(1)) {
                String read = read(disk).records("a", 3).toString();
                assertTrue(
                        read.equals("[]") || read.equals(source.records("a", 3).toString()), read);
                readable += read.equals("[]") ? 0 : 1;
                write(disk);
            } catch (IOException refused) {
                assertTrue(refused.getMessage().lines().count() == 1, refused.getMessage());
            }
        }
        assertTrue(readable > 0 && readable < 150, "readable files: " + readable);
    }

    @Test
    void diskFailureIsReportedAndWritingResumes() throws IOException {
        try (ReplicaDisk disk = open(1)) {
            write(disk);
            disk.closeImmediately();
            Path file = directory.resolve("replica.mv");
            Path away = directory.resolve("away");
            Files.move(file, away);
            Files.createDirectory(file);
            assertThrows(IOException.class, () -> write(disk));
            Files.delete(file);
            Files.move(away, file);
            write(disk);
            assertFalse(read(disk).records("a", 3).isEmpty());
        }
    }
}
