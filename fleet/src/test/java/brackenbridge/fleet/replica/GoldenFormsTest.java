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

/** Compares the serialized forms of messages, records and the disk with the golden files. */
class GoldenFormsTest {
    private static final String OWNER = "n1";
    private static final long INCARNATION = 1_700_000_000_001L;
    private static final double DISK_INCARNATION = 1_700_000_000_777.0;
    /** Listed explicitly, so that each space keeps its golden file when it is renamed. */
    private static final List<RecordSpace> SPACES = List.of(
            RecordSpace.SERVERS,
            RecordSpace.DEMAND,
            RecordSpace.POOLS,
            RecordSpace.NODES,
            RecordSpace.USED,
            RecordSpace.ATTEMPTS);

    @TempDir
    Path directory;

    private static ReplicatedRecord createRecord(RecordSpace space, int sequence) {
        boolean counted = space.kind() == RecordSpace.Kind.COUNTER;
        return ReplicatedRecord.of(
                OWNER,
                space,
                "pool/tenant-" + sequence,
                new RecordVersion(INCARNATION, sequence),
                counted ? null : "{\"wanted\":1}".getBytes(StandardCharsets.UTF_8),
                counted ? 70_000L + sequence : 0,
                counted ? INCARNATION - 1 : 0);
    }

    private static ReplicatedRecord createRemovedRecord(int sequence) {
        return ReplicatedRecord.of(
                OWNER, RecordSpace.SERVERS, "gone", new RecordVersion(INCARNATION, sequence), null, 0, 0);
    }

    private static List<ReplicatedRecord> createRecords() {
        List<ReplicatedRecord> records = new ArrayList<>();
        for (RecordSpace space : SPACES) {
            records.add(createRecord(space, records.size() + 1));
        }
        records.add(createRemovedRecord(records.size() + 1));
        return records;
    }

    private static Map<String, ReplicationMessage> createMessages() {
        Map<String, ReplicationMessage> messages = new LinkedHashMap<>();
        messages.put(
                "marks",
                new ReplicationMessage.OwnerSummaries(
                        true,
                        false,
                        List.of(new ReplicationMessage.OwnerSummary(OWNER, INCARNATION, -7, 8, 9, 10, 11, true)),
                        List.of(new ReplicationMessage.EndedLog("n2", 3, 4))));
        messages.put(
                "wants",
                new ReplicationMessage.LogRequests(
                        List.of(new ReplicationMessage.LogRequest(OWNER, INCARNATION, 5, 6, 7))));
        messages.put(
                "chunk",
                new ReplicationMessage.LogChunk(OWNER, INCARNATION, INCARNATION + 1, 0, 7, 8, 2, createRecords()));
        messages.put(
                "digests",
                new ReplicationMessage.LogDigests(
                        List.of(new ReplicationMessage.LogDigest(OWNER, INCARNATION, 9, -123_456_789_012L))));
        messages.put(
                "ranges",
                new ReplicationMessage.RangeDigests(
                        OWNER,
                        INCARNATION,
                        9,
                        LongStream.range(0, RecordKey.RANGE_COUNT)
                                .mapToObj(i -> i * 1_000_003L - 5)
                                .toList()));
        messages.put(
                "copies",
                new ReplicationMessage.RangeRecords(OWNER, INCARNATION, 9, 3, 1, true, false, createRecords()));
        return messages;
    }

    @Test
    void messagesMatchGoldenFiles() throws IOException {
        GoldenFiles.assertAllCovered(ReplicationMessage.class, createMessages().values());
        for (Map.Entry<String, ReplicationMessage> message : createMessages().entrySet()) {
            GoldenFiles.check(
                    "replica/" + message.getKey(), message.getValue(), ReplicationCodec::write, ReplicationCodec::read);
        }
    }

    @Test
    void recordsOfEachSpaceMatchGoldenFiles() throws IOException {
        assertEquals(RecordSpace.values().length, SPACES.size());
        for (int i = 0; i < SPACES.size(); i++) {
            ReplicatedRecord record = createRecord(SPACES.get(i), 70);
            GoldenFiles.check("replica/entry-" + i, record, ReplicationCodec::write, ReplicationCodec::readRecord);
            assertEquals(
                    true,
                    ReplicationCodec.readRecord(GoldenFiles.read("replica/entry-" + i))
                            .hasValidChecksum(OWNER));
        }
        GoldenFiles.check(
                "replica/entry-removed",
                createRemovedRecord(71),
                ReplicationCodec::write,
                ReplicationCodec::readRecord);
    }

    @Test
    void diskMatchesGoldenFile() throws IOException {
        if (GoldenFiles.isWriteEnabled()) {
            writeDisk();
        }
        Path copy = Files.createDirectories(directory.resolve("copy"));
        Files.write(copy.resolve("replica.mv"), GoldenFiles.read("replica/replica-disk-replica.mv"));
        try (ReplicaDisk disk = ReplicaDisk.open(copy, "fleet", "n2", 0)) {
            assertEquals((long) DISK_INCARNATION + 1, disk.incarnation());
            RecordStore store = new RecordStore("n2", disk.incarnation(), 8, false);
            disk.restore(store);
            GoldenFiles.assertDeepEquals("records", createRecords(), store.records(OWNER, INCARNATION));
            assertEquals(OptionalLong.of(7), store.appliedSequence(OWNER, INCARNATION));
            assertEquals(2, store.tombstoneFloor(OWNER, INCARNATION));
        }
    }

    private void writeDisk() throws IOException {
        Path written = directory.resolve("written");
        try (ReplicaDisk disk = ReplicaDisk.open(written, "fleet", "n2", DISK_INCARNATION)) {
            disk.write(
                    List.of(new ReplicaDisk.Batch(OWNER, INCARNATION, 7L, 2, createRecords(), List.of())),
                    Map.of(
                            new CatchUp.LogId(OWNER, INCARNATION),
                            createRecords().size()));
        }
        GoldenFiles.writeIfEnabled(
                "replica/replica-disk-replica.mv", Files.readAllBytes(written.resolve("replica.mv")));
    }
}
