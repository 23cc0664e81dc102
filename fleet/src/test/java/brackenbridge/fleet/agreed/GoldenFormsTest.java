package brackenbridge.fleet.agreed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.core.generation.DecidedVersion;
import brackenbridge.fleet.GoldenFiles;
import io.microraft.MembershipChangeMode;
import io.microraft.RaftEndpoint;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.message.RaftMessage;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The encoding of the agreement's messages and of a voter's disk must match the golden files. */
class GoldenFormsTest {
    private static final DefaultRaftModelFactory MODEL = new DefaultRaftModelFactory();
    private static final VoterEndpoint ME = new VoterEndpoint("m1", "0123456789ab");
    private static final Collection<RaftEndpoint> ALL =
            new LinkedHashSet<>(List.of(ME, new VoterEndpoint("m2", "ba9876543210")));
    private static final RaftGroupMembersView VIEW = MODEL.createRaftGroupMembersViewBuilder()
            .setLogIndex(4)
            .setMembers(ALL)
            .setVotingMembers(List.of(ME))
            .build();
    private static final byte[] CONTENT = {0, 1, 127, -128, -1};
    private static final List<String> DISK_FILES = List.of("agreed.mv", "agreed.mark");

    @TempDir
    Path directory;

    private static Map<String, AgreementMessage> agreementMessages() {
        Map<String, AgreementMessage> notes = new LinkedHashMap<>();
        notes.put("hello", new AgreementMessage.Hello("0123456789ab", 3, 1_700_000_000_001L));
        notes.put(
                "facts",
                new AgreementMessage.HelloResponse(
                        "ba9876543210", List.of("m1@1", "m2@2"), "m1@1", List.of("m1@1"), 17, "0123456789ab", 2, 5));
        notes.put("join", new AgreementMessage.JoinRequest("m1@0123456789ab"));
        notes.put(
                "question",
                new AgreementMessage.RenewalRequest(
                        7, 8, List.of(new AgreementMessage.NameState("settings/tier-1", 9, 10, List.of(11L, 12L)))));
        notes.put(
                "answer",
                new AgreementMessage.RenewalResponse(
                        7,
                        8,
                        "m1@1",
                        1600.5,
                        List.of(new AgreementMessage.NameUpdate(
                                "shares",
                                new DecidedVersion(5, 2, 3),
                                List.of(new AgreementMessage.GenerationContent(3, CONTENT, "staff")))),
                        true));
        notes.put("elsewhere", new AgreementMessage.NotLeader("m2"));
        notes.put("hint", new AgreementMessage.Hint(300));
        notes.put("propose", new AgreementMessage.ProposeRequest("shares", 2, CONTENT, 7, 9));
        List<AgreedValues.Verdict> verdicts = verdicts();
        for (int i = 0; i < verdicts.size(); i++) {
            notes.put("outcome-" + i, new AgreementMessage.ProposeResponse(7, 9, verdicts.get(i), 4));
        }
        notes.put("claim", new AgreementMessage.ClaimRequest("lessor/pool", 2500.25, 7, 10));
        notes.put("claimed", new AgreementMessage.ClaimResponse(7, 10, "m2", 77, 2500.25));
        notes.put("look", new AgreementMessage.HistoryRequest("shares", 3, 7, 11));
        notes.put(
                "looked",
                new AgreementMessage.HistoryResponse(
                        7, 11, List.of(new AgreementMessage.HistoryEntry(3, "staff", 5, "in force")), CONTENT));
        return notes;
    }

    /** Listed explicitly, so that each constant keeps its golden file when it is renamed. */
    private static List<AgreedValues.Verdict> verdicts() {
        return List.of(
                AgreedValues.Verdict.IN_FORCE,
                AgreedValues.Verdict.OVERTAKEN,
                AgreedValues.Verdict.ANOTHER_STAGED,
                AgreedValues.Verdict.REFUSED,
                AgreedValues.Verdict.UNKNOWN);
    }

