package brackenbridge.fleet.agreed;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import io.microraft.MembershipChangeMode;
import io.microraft.RaftEndpoint;
import io.microraft.model.RaftModelFactory;
import io.microraft.model.groupop.UpdateRaftGroupMembersOp;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.BaseLogEntry;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.message.AppendEntriesFailureResponse;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.AppendEntriesSuccessResponse;
import io.microraft.model.message.InstallSnapshotRequest;
import io.microraft.model.message.InstallSnapshotResponse;
import io.microraft.model.message.PreVoteRequest;
import io.microraft.model.message.PreVoteResponse;
import io.microraft.model.message.RaftMessage;
import io.microraft.model.message.TriggerLeaderElectionRequest;
import io.microraft.model.message.VoteRequest;
import io.microraft.model.message.VoteResponse;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * Notes, the Raft library's messages and what is written to disk, as CBOR. Whatever can't be read is an
 * {@link IOException} and nothing else.
 */
final class AgreementCodec {
    /** Longest message; a link's frames must have room for it. */
    static final int MAX_MESSAGE = 900 * 1024;
    /** Entries in one message: their contents stay below {@link #MAX_MESSAGE}. */
    static final int BATCH = 3;
    /** A piece of a snapshot, in bytes. */
    static final int PIECE = 512 * 1024;

    private static final int MAX_IMAGE = 64 * 1024 * 1024;
    private static final RaftModelFactory MODEL = new DefaultRaftModelFactory();
    private static final ObjectMapper MAPPER = mapper(MAX_MESSAGE);
    private static final ObjectMapper IMAGES = mapper(MAX_IMAGE);

    private AgreementCodec() {}

