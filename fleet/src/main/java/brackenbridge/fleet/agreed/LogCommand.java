package brackenbridge.fleet.agreed;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** What is written to the log that all voters share; each has the same effect at each of them. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "op")
@JsonSubTypes({
    @JsonSubTypes.Type(value = LogCommand.BeginTerm.class, name = "reign"),
    @JsonSubTypes.Type(value = LogCommand.Stage.class, name = "stage"),
    @JsonSubTypes.Type(value = LogCommand.Activate.class, name = "activate"),
    @JsonSubTypes.Type(value = LogCommand.Abandon.class, name = "abandon"),
    @JsonSubTypes.Type(value = LogCommand.GrantRole.class, name = "take"),
})
sealed interface LogCommand {
    /**
     * A voter leads from here on; the first entry of each of its terms.
     *
     * @param leader who
     * @param life in which of its lives
     * @param number counts its leader terms in this life
     */
    record BeginTerm(
            @JsonProperty("leader") String leader,
            @JsonProperty("life") long incarnation,
            @JsonProperty("number") long termNumber)
            implements LogCommand {}

    /**
     * A proposal; repeated ones of the same proposer, life and number count once.
     *
     * @param expected the generation that it was made against
     */
    record Stage(
            @JsonProperty("name") String name,
            @JsonProperty("expected") long expectedGeneration,
            @JsonProperty("content") byte[] content,
            @JsonProperty("by") String proposer,
            @JsonProperty("life") long incarnation,
            @JsonProperty("number") long requestNumber)
            implements LogCommand {}

    /**
     * Whoever acted by another generation has heard of the staged one or can't act any more.
     *
     * @param version the decision's version for which that was found
     * @param leaderTerm the leader term that found it: no other knows the leases that it looked at
     */
    record Activate(
            @JsonProperty("name") String name,
            @JsonProperty("version") long version,
            @JsonProperty("reign") long leaderTerm)
            implements LogCommand {}

    /** A member can't use what is staged. */
    record Abandon(
            @JsonProperty("name") String name,
            @JsonProperty("version") long version,
            @JsonProperty("reign") long leaderTerm,
            @JsonProperty("by") String rejectedBy)
            implements LogCommand {}

    /**
     * A role has a new holder, or its holder a longer lease.
     *
     * @param forMs the lease, milliseconds
     * @param token the token that the leader found there
     */
    record GrantRole(
            @JsonProperty("role") String role,
            @JsonProperty("holder") String holder,
            @JsonProperty("life") long incarnation,
            @JsonProperty("forMs") double leaseMs,
            @JsonProperty("token") long previousToken,
            @JsonProperty("reign") long leaderTerm)
            implements LogCommand {}
}
