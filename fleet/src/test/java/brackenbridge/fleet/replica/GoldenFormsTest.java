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
    private static final List<Space> SPACES =
            List.of(Space.SERVERS, Space.DEMAND, Space.POOLS, Space.NODES, Space.USED, Space.ATTEMPTS);

    @TempDir
    Path directory;

    private static Entry entry(Space space, int sequence) {
        boolean counted = space.kind() == Space.Kind.COUNTED;
        return Entry.of(
                OWNER,
                space,
                "pool/tenant-" + sequence,
                new Version(LIFE, sequence),
                counted ? null : "{\"wanted\":1}".getBytes(StandardCharsets.UTF_8),
                counted ? 70_000L + sequence : 0,
                counted ? LIFE - 1 : 0);
    }

    private static Entry removed(int sequence) {
        return Entry.of(OWNER, Space.SERVERS, "gone", new Version(LIFE, sequence), null, 0, 0);
    }

    private static List<Entry> entries() {
        List<Entry> entries = new ArrayList<>();
        for (Space space : SPACES) {
            entries.add(entry(space, entries.size() + 1));
        }
        entries.add(removed(entries.size() + 1));
        return entries;
    }

    private static Map<String, Message> messages() {
        Map<String, Message> messages = new LinkedHashMap<>();
        messages.put(
                "marks",
                new Message.Marks(
                        true,
                        false,
                        List.of(new Message.Mark(OWNER, LIFE, -7, 8, 9, 10, 11, true)),
                        List.of(new Message.Have("n2", 3, 4))));
        messages.put("wants", new Message.Wants(List.of(new Message.Want(OWNER, LIFE, 5, 6, 7))));
        messages.put("chunk", new Message.Chunk(OWNER, LIFE, LIFE + 1, 0, 7, 8, 2, entries()));
        messages.put("digests", new Message.Digests(List.of(new Message.Digest(OWNER, LIFE, 9, -123_456_789_012L))));
        messages.put(
                "ranges",
                new Message.Ranges(
                        OWNER,
                        LIFE,
                        9,
                        LongStream.range(0, Item.RANGES)
                                .mapToObj(i -> i * 1_000_003L - 5)
                                .toList()));
        messages.put("copies", new Message.Copies(OWNER, LIFE, 9, 3, 1, true, false, entries()));
        return messages;
    }

    @Test
    void eachMessage() throws IOException {
        GoldenFiles.assertAllCovered(Message.class, messages().values());
        for (Map.Entry<String, Message> message : messages().entrySet()) {
            GoldenFiles.check("replica/" + message.getKey(), message.getValue(), Codec::write, Codec::read);
        }
    }

    @Test
    void aRecordOfEachSpace() throws IOException {
        assertEquals(Space.values().length, SPACES.size());
        for (int i = 0; i < SPACES.size(); i++) {
            Entry entry = entry(SPACES.get(i), 70);
            GoldenFiles.check("replica/entry-" + i, entry, Codec::write, Codec::readEntry);
            assertEquals(
                    true,
                    Codec.readEntry(GoldenFiles.bytes("replica/entry-" + i)).intact(OWNER));
        }
        GoldenFiles.check("replica/entry-removed", removed(71), Codec::write, Codec::readEntry);
    }

    @Test
    void diskOfAReplica() throws IOException {
        if (GoldenFiles.writing()) {
            writeDisk();
        }
        Path copy = Files.createDirectories(directory.resolve("copy"));
        Files.write(copy.resolve("replica.mv"), GoldenFiles.bytes("replica/replica-disk-replica.mv"));
        try (Disk disk = Disk.open(copy, "fleet", "n2", 0)) {
            assertEquals((long) DISK_LIFE + 1, disk.life());
            Store store = new Store("n2", disk.life(), 8, false);
            disk.restore(store);
            GoldenFiles.assertSame("records", entries(), store.all(OWNER, LIFE));
            assertEquals(OptionalLong.of(7), store.have(OWNER, LIFE));
            assertEquals(2, store.floor(OWNER, LIFE));
        }
    }

    private void writeDisk() throws IOException {
        Path written = directory.resolve("written");
        try (Disk disk = Disk.open(written, "fleet", "n2", DISK_LIFE)) {
            disk.write(
                    List.of(new Disk.Batch(OWNER, LIFE, 7L, 2, entries(), List.of())),
                    Map.of(new CatchUp.Of(OWNER, LIFE), entries().size()));
        }
        GoldenFiles.replaceIfAsked(
                "replica/replica-disk-replica.mv", Files.readAllBytes(written.resolve("replica.mv")));
    }
}
