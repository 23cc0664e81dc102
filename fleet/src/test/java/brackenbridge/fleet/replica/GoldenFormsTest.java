package brackenbridge.fleet.replica;

import static org.junit.jupiter.api.Assertions.assertEquals;

import brackenbridge.fleet.GoldenFiles;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The forms of the replicas' messages, records and disk, against the golden files. */
class GoldenFormsTest {
    private static final String OWNER = "n1";
    private static final long LIFE = 1_700_000_000_001L;
    private static final double DISK_LIFE = 1_700_000_000_777.0;
    /** Listed one by one, so that each keeps its file when it is renamed. */
    private static final List<RecordSpace> SPACES = List.of(
            RecordSpace.SERVERS,
            RecordSpace.DEMAND,
            RecordSpace.POOLS,
            RecordSpace.NODES,
            RecordSpace.USED,
            RecordSpace.ATTEMPTS);

    @TempDir
    Path directory;

    private static ReplicatedRecord entry(RecordSpace space, int sequence) {
        boolean counted = space.kind() == RecordSpace.Kind.COUNTED;
        return ReplicatedRecord.of(
                OWNER,
                space,
                "pool/tenant-" + sequence,
                new RecordVersion(LIFE, sequence),
                counted ? null : "{\"wanted\":1}".getBytes(StandardCharsets.UTF_8),
                counted ? 70_000L + sequence : 0,
                counted ? LIFE - 1 : 0);
    }

    private static ReplicatedRecord removed(int sequence) {
        return ReplicatedRecord.of(OWNER, RecordSpace.SERVERS, "gone", new RecordVersion(LIFE, sequence), null, 0, 0);
    }

    private static List<ReplicatedRecord> entries() {
        List<ReplicatedRecord> entries = new ArrayList<>();
        for (RecordSpace space : SPACES) {
            entries.add(entry(space, entries.size() + 1));
        }
        entries.add(removed(entries.size() + 1));
        return entries;
    }

    private static Map<String, ReplicationMessage> messages() {
        Map<String, ReplicationMessage> messages = new LinkedHashMap<>();
        messages.put(
                "marks",
                new ReplicationMessage.Marks(
                        true,
                        false,
                        List.of(new ReplicationMessage.Mark(OWNER, LIFE, -7, 8, 9, 10, 11, true)),
                        List.of(new ReplicationMessage.Have("n2", 3, 4))));
        messages.put("wants", new ReplicationMessage.Wants(List.of(new ReplicationMessage.Want(OWNER, LIFE, 5, 6, 7))));
        messages.put("chunk", new ReplicationMessage.Chunk(OWNER, LIFE, LIFE + 1, 0, 7, 8, 2, entries()));
        messages.put(
                "digests",
                new ReplicationMessage.Digests(
                        List.of(new ReplicationMessage.Digest(OWNER, LIFE, 9, -123_456_789_012L))));
        messages.put(
                "ranges",
                new ReplicationMessage.Ranges(
                        OWNER,
                        LIFE,
                        9,
                        LongStream.range(0, RecordKey.RANGES)
                                .mapToObj(i -> i * 1_000_003L - 5)
                                .toList()));
        messages.put("copies", new ReplicationMessage.Copies(OWNER, LIFE, 9, 3, 1, true, false, entries()));
        return messages;
    }

    @Test
    void eachMessage() throws IOException {
        GoldenFiles.assertAllCovered(ReplicationMessage.class, messages().values());
        for (Map.Entry<String, ReplicationMessage> message : messages().entrySet()) {
            GoldenFiles.check(
                    "replica/" + message.getKey(), message.getValue(), ReplicationCodec::write, ReplicationCodec::read);
        }
    }

    @Test
    void aRecordOfEachSpace() throws IOException {
        assertEquals(RecordSpace.values().length, SPACES.size());
        for (int i = 0; i < SPACES.size(); i++) {
            ReplicatedRecord entry = entry(SPACES.get(i), 70);
            GoldenFiles.check("replica/entry-" + i, entry, ReplicationCodec::write, ReplicationCodec::readEntry);
            assertEquals(
                    true,
                    ReplicationCodec.readEntry(GoldenFiles.read("replica/entry-" + i))
                            .intact(OWNER));
        }
        GoldenFiles.check("replica/entry-removed", removed(71), ReplicationCodec::write, ReplicationCodec::readEntry);
    }

    @Test
    void diskOfAReplica() throws IOException {
        if (GoldenFiles.isWriteEnabled()) {
            writeDisk();
        }
        Path copy = Files.createDirectories(directory.resolve("copy"));
        Files.write(copy.resolve("replica.mv"), GoldenFiles.read("replica/replica-disk-replica.mv"));
        try (ReplicaDisk disk = ReplicaDisk.open(copy, "fleet", "n2", 0)) {
            assertEquals((long) DISK_LIFE + 1, disk.life());
            RecordStore store = new RecordStore("n2", disk.life(), 8, false);
            disk.restore(store);
            GoldenFiles.assertDeepEquals("records", entries(), store.all(OWNER, LIFE));
            assertEquals(OptionalLong.of(7), store.appliedSequence(OWNER, LIFE));
            assertEquals(2, store.tombstoneFloor(OWNER, LIFE));
        }
    }

    private void writeDisk() throws IOException {
        Path written = directory.resolve("written");
        try (ReplicaDisk disk = ReplicaDisk.open(written, "fleet", "n2", DISK_LIFE)) {
            disk.write(
                    List.of(new ReplicaDisk.Batch(OWNER, LIFE, 7L, 2, entries(), List.of())),
                    Map.of(new CatchUp.LogId(OWNER, LIFE), entries().size()));
        }
        GoldenFiles.writeIfEnabled(
                "replica/replica-disk-replica.mv", Files.readAllBytes(written.resolve("replica.mv")));
    }
}
