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

/** Tests encoding and decoding of messages, and rejection of malformed ones. */
class ReplicationCodecTest {
    private static final Arbitrary<Long> NON_NEGATIVE = Arbitraries.longs().between(0, Long.MAX_VALUE);
    private static final Arbitrary<String> NAME =
            Arbitraries.strings().withCharRange(' ', '\ud7ff').ofMinLength(1).ofMaxLength(128);

    @Provide
    Arbitrary<ReplicationMessage> messages() {
        Arbitrary<ReplicationMessage.OwnerSummary> summary = Combinators.combine(
                        NAME, NON_NEGATIVE, Arbitraries.longs(), NON_NEGATIVE, NON_NEGATIVE, NON_NEGATIVE, NON_NEGATIVE)
                .as((name, incarnation, nonce, heartbeat, announced, applied, age) ->
                        new ReplicationMessage.OwnerSummary(
                                name, incarnation, nonce, heartbeat, announced, applied, age, applied % 2 == 0));
        Arbitrary<ReplicationMessage.EndedLog> endedLog =
                Combinators.combine(NAME, NON_NEGATIVE, NON_NEGATIVE).as(ReplicationMessage.EndedLog::new);
        Arbitrary<ReplicationMessage.LogRequest> request = Combinators.combine(
                        NAME, NON_NEGATIVE, NON_NEGATIVE, NON_NEGATIVE, NON_NEGATIVE)
                .as(ReplicationMessage.LogRequest::new);
        Arbitrary<ReplicationMessage.LogDigest> digest = Combinators.combine(
                        NAME, NON_NEGATIVE, NON_NEGATIVE, Arbitraries.longs())
                .as(ReplicationMessage.LogDigest::new);
        return Arbitraries.oneOf(
                Combinators.combine(
                                summary.list().ofMaxSize(20), endedLog.list().ofMaxSize(5))
                        .as((summaryList, endedList) -> new ReplicationMessage.OwnerSummaries(
                                summaryList.isEmpty(), true, summaryList, endedList)),
                request.list().ofMaxSize(20).map(ReplicationMessage.LogRequests::new),
                digest.list().ofMaxSize(20).map(ReplicationMessage.LogDigests::new),
                Combinators.combine(
                                NAME,
                                NON_NEGATIVE,
                                NON_NEGATIVE,
                                Arbitraries.longs().list().ofSize(RecordKey.RANGE_COUNT))
                        .as(ReplicationMessage.RangeDigests::new),
                Combinators.combine(NAME, records(9))
                        .as((name, records) -> new ReplicationMessage.LogChunk(name, 9, 9, 0, 100, 0, 0, records)),
                Combinators.combine(NAME, records(9))
                        .as((name, records) ->
                                new ReplicationMessage.RangeRecords(name, 9, 100, 3, 0, true, true, records)));
    }

    private static Arbitrary<List<ReplicatedRecord>> records(long incarnation) {
        Arbitrary<byte[]> value =
                Arbitraries.bytes().array(byte[].class).ofMaxSize(40).injectNull(0.2);
        return Combinators.combine(
                        Arbitraries.of(RecordSpace.values()),
                        Arbitraries.strings().withCharRange(' ', '\ud7ff').ofMaxLength(40),
                        value,
                        NON_NEGATIVE)
                .as((space, key, content, count) -> new Object[] {space, key, content, count})
                .list()
                .ofMaxSize(20)
                .map(list -> {
                    ReplicatedRecord[] records = new ReplicatedRecord[list.size()];
                    for (int i = 0; i < records.length; i++) {
                        Object[] fields = list.get(i);
                        RecordSpace space = (RecordSpace) fields[0];
                        boolean register = space.kind() == RecordSpace.Kind.REGISTER;
                        records[i] = ReplicatedRecord.of(
                                "o",
                                space,
                                (String) fields[1],
                                new RecordVersion(incarnation, i + 1),
                                register ? (byte[]) fields[2] : null,
                                register ? 0 : (Long) fields[3],
                                register ? 0 : incarnation - 1);
                    }
                    return Arrays.asList(records);
                });
    }

    @Property(tries = 300, seed = "11")
    void encodedMessagesAreDecoded(@ForAll("messages") ReplicationMessage message) throws IOException {
        ReplicationMessage decoded = ReplicationCodec.read(ReplicationCodec.write(message));
        // Records do not compare arrays by content, so the checksums verify the values.
        assertEquals(message.toString(), decoded.toString());
        if (decoded instanceof ReplicationMessage.LogChunk chunk) {
            assertTrue(chunk.records().stream().allMatch(record -> record.hasValidChecksum("o")));
        }
    }

    /** Altered, truncated or extended bytes must decode to a message within bounds or cause an IOException. */
    @Property(tries = 3000, seed = "12")
    void alteredMessagesAreDecodedWithinBoundsOrRejected(
            @ForAll("messages") ReplicationMessage message,
            @ForAll long position,
            @ForAll byte mask,
            @ForAll byte[] tail)
            throws IOException {
        byte[] encoded = ReplicationCodec.write(message);
        encoded[(int) Long.remainderUnsigned(position, encoded.length)] ^= mask;
        byte[] altered = Arrays.copyOf(
                encoded,
                position % 3 == 0
                        ? (int) Long.remainderUnsigned(position >> 8, encoded.length) + 1
                        : encoded.length + (position % 3 == 1 ? tail.length : 0));
        if (altered.length > encoded.length) {
            System.arraycopy(tail, 0, altered, encoded.length, tail.length);
        }
        try {
            ReplicationMessage decoded = ReplicationCodec.read(altered);
            assertEquals(
                    decoded.toString(),
                    ReplicationCodec.read(ReplicationCodec.write(decoded)).toString());
        } catch (IOException refused) {
            assertTrue(refused.getMessage() != null);
        }
    }

    @Property(tries = 3000, seed = "13")
    void arbitraryBytesAreDecodedOrRejected(@ForAll byte[] bytes) {
        try {
            ReplicationCodec.read(bytes);
        } catch (IOException refused) {
            assertTrue(refused.getMessage() != null);
        }
    }

    @Property(tries = 1)
    void oversizedAndDeeplyNestedMessagesAreRejected() {
        byte[] deep = new byte[1000];
        Arrays.fill(deep, (byte) 0x81);
        deep[0] = 0;
        assertThrows(IOException.class, () -> ReplicationCodec.read(deep));
        assertThrows(IOException.class, () -> ReplicationCodec.read(new byte[ReplicationCodec.MAX_BYTES + 1]));
        // A text with a declared length of two billion bytes.
        assertThrows(
                IOException.class,
                () -> ReplicationCodec.read(
                        new byte[] {1, (byte) 0x81, (byte) 0x81, (byte) 0x85, 0x7a, 0x7f, 0x7f, 0x7f, 0x7f, 1}));
    }
}
