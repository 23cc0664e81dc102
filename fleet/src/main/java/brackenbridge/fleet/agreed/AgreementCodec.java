package brackenbridge.fleet.agreed;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import io.microraft.model.RaftModelFactory;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.message.RaftMessage;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import java.io.IOException;

/**
 * CBOR encoding (RFC 8949) of the members' messages, of the Raft library's messages and of stored data. Any input that
 * can't be parsed causes an {@link IOException} and no other exception.
 */
final class AgreementCodec {
    /** Maximum length of a message; it must fit into a frame of a link. */
    static final int MAX_MESSAGE_BYTES = 900 * 1024;
    /** Maximum number of log entries in one message; their contents stay below {@link #MAX_MESSAGE_BYTES}. */
    static final int MAX_BATCH_ENTRIES = 3;
    /** Length of a snapshot chunk, in bytes. */
    static final int SNAPSHOT_CHUNK_BYTES = 512 * 1024;

    private static final int MAX_SNAPSHOT_BYTES = 64 * 1024 * 1024;
    static final RaftModelFactory MODEL_FACTORY = new DefaultRaftModelFactory();
    static final ObjectMapper MAPPER = mapper(MAX_MESSAGE_BYTES);
    private static final ObjectMapper SNAPSHOT_MAPPER = mapper(MAX_SNAPSHOT_BYTES);

    private AgreementCodec() {}

    private static ObjectMapper mapper(long maxBytes) {
        CBORFactory factory = CBORFactory.builder()
                .streamReadConstraints(StreamReadConstraints.builder()
                        .maxNestingDepth(16)
                        .maxDocumentLength(maxBytes)
                        .maxNameLength(64)
                        .maxNumberLength(40)
                        .maxStringLength(4096)
                        .build())
                .build();
        return new CBORMapper(factory)
                .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
                .enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
                .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
                // Later versions may add properties.
                .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
    }

    /** Content of a frame: one of the two messages is null. */
    record Frame(AgreementMessage message, RaftMessage raftMessage) {}

    @FunctionalInterface
    interface Reader<T> {
        T read() throws IOException;
    }

    /** Runs a reader and converts its runtime exceptions to an {@link IOException}. */
    static <T> T parse(Reader<T> reader) throws IOException {
        try {
            T value = reader.read();
            if (value == null) {
                throw new IOException("empty document");
            }
            return value;
        } catch (RuntimeException e) {
            // Guards against builders and records that reject values.
            throw new IOException("malformed: " + e.getMessage(), e);
        }
    }

    private static byte[] bytes(Object tree) {
        try {
            return MAPPER.writeValueAsBytes(tree);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Encodes a message between members as a frame. */
    static byte[] frame(AgreementMessage message) {
        ObjectNode tree = MAPPER.createObjectNode();
        tree.set("n", MAPPER.valueToTree(message));
        return bytes(tree);
    }

    /** Encodes a message of the Raft library as a frame. */
    static byte[] frame(RaftMessage message) {
        ObjectNode tree = MAPPER.createObjectNode();
        tree.set("r", RaftMessageTrees.tree(message));
        return bytes(tree);
    }

    /** Decodes a frame. */
    static Frame frame(byte[] body) throws IOException {
        if (body.length > MAX_MESSAGE_BYTES) {
            throw new IOException("message of " + body.length + " bytes exceeds " + MAX_MESSAGE_BYTES);
        }
        return parse(() -> {
            JsonNode tree = MAPPER.readTree(body);
            return tree.has("n")
                    ? new Frame(MAPPER.treeToValue(tree.get("n"), AgreementMessage.class), null)
                    : new Frame(null, RaftMessageTrees.message(JsonFields.required(tree, "r")));
        });
    }

    /** Encodes a snapshot. */
    static byte[] snapshot(AgreedState.Snapshot image) {
        try {
            return SNAPSHOT_MAPPER.writeValueAsBytes(image);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    static AgreedState.Snapshot snapshot(byte[] body) throws IOException {
        return parse(() -> SNAPSHOT_MAPPER.readValue(body, AgreedState.Snapshot.class));
    }

    /** Encodes a log entry for storage. */
    static byte[] logEntry(LogEntry entry) {
        return bytes(RaftLogTrees.tree(entry));
    }

    static LogEntry logEntry(byte[] body) throws IOException {
        return parse(() -> RaftLogTrees.logEntry(MAPPER.readTree(body)));
    }

    /** Encodes a snapshot chunk for storage. */
    static byte[] snapshotChunk(SnapshotChunk chunk) {
        return bytes(RaftLogTrees.tree(chunk));
    }

    static SnapshotChunk snapshotChunk(byte[] body) throws IOException {
        return parse(() -> RaftLogTrees.snapshotChunk(MAPPER.readTree(body)));
    }

    /** Encodes the members of a Raft group for storage. */
    static byte[] groupMembers(RaftGroupMembersView members) {
        return bytes(RaftLogTrees.tree(members));
    }

    static RaftGroupMembersView groupMembers(byte[] body) throws IOException {
        return parse(() -> RaftLogTrees.view(MAPPER.readTree(body)));
    }

    /** Encodes the current term and vote for storage. */
    static byte[] termState(RaftTermPersistentState state) {
        ObjectNode tree = MAPPER.createObjectNode().put("term", state.getTerm());
        return bytes(
                state.getVotedFor() == null
                        ? tree
                        : tree.put("voted", (String) state.getVotedFor().getId()));
    }

    static RaftTermPersistentState termState(byte[] body) throws IOException {
        return parse(() -> {
            JsonNode tree = MAPPER.readTree(body);
            return MODEL_FACTORY
                    .createRaftTermPersistentStateBuilder()
                    .setTerm(JsonFields.intValue(tree, "term"))
                    .setVotedFor(tree.has("voted") ? JsonFields.endpoint(tree, "voted") : null)
                    .build();
        });
    }

    /** Encodes the voter's own endpoint for storage. */
    static byte[] endpointState(RaftEndpointPersistentState state) {
        return bytes(MAPPER.createObjectNode()
                .put("me", (String) state.getLocalEndpoint().getId())
                .put("voting", state.isVoting()));
    }

    static RaftEndpointPersistentState endpointState(byte[] body) throws IOException {
        return parse(() -> {
            JsonNode tree = MAPPER.readTree(body);
            return MODEL_FACTORY
                    .createRaftEndpointPersistentStateBuilder()
                    .setLocalEndpoint(JsonFields.endpoint(tree, "me"))
                    .setVoting(JsonFields.required(tree, "voting").asBoolean())
                    .build();
        });
    }
}
