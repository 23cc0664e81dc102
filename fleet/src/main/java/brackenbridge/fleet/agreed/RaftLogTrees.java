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
    static ObjectNode tree(BaseLogEntry entry) {
        ObjectNode tree = AgreementCodec.MAPPER
                .createObjectNode()
                .put("i", entry.getIndex())
                .put("t", entry.getTerm());
        Object operation = entry.getOperation();
        if (operation instanceof LogCommand command) {
            tree.set("o", AgreementCodec.MAPPER.valueToTree(command));
        } else if (operation instanceof byte[] bytes) {
            tree.put("b", bytes);
        } else if (operation instanceof UpdateRaftGroupMembersOp update) {
            ObjectNode change = tree.putObject("m")
                    .put("e", (String) update.getEndpoint().getId())
                    .put("y", update.getMode().name());
            change.set("all", ids(update.getMembers()));
            change.set("vote", ids(update.getVotingMembers()));
        } else {
            throw new IllegalArgumentException("operation " + operation);
        }
        if (entry instanceof SnapshotChunk chunk) {
            tree.put("ci", chunk.getSnapshotChunkIndex()).put("cn", chunk.getSnapshotChunkCount());
            tree.set("v", tree(chunk.getGroupMembersView()));
        }
        return tree;
    }

    private static Object operation(JsonNode tree) throws IOException {
        if (tree.has("o")) {
            return AgreementCodec.parse(() -> AgreementCodec.MAPPER.treeToValue(tree.get("o"), LogCommand.class));
        }
        if (tree.has("b")) {
            return AgreementCodec.parse(() -> tree.get("b").binaryValue());
        }
        JsonNode update = JsonFields.required(tree, "m");
        return AgreementCodec.MODEL_FACTORY
                .createUpdateRaftGroupMembersOpBuilder()
                .setEndpoint(JsonFields.endpoint(update, "e"))
                .setMode(MembershipChangeMode.valueOf(JsonFields.text(update, "y")))
                .setMembers(JsonFields.endpoints(update, "all"))
                .setVotingMembers(JsonFields.endpoints(update, "vote"))
                .build();
    }

    /** A log entry. */
    static LogEntry logEntry(JsonNode tree) throws IOException {
        return AgreementCodec.MODEL_FACTORY
                .createLogEntryBuilder()
                .setIndex(JsonFields.longValue(tree, "i"))
                .setTerm(JsonFields.intValue(tree, "t"))
                .setOperation(operation(tree))
                .build();
    }

    /** A chunk of a snapshot. */
    static SnapshotChunk snapshotChunk(JsonNode tree) throws IOException {
        return AgreementCodec.MODEL_FACTORY
                .createSnapshotChunkBuilder()
                .setIndex(JsonFields.longValue(tree, "i"))
                .setTerm(JsonFields.intValue(tree, "t"))
                .setOperation(operation(tree))
                .setSnapshotChunkIndex(JsonFields.intValue(tree, "ci"))
                .setSnapshotChunkCount(JsonFields.intValue(tree, "cn"))
                .setGroupMembersView(view(JsonFields.required(tree, "v")))
                .build();
    }

    /** The tree of a group's members. */
    static ObjectNode tree(RaftGroupMembersView members) {
        ObjectNode tree = AgreementCodec.MAPPER.createObjectNode().put("i", members.getLogIndex());
        tree.set("all", ids(members.getMembers()));
        tree.set("vote", ids(members.getVotingMembers()));
        return tree;
    }

    /** A group's members. */
    static RaftGroupMembersView view(JsonNode tree) throws IOException {
        return AgreementCodec.MODEL_FACTORY
                .createRaftGroupMembersViewBuilder()
                .setLogIndex(JsonFields.longValue(tree, "i"))
                .setMembers(JsonFields.endpoints(tree, "all"))
                .setVotingMembers(JsonFields.endpoints(tree, "vote"))
                .build();
    }

    /** The tree of voters. */
    static ArrayNode ids(Collection<RaftEndpoint> all) {
        ArrayNode tree = AgreementCodec.MAPPER.createArrayNode();
        VoterEndpoint.ids(all).forEach(tree::add);
        return tree;
    }
}
