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

/** A disk that fails for a while, a kill between two writes, and a loss of power. */
class DiskFaultsTest {
    private static final ReplicationLimits FAST =
            new ReplicationLimits(10_000_000, 5, 50, 60, 30, 500, 60_000, 32, 4, 4096);

    /** So many zeros on both sides of a cut are no record's. */
    private static final int FILLING = 64;

    @TempDir
    private Path folder;

    private FaultyFiles.Faults faults;
    private final RecordStore owner = new RecordStore("a", 3, 9, false);
    private final RecordStore copy = new RecordStore("b", 1, 7, false);

    @BeforeEach
    void below() {
        faults = FaultyFiles.injectBelow(folder);
    }

    private ReplicaDisk open() throws IOException {
        return ReplicaDisk.open(folder, "fleet", "b", 1, FaultyFiles.SCHEME);
    }

    /** The owner writes, and the copy has it. */
    private void written(String value) {
        owner.put(RecordSpace.SERVERS, "h", value.getBytes(UTF_8), 0);
        owner.add(RecordSpace.USED, "k", 1, 0);
        copy.merge(owner.answer(copy.request("a", 3), 1 << 20), 0);
    }

    private void write(ReplicaDisk d) throws IOException {
        List<ReplicatedRecord> all = copy.all("a", 3);
        d.write(
                List.of(new ReplicaDisk.Batch(
                        "a", 3, copy.appliedSequence("a", 3).orElseThrow(), 0, all, List.of())),
                Map.of(new CatchUp.LogId("a", 3), all.size()));
    }

    /** How far the copy is that is on the disk now; what is there must be what was written up to there. */
    private long onDisk() throws IOException {
        try (ReplicaDisk d = open()) {
            RecordStore s = new RecordStore("b", d.life(), 8, false);
            d.restore(s);
            long have = s.appliedSequence("a", 3).orElse(0);
            assertEquals(have / 2, s.sum(RecordSpace.USED, "k"));
            d.abandon();
            return have;
        }
    }

    @Test
    void whatWasWrittenOverAFailureIsThereAfterALossOfPower() throws IOException {
        for (Fault fault : Fault.values()) {
            ReplicaDisk d = open();
            written("before " + fault);
            write(d);
            written("lost " + fault);
            faults.failAll(fault);
            assertThrows(IOException.class, () -> write(d));
            assertThrows(IOException.class, () -> write(d), "it goes on");
            faults.clear();
            write(d);
            written("after " + fault);
            write(d);
            d.abandon();
            faults.simulatePowerLoss();
            assertEquals(copy.appliedSequence("a", 3).orElseThrow(), onDisk(), fault.toString());
        }
    }

    @Test
    void whatWasReadAfterAFailedSyncIsSyncedAnewByTheNextProcess() throws IOException {
        ReplicaDisk d = open();
        written("first");
        write(d);
        written("second");
        faults.failAll(Fault.SYNC_ERROR);
        assertThrows(IOException.class, () -> write(d));
        d.abandon();
        faults.clear();
        // The next process reads the second from memory that was never synced.
        ReplicaDisk next = open();
        RecordStore s = new RecordStore("b", next.life(), 8, false);
        next.restore(s);
        assertTrue(next.needsFullWrite());
        write(next);
        next.abandon();
        faults.simulatePowerLoss();
        assertEquals(4, onDisk());
    }

    @Test
    void aDiskThatIsFullAtTheStartIsNotPutAside() throws IOException {
        try (ReplicaDisk d = open()) {
            written("first");
            write(d);
        }
        for (Fault fault : Fault.values()) {
            faults.failAll(fault);
            String why = assertThrows(IOException.class, this::open).getMessage();
            assertEquals(1, why.lines().count(), why);
            faults.clear();
            assertFalse(Files.exists(folder.resolve("replica.mv.broken")));
            assertEquals(2, onDisk(), fault.toString());
        }
    }

    @Test
    void randomFaultsAndLossesOfPowerTakeNothingThatWasAcknowledged() throws IOException {
        for (long seed = 0; seed < 20; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            long acknowledged = onDisk();
            ReplicaDisk d = open();
            faults.failRandomly(seed, 0.15);
            for (int i = 0; i < 20; i++) {
                written(seed + "/" + i);
                try {
                    write(d);
                    acknowledged = copy.appliedSequence("a", 3).orElseThrow();
                } catch (IOException refused) {
                    assertTrue(d.needsFullWrite());
                }
            }
            d.abandon();
            faults.clear();
            if (random.nextBoolean()) {
                faults.simulatePowerLoss();
            }
            long there = onDisk();
            assertTrue(there >= acknowledged, "seed " + seed + ": " + there + " of " + acknowledged);
        }
        assertTrue(faults.failedCount() > 20, "failed " + faults.failedCount());
    }

    /** Whether a write that is cut here is cut within the zeros that fill up a block. */
    private static boolean withinFilling(byte[] bytes, int prefix) {
        int zeros = 0;
        for (int i = Math.max(0, prefix - FILLING); i < Math.min(bytes.length, prefix + FILLING); i++) {
            zeros += bytes[i] == 0 ? 1 : 0;
        }
        return zeros == 2 * FILLING;
    }

