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
 * Encodes messages as one byte for the type, followed by CBOR (RFC 8949) written by Jackson; records as CBOR without a
 * type. Decoding is bounded in length and depth, and throws an {@link IOException} on malformed input.
 */
public final class ReplicationCodec {
    /** The maximum size of a message in bytes. */
    public static final int MAX_BYTES = 256 << 10;

    private static final List<Class<? extends ReplicationMessage>> MESSAGE_TYPES = List.of(
            ReplicationMessage.OwnerSummaries.class,
            ReplicationMessage.LogRequests.class,
            ReplicationMessage.LogChunk.class,
            ReplicationMessage.LogDigests.class,
            ReplicationMessage.RangeDigests.class,
            ReplicationMessage.RangeRecords.class);
    private static final ObjectMapper MAPPER = createMapper();
    private static final List<ObjectReader> READERS =
            MESSAGE_TYPES.stream().map(type -> MAPPER.readerFor(type)).toList();
    private static final ObjectReader RECORD_READER = MAPPER.readerFor(ReplicatedRecord.class);
    private static final ObjectWriter WRITER = MAPPER.writer();

    private ReplicationCodec() {}

    private static ObjectMapper createMapper() {
        CBORFactory factory = CBORFactory.builder()
                .streamReadConstraints(StreamReadConstraints.builder()
                        .maxNestingDepth(6)
                        .maxDocumentLength(MAX_BYTES)
                        .maxStringLength(2 * ReplicatedRecord.MAX_VALUE_BYTES)
                        .maxNameLength(64)
                        .maxNumberLength(32)
                        .build())
                .build();
        ObjectMapper mapper = CBORMapper.builder(factory)
                .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
                .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
                .enable(SerializationFeature.WRITE_ENUMS_USING_INDEX)
                .build();
        mapper.configOverride(ReplicatedRecord.class).setFormat(JsonFormat.Value.forShape(JsonFormat.Shape.ARRAY));
        mapper.configOverride(RecordVersion.class).setFormat(JsonFormat.Value.forShape(JsonFormat.Shape.ARRAY));
        return mapper;
    }

    /** Encodes a message. */
    public static byte[] write(ReplicationMessage message) {
        byte[] body = encode(message);
        byte[] bytes = new byte[body.length + 1];
        bytes[0] = (byte) MESSAGE_TYPES.indexOf(message.getClass());
        System.arraycopy(body, 0, bytes, 1, body.length);
        return bytes;
    }

    /**
     * Decodes a message.
     *
     * @throws IOException if the bytes are malformed or exceed a bound
     */
    public static ReplicationMessage read(byte[] bytes) throws IOException {
        if (bytes.length < 2 || bytes.length > MAX_BYTES || bytes[0] < 0 || bytes[0] >= MESSAGE_TYPES.size()) {
            throw new IOException("not a replication message: " + bytes.length + " bytes");
        }
        return read(READERS.get(bytes[0]), bytes, 1, bytes.length - 1);
    }

    /** Encodes a record. */
    static byte[] write(ReplicatedRecord record) {
        return encode(record);
    }

    /** Decodes a record. */
    static ReplicatedRecord readRecord(byte[] bytes) throws IOException {
        return read(RECORD_READER, bytes, 0, bytes.length);
    }

    private static byte[] encode(Object object) {
        try {
            return WRITER.writeValueAsBytes(object);
        } catch (IOException e) {
            throw new IllegalStateException("can't be encoded: " + object, e);
        }
    }

    private static <T> T read(ObjectReader reader, byte[] bytes, int offset, int length) throws IOException {
        try {
            T decoded = reader.readValue(bytes, offset, length);
            if (decoded == null) {
                throw new IOException("decoded to null");
            }
            return decoded;
        } catch (RuntimeException e) {
            // Guards against exceptions of the parser on malformed input.
            throw new IOException(
                    "can't be decoded: " + bytes.length + " bytes with hash " + Arrays.hashCode(bytes), e);
        }
    }
}