    private static ObjectMapper mapper(long longest) {
        CBORFactory factory = CBORFactory.builder()
                .streamReadConstraints(StreamReadConstraints.builder()
                        .maxNestingDepth(16)
                        .maxDocumentLength(longest)
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
    record Frame(AgreementMessage note, RaftMessage raft) {}

    @FunctionalInterface
    private interface Reader<T> {
        T read() throws IOException;
    }

    private static <T> T read(Reader<T> reader) throws IOException {
        try {
            T read = reader.read();
            if (read == null) {
                throw new IOException("nothing there");
            }
            return read;
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

    static byte[] frame(AgreementMessage note) {
        ObjectNode n = MAPPER.createObjectNode();
        n.set("n", MAPPER.valueToTree(note));
        return bytes(n);
    }

    static byte[] frame(RaftMessage message) {
        ObjectNode n = MAPPER.createObjectNode();
        n.set("r", tree(message));
        return bytes(n);
    }

    static Frame frame(byte[] body) throws IOException {
        if (body.length > MAX_MESSAGE) {
            throw new IOException("message of " + body.length + " bytes");
        }
        return read(() -> {
            JsonNode n = MAPPER.readTree(body);
            return n.has("n")
                    ? new Frame(MAPPER.treeToValue(n.get("n"), AgreementMessage.class), null)
                    : new Frame(null, message(some(n, "r")));
        });
    }

    static byte[] image(AgreedState.Image image) {
        try {
            return IMAGES.writeValueAsBytes(image);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    static AgreedState.Image image(byte[] body) throws IOException {
        return read(() -> IMAGES.readValue(body, AgreedState.Image.class));
    }

    static byte[] entry(LogEntry e) {
        return bytes(tree(e));
    }

    static LogEntry entry(byte[] body) throws IOException {
        return read(() -> logEntry(MAPPER.readTree(body)));
    }

    static byte[] chunk(SnapshotChunk c) {
        return bytes(tree(c));
    }

    static SnapshotChunk chunk(byte[] body) throws IOException {
        return read(() -> snapshotChunk(MAPPER.readTree(body)));
    }

    static byte[] members(RaftGroupMembersView v) {
        return bytes(tree(v));
    }

    static RaftGroupMembersView members(byte[] body) throws IOException {
        return read(() -> view(MAPPER.readTree(body)));
    }

    static byte[] term(RaftTermPersistentState t) {
        ObjectNode n = MAPPER.createObjectNode().put("term", t.getTerm());
        return bytes(
                t.getVotedFor() == null
                        ? n
                        : n.put("voted", (String) t.getVotedFor().getId()));
    }

    static RaftTermPersistentState term(byte[] body) throws IOException {
        return read(() -> {
            JsonNode n = MAPPER.readTree(body);
            return MODEL.createRaftTermPersistentStateBuilder()
                    .setTerm(integer(n, "term"))
                    .setVotedFor(n.has("voted") ? endpoint(n, "voted") : null)
                    .build();
        });
    }

    static byte[] self(RaftEndpointPersistentState e) {
        return bytes(MAPPER.createObjectNode()
                .put("me", (String) e.getLocalEndpoint().getId())
                .put("voting", e.isVoting()));
    }

    static RaftEndpointPersistentState self(byte[] body) throws IOException {
        return read(() -> {
            JsonNode n = MAPPER.readTree(body);
            return MODEL.createRaftEndpointPersistentStateBuilder()
                    .setLocalEndpoint(endpoint(n, "me"))
                    .setVoting(some(n, "voting").asBoolean())
                    .build();
        });
    }

    // Trees of what the library defines. Keys are short, for each message carries them.

    private static ObjectNode tree(RaftMessage m) {
        ObjectNode n = MAPPER.createObjectNode()
                .put("g", (String) m.getGroupId())
                .put("s", (String) m.getSender().getId())
                .put("t", m.getTerm());
        if (m instanceof AppendEntriesRequest r) {
            ArrayNode entries = n.put("k", "append")
                    .put("pt", r.getPreviousLogTerm())
                    .put("pi", r.getPreviousLogIndex())
                    .put("c", r.getCommitIndex())
                    .put("q", r.getQuerySequenceNumber())
                    .put("f", r.getFlowControlSequenceNumber())
                    .putArray("e");
            r.getLogEntries().forEach(e -> entries.add(tree(e)));
        } else if (m instanceof AppendEntriesSuccessResponse r) {
            n.put("k", "appended")
                    .put("i", r.getLastLogIndex())
                    .put("q", r.getQuerySequenceNumber())
                    .put("f", r.getFlowControlSequenceNumber());
        } else if (m instanceof AppendEntriesFailureResponse r) {
            n.put("k", "not")
                    .put("i", r.getExpectedNextIndex())
                    .put("q", r.getQuerySequenceNumber())
                    .put("f", r.getFlowControlSequenceNumber());
        } else if (m instanceof InstallSnapshotRequest r) {
            n.put("k", "install")
                    .put("l", r.isSenderLeader())
                    .put("st", r.getSnapshotTerm())
                    .put("i", r.getSnapshotIndex())
                    .put("n", r.getTotalSnapshotChunkCount())
                    .put("q", r.getQuerySequenceNumber())
                    .put("f", r.getFlowControlSequenceNumber());
            if (r.getSnapshotChunk() != null) {
                n.set("ch", tree(r.getSnapshotChunk()));
            }
            n.set("sm", ids(r.getSnapshottedMembers()));
            n.set("v", tree(r.getGroupMembersView()));
        } else if (m instanceof InstallSnapshotResponse r) {
            n.put("k", "want")
                    .put("i", r.getSnapshotIndex())
                    .put("n", r.getRequestedSnapshotChunkIndex())
                    .put("q", r.getQuerySequenceNumber())
                    .put("f", r.getFlowControlSequenceNumber());
        } else if (m instanceof PreVoteRequest r) {
            n.put("k", "may").put("lt", r.getLastLogTerm()).put("i", r.getLastLogIndex());
        } else if (m instanceof PreVoteResponse r) {
            n.put("k", "might").put("y", r.isGranted());
        } else if (m instanceof VoteRequest r) {
            n.put("k", "vote")
                    .put("lt", r.getLastLogTerm())
                    .put("i", r.getLastLogIndex())
                    .put("y", r.isSticky());
        } else if (m instanceof VoteResponse r) {
            n.put("k", "voted").put("y", r.isGranted());
        } else if (m instanceof TriggerLeaderElectionRequest r) {
            n.put("k", "lead").put("lt", r.getLastLogTerm()).put("i", r.getLastLogIndex());
        } else {
            throw new IllegalArgumentException(m.getClass().getName());
        }
        return n;
    }

    private static RaftMessage message(JsonNode n) throws IOException {
        String g = text(n, "g");
        RaftEndpoint s = endpoint(n, "s");
        int t = integer(n, "t");
        switch (text(n, "k")) {
            case "append":
                List<LogEntry> entries = new ArrayList<>();
                for (JsonNode e : some(n, "e")) {
                    entries.add(logEntry(e));
                }
                return MODEL.createAppendEntriesRequestBuilder()
                        .setGroupId(g)
                        .setSender(s)
                        .setTerm(t)
                        .setPreviousLogTerm(integer(n, "pt"))
                        .setPreviousLogIndex(number(n, "pi"))
                        .setCommitIndex(number(n, "c"))
                        .setQuerySequenceNumber(number(n, "q"))
                        .setFlowControlSequenceNumber(number(n, "f"))
                        .setLogEntries(entries)
                        .build();
            case "appended":
                return MODEL.createAppendEntriesSuccessResponseBuilder()
                        .setGroupId(g)
                        .setSender(s)
                        .setTerm(t)
                        .setLastLogIndex(number(n, "i"))
                        .setQuerySequenceNumber(number(n, "q"))
                        .setFlowControlSequenceNumber(number(n, "f"))
                        .build();
            case "not":
                return MODEL.createAppendEntriesFailureResponseBuilder()
                        .setGroupId(g)
                        .setSender(s)
                        .setTerm(t)
                        .setExpectedNextIndex(number(n, "i"))
                        .setQuerySequenceNumber(number(n, "q"))
                        .setFlowControlSequenceNumber(number(n, "f"))
                        .build();
            case "install":
                return MODEL.createInstallSnapshotRequestBuilder()
                        .setGroupId(g)
                        .setSender(s)
                        .setTerm(t)
                        .setSenderLeader(some(n, "l").asBoolean())
                        .setSnapshotTerm(integer(n, "st"))
                        .setSnapshotIndex(number(n, "i"))
                        .setTotalSnapshotChunkCount(integer(n, "n"))
                        .setSnapshotChunk(n.has("ch") ? snapshotChunk(n.get("ch")) : null)
                        .setSnapshottedMembers(endpoints(n, "sm"))
                        .setGroupMembersView(view(some(n, "v")))
                        .setQuerySequenceNumber(number(n, "q"))
                        .setFlowControlSequenceNumber(number(n, "f"))
                        .build();
            case "want":
                return MODEL.createInstallSnapshotResponseBuilder()
                        .setGroupId(g)
                        .setSender(s)
                        .setTerm(t)
                        .setSnapshotIndex(number(n, "i"))
                        .setRequestedSnapshotChunkIndex(integer(n, "n"))
                        .setQuerySequenceNumber(number(n, "q"))
                        .setFlowControlSequenceNumber(number(n, "f"))
                        .build();
            case "may":
                return MODEL.createPreVoteRequestBuilder()
                        .setGroupId(g)
                        .setSender(s)
                        .setTerm(t)
                        .setLastLogTerm(integer(n, "lt"))
                        .setLastLogIndex(number(n, "i"))
                        .build();
            case "might":
                return MODEL.createPreVoteResponseBuilder()
                        .setGroupId(g)
                        .setSender(s)
                        .setTerm(t)
                        .setGranted(some(n, "y").asBoolean())
                        .build();
            case "vote":
                return MODEL.createVoteRequestBuilder()
                        .setGroupId(g)
                        .setSender(s)
                        .setTerm(t)
                        .setLastLogTerm(integer(n, "lt"))
                        .setLastLogIndex(number(n, "i"))
                        .setSticky(some(n, "y").asBoolean())
                        .build();
            case "voted":
                return MODEL.createVoteResponseBuilder()
                        .setGroupId(g)
                        .setSender(s)
                        .setTerm(t)
                        .setGranted(some(n, "y").asBoolean())
                        .build();
            case "lead":
                return MODEL.createTriggerLeaderElectionRequestBuilder()
                        .setGroupId(g)
                        .setSender(s)
                        .setTerm(t)
                        .setLastLogTerm(integer(n, "lt"))
                        .setLastLogIndex(number(n, "i"))
                        .build();
            default:
                throw new IOException("message " + text(n, "k"));
        }
    }

    private static ObjectNode tree(BaseLogEntry e) {
        ObjectNode n = MAPPER.createObjectNode().put("i", e.getIndex()).put("t", e.getTerm());
        Object op = e.getOperation();
        if (op instanceof LogCommand o) {
            n.set("o", MAPPER.valueToTree(o));
        } else if (op instanceof byte[] b) {
            n.put("b", b);
        } else if (op instanceof UpdateRaftGroupMembersOp u) {
            ObjectNode m = n.putObject("m")
                    .put("e", (String) u.getEndpoint().getId())
                    .put("y", u.getMode().name());
            m.set("all", ids(u.getMembers()));
            m.set("vote", ids(u.getVotingMembers()));
        } else {
            throw new IllegalArgumentException("operation " + op);
        }
        if (e instanceof SnapshotChunk c) {
            n.put("ci", c.getSnapshotChunkIndex()).put("cn", c.getSnapshotChunkCount());
            n.set("v", tree(c.getGroupMembersView()));
        }
        return n;
    }

    private static Object operation(JsonNode n) throws IOException {
        if (n.has("o")) {
            return read(() -> MAPPER.treeToValue(n.get("o"), LogCommand.class));
        }
        if (n.has("b")) {
            return read(() -> n.get("b").binaryValue());
        }
        JsonNode m = some(n, "m");
        return MODEL.createUpdateRaftGroupMembersOpBuilder()
                .setEndpoint(endpoint(m, "e"))
                .setMode(MembershipChangeMode.valueOf(text(m, "y")))
                .setMembers(endpoints(m, "all"))
                .setVotingMembers(endpoints(m, "vote"))
                .build();
    }

    private static LogEntry logEntry(JsonNode n) throws IOException {
        return MODEL.createLogEntryBuilder()
                .setIndex(number(n, "i"))
                .setTerm(integer(n, "t"))
                .setOperation(operation(n))
                .build();
    }

    private static SnapshotChunk snapshotChunk(JsonNode n) throws IOException {
        return MODEL.createSnapshotChunkBuilder()
                .setIndex(number(n, "i"))
                .setTerm(integer(n, "t"))
                .setOperation(operation(n))
                .setSnapshotChunkIndex(integer(n, "ci"))
                .setSnapshotChunkCount(integer(n, "cn"))
                .setGroupMembersView(view(some(n, "v")))
                .build();
    }

    private static ObjectNode tree(RaftGroupMembersView v) {
        ObjectNode n = MAPPER.createObjectNode().put("i", v.getLogIndex());
        n.set("all", ids(v.getMembers()));
        n.set("vote", ids(v.getVotingMembers()));
        return n;
    }

    private static RaftGroupMembersView view(JsonNode n) throws IOException {
        return MODEL.createRaftGroupMembersViewBuilder()
                .setLogIndex(number(n, "i"))
                .setMembers(endpoints(n, "all"))
                .setVotingMembers(endpoints(n, "vote"))
                .build();
    }

    private static ArrayNode ids(Collection<RaftEndpoint> all) {
        ArrayNode n = MAPPER.createArrayNode();
        VoterEndpoint.ids(all).forEach(n::add);
        return n;
    }

    private static Collection<RaftEndpoint> endpoints(JsonNode n, String key) throws IOException {
        // The library's members keep the order in which they came.
        Collection<RaftEndpoint> all = new java.util.LinkedHashSet<>();
        for (JsonNode e : some(n, key)) {
            all.add(VoterEndpoint.parse(e.asText()));
        }
        return all;
    }

    private static JsonNode some(JsonNode n, String key) throws IOException {
        JsonNode v = n == null ? null : n.get(key);
        if (v == null || v.isNull()) {
            throw new IOException("no " + key);
        }
        return v;
    }

    private static RaftEndpoint endpoint(JsonNode n, String key) throws IOException {
        return VoterEndpoint.parse(text(n, key));
    }

    private static String text(JsonNode n, String key) throws IOException {
        return some(n, key).asText();
    }

    private static long number(JsonNode n, String key) throws IOException {
        JsonNode v = some(n, key);
        if (!v.canConvertToLong() || v.asLong() < 0) {
            throw new IOException(key + ": " + v);
        }
        return v.asLong();
    }

    private static int integer(JsonNode n, String key) throws IOException {
        long v = number(n, key);
        if (v > Integer.MAX_VALUE) {
            throw new IOException(key + ": " + v);
        }
        return (int) v;
    }
}