    private static Map<String, LogCommand> commands() {
        Map<String, LogCommand> operations = new LinkedHashMap<>();
        operations.put("reign", new LogCommand.BeginTerm("m1@1", 5, 6));
        operations.put("stage", new LogCommand.Stage("shares", 2, CONTENT, "m2", 7, 9));
        operations.put("activate", new LogCommand.Activate("shares", 4, 3));
        operations.put("abandon", new LogCommand.Abandon("shares", 4, 3, "m3"));
        operations.put("take", new LogCommand.GrantRole("lessor/pool", "m2", 7, 2500.25, 77, 3));
        return operations;
    }

    private static LogEntry entry(long index, Object operation) {
        return MODEL.createLogEntryBuilder()
                .setIndex(index)
                .setTerm(2)
                .setOperation(operation)
                .build();
    }

    private static SnapshotChunk chunk() {
        return MODEL.createSnapshotChunkBuilder()
                .setIndex(3)
                .setTerm(1)
                .setOperation(CONTENT)
                .setSnapshotChunkIndex(0)
                .setSnapshotChunkCount(1)
                .setGroupMembersView(VIEW)
                .build();
    }

    private static Object membership(MembershipChangeMode mode) {
        return MODEL.createUpdateRaftGroupMembersOpBuilder()
                .setMembers(ALL)
                .setVotingMembers(List.of(ME))
                .setEndpoint(ME)
                .setMode(mode)
                .build();
    }

    private static Map<String, RaftMessage> raftMessages() {
        Map<String, RaftMessage> messages = new LinkedHashMap<>();
        messages.put(
                "append",
                MODEL.createAppendEntriesRequestBuilder()
                        .setGroupId("fleet")
                        .setSender(ME)
                        .setTerm(2)
                        .setPreviousLogTerm(1)
                        .setPreviousLogIndex(3)
                        .setCommitIndex(4)
                        .setQuerySequenceNumber(5)
                        .setFlowControlSequenceNumber(6)
                        .setLogEntries(List.of(
                                entry(4, new LogCommand.BeginTerm("m1@1", 5, 6)),
                                entry(5, membership(MembershipChangeMode.ADD_OR_PROMOTE_TO_FOLLOWER))))
                        .build());
        messages.put(
                "appended",
                MODEL.createAppendEntriesSuccessResponseBuilder()
                        .setGroupId("fleet")
                        .setSender(ME)
                        .setTerm(2)
                        .setLastLogIndex(7)
                        .setQuerySequenceNumber(5)
                        .setFlowControlSequenceNumber(6)
                        .build());
        messages.put(
                "not-appended",
                MODEL.createAppendEntriesFailureResponseBuilder()
                        .setGroupId("fleet")
                        .setSender(ME)
                        .setTerm(2)
                        .setExpectedNextIndex(7)
                        .setQuerySequenceNumber(5)
                        .setFlowControlSequenceNumber(6)
                        .build());
        messages.put("install", install(chunk()));
        messages.put("install-without-chunk", install(null));
        messages.put(
                "installed",
                MODEL.createInstallSnapshotResponseBuilder()
                        .setGroupId("fleet")
                        .setSender(ME)
                        .setTerm(2)
                        .setSnapshotIndex(3)
                        .setRequestedSnapshotChunkIndex(1)
                        .setQuerySequenceNumber(5)
                        .setFlowControlSequenceNumber(6)
                        .build());
        messages.put(
                "pre-vote",
                MODEL.createPreVoteRequestBuilder()
                        .setGroupId("fleet")
                        .setSender(ME)
                        .setTerm(2)
                        .setLastLogTerm(1)
                        .setLastLogIndex(7)
                        .build());
        messages.put(
                "pre-voted",
                MODEL.createPreVoteResponseBuilder()
                        .setGroupId("fleet")
                        .setSender(ME)
                        .setTerm(2)
                        .setGranted(true)
                        .build());
        messages.put(
                "vote",
                MODEL.createVoteRequestBuilder()
                        .setGroupId("fleet")
                        .setSender(ME)
                        .setTerm(2)
                        .setLastLogTerm(1)
                        .setLastLogIndex(7)
                        .setSticky(true)
                        .build());
        messages.put(
                "voted",
                MODEL.createVoteResponseBuilder()
                        .setGroupId("fleet")
                        .setSender(ME)
                        .setTerm(2)
                        .setGranted(true)
                        .build());
        messages.put(
                "trigger-election",
                MODEL.createTriggerLeaderElectionRequestBuilder()
                        .setGroupId("fleet")
                        .setSender(ME)
                        .setTerm(2)
                        .setLastLogTerm(1)
                        .setLastLogIndex(7)
                        .build());
        return messages;
    }

