package brackenbridge.fleet.agreed;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import brackenbridge.core.generation.DecidedVersion;
import io.microraft.MembershipChangeMode;
import io.microraft.RaftEndpoint;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.message.RaftMessage;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** Messages must round-trip; malformed input must be rejected with an {@link IOException} and nothing else. */
class AgreementCodecTest {
    private static final DefaultRaftModelFactory MODEL = new DefaultRaftModelFactory();
    private static final VoterEndpoint A = new VoterEndpoint("a", "1");
    private static final Set<RaftEndpoint> ALL = Set.of(A);
    private static final RaftGroupMembersView VIEW = MODEL.createRaftGroupMembersViewBuilder()
            .setLogIndex(4)
            .setMembers(ALL)
            .setVotingMembers(ALL)
            .build();

    @Provide
    Arbitrary<Object> operations() {
        Arbitrary<byte[]> bytes = Arbitraries.bytes().array(byte[].class).ofMaxSize(400);
        Arbitrary<Long> number = Arbitraries.longs().between(0, Long.MAX_VALUE);
        return Arbitraries.oneOf(
                Combinators.combine(bytes, number, number)
                        .as((content, n, m) -> new LogCommand.Stage("s", n, content, "a", m, n)),
                number.map(n -> new LogCommand.BeginTerm("a@1", n, n)),
                number.map(n -> new LogCommand.Activate("s", n, n)),
                number.map(n -> new LogCommand.Abandon("s", n, n, "b")),
                number.map(n -> new LogCommand.GrantRole("r", "a", n, 1.5, n, n)),
                Arbitraries.of(MembershipChangeMode.class)
                        .map(m -> MODEL.createUpdateRaftGroupMembersOpBuilder()
                                .setMembers(ALL)
                                .setVotingMembers(ALL)
                                .setEndpoint(A)
                                .setMode(m)
                                .build()));
    }

    @Provide
    Arbitrary<RaftMessage> messages() {
        Arbitrary<Integer> term = Arbitraries.integers().between(0, Integer.MAX_VALUE);
        Arbitrary<Long> number = Arbitraries.longs().between(0, Long.MAX_VALUE);
        Arbitrary<LogEntry> entry = Combinators.combine(operations(), number, term)
                .as((o, i, t) -> MODEL.createLogEntryBuilder()
                        .setIndex(i)
                        .setTerm(t)
                        .setOperation(o)
                        .build());
        return Arbitraries.oneOf(
                Combinators.combine(entry.list().ofMaxSize(3), number, term)
                        .as((e, n, t) -> MODEL.createAppendEntriesRequestBuilder()
                                .setGroupId("g")
                                .setSender(A)
                                .setTerm(t)
                                .setPreviousLogTerm(t)
                                .setPreviousLogIndex(n)
                                .setCommitIndex(n)
                                .setQuerySequenceNumber(n)
                                .setFlowControlSequenceNumber(n)
                                .setLogEntries(e)
                                .build()),
                Combinators.combine(number, term)
                        .as((n, t) -> MODEL.createAppendEntriesSuccessResponseBuilder()
                                .setGroupId("g")
                                .setSender(A)
                                .setTerm(t)
                                .setLastLogIndex(n)
                                .setQuerySequenceNumber(n)
                                .setFlowControlSequenceNumber(n)
                                .build()),
                Combinators.combine(number, term)
                        .as((n, t) -> MODEL.createAppendEntriesFailureResponseBuilder()
                                .setGroupId("g")
                                .setSender(A)
                                .setTerm(t)
                                .setExpectedNextIndex(n)
                                .setQuerySequenceNumber(n)
                                .setFlowControlSequenceNumber(n)
                                .build()),
                Combinators.combine(
                                number,
                                term,
                                Arbitraries.bytes().array(byte[].class).ofMaxSize(300))
                        .as((n, t, b) -> MODEL.createInstallSnapshotRequestBuilder()
                                .setGroupId("g")
                                .setSender(A)
                                .setTerm(t)
                                .setSenderLeader(true)
                                .setSnapshotTerm(t)
                                .setSnapshotIndex(n)
                                .setTotalSnapshotChunkCount(2)
                                .setSnapshotChunk(MODEL.createSnapshotChunkBuilder()
                                        .setIndex(n)
                                        .setTerm(t)
                                        .setOperation(b)
                                        .setSnapshotChunkIndex(1)
                                        .setSnapshotChunkCount(2)
                                        .setGroupMembersView(VIEW)
                                        .build())
                                .setSnapshottedMembers(ALL)
                                .setGroupMembersView(VIEW)
                                .setQuerySequenceNumber(n)
                                .setFlowControlSequenceNumber(n)
                                .build()),
                Combinators.combine(number, term)
                        .as((n, t) -> MODEL.createInstallSnapshotResponseBuilder()
                                .setGroupId("g")
                                .setSender(A)
                                .setTerm(t)
                                .setSnapshotIndex(n)
                                .setRequestedSnapshotChunkIndex(t)
                                .setQuerySequenceNumber(n)
                                .setFlowControlSequenceNumber(n)
                                .build()),
                Combinators.combine(number, term)
                        .as((n, t) -> MODEL.createPreVoteRequestBuilder()
                                .setGroupId("g")
                                .setSender(A)
                                .setTerm(t)
                                .setLastLogTerm(t)
                                .setLastLogIndex(n)
                                .build()),
                term.map(t -> MODEL.createPreVoteResponseBuilder()
                        .setGroupId("g")
                        .setSender(A)
                        .setTerm(t)
                        .setGranted(t % 2 == 0)
                        .build()),
                Combinators.combine(number, term)
                        .as((n, t) -> MODEL.createVoteRequestBuilder()
                                .setGroupId("g")
                                .setSender(A)
                                .setTerm(t)
                                .setLastLogTerm(t)
                                .setLastLogIndex(n)
                                .setSticky(t % 2 == 0)
                                .build()),
                term.map(t -> MODEL.createVoteResponseBuilder()
                        .setGroupId("g")
                        .setSender(A)
                        .setTerm(t)
                        .setGranted(t % 2 == 0)
                        .build()),
                Combinators.combine(number, term)
                        .as((n, t) -> MODEL.createTriggerLeaderElectionRequestBuilder()
                                .setGroupId("g")
                                .setSender(A)
                                .setTerm(t)
                                .setLastLogTerm(t)
                                .setLastLogIndex(n)
                                .build()));
    }

