package brackenbridge.fleet.agreed;

import brackenbridge.core.generation.DecidedVersion;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;

/**
 * Messages between members beside the Raft library's. Any may be lost, delayed or repeated. Components keep their
 * serialized names, which are older than the Java names.
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
     * A voter has started and asks what the others know of it.
     *
     * @param starts how often its disk was started with
     */
    record Hello(
            @JsonProperty("disk") String diskId,
            @JsonProperty("starts") long startCount,
            @JsonProperty("life") long incarnation)
            implements AgreementMessage {}

    /**
     * The answer to a hello.
     *
     * @param disk the answerer's disk; empty if it does not vote
     * @param bootstrapVoters the voters that the Raft group began with; empty if the answerer knows of none
     * @param follows the Raft group that it has acted by; empty if none
     * @param members the voters of now; empty if unknown
     * @param membersSince the change of members that made them the voters; 0 at the bootstrap
     * @param seenDisk the asker's disk when it was last heard of before
     * @param seenStarts that disk's starts then
     * @param seenLife the asker's life then
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

    /** A voter with a new disk asks to take its old one's place. */
    record JoinRequest(@JsonProperty("endpoint") String endpoint) implements AgreementMessage {}

    /**
     * What a member holds of a name.
     *
     * @param version the version of the decision that it acts by
     * @param refused the generation that it can't use; 0 if none
     * @param has the generations whose content it has
     */
    record NameState(
            @JsonProperty("name") String name,
            @JsonProperty("version") long version,
            @JsonProperty("refused") long rejectedGeneration,
            @JsonProperty("has") List<Long> knownGenerations) {}

    /** A member asks whether it may go on, and by what: one question for all names. */
    record RenewalRequest(
            @JsonProperty("life") long incarnation,
            @JsonProperty("number") long requestNumber,
            @JsonProperty("heard") List<NameState> names)
            implements AgreementMessage {}

    /** A generation's content. */
    record GenerationContent(
            @JsonProperty("generation") long generation,
            @JsonProperty("content") byte[] content,
            @JsonProperty("by") String proposer) {}

    /** What is decided of a name, with the contents that the asker lacks. */
    record NameUpdate(
            @JsonProperty("name") String name,
            @JsonProperty("word") DecidedVersion decided,
            @JsonProperty("items") List<GenerationContent> contents) {}

    /**
     * The answer to a question; a name whose contents had no room is not in it and is asked for again.
     *
     * @param whole whether all names had room
     */
    record RenewalResponse(
            @JsonProperty("life") long incarnation,
            @JsonProperty("number") long requestNumber,
            @JsonProperty("founding") String groupId,
            @JsonProperty("leaseMs") double leaseMs,
            @JsonProperty("told") List<NameUpdate> updates,
            @JsonProperty("whole") boolean complete)
            implements AgreementMessage {}

    /** The asked one does not lead; empty if it does not know who does. */
    record NotLeader(@JsonProperty("leader") String leader) implements AgreementMessage {}

    /** There is news, or another leader: the sender. Carries no promise. */
    record Hint(@JsonProperty("reign") long leaderTerm) implements AgreementMessage {}

    /** A proposal; sent again until there is an outcome. */
    record ProposeRequest(
            @JsonProperty("name") String name,
            @JsonProperty("expected") long expectedGeneration,
            @JsonProperty("content") byte[] content,
            @JsonProperty("life") long incarnation,
            @JsonProperty("number") long requestNumber)
            implements AgreementMessage {}

    /**
     * What came of a proposal.
     *
     * @param generation the number that it was given; 0 if none
     */
    record ProposeResponse(
            @JsonProperty("life") long incarnation,
            @JsonProperty("number") long requestNumber,
            @JsonProperty("verdict") AgreedValues.Verdict verdict,
            @JsonProperty("generation") long generation)
            implements AgreementMessage {}

    /** A member asks to act in a role, or to go on in it. */
    record ClaimRequest(
            @JsonProperty("role") String role,
            @JsonProperty("forMs") double leaseMs,
            @JsonProperty("life") long incarnation,
            @JsonProperty("number") long requestNumber)
            implements AgreementMessage {}

    /**
     * Who acts in it.
     *
     * @param forMs for how long from the moment of the claim, if it is the asker; else 0
     */
    record ClaimResponse(
            @JsonProperty("life") long incarnation,
            @JsonProperty("number") long requestNumber,
            @JsonProperty("holder") String holder,
            @JsonProperty("token") long token,
            @JsonProperty("forMs") double leaseMs)
            implements AgreementMessage {}

    /** Staff ask for a name's generations; a generation of 0 asks for the list, without contents. */
    record HistoryRequest(
            @JsonProperty("name") String name,
            @JsonProperty("generation") long generation,
            @JsonProperty("life") long incarnation,
            @JsonProperty("number") long requestNumber)
            implements AgreementMessage {}

    /** A generation of a name's history: {@code came} is what came of it. */
    record HistoryEntry(
            @JsonProperty("generation") long generation,
            @JsonProperty("by") String proposer,
            @JsonProperty("bytes") int contentBytes,
            @JsonProperty("came") String outcome) {}

    /** The answer for staff. */
    record HistoryResponse(
            @JsonProperty("life") long incarnation,
            @JsonProperty("number") long requestNumber,
            @JsonProperty("lines") List<HistoryEntry> entries,
            @JsonProperty("content") byte[] content)
            implements AgreementMessage {}
}
