package brackenbridge.fleet.agreed;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** Commands of the replicated log; each has the same effect at every voter. */
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
     * A voter has become the leader; the first entry of each of its terms.
     *
     * @param leader the voter
     * @param incarnation the voter's incarnation
     * @param termNumber counts the leader terms of that incarnation
     */
    record BeginTerm(
            @JsonProperty("leader") String leader,
            @JsonProperty("life") long incarnation,
            @JsonProperty("number") long termNumber)
            implements LogCommand {}

    /**
     * Stages a proposal. Duplicates, which have the same proposer, incarnation and request number, have no effect.
     *
     * @param expectedGeneration the generation that has to be in force
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
     * Puts the staged generation into force: each lease holder knows of it, or its lease has expired.
     *
     * @param version the decided version for which the leader checked this
     * @param leaderTerm the leader term that checked it; no other knows the leases that the check relied on
     */
    record Activate(
            @JsonProperty("name") String name,
            @JsonProperty("version") long version,
            @JsonProperty("reign") long leaderTerm)
            implements LogCommand {}

    /** Abandons the staged generation, because a member can't use it. */
    record Abandon(
            @JsonProperty("name") String name,
            @JsonProperty("version") long version,
            @JsonProperty("reign") long leaderTerm,
            @JsonProperty("by") String rejectedBy)
            implements LogCommand {}

    /**
     * Grants a role to a new holder, or a longer lease to its present holder.
     *
     * @param leaseMs the lease, in milliseconds
     * @param previousToken the role's token when the leader created the command; the command is void if it has changed
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
