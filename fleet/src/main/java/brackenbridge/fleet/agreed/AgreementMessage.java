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
    @JsonSubTypes.Type(value = AgreementMessage.Facts.class, name = "facts"),
    @JsonSubTypes.Type(value = AgreementMessage.Join.class, name = "join"),
    @JsonSubTypes.Type(value = AgreementMessage.Question.class, name = "question"),
    @JsonSubTypes.Type(value = AgreementMessage.Answer.class, name = "answer"),
    @JsonSubTypes.Type(value = AgreementMessage.Elsewhere.class, name = "elsewhere"),
    @JsonSubTypes.Type(value = AgreementMessage.Hint.class, name = "hint"),
    @JsonSubTypes.Type(value = AgreementMessage.Propose.class, name = "propose"),
    @JsonSubTypes.Type(value = AgreementMessage.Outcome.class, name = "outcome"),
    @JsonSubTypes.Type(value = AgreementMessage.Claim.class, name = "claim"),
    @JsonSubTypes.Type(value = AgreementMessage.Claimed.class, name = "claimed"),
    @JsonSubTypes.Type(value = AgreementMessage.Look.class, name = "look"),
    @JsonSubTypes.Type(value = AgreementMessage.Looked.class, name = "looked"),
})
sealed interface AgreementMessage {
    /**
     * A voter has started and asks what the others know of it.
     *
     * @param starts how often its disk was started with
     */
    record Hello(
            @JsonProperty("disk") String disk,
            @JsonProperty("starts") long starts,
            @JsonProperty("life") long life) implements AgreementMessage {}

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
    record Facts(
            @JsonProperty("disk") String disk,
            @JsonProperty("founding") List<String> bootstrapVoters,
            @JsonProperty("follows") String follows,
            @JsonProperty("members") List<String> members,
            @JsonProperty("membersSince") long membersSince,
            @JsonProperty("seenDisk") String seenDisk,
            @JsonProperty("seenStarts") long seenStarts,
            @JsonProperty("seenLife") long seenLife)
            implements AgreementMessage {}

    /** A voter with a new disk asks to take its old one's place. */
    record Join(@JsonProperty("endpoint") String endpoint) implements AgreementMessage {}

    /**
     * What a member holds of a name.
     *
     * @param version the version of the decision that it acts by
     * @param refused the generation that it can't use; 0 if none
     * @param has the generations whose content it has
     */
    record Heard(
            @JsonProperty("name") String name,
            @JsonProperty("version") long version,
            @JsonProperty("refused") long refused,
            @JsonProperty("has") List<Long> has) {}

    /** A member asks whether it may go on, and by what: one question for all names. */
    record Question(
            @JsonProperty("life") long life,
            @JsonProperty("number") long number,
            @JsonProperty("heard") List<Heard> heard)
            implements AgreementMessage {}

    /** A generation's content. */
    record Item(
            @JsonProperty("generation") long generation,
            @JsonProperty("content") byte[] content,
            @JsonProperty("by") String by) {}

    /** What is decided of a name, with the contents that the asker lacks. */
    record Told(
            @JsonProperty("name") String name,
            @JsonProperty("word") DecidedVersion word,
            @JsonProperty("items") List<Item> items) {}

    /**
     * The answer to a question; a name whose contents had no room is not in it and is asked for again.
     *
     * @param whole whether all names had room
     */
    record Answer(
            @JsonProperty("life") long life,
            @JsonProperty("number") long number,
            @JsonProperty("founding") String groupId,
            @JsonProperty("leaseMs") double leaseMs,
            @JsonProperty("told") List<Told> told,
            @JsonProperty("whole") boolean whole)
            implements AgreementMessage {}

    /** The asked one does not lead; empty if it does not know who does. */
    record Elsewhere(@JsonProperty("leader") String leader) implements AgreementMessage {}

    /** There is news, or another leader: the sender. Carries no promise. */
    record Hint(@JsonProperty("reign") long leaderTerm) implements AgreementMessage {}

    /** A proposal; sent again until there is an outcome. */
    record Propose(
            @JsonProperty("name") String name,
            @JsonProperty("expected") long expected,
            @JsonProperty("content") byte[] content,
            @JsonProperty("life") long life,
            @JsonProperty("number") long number)
            implements AgreementMessage {}

    /**
     * What came of a proposal.
     *
     * @param generation the number that it was given; 0 if none
     */
    record Outcome(
            @JsonProperty("life") long life,
            @JsonProperty("number") long number,
            @JsonProperty("verdict") AgreedValues.Verdict verdict,
            @JsonProperty("generation") long generation)
            implements AgreementMessage {}

    /** A member asks to act in a role, or to go on in it. */
    record Claim(
            @JsonProperty("role") String role,
            @JsonProperty("forMs") double forMs,
            @JsonProperty("life") long life,
            @JsonProperty("number") long number)
            implements AgreementMessage {}

    /**
     * Who acts in it.
     *
     * @param forMs for how long from the moment of the claim, if it is the asker; else 0
     */
    record Claimed(
            @JsonProperty("life") long life,
            @JsonProperty("number") long number,
            @JsonProperty("holder") String holder,
            @JsonProperty("token") long token,
            @JsonProperty("forMs") double forMs)
            implements AgreementMessage {}

    /** Staff ask for a name's generations; a generation of 0 asks for the list, without contents. */
    record Look(
            @JsonProperty("name") String name,
            @JsonProperty("generation") long generation,
            @JsonProperty("life") long life,
            @JsonProperty("number") long number)
            implements AgreementMessage {}

    /** A generation of a name's history: {@code came} is what came of it. */
    record Line(
            @JsonProperty("generation") long generation,
            @JsonProperty("by") String by,
            @JsonProperty("bytes") int bytes,
            @JsonProperty("came") String came) {}

    /** The answer for staff. */
    record Looked(
            @JsonProperty("life") long life,
            @JsonProperty("number") long number,
            @JsonProperty("lines") List<Line> lines,
            @JsonProperty("content") byte[] content)
            implements AgreementMessage {}
}