    private static RaftMessage install(SnapshotChunk chunk) {
        return MODEL.createInstallSnapshotRequestBuilder()
                .setGroupId("fleet")
                .setSender(ME)
                .setTerm(2)
                .setSenderLeader(true)
                .setSnapshotTerm(1)
                .setSnapshotIndex(3)
                .setTotalSnapshotChunkCount(1)
                .setSnapshotChunk(chunk)
                .setSnapshottedMembers(ALL)
                .setGroupMembersView(VIEW)
                .setQuerySequenceNumber(5)
                .setFlowControlSequenceNumber(6)
                .build();
    }

    private static AgreedState.Snapshot snapshot() {
        List<AgreedState.Generation> history = List.of(
                new AgreedState.Generation(1, CONTENT, "staff", 7, 8, AgreedState.Outcome.ABANDONED),
                new AgreedState.Generation(2, CONTENT, "staff", 7, 9, AgreedState.Outcome.IN_FORCE),
                new AgreedState.Generation(3, CONTENT, "m2", 7, 10, AgreedState.Outcome.STAGED));
        return new AgreedState.Snapshot(
                6,
                List.of(new AgreedState.NamedValue("shares", new DecidedVersion(5, 2, 3), 3, history)),
                List.of(new AgreedState.RoleState("lessor/pool", "m2", 7, 77, 2500.25)));
    }

    private static RaftTermPersistentState term(RaftEndpoint votedFor) {
        return MODEL.createRaftTermPersistentStateBuilder()
                .setTerm(7)
                .setVotedFor(votedFor)
                .build();
    }

    @Test
    void agreementMessagesMatchGoldenFiles() throws IOException {
        GoldenFiles.assertAllCovered(AgreementMessage.class, agreementMessages().values());
        assertEquals(AgreedValues.Verdict.values().length, verdicts().size());
        for (Map.Entry<String, AgreementMessage> note : agreementMessages().entrySet()) {
            GoldenFiles.check(
                    "agreed/note-" + note.getKey(),
                    note.getValue(),
                    AgreementCodec::frame,
                    bytes -> AgreementCodec.frame(bytes).message());
        }
    }

    @Test
    void logEntriesMatchGoldenFiles() throws IOException {
        GoldenFiles.assertAllCovered(LogCommand.class, commands().values());
        for (Map.Entry<String, LogCommand> operation : commands().entrySet()) {
            GoldenFiles.check(
                    "agreed/entry-" + operation.getKey(),
                    entry(4, operation.getValue()),
                    AgreementCodec::logEntry,
                    AgreementCodec::logEntry);
        }
        for (MembershipChangeMode mode : MembershipChangeMode.values()) {
            GoldenFiles.check(
                    "agreed/entry-members-" + mode.ordinal(),
                    entry(5, membership(mode)),
                    AgreementCodec::logEntry,
                    AgreementCodec::logEntry);
        }
        GoldenFiles.check("agreed/entry-bytes", entry(6, CONTENT), AgreementCodec::logEntry, AgreementCodec::logEntry);
    }

    @Test
    void raftMessagesMatchGoldenFiles() throws IOException {
        for (Map.Entry<String, RaftMessage> message : raftMessages().entrySet()) {
            GoldenFiles.check(
                    "agreed/raft-" + message.getKey(),
                    message.getValue(),
                    AgreementCodec::frame,
                    bytes -> AgreementCodec.frame(bytes).raftMessage());
        }
    }

