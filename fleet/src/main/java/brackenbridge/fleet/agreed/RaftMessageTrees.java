package brackenbridge.fleet.agreed;

import static brackenbridge.fleet.agreed.AgreementCodec.MAPPER;
import static brackenbridge.fleet.agreed.AgreementCodec.MODEL_FACTORY;
import static brackenbridge.fleet.agreed.JsonFields.endpoint;
import static brackenbridge.fleet.agreed.JsonFields.endpoints;
import static brackenbridge.fleet.agreed.JsonFields.intValue;
import static brackenbridge.fleet.agreed.JsonFields.longValue;
import static brackenbridge.fleet.agreed.JsonFields.required;
import static brackenbridge.fleet.agreed.JsonFields.text;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.microraft.RaftEndpoint;
import io.microraft.model.log.LogEntry;
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
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Converts the Raft library's messages to trees and back. Keys are short, because each message contains them. */
final class RaftMessageTrees {
    private RaftMessageTrees() {}

    /** Properties of all messages: the Raft group, the sender and the sender's term. */
    private record Header(String groupId, RaftEndpoint sender, int term) {}

    /** Converts a message to a tree; property {@code k} is its type. */
    static ObjectNode tree(RaftMessage message) {
        ObjectNode tree = MAPPER.createObjectNode()
                .put("g", (String) message.getGroupId())
                .put("s", (String) message.getSender().getId())
                .put("t", message.getTerm());
        if (message instanceof AppendEntriesRequest request) {
            putAppend(tree, request);
        } else if (message instanceof AppendEntriesSuccessResponse response) {
            tree.put("k", "appended").put("i", response.getLastLogIndex());
            putSequence(tree, response.getQuerySequenceNumber(), response.getFlowControlSequenceNumber());
        } else if (message instanceof AppendEntriesFailureResponse response) {
            tree.put("k", "not").put("i", response.getExpectedNextIndex());
            putSequence(tree, response.getQuerySequenceNumber(), response.getFlowControlSequenceNumber());
        } else if (message instanceof InstallSnapshotRequest request) {
            putInstall(tree, request);
        } else if (message instanceof InstallSnapshotResponse response) {
            tree.put("k", "want")
                    .put("i", response.getSnapshotIndex())
                    .put("n", response.getRequestedSnapshotChunkIndex());
            putSequence(tree, response.getQuerySequenceNumber(), response.getFlowControlSequenceNumber());
        } else {
            putElection(tree, message);
        }
        return tree;
    }

    private static void putAppend(ObjectNode tree, AppendEntriesRequest request) {
        tree.put("k", "append")
                .put("pt", request.getPreviousLogTerm())
                .put("pi", request.getPreviousLogIndex())
                .put("c", request.getCommitIndex());
        putSequence(tree, request.getQuerySequenceNumber(), request.getFlowControlSequenceNumber());
        ArrayNode entries = tree.putArray("e");
        request.getLogEntries().forEach(entry -> entries.add(RaftLogTrees.tree(entry)));
    }

    private static void putInstall(ObjectNode tree, InstallSnapshotRequest request) {
        tree.put("k", "install")
                .put("l", request.isSenderLeader())
                .put("st", request.getSnapshotTerm())
                .put("i", request.getSnapshotIndex())
                .put("n", request.getTotalSnapshotChunkCount());
        putSequence(tree, request.getQuerySequenceNumber(), request.getFlowControlSequenceNumber());
        if (request.getSnapshotChunk() != null) {
            tree.set("ch", RaftLogTrees.tree(request.getSnapshotChunk()));
        }
        tree.set("sm", RaftLogTrees.ids(request.getSnapshottedMembers()));
        tree.set("v", RaftLogTrees.tree(request.getGroupMembersView()));
    }

    private static void putElection(ObjectNode tree, RaftMessage message) {
        if (message instanceof PreVoteRequest request) {
            tree.put("k", "may").put("lt", request.getLastLogTerm()).put("i", request.getLastLogIndex());
        } else if (message instanceof PreVoteResponse response) {
            tree.put("k", "might").put("y", response.isGranted());
        } else if (message instanceof VoteRequest request) {
            tree.put("k", "vote")
                    .put("lt", request.getLastLogTerm())
                    .put("i", request.getLastLogIndex())
                    .put("y", request.isSticky());
        } else if (message instanceof VoteResponse response) {
            tree.put("k", "voted").put("y", response.isGranted());
        } else if (message instanceof TriggerLeaderElectionRequest request) {
            tree.put("k", "lead").put("lt", request.getLastLogTerm()).put("i", request.getLastLogIndex());
        } else {
            throw new IllegalArgumentException(
                    "unsupported message: " + message.getClass().getName());
        }
    }

    private static void putSequence(ObjectNode tree, long querySequence, long flowControlSequence) {
        tree.put("q", querySequence).put("f", flowControlSequence);
    }

    /**
     * Reads a message.
     *
     * @throws IOException if its type is unknown, or a property is missing or out of range
     */
    static RaftMessage message(JsonNode tree) throws IOException {
        Header header = new Header(text(tree, "g"), endpoint(tree, "s"), intValue(tree, "t"));
        String type = text(tree, "k");
        return switch (type) {
            case "append" -> append(header, tree);
            case "appended" -> appendSuccess(header, tree);
            case "not" -> appendFailure(header, tree);
            case "install" -> install(header, tree);
            case "want" -> installResponse(header, tree);
            case "may" -> preVote(header, tree);
            case "might" -> preVoteResponse(header, tree);
            case "vote" -> vote(header, tree);
            case "voted" -> voteResponse(header, tree);
            case "lead" -> triggerElection(header, tree);
            default -> throw new IOException("unknown message type '" + type + "'");
        };
    }

