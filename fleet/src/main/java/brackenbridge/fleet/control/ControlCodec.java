package brackenbridge.fleet.control;

import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.ObjectWriter;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import java.io.IOException;
import java.util.List;

/**
 * Encodes messages: the protocol version, the message kind, then CBOR (RFC 8949). The first two bytes keep their
 * meaning in every version of the protocol. Malformed input causes a {@link ProtocolException}.
 */
final class ControlCodec {
    /** The supported version of the protocol. */
    static final int VERSION = 1;
    /** Maximum length of a message in bytes: a resource with content of maximum length, and its envelope. */
    static final int MAX_MESSAGE_BYTES = Resource.MAX_CONTENT_BYTES + 1024;

    private static final int HEADER_BYTES = 2;
    private static final int MAX_NESTING_DEPTH = 6;
    private static final List<Class<? extends ControlMessage>> KINDS = List.of(
            ControlMessage.Subscribe.class,
            ControlMessage.Acknowledge.class,
            ControlMessage.NodeHeartbeat.class,
            ControlMessage.Welcome.class,
            ControlMessage.Update.class,
            ControlMessage.MachineHeartbeat.class,
            ControlMessage.Reject.class);
    private static final ObjectMapper MAPPER = newMapper();
    private static final List<ObjectReader> READERS =
            KINDS.stream().map(MAPPER::readerFor).toList();
    private static final ObjectWriter WRITER = MAPPER.writer();

    private ControlCodec() {}

    private static ObjectMapper newMapper() {
        CBORFactory factory = CBORFactory.builder()
                .streamReadConstraints(StreamReadConstraints.builder()
                        .maxNestingDepth(MAX_NESTING_DEPTH)
                        .maxDocumentLength(MAX_MESSAGE_BYTES)
                        .maxStringLength(1024)
                        .maxNameLength(64)
                        .maxNumberLength(32)
                        .build())
                .build();
        return CBORMapper.builder(factory)
                .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
                .enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
                .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
                .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
                .build();
    }

    static byte[] encode(ControlMessage message) {
        try {
            byte[] body = WRITER.writeValueAsBytes(message);
            byte[] encoded = new byte[HEADER_BYTES + body.length];
            encoded[0] = VERSION;
            encoded[1] = (byte) KINDS.indexOf(message.getClass());
            System.arraycopy(body, 0, encoded, HEADER_BYTES, body.length);
            return encoded;
        } catch (IOException e) {
            throw new IllegalStateException("cannot encode " + message, e);
        }
    }

    static ControlMessage decode(byte[] encoded) throws ProtocolException {
        if (encoded.length < HEADER_BYTES) {
            throw new ProtocolException(
                    SubscriptionRejection.UNREADABLE, "frame of " + encoded.length + " bytes is too short");
        }
        if (encoded[0] != VERSION) {
            throw new ProtocolException(
                    SubscriptionRejection.UNKNOWN_PROTOCOL_VERSION, "unknown protocol version " + encoded[0]);
        }
        if (encoded[1] < 0 || encoded[1] >= KINDS.size()) {
            throw new ProtocolException(SubscriptionRejection.UNREADABLE, "unknown message kind " + encoded[1]);
        }
        try {
            ControlMessage message =
                    READERS.get(encoded[1]).readValue(encoded, HEADER_BYTES, encoded.length - HEADER_BYTES);
            if (message == null) {
                throw new ProtocolException(SubscriptionRejection.UNREADABLE, "empty message");
            }
            return message;
        } catch (ProtocolException e) {
            throw e;
        } catch (IOException | RuntimeException e) {
            // Records throw for values out of range, and the parser may throw unexpected exceptions on malformed input.
            throw new ProtocolException(
                    SubscriptionRejection.UNREADABLE, e.getClass().getSimpleName());
        }
    }
}