    /** Every length of each write of the last one that a kill can leave, with the file as it was then. */
    private void tornAtEveryByte(Path file, byte[] before, List<FaultyFiles.Write> writes, long least)
            throws IOException {
        byte[] now = before;
        for (FaultyFiles.Write w : writes) {
            if (!w.file().equals(file)) {
                continue;
            }
            byte[] last = null;
            for (int prefix = 0; prefix <= w.bytes().length; prefix++) {
                byte[] torn = w.applyTo(now, prefix);
                if (!Arrays.equals(torn, last) && !withinFilling(w.bytes(), prefix)) {
                    Files.write(file, torn);
                    long there = onDisk();
                    assertTrue(there >= least, w.offset() + "+" + prefix + " of " + w.bytes().length + ": " + there);
                }
                last = torn;
            }
            now = last;
        }
    }

    @Test
    void everyLengthOfATornLastWriteLeavesWhatWasWrittenBefore() throws IOException {
        Path file = folder.resolve("replica.mv");
        ReplicaDisk d = open();
        written("first");
        write(d);
        byte[] before = Files.readAllBytes(file);
        written("second");
        faults.startRecording();
        write(d);
        d.abandon();
        tornAtEveryByte(file, before, faults.stopRecording(), 2);
        assertEquals(4, onDisk());
    }

    @Test
    void everyLengthOfATornFreshFileLeavesTheOldOne() throws IOException {
        Path fresh = folder.resolve("replica.mv.new");
        ReplicaDisk d = open();
        written("first");
        write(d);
        d.abandon();
        byte[] before = Files.readAllBytes(folder.resolve("replica.mv"));
        written("second");
        faults.startRecording();
        write(d);
        d.abandon();
        List<FaultyFiles.Write> writes = faults.stopRecording();
        assertTrue(writes.stream().anyMatch(w -> w.file().equals(fresh)));
        Files.write(folder.resolve("replica.mv"), before);
        byte[] now = {};
        for (FaultyFiles.Write w : writes) {
            for (int prefix = 0; w.file().equals(fresh) && prefix <= w.bytes().length; prefix++) {
                if (!withinFilling(w.bytes(), prefix)) {
                    Files.write(fresh, w.applyTo(now, prefix));
                    assertEquals(2, onDisk(), w.offset() + "+" + prefix);
                }
            }
            now = w.file().equals(fresh) ? w.applyTo(now, w.bytes().length) : now;
        }
        try (ReplicaDisk next = open()) {
            RecordStore s = new RecordStore("b", next.life(), 8, false);
            next.restore(s);
            write(next);
        }
        assertFalse(Files.exists(fresh));
        assertEquals(4, onDisk());
    }

    @Test
    void aKillAtAnyWriteOrSyncLeavesWhatWasAcknowledged() throws IOException {
        for (long at = 0; at < 40; at++) {
            ReplicaDisk d = open();
            long acknowledged = copy.appliedSequence("a", 3).orElse(0);
            faults.killAt(faults.operationCount() + at, (int) (at * 37 % 4096));
            try {
                for (int i = 0; i < 3; i++) {
                    written(at + "/" + i);
                    write(d);
                    acknowledged = copy.appliedSequence("a", 3).orElseThrow();
                }
            } catch (IOException killed) {
                assertTrue(d.needsFullWrite());
            }
            d.abandon();
            faults.clear();
            assertTrue(onDisk() >= acknowledged, "killed at " + at);
            // The next process goes on with all that the copy holds.
            ReplicaDisk next = open();
            next.abandon();
            write(next);
            next.abandon();
        }
    }

    /** The node goes on from memory, says so, and writes everything once the disk takes it. */
    @Test
    void aNodeGoesOnWhileItsDiskFailsAndWritesAllOnceItTakesIt() throws Exception {
        try (Wires wires = new Wires("b")) {
            ReplicaDisk d = open();
            ReplicaNode n = new ReplicaNode(wires.end("b", d.life()), d, Clock.system(), FAST);
            n.start();
            n.put(RecordSpace.SERVERS, "h", "1".getBytes(UTF_8));
            assertTrue(n.awaitDisk(10_000));
            faults.failAll(Fault.SYNC_ERROR);
            n.put(RecordSpace.SERVERS, "h", "2".getBytes(UTF_8));
            await().atMost(Duration.ofSeconds(20)).until(() -> !n.figures().onDisk());
            assertFalse(n.awaitDisk(1));
            n.add(RecordSpace.USED, "k", 5);
            faults.clear();
            await().atMost(Duration.ofSeconds(20)).until(() -> n.figures().onDisk());
            assertTrue(n.awaitDisk(10_000));
            n.close();
            faults.simulatePowerLoss();
        }
        try (ReplicaDisk d = open()) {
            RecordStore s = new RecordStore("b", d.life(), 8, false);
            d.restore(s);
            assertEquals(5, s.sum(RecordSpace.USED, "k"));
        }
    }
}