    @Test
    void storedValuesMatchGoldenFiles() throws IOException {
        assertEquals(3, AgreedState.Outcome.values().length);
        GoldenFiles.check("agreed/image", snapshot(), AgreementCodec::snapshot, AgreementCodec::snapshot);
        GoldenFiles.check(
                "agreed/snapshot-chunk", chunk(), AgreementCodec::snapshotChunk, AgreementCodec::snapshotChunk);
        GoldenFiles.check("agreed/members", VIEW, AgreementCodec::groupMembers, AgreementCodec::groupMembers);
        GoldenFiles.check("agreed/term", term(ME), AgreementCodec::termState, AgreementCodec::termState);
        GoldenFiles.check("agreed/term-without-vote", term(null), AgreementCodec::termState, AgreementCodec::termState);
        GoldenFiles.check(
                "agreed/local-endpoint",
                MODEL.createRaftEndpointPersistentStateBuilder()
                        .setLocalEndpoint(ME)
                        .setVoting(true)
                        .build(),
                AgreementCodec::endpointState,
                AgreementCodec::endpointState);
    }

    @Test
    void opensGoldenVoterDisk() throws IOException {
        if (GoldenFiles.isWriteEnabled()) {
            writeDisk();
        }
        Path copy = Files.createDirectories(directory.resolve("copy"));
        for (String file : DISK_FILES) {
            Files.write(copy.resolve(file), GoldenFiles.read("agreed/voter-disk-" + file));
        }
        try (VoterStore store = VoterStore.open(copy, "fleet", "m1")) {
            assertTrue(store.diskId().matches("[0-9a-f]{24}"), store.diskId());
            assertEquals(2, store.startCount());
            assertEquals(List.of("m1", "m2"), store.bootstrapVoters());
            assertEquals(false, store.isJoining());
            assertEquals(17, store.joinLogIndex());
            assertEquals(Optional.of("ba9876543210 2 5"), store.lastSeen("m2"));
            assertEquals(Optional.empty(), store.lastSeen("m3"));
            assertRestored(store.restored().orElseThrow());
        }
    }

    private static void assertRestored(RestoredRaftState restored) {
        GoldenFiles.assertDeepEquals(
                "me", ME, restored.getLocalEndpointPersistentState().getLocalEndpoint());
        assertEquals(true, restored.getLocalEndpointPersistentState().isVoting());
        GoldenFiles.assertDeepEquals("members", VIEW, restored.getInitialGroupMembers());
        GoldenFiles.assertDeepEquals("term", term(ME), restored.getTermPersistentState());
        assertEquals(3, restored.getSnapshotEntry().getIndex());
        assertEquals(1, restored.getSnapshotEntry().getTerm());
        GoldenFiles.assertDeepEquals("snapshot", List.of(chunk()), (Iterable<?>)
                restored.getSnapshotEntry().getOperation());
        GoldenFiles.assertDeepEquals("entries", diskEntries(), restored.getLogEntries());
    }

    private static List<LogEntry> diskEntries() {
        List<LogEntry> entries = new ArrayList<>();
        long index = 4;
        for (LogCommand operation : commands().values()) {
            entries.add(entry(index++, operation));
        }
        entries.add(entry(index, membership(MembershipChangeMode.REMOVE_MEMBER)));
        return entries;
    }

    private void writeDisk() throws IOException {
        Path written = directory.resolve("written");
        try (VoterStore store = VoterStore.open(written, "fleet", "m1")) {
            store.saveBootstrapVoters(List.of("m1", "m2"), true);
            store.saveJoined(17);
            store.saveLastSeen("m2", "ba9876543210 2 5");
            store.persistAndFlushLocalEndpoint(MODEL.createRaftEndpointPersistentStateBuilder()
                    .setLocalEndpoint(ME)
                    .setVoting(true)
                    .build());
            store.persistAndFlushInitialGroupMembers(VIEW);
            store.persistSnapshotChunk(chunk());
            store.persistLogEntries(diskEntries());
            store.persistAndFlushTerm(term(ME));
        }
        for (String file : DISK_FILES) {
            GoldenFiles.writeIfEnabled("agreed/voter-disk-" + file, Files.readAllBytes(written.resolve(file)));
        }
    }
}
