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
 * CBOR forms (RFC 8949) of members' messages, of the Raft library's messages and of what is written to disk. Whatever
 * can't be parsed is an {@link IOException} and nothing else.
 */
final class AgreementCodec {
    /** Longest message; a link's frames must have room for it. */
    static final int MAX_MESSAGE_BYTES = 900 * 1024;
    /** Entries in one message: their contents stay below {@link #MAX_MESSAGE}. */
    static final int MAX_BATCH_ENTRIES = 3;
    /** Length of a snapshot's chunks, in bytes. */
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
                // A later version may say more.
                .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
    }

    /** What a frame carried: one of the two is null. */
    record Frame(AgreementMessage message, RaftMessage raftMessage) {}

    @FunctionalInterface
    interface Reader<T> {
        T read() throws IOException;
    }

    /** Reads, and makes whatever can't be read an {@link IOException}. */
    static <T> T parse(Reader<T> reader) throws IOException {
        try {
            T value = reader.read();
            if (value == null) {
                throw new IOException("nothing there");
            }
            return value;
        } catch (RuntimeException e) {
            // Guards against builders and records that reject what they are given.
            throw new IOException("not readable: " + e.getMessage(), e);
        }
    }

    private static byte[] bytes(Object tree) {
        try {
            return MAPPER.writeValueAsBytes(tree);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    /** The frame of a member's message. */
    static byte[] frame(AgreementMessage message) {
        ObjectNode tree = MAPPER.createObjectNode();
        tree.set("n", MAPPER.valueToTree(message));
        return bytes(tree);
    }

    /** The frame of a message of the Raft library. */
    static byte[] frame(RaftMessage message) {
        ObjectNode tree = MAPPER.createObjectNode();
        tree.set("r", RaftMessageTrees.tree(message));
        return bytes(tree);
    }

    /** Parses a frame. */
    static Frame frame(byte[] body) throws IOException {
        if (body.length > MAX_MESSAGE_BYTES) {
            throw new IOException("message of " + body.length + " bytes");
        }
        return parse(() -> {
            JsonNode tree = MAPPER.readTree(body);
            return tree.has("n")
                    ? new Frame(MAPPER.treeToValue(tree.get("n"), AgreementMessage.class), null)
                    : new Frame(null, RaftMessageTrees.message(JsonFields.required(tree, "r")));
        });
    }

    /** The form of a snapshot. */
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

    /** The stored form of a log entry. */
    static byte[] logEntry(LogEntry entry) {
        return bytes(RaftLogTrees.tree(entry));
    }

    static LogEntry logEntry(byte[] body) throws IOException {
        return parse(() -> RaftLogTrees.logEntry(MAPPER.readTree(body)));
    }

    /** The stored form of a snapshot's chunk. */
    static byte[] snapshotChunk(SnapshotChunk chunk) {
        return bytes(RaftLogTrees.tree(chunk));
    }

    static SnapshotChunk snapshotChunk(byte[] body) throws IOException {
        return parse(() -> RaftLogTrees.snapshotChunk(MAPPER.readTree(body)));
    }

    /** The stored form of a group's members. */
    static byte[] groupMembers(RaftGroupMembersView members) {
        return bytes(RaftLogTrees.tree(members));
    }

    static RaftGroupMembersView groupMembers(byte[] body) throws IOException {
        return parse(() -> RaftLogTrees.view(MAPPER.readTree(body)));
    }

    /** The stored form of the current term and vote. */
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

    /** The stored form of the voter's own endpoint. */
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
