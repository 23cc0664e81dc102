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

class ReplicaDiskTest {
    @TempDir
    private Path folder;

    private final RecordStore full = new RecordStore("b", 1, 7, false);

    @BeforeEach
    void copies() {
        RecordStore a = new RecordStore("a", 3, 9, false);
        for (int i = 0; i < 300; i++) {
            a.put(RecordSpace.SERVERS, "h" + i % 100, ("value " + i).getBytes(UTF_8), 0);
        }
        full.merge(a.answer(new ReplicationMessage.LogRequest("a", 3, 0, 0, 0), 1 << 20), 0);
    }

    private ReplicaDisk open(double nowMs) throws IOException {
        return ReplicaDisk.open(folder, "fleet", "b", nowMs);
    }

    private void write(ReplicaDisk d) throws IOException {
        d.write(
                List.of(new ReplicaDisk.Batch("a", 3, 300L, 0, full.records("a", 3), List.of())),
                Map.of(new CatchUp.LogId("a", 3), 100));
    }

    private RecordStore read(ReplicaDisk d) throws IOException {
        RecordStore s = new RecordStore("b", d.incarnation(), 8, false);
        d.restore(s);
        return s;
    }

    @Test
    void whatWasWrittenIsReadAndLivesGrowWhateverTheClockSays() throws IOException {
        long first;
        try (ReplicaDisk d = open(1000)) {
            first = d.incarnation();
            write(d);
        }
        try (ReplicaDisk d = open(10)) {
            assertEquals(first + 1, d.incarnation());
            RecordStore s = read(d);
            assertEquals(full.records("a", 3).toString(), s.records("a", 3).toString());
            assertEquals(300, s.appliedSequence("a", 3).orElseThrow());
            assertTrue(s.readAll(RecordSpace.SERVERS, 0).stream().noneMatch(e -> e.isFresh(RecordSpace.SERVERS)));
            assertTrue(
                    assertThrows(IOException.class, () -> open(0)).getMessage().contains("another process"));
        }
        try (ReplicaDisk d = open(1e12)) {
            assertEquals(1_000_000_000_000L, d.incarnation());
        }
    }

    @Test
    void anotherFleetsOrMembersDiskIsRefusedInOneLine() throws IOException {
        open(1).close();
        String fleet = assertThrows(IOException.class, () -> ReplicaDisk.open(folder, "other", "b", 1))
                .getMessage();
        String member = assertThrows(IOException.class, () -> ReplicaDisk.open(folder, "fleet", "x", 1))
                .getMessage();
        assertTrue(
                fleet.contains("belongs to the fleet fleet, not to other")
                        && fleet.lines().count() == 1,
                fleet);
        assertTrue(member.contains("belongs to the member b, not to x"), member);
    }

    /** A file cut anywhere, or with any bit flipped: what is read is what was written, or nothing of that life. */
    @Test
    void tornTailsAndFlippedBitsAreNeverReadAsRecords() throws IOException {
        try (ReplicaDisk d = open(1)) {
            write(d);
        }
        Path file = folder.resolve("replica.mv");
        byte[] good = Files.readAllBytes(file);
        SplittableRandom random = new SplittableRandom(5);
        int whole = 0;
        for (int i = 0; i < 150; i++) {
            byte[] bad = i % 2 == 0 ? Arrays.copyOf(good, random.nextInt(good.length)) : good.clone();
            if (i % 2 == 1) {
                bad[random.nextInt(bad.length)] ^= (byte) (1 << random.nextInt(8));
            }
            Files.write(file, bad);
            try (ReplicaDisk d = open(1)) {
                String read = read(d).records("a", 3).toString();
                assertTrue(read.equals("[]") || read.equals(full.records("a", 3).toString()), read);
                whole += read.equals("[]") ? 0 : 1;
                write(d);
            } catch (IOException refused) {
                assertTrue(refused.getMessage().lines().count() == 1, refused.getMessage());
            }
        }
        assertTrue(whole > 0 && whole < 150, "faults hit: " + whole);
    }

    @Test
    void aDiskThatFailsSaysSoAndTakesItUpAgain() throws IOException {
        try (ReplicaDisk d = open(1)) {
            write(d);
            d.abandon();
            Path file = folder.resolve("replica.mv");
            Path away = folder.resolve("away");
            Files.move(file, away);
            Files.createDirectory(file);
            assertThrows(IOException.class, () -> write(d));
            Files.delete(file);
            Files.move(away, file);
            write(d);
            assertFalse(read(d).records("a", 3).isEmpty());
        }
    }
}
