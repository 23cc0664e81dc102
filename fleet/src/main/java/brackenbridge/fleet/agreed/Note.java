package brackenbridge.fleet.agreed;

import brackenbridge.core.generation.Word;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;

/** What members tell each other beside the Raft library's messages. Any of it may be lost, late or repeated. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "note")
@JsonSubTypes({
    @JsonSubTypes.Type(value = Note.Hello.class, name = "hello"),
    @JsonSubTypes.Type(value = Note.Facts.class, name = "facts"),
    @JsonSubTypes.Type(value = Note.Join.class, name = "join"),
    @JsonSubTypes.Type(value = Note.Question.class, name = "question"),
    @JsonSubTypes.Type(value = Note.Answer.class, name = "answer"),
    @JsonSubTypes.Type(value = Note.Elsewhere.class, name = "elsewhere"),
    @JsonSubTypes.Type(value = Note.Hint.class, name = "hint"),
    @JsonSubTypes.Type(value = Note.Propose.class, name = "propose"),
    @JsonSubTypes.Type(value = Note.Outcome.class, name = "outcome"),
    @JsonSubTypes.Type(value = Note.Claim.class, name = "claim"),
    @JsonSubTypes.Type(value = Note.Claimed.class, name = "claimed"),
    @JsonSubTypes.Type(value = Note.Look.class, name = "look"),
    @JsonSubTypes.Type(value = Note.Looked.class, name = "looked"),
})
sealed interface Note {
    /**
     * A voter has started and asks what the others know of it.
     *
     * @param starts how often its disk was started with
     */
    record Hello(String disk, long starts, long life) implements Note {}

    /**
     * The answer to a hello.
     *
     * @param disk the answerer's disk; empty if it does not vote
     * @param founding the voters of the founding; empty if the answerer knows of none
     * @param follows the founding that it has acted by; empty if none
     * @param members the voters of now; empty if unknown
     * @param membersSince the change of members that made them the voters; 0 for the founding
     * @param seenDisk the asker's disk when it was last heard of before
     * @param seenStarts that disk's starts then
     * @param seenLife the asker's life then
     */
    record Facts(
            String disk,
            List<String> founding,
            String follows,
            List<String> members,
            long membersSince,
            String seenDisk,
            long seenStarts,
            long seenLife)
            implements Note {}

    /** A voter with a new disk asks to take its old one's place. */
    record Join(String endpoint) implements Note {}

    /**
     * What a member holds of a name.
     *
     * @param version the version of the word that it acts by
     * @param refused the generation that it can't use; 0 if none
     * @param has the generations whose content it has
     */
    record Heard(String name, long version, long refused, List<Long> has) {}

    /** A member asks whether it may go on, and by what: one question for all names. */
    record Question(long life, long number, List<Heard> heard) implements Note {}

    /** A generation's content. */
    record Item(long generation, byte[] content, String by) {}

    /** What is decided of a name, with the contents that the asker lacks. */
    record Told(String name, Word word, List<Item> items) {}

    /**
     * The answer to a question; a name whose contents had no room is not in it and is asked for again.
     *
     * @param whole whether all names had room
     */
    record Answer(long life, long number, String founding, double leaseMs, List<Told> told, boolean whole)
            implements Note {}

    /** The asked one does not lead; empty if it does not know who does. */
    record Elsewhere(String leader) implements Note {}

    /** There is news, or another leader: the sender. Carries no promise. */
    record Hint(long reign) implements Note {}

    /** A proposal; sent again until there is an outcome. */
    record Propose(String name, long expected, byte[] content, long life, long number) implements Note {}

    /**
     * What came of a proposal.
     *
     * @param generation the number that it was given; 0 if none
     */
    record Outcome(long life, long number, Agreed.Verdict verdict, long generation) implements Note {}

    /** A member asks to act in a role, or to go on in it. */
    record Claim(String role, double forMs, long life, long number) implements Note {}

    /**
     * Who acts in it.
     *
     * @param forMs for how long from the moment of the claim, if it is the asker; else 0
     */
    record Claimed(long life, long number, String holder, long token, double forMs) implements Note {}

    /** Staff ask for a name's generations; a generation of 0 asks for the list, without contents. */
    record Look(String name, long generation, long life, long number) implements Note {}

    /** A generation of a name's history: {@code came} is what came of it. */
    record Line(long generation, String by, int bytes, String came) {}

    /** The answer for staff. */
    record Looked(long life, long number, List<Line> lines, byte[] content) implements Note {}
}