    private static RaftMessage append(Header header, JsonNode tree) throws IOException {
        List<LogEntry> entries = new ArrayList<>();
        for (JsonNode entry : required(tree, "e")) {
            entries.add(RaftLogTrees.logEntry(entry));
        }
        return MODEL_FACTORY
                .createAppendEntriesRequestBuilder()
                .setGroupId(header.groupId())
                .setSender(header.sender())
                .setTerm(header.term())
                .setPreviousLogTerm(intValue(tree, "pt"))
                .setPreviousLogIndex(longValue(tree, "pi"))
                .setCommitIndex(longValue(tree, "c"))
                .setQuerySequenceNumber(longValue(tree, "q"))
                .setFlowControlSequenceNumber(longValue(tree, "f"))
                .setLogEntries(entries)
                .build();
    }

    private static RaftMessage appendSuccess(Header header, JsonNode tree) throws IOException {
        return MODEL_FACTORY
                .createAppendEntriesSuccessResponseBuilder()
                .setGroupId(header.groupId())
                .setSender(header.sender())
                .setTerm(header.term())
                .setLastLogIndex(longValue(tree, "i"))
                .setQuerySequenceNumber(longValue(tree, "q"))
                .setFlowControlSequenceNumber(longValue(tree, "f"))
                .build();
    }

    private static RaftMessage appendFailure(Header header, JsonNode tree) throws IOException {
        return MODEL_FACTORY
                .createAppendEntriesFailureResponseBuilder()
                .setGroupId(header.groupId())
                .setSender(header.sender())
                .setTerm(header.term())
                .setExpectedNextIndex(longValue(tree, "i"))
                .setQuerySequenceNumber(longValue(tree, "q"))
                .setFlowControlSequenceNumber(longValue(tree, "f"))
                .build();
    }

    private static RaftMessage install(Header header, JsonNode tree) throws IOException {
        return MODEL_FACTORY
                .createInstallSnapshotRequestBuilder()
                .setGroupId(header.groupId())
                .setSender(header.sender())
                .setTerm(header.term())
                .setSenderLeader(required(tree, "l").asBoolean())
                .setSnapshotTerm(intValue(tree, "st"))
                .setSnapshotIndex(longValue(tree, "i"))
                .setTotalSnapshotChunkCount(intValue(tree, "n"))
                .setSnapshotChunk(tree.has("ch") ? RaftLogTrees.snapshotChunk(tree.get("ch")) : null)
                .setSnapshottedMembers(endpoints(tree, "sm"))
                .setGroupMembersView(RaftLogTrees.view(required(tree, "v")))
                .setQuerySequenceNumber(longValue(tree, "q"))
                .setFlowControlSequenceNumber(longValue(tree, "f"))
                .build();
    }

    private static RaftMessage installResponse(Header header, JsonNode tree) throws IOException {
        return MODEL_FACTORY
                .createInstallSnapshotResponseBuilder()
                .setGroupId(header.groupId())
                .setSender(header.sender())
                .setTerm(header.term())
                .setSnapshotIndex(longValue(tree, "i"))
                .setRequestedSnapshotChunkIndex(intValue(tree, "n"))
                .setQuerySequenceNumber(longValue(tree, "q"))
                .setFlowControlSequenceNumber(longValue(tree, "f"))
                .build();
    }

    private static RaftMessage preVote(Header header, JsonNode tree) throws IOException {
        return MODEL_FACTORY
                .createPreVoteRequestBuilder()
                .setGroupId(header.groupId())
                .setSender(header.sender())
                .setTerm(header.term())
                .setLastLogTerm(intValue(tree, "lt"))
                .setLastLogIndex(longValue(tree, "i"))
                .build();
    }

    private static RaftMessage preVoteResponse(Header header, JsonNode tree) throws IOException {
        return MODEL_FACTORY
                .createPreVoteResponseBuilder()
                .setGroupId(header.groupId())
                .setSender(header.sender())
                .setTerm(header.term())
                .setGranted(required(tree, "y").asBoolean())
                .build();
    }

    private static RaftMessage vote(Header header, JsonNode tree) throws IOException {
        return MODEL_FACTORY
                .createVoteRequestBuilder()
                .setGroupId(header.groupId())
                .setSender(header.sender())
                .setTerm(header.term())
                .setLastLogTerm(intValue(tree, "lt"))
                .setLastLogIndex(longValue(tree, "i"))
                .setSticky(required(tree, "y").asBoolean())
                .build();
    }

    private static RaftMessage voteResponse(Header header, JsonNode tree) throws IOException {
        return MODEL_FACTORY
                .createVoteResponseBuilder()
                .setGroupId(header.groupId())
                .setSender(header.sender())
                .setTerm(header.term())
                .setGranted(required(tree, "y").asBoolean())
                .build();
    }

    private static RaftMessage triggerElection(Header header, JsonNode tree) throws IOException {
        return MODEL_FACTORY
                .createTriggerLeaderElectionRequestBuilder()
                .setGroupId(header.groupId())
                .setSender(header.sender())
                .setTerm(header.term())
                .setLastLogTerm(intValue(tree, "lt"))
                .setLastLogIndex(longValue(tree, "i"))
                .build();
    }
}
