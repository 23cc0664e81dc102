package brackenbridge.fleet.replica;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

class ReplicationCodecTest {
    private static final Arbitrary<Long> COUNT = Arbitraries.longs().between(0, Long.MAX_VALUE);
    private static final Arbitrary<String> NAME =
            Arbitraries.strings().withCharRange(' ', '\ud7ff').ofMinLength(1).ofMaxLength(128);

    @Provide
    Arbitrary<ReplicationMessage> messages() {
        Arbitrary<ReplicationMessage.OwnerSummary> mark = Combinators.combine(
                        NAME, COUNT, Arbitraries.longs(), COUNT, COUNT, COUNT, COUNT)
                .as((n, l, x, b, s, h, a) -> new ReplicationMessage.OwnerSummary(n, l, x, b, s, h, a, h % 2 == 0));
        Arbitrary<ReplicationMessage.EndedLog> have =
                Combinators.combine(NAME, COUNT, COUNT).as(ReplicationMessage.EndedLog::new);
        Arbitrary<ReplicationMessage.LogRequest> want =
                Combinators.combine(NAME, COUNT, COUNT, COUNT, COUNT).as(ReplicationMessage.LogRequest::new);
        Arbitrary<ReplicationMessage.LogDigest> digest =
                Combinators.combine(NAME, COUNT, COUNT, Arbitraries.longs()).as(ReplicationMessage.LogDigest::new);
        return Arbitraries.oneOf(
                Combinators.combine(mark.list().ofMaxSize(20), have.list().ofMaxSize(5))
                        .as((m, h) -> new ReplicationMessage.OwnerSummaries(m.isEmpty(), true, m, h)),
                want.list().ofMaxSize(20).map(ReplicationMessage.LogRequests::new),
                digest.list().ofMaxSize(20).map(ReplicationMessage.LogDigests::new),
                Combinators.combine(
                                NAME, COUNT, COUNT, Arbitraries.longs().list().ofSize(RecordKey.RANGE_COUNT))
                        .as(ReplicationMessage.RangeDigests::new),
                Combinators.combine(NAME, entries(9))
                        .as((n, e) -> new ReplicationMessage.LogChunk(n, 9, 9, 0, 100, 0, 0, e)),
                Combinators.combine(NAME, entries(9))
                        .as((n, e) -> new ReplicationMessage.RangeRecords(n, 9, 100, 3, 0, true, true, e)));
    }

    private static Arbitrary<List<ReplicatedRecord>> entries(long life) {
        Arbitrary<byte[]> value =
                Arbitraries.bytes().array(byte[].class).ofMaxSize(40).injectNull(0.2);
        return Combinators.combine(
                        Arbitraries.of(RecordSpace.values()),
                        Arbitraries.strings().withCharRange(' ', '\ud7ff').ofMaxLength(40),
                        value,
                        COUNT)
                .as((s, k, v, c) -> new Object[] {s, k, v, c})
                .list()
                .ofMaxSize(20)
                .map(list -> {
                    ReplicatedRecord[] all = new ReplicatedRecord[list.size()];
                    for (int i = 0; i < all.length; i++) {
                        Object[] o = list.get(i);
                        RecordSpace s = (RecordSpace) o[0];
                        boolean own = s.kind() == RecordSpace.Kind.REGISTER;
                        all[i] = ReplicatedRecord.of(
                                "o",
                                s,
                                (String) o[1],
                                new RecordVersion(life, i + 1),
                                own ? (byte[]) o[2] : null,
                                own ? 0 : (Long) o[3],
                                own ? 0 : life - 1);
                    }
                    return Arrays.asList(all);
                });
    }

    @Property(tries = 300, seed = "11")
    void whatIsWrittenIsRead(@ForAll("messages") ReplicationMessage m) throws IOException {
        ReplicationMessage read = ReplicationCodec.read(ReplicationCodec.write(m));
        // Values are arrays, which records do not compare by content; their checksums do.
        assertEquals(m.toString(), read.toString());
        if (read instanceof ReplicationMessage.LogChunk c) {
            assertTrue(c.records().stream().allMatch(e -> e.hasValidChecksum("o")));
        }
    }

    /** Bytes changed, cut or added in any place: another message of the same bounds, or refused; nothing else. */
    @Property(tries = 3000, seed = "12")
    void bytesFromOutsideAreReadWithinBoundsOrRefused(
            @ForAll("messages") ReplicationMessage m, @ForAll long where, @ForAll byte with, @ForAll byte[] tail)
            throws IOException {
        byte[] b = ReplicationCodec.write(m);
        b[(int) Long.remainderUnsigned(where, b.length)] ^= with;
        byte[] all = Arrays.copyOf(
                b,
                where % 3 == 0
                        ? (int) Long.remainderUnsigned(where >> 8, b.length) + 1
                        : b.length + (where % 3 == 1 ? tail.length : 0));
        if (all.length > b.length) {
            System.arraycopy(tail, 0, all, b.length, tail.length);
        }
        try {
            ReplicationMessage read = ReplicationCodec.read(all);
            assertEquals(
                    read.toString(),
                    ReplicationCodec.read(ReplicationCodec.write(read)).toString());
        } catch (IOException refused) {
            assertTrue(refused.getMessage() != null);
        }
    }

    @Property(tries = 3000, seed = "13")
    void anyBytesAtAllAreRefusedOrAMessage(@ForAll byte[] bytes) {
        try {
            ReplicationCodec.read(bytes);
        } catch (IOException refused) {
            assertTrue(refused.getMessage() != null);
        }
    }

    @Property(tries = 1)
    void longAndDeepOnesAreRefused() {
        byte[] deep = new byte[1000];
        Arrays.fill(deep, (byte) 0x81);
        deep[0] = 0;
        assertThrows(IOException.class, () -> ReplicationCodec.read(deep));
        assertThrows(IOException.class, () -> ReplicationCodec.read(new byte[ReplicationCodec.MAX_BYTES + 1]));
        // A text whose length is said to be two thousand million bytes.
        assertThrows(
                IOException.class,
                () -> ReplicationCodec.read(
                        new byte[] {1, (byte) 0x81, (byte) 0x81, (byte) 0x85, 0x7a, 0x7f, 0x7f, 0x7f, 0x7f, 1}));
    }
}
