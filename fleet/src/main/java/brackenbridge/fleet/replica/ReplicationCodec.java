package brackenbridge.fleet.replica;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.ObjectWriter;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;

/**
 * Messages and records as bytes: one byte that says which message it is, then CBOR (RFC 8949) by Jackson. Reading is
 * bounded in length and depth, and answers anything else than a message with an {@link IOException}.
 */
public final class ReplicationCodec {
    /** Bytes of a message, at the most. */
    public static final int MAX_BYTES = 256 << 10;

    private static final List<Class<? extends ReplicationMessage>> KINDS = List.of(
            ReplicationMessage.OwnerSummaries.class,
            ReplicationMessage.LogRequests.class,
            ReplicationMessage.LogChunk.class,
            ReplicationMessage.LogDigests.class,
            ReplicationMessage.RangeDigests.class,
            ReplicationMessage.RangeRecords.class);
    private static final ObjectMapper MAPPER = mapper();
    private static final List<ObjectReader> READERS =
            KINDS.stream().map(k -> MAPPER.readerFor(k)).toList();
    private static final ObjectReader ENTRY = MAPPER.readerFor(ReplicatedRecord.class);
    private static final ObjectWriter WRITER = MAPPER.writer();

    private ReplicationCodec() {}

    private static ObjectMapper mapper() {
        CBORFactory factory = CBORFactory.builder()
                .streamReadConstraints(StreamReadConstraints.builder()
                        .maxNestingDepth(6)
                        .maxDocumentLength(MAX_BYTES)
                        .maxStringLength(2 * ReplicatedRecord.MAX_VALUE_BYTES)
                        .maxNameLength(64)
                        .maxNumberLength(32)
                        .build())
                .build();
        ObjectMapper m = CBORMapper.builder(factory)
                .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
                .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
                .enable(SerializationFeature.WRITE_ENUMS_USING_INDEX)
                .build();
        m.configOverride(ReplicatedRecord.class).setFormat(JsonFormat.Value.forShape(JsonFormat.Shape.ARRAY));
        m.configOverride(RecordVersion.class).setFormat(JsonFormat.Value.forShape(JsonFormat.Shape.ARRAY));
        return m;
    }

    /** A message as bytes. */
    public static byte[] write(ReplicationMessage m) {
        byte[] body = bytes(m);
        byte[] all = new byte[body.length + 1];
        all[0] = (byte) KINDS.indexOf(m.getClass());
        System.arraycopy(body, 0, all, 1, body.length);
        return all;
    }

    /**
     * A message from bytes.
     *
     * @throws IOException if they are none, or go past a bound
     */
    public static ReplicationMessage read(byte[] all) throws IOException {
        if (all.length < 2 || all.length > MAX_BYTES || all[0] < 0 || all[0] >= KINDS.size()) {
            throw new IOException("not a message of replication, " + all.length + " bytes");
        }
        return read(READERS.get(all[0]), all, 1, all.length - 1);
    }

    /** A record as bytes. */
    static byte[] write(ReplicatedRecord e) {
        return bytes(e);
    }

    /** A record from bytes. */
    static ReplicatedRecord readEntry(byte[] bytes) throws IOException {
        return read(ENTRY, bytes, 0, bytes.length);
    }

    private static byte[] bytes(Object o) {
        try {
            return WRITER.writeValueAsBytes(o);
        } catch (IOException e) {
            throw new IllegalStateException("can't be written: " + o, e);
        }
    }

    private static <T> T read(ObjectReader reader, byte[] all, int from, int length) throws IOException {
        try {
            T read = reader.readValue(all, from, length);
            if (read == null) {
                throw new IOException("nothing in it");
            }
            return read;
        } catch (RuntimeException e) {
            // Guards against a parser's own fault on bytes from outside.
            throw new IOException("can't be read: " + Arrays.hashCode(all), e);
        }
    }
}
