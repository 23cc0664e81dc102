package brackenbridge.fleet.agreed;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.microraft.MembershipChangeMode;
import io.microraft.RaftEndpoint;
import io.microraft.model.groupop.UpdateRaftGroupMembersOp;
import io.microraft.model.log.BaseLogEntry;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import java.io.IOException;
import java.util.Collection;

/** Log entries, snapshot chunks and members of the Raft library as trees, and back. */
final class RaftLogTrees {
    private RaftLogTrees() {}

    /** The tree of a log entry or of a snapshot chunk. */
    static ObjectNode tree(BaseLogEntry e) {
        ObjectNode n =
                AgreementCodec.MAPPER.createObjectNode().put("i", e.getIndex()).put("t", e.getTerm());
        Object op = e.getOperation();
        if (op instanceof LogCommand o) {
            n.set("o", AgreementCodec.MAPPER.valueToTree(o));
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
            return AgreementCodec.parse(() -> AgreementCodec.MAPPER.treeToValue(n.get("o"), LogCommand.class));
        }
        if (n.has("b")) {
            return AgreementCodec.parse(() -> n.get("b").binaryValue());
        }
        JsonNode m = JsonFields.required(n, "m");
        return AgreementCodec.MODEL_FACTORY
                .createUpdateRaftGroupMembersOpBuilder()
                .setEndpoint(JsonFields.endpoint(m, "e"))
                .setMode(MembershipChangeMode.valueOf(JsonFields.text(m, "y")))
                .setMembers(JsonFields.endpoints(m, "all"))
                .setVotingMembers(JsonFields.endpoints(m, "vote"))
                .build();
    }

    /** A log entry. */
    static LogEntry logEntry(JsonNode n) throws IOException {
        return AgreementCodec.MODEL_FACTORY
                .createLogEntryBuilder()
                .setIndex(JsonFields.longValue(n, "i"))
                .setTerm(JsonFields.intValue(n, "t"))
                .setOperation(operation(n))
                .build();
    }

    /** A chunk of a snapshot. */
    static SnapshotChunk snapshotChunk(JsonNode n) throws IOException {
        return AgreementCodec.MODEL_FACTORY
                .createSnapshotChunkBuilder()
                .setIndex(JsonFields.longValue(n, "i"))
                .setTerm(JsonFields.intValue(n, "t"))
                .setOperation(operation(n))
                .setSnapshotChunkIndex(JsonFields.intValue(n, "ci"))
                .setSnapshotChunkCount(JsonFields.intValue(n, "cn"))
                .setGroupMembersView(view(JsonFields.required(n, "v")))
                .build();
    }

    /** The tree of a group's members. */
    static ObjectNode tree(RaftGroupMembersView v) {
        ObjectNode n = AgreementCodec.MAPPER.createObjectNode().put("i", v.getLogIndex());
        n.set("all", ids(v.getMembers()));
        n.set("vote", ids(v.getVotingMembers()));
        return n;
    }

    /** A group's members. */
    static RaftGroupMembersView view(JsonNode n) throws IOException {
        return AgreementCodec.MODEL_FACTORY
                .createRaftGroupMembersViewBuilder()
                .setLogIndex(JsonFields.longValue(n, "i"))
                .setMembers(JsonFields.endpoints(n, "all"))
                .setVotingMembers(JsonFields.endpoints(n, "vote"))
                .build();
    }

    /** The tree of voters. */
    static ArrayNode ids(Collection<RaftEndpoint> all) {
        ArrayNode n = AgreementCodec.MAPPER.createArrayNode();
        VoterEndpoint.ids(all).forEach(n::add);
        return n;
    }
}
