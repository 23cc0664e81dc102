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

/** Converts log entries, snapshot chunks and members of the Raft library to trees and back. */
final class RaftLogTrees {
    private RaftLogTrees() {}

    /** Converts a log entry or a snapshot chunk to a tree. */
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
            throw new IllegalArgumentException("unsupported log operation: " + operation);
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

    /** Reads a log entry. */
    static LogEntry logEntry(JsonNode tree) throws IOException {
        return AgreementCodec.MODEL_FACTORY
                .createLogEntryBuilder()
                .setIndex(JsonFields.longValue(tree, "i"))
                .setTerm(JsonFields.intValue(tree, "t"))
                .setOperation(operation(tree))
                .build();
    }

    /** Reads a snapshot chunk. */
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

    /** Converts the members of a Raft group to a tree. */
    static ObjectNode tree(RaftGroupMembersView members) {
        ObjectNode tree = AgreementCodec.MAPPER.createObjectNode().put("i", members.getLogIndex());
        tree.set("all", ids(members.getMembers()));
        tree.set("vote", ids(members.getVotingMembers()));
        return tree;
    }

    /** Reads the members of a Raft group. */
    static RaftGroupMembersView view(JsonNode tree) throws IOException {
        return AgreementCodec.MODEL_FACTORY
                .createRaftGroupMembersViewBuilder()
                .setLogIndex(JsonFields.longValue(tree, "i"))
                .setMembers(JsonFields.endpoints(tree, "all"))
                .setVotingMembers(JsonFields.endpoints(tree, "vote"))
                .build();
    }

    /** Converts voters to an array of their ids. */
    static ArrayNode ids(Collection<RaftEndpoint> all) {
        ArrayNode tree = AgreementCodec.MAPPER.createArrayNode();
        VoterEndpoint.ids(all).forEach(tree::add);
        return tree;
    }
}
