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
 * Messages as bytes: the protocol's version, the message's kind, then CBOR (RFC 8949). The first two bytes keep their
 * place in every version of the protocol. Whatever can't be read is a {@link ProtocolException}.
 */
final class ControlCodec {
    /** The version of the protocol that is spoken. */
    static final int VERSION = 1;
    /** Longest message, in bytes: a resource of the longest content and what stands around it. */
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
            byte[] all = new byte[HEADER_BYTES + body.length];
            all[0] = VERSION;
            all[1] = (byte) KINDS.indexOf(message.getClass());
            System.arraycopy(body, 0, all, HEADER_BYTES, body.length);
            return all;
        } catch (IOException e) {
            throw new IllegalStateException("can't be written: " + message, e);
        }
    }

    static ControlMessage decode(byte[] all) throws ProtocolException {
        if (all.length < HEADER_BYTES) {
            throw new ProtocolException(SubscriptionRejection.UNREADABLE, "a frame of " + all.length + " bytes");
        }
        if (all[0] != VERSION) {
            throw new ProtocolException(SubscriptionRejection.UNKNOWN_PROTOCOL_VERSION, "version " + all[0]);
        }
        if (all[1] < 0 || all[1] >= KINDS.size()) {
            throw new ProtocolException(SubscriptionRejection.UNREADABLE, "kind " + all[1]);
        }
        try {
            ControlMessage message = READERS.get(all[1]).readValue(all, HEADER_BYTES, all.length - HEADER_BYTES);
            if (message == null) {
                throw new ProtocolException(SubscriptionRejection.UNREADABLE, "an empty message");
            }
            return message;
        } catch (ProtocolException e) {
            throw e;
        } catch (IOException | RuntimeException e) {
            // Records reject what is out of bounds, and a parser may have faults of its own.
            throw new ProtocolException(
                    SubscriptionRejection.UNREADABLE, e.getClass().getSimpleName());
        }
    }
}
