package brackenbridge.fleet.agreed;

import brackenbridge.core.generation.DecidedVersion;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;

/**
 * Messages between members, in addition to those of the Raft library. Messages may be lost, delayed or duplicated. The
 * serialized names of types and components are fixed and differ from the Java names.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "note")
@JsonSubTypes({
    @JsonSubTypes.Type(value = AgreementMessage.Hello.class, name = "hello"),
    @JsonSubTypes.Type(value = AgreementMessage.HelloResponse.class, name = "facts"),
    @JsonSubTypes.Type(value = AgreementMessage.JoinRequest.class, name = "join"),
    @JsonSubTypes.Type(value = AgreementMessage.RenewalRequest.class, name = "question"),
    @JsonSubTypes.Type(value = AgreementMessage.RenewalResponse.class, name = "answer"),
    @JsonSubTypes.Type(value = AgreementMessage.NotLeader.class, name = "elsewhere"),
    @JsonSubTypes.Type(value = AgreementMessage.Hint.class, name = "hint"),
    @JsonSubTypes.Type(value = AgreementMessage.ProposeRequest.class, name = "propose"),
    @JsonSubTypes.Type(value = AgreementMessage.ProposeResponse.class, name = "outcome"),
    @JsonSubTypes.Type(value = AgreementMessage.ClaimRequest.class, name = "claim"),
    @JsonSubTypes.Type(value = AgreementMessage.ClaimResponse.class, name = "claimed"),
    @JsonSubTypes.Type(value = AgreementMessage.HistoryRequest.class, name = "look"),
    @JsonSubTypes.Type(value = AgreementMessage.HistoryResponse.class, name = "looked"),
})
sealed interface AgreementMessage {
    /**
     * A voter has started and asks the other members what they know about it.
     *
     * @param startCount the number of starts with its disk
     */
    record Hello(
            @JsonProperty("disk") String diskId,
            @JsonProperty("starts") long startCount,
            @JsonProperty("life") long incarnation)
            implements AgreementMessage {}

    /**
     * The response to a {@link Hello}.
     *
     * @param diskId the responder's disk; empty if it is not a voter
     * @param bootstrapVoters the initial voters of the Raft group; empty if the responder knows no group
     * @param followedGroup the Raft group whose leases the responder has accepted; empty if none
     * @param members the current voters; empty if unknown
     * @param membersLogIndex the log index of the membership change that made them voters; 0 at the bootstrap
     * @param lastSeenDiskId the requester's disk by its previous hello; empty if there was none
     * @param lastSeenStartCount the start count by that hello
     * @param lastSeenIncarnation the requester's incarnation by that hello
     */
    record HelloResponse(
            @JsonProperty("disk") String diskId,
            @JsonProperty("founding") List<String> bootstrapVoters,
            @JsonProperty("follows") String followedGroup,
            @JsonProperty("members") List<String> members,
            @JsonProperty("membersSince") long membersLogIndex,
            @JsonProperty("seenDisk") String lastSeenDiskId,
            @JsonProperty("seenStarts") long lastSeenStartCount,
            @JsonProperty("seenLife") long lastSeenIncarnation)
            implements AgreementMessage {}

    /** A voter with a new disk asks to replace the voter with its old disk. */
    record JoinRequest(@JsonProperty("endpoint") String endpoint) implements AgreementMessage {}

    /**
     * What a member knows of a name.
     *
     * @param version the decided version that it uses
     * @param rejectedGeneration the generation that it can't use; 0 if none
     * @param knownGenerations the generations whose content it has
     */
    record NameState(
            @JsonProperty("name") String name,
            @JsonProperty("version") long version,
            @JsonProperty("refused") long rejectedGeneration,
            @JsonProperty("has") List<Long> knownGenerations) {}

    /** A member requests to renew its lease and to get changed values: one request for all names. */
    record RenewalRequest(
            @JsonProperty("life") long incarnation,
            @JsonProperty("number") long requestNumber,
            @JsonProperty("heard") List<NameState> names)
            implements AgreementMessage {}

    /** The content of a generation. */
    record GenerationContent(
            @JsonProperty("generation") long generation,
            @JsonProperty("content") byte[] content,
            @JsonProperty("by") String proposer) {}

    /** The decided version of a name, with the contents that the requester lacks. */
    record NameUpdate(
            @JsonProperty("name") String name,
            @JsonProperty("word") DecidedVersion decided,
            @JsonProperty("items") List<GenerationContent> contents) {}

    /**
     * The response to a {@link RenewalRequest}. Names whose contents exceed the size limit are omitted; the next
     * request gets them.
     *
     * @param complete whether it includes all names
     */
    record RenewalResponse(
            @JsonProperty("life") long incarnation,
            @JsonProperty("number") long requestNumber,
            @JsonProperty("founding") String groupId,
            @JsonProperty("leaseMs") double leaseMs,
            @JsonProperty("told") List<NameUpdate> updates,
            @JsonProperty("whole") boolean complete)
            implements AgreementMessage {}

    /** The receiver of a request is not the leader; {@code leader} is empty if it does not know the leader. */
    record NotLeader(@JsonProperty("leader") String leader) implements AgreementMessage {}

    /** The sender is the leader, and a value has changed or a leader term has begun. Grants nothing. */
    record Hint(@JsonProperty("reign") long leaderTerm) implements AgreementMessage {}

    /** A proposal; resent until there is a response. */
    record ProposeRequest(
            @JsonProperty("name") String name,
            @JsonProperty("expected") long expectedGeneration,
            @JsonProperty("content") byte[] content,
            @JsonProperty("life") long incarnation,
            @JsonProperty("number") long requestNumber)
            implements AgreementMessage {}

    /**
     * The result of a proposal.
     *
     * @param generation the generation created from it; 0 if none
     */
    record ProposeResponse(
            @JsonProperty("life") long incarnation,
            @JsonProperty("number") long requestNumber,
            @JsonProperty("verdict") AgreedValues.Verdict verdict,
            @JsonProperty("generation") long generation)
            implements AgreementMessage {}

    /** A member requests the lease of a role, or its renewal. */
    record ClaimRequest(
            @JsonProperty("role") String role,
            @JsonProperty("forMs") double leaseMs,
            @JsonProperty("life") long incarnation,
            @JsonProperty("number") long requestNumber)
            implements AgreementMessage {}

    /**
     * The response to a {@link ClaimRequest}.
     *
     * @param holder the lease holder of the role
     * @param leaseMs the lease, counted from the sending of the request, if the requester is the holder; else 0
     */
    record ClaimResponse(
            @JsonProperty("life") long incarnation,
            @JsonProperty("number") long requestNumber,
            @JsonProperty("holder") String holder,
            @JsonProperty("token") long token,
            @JsonProperty("forMs") double leaseMs)
            implements AgreementMessage {}

    /** An operator's request for the generations of a name; generation 0 requests the list without a content. */
    record HistoryRequest(
            @JsonProperty("name") String name,
            @JsonProperty("generation") long generation,
            @JsonProperty("life") long incarnation,
            @JsonProperty("number") long requestNumber)
            implements AgreementMessage {}

    /** A generation in the history of a name. */
    record HistoryEntry(
            @JsonProperty("generation") long generation,
            @JsonProperty("by") String proposer,
            @JsonProperty("bytes") int contentBytes,
            @JsonProperty("came") String outcome) {}

    /** The response to a {@link HistoryRequest}; the content is empty if the generation is not stored. */
    record HistoryResponse(
            @JsonProperty("life") long incarnation,
            @JsonProperty("number") long requestNumber,
            @JsonProperty("lines") List<HistoryEntry> entries,
            @JsonProperty("content") byte[] content)
            implements AgreementMessage {}
}