    @Property(tries = 400, seed = "5")
    void raftMessagesRoundTrip(@ForAll("messages") RaftMessage message) throws IOException {
        byte[] encoded = AgreementCodec.frame(message);
        RaftMessage decoded = AgreementCodec.frame(encoded).raftMessage();
        assertEquals(message.getClass(), decoded.getClass());
        assertArrayEquals(encoded, AgreementCodec.frame(decoded));
    }

    @Property(tries = 600, seed = "6")
    void corruptedMessageIsParsedOrRejected(
            @ForAll("messages") RaftMessage message,
            @ForAll @Size(min = 1, max = 6) List<@IntRange(max = 1 << 20) Integer> positions,
            @ForAll byte mask,
            @ForAll boolean truncate) {
        byte[] bytes = AgreementCodec.frame(message);
        for (int i : positions) {
            bytes[i % bytes.length] ^= mask;
        }
        byte[] received = truncate ? Arrays.copyOf(bytes, positions.get(0) % bytes.length) : bytes;
        assertParsedOrRejected(received);
    }

    @Property(tries = 600, seed = "7")
    void arbitraryBytesAreParsedOrRejected(@ForAll @Size(max = 300) byte[] bytes) {
        assertParsedOrRejected(bytes);
    }

    private static void assertParsedOrRejected(byte[] bytes) {
        try {
            AgreementCodec.Frame frame = AgreementCodec.frame(bytes);
            assertEquals(frame.message() == null, frame.raftMessage() != null);
        } catch (IOException e) {
            assertNotNull(e.getMessage());
        }
    }

    @Example
    void agreementMessagesRoundTripAndMissingFieldIsRejected() throws IOException {
        AgreementMessage.RenewalResponse response = new AgreementMessage.RenewalResponse(
                3,
                4,
                "f",
                1600,
                List.of(new AgreementMessage.NameUpdate(
                        "s",
                        new DecidedVersion(5, 2, 3),
                        List.of(new AgreementMessage.GenerationContent(3, new byte[] {7}, "m")))),
                true);
        AgreementMessage.RenewalResponse decoded = (AgreementMessage.RenewalResponse)
                AgreementCodec.frame(AgreementCodec.frame(response)).message();
        assertEquals(
                response.updates().get(0).decided(), decoded.updates().get(0).decided());
        assertArrayEquals(
                new byte[] {7}, decoded.updates().get(0).contents().get(0).content());
        byte[] encoded = AgreementCodec.frame(new AgreementMessage.Hint(9));
        String text = new String(encoded, StandardCharsets.ISO_8859_1);
        byte[] other = text.replace("reign", "reigm").getBytes(StandardCharsets.ISO_8859_1);
        assertThrows(IOException.class, () -> AgreementCodec.frame(other));
        assertThrows(IOException.class, () -> AgreementCodec.frame(new byte[AgreementCodec.MAX_MESSAGE_BYTES + 1]));
    }
}
