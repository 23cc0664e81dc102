package brackenbridge.fleet.agreed;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Named values and role leases, decided by a majority of the voters. At no moment do two members use sets of
 * generations of one name that have no generation in common ({@code docs/design/agreement.md}).
 */
public interface AgreedValues {
    /** Settings. This and the following are the names that the fleet itself uses; others may be used as well. */
    String SETTINGS = "settings";
    /** Tenants' weights, floors and ceilings. */
    String SHARES = "shares";
    /** Evacuation plans. */
    String EVACUATION = "evacuation";

    /** Result of a proposal. */
    enum Verdict {
        /** In force: no member uses the previous generation any more. */
        @JsonProperty("IN_FORCE")
        IN_FORCE,
        /** The generation in force is not the one that the proposal expected. */
        @JsonProperty("OVERTAKEN")
        OVERTAKEN,
        /** Another proposal is staged. */
        @JsonProperty("ANOTHER_STAGED")
        ANOTHER_STAGED,
        /** Rejected: a member can't use the content, or a limit is exceeded. */
        @JsonProperty("REFUSED")
        REFUSED,
        /** No majority in time: the proposal may still come into force, or never. */
        @JsonProperty("UNKNOWN")
        UNKNOWN
    }

    /**
     * A generation of a value.
     *
     * @param name the name
     * @param generation the number of the generation, never used twice
     * @param content the content
     * @param proposer the member that proposed it
     */
    record Value(String name, long generation, byte[] content, String proposer) {}

    /**
     * The values that a member may use now. While one is staged, the member may do only what both allow.
     *
     * @param inForce the generation in force
     * @param staged the generation that is staged; null if there is none
     */
    record EffectiveValues(Value inForce, Value staged) {}

    /**
     * Proposes a value.
     *
     * @param expected the generation that has to be in force, as in a compare-and-set; 0 for the first
     */
    CompletableFuture<Verdict> propose(String name, long expected, byte[] content, double withinMs);

    /** The values that this member may use now; empty if its lease has expired or none was granted yet. */
    Optional<EffectiveValues> effectiveValues(String name);

    /** The last value in force known to this member, whether or not it may still be used; empty if there is none. */
    Optional<Value> lastKnown(String name);

    /**
     * Requests the lease of a role, or extends it if this member holds it. At any moment at most one member holds the
     * lease, provided that the members' clocks keep to the configured drift.
     *
     * @return the lease, with its end by this member's clock; a time in the past if another member holds it
     */
    CompletableFuture<Lease> acquire(String role, double forMs);

    /**
     * The lease of a role.
     *
     * @param holder the lease holder; empty if unknown
     * @param token fencing token, higher for each new holder: receivers ignore orders that carry a lower one
     * @param untilMs the end of the lease by this member's clock, if this member is the holder
     */
    record Lease(String holder, long token, double untilMs) {}

    /**
     * This member's lease of the role, if it holds it now by its own clock; to be called before each action in the
     * role. Actions must carry this lease's token: a token kept from an earlier call may belong to a lease after which
     * another member has held the role.
     */
    Optional<Lease> heldLease(String role);

    /** Whether this member holds the role now, by its own clock; to be called before each action in the role. */
    default boolean holdsLease(String role) {
        return heldLease(role).isPresent();
    }

    /** Whether a majority answers and which member leads, as text for operators. */
    String status();
}
