package brackenbridge.fleet.agreed;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * What a majority of the members has decided. Values have a name; at no moment do two members act by two values of one
 * name that have no generation in common ({@code docs/design/agreement.md}).
 */
public interface AgreedValues {
    /** Names of values that are known to the fleet; others may be used as well. */
    String SETTINGS = "settings";
    /** Tenants' weights, floors and ceilings. */
    String SHARES = "shares";
    /** Plans of evacuation. */
    String EVACUATION = "evacuation";

    /** What came of a proposal. */
    enum Verdict {
        /** In force: nobody acts by the one before any more. */
        @JsonProperty("IN_FORCE")
        IN_FORCE,
        /** Another generation is in force than the one it was made against. */
        @JsonProperty("OVERTAKEN")
        OVERTAKEN,
        /** Another one is staged. */
        @JsonProperty("ANOTHER_STAGED")
        ANOTHER_STAGED,
        /** A member can't use it. */
        @JsonProperty("REFUSED")
        REFUSED,
        /** No majority within the time: it may come into force later, or never. */
        @JsonProperty("UNKNOWN")
        UNKNOWN
    }

    /**
     * A value.
     *
     * @param name its name
     * @param generation its number, never used twice
     * @param content its content
     * @param by who proposed it
     */
    record Value(String name, long generation, byte[] content, String proposer) {}

    /**
     * What a member may act by now.
     *
     * @param one the generation in force
     * @param other the one that is staged beside it: keep to both; null if none
     */
    record EffectiveValues(Value inForce, Value staged) {}

    /**
     * Proposes a value.
     *
     * @param expected the generation that it was made against; 0 for the first
     */
    CompletableFuture<Verdict> propose(String name, long expected, byte[] content, double withinMs);

    /** What this member may act by at this moment; empty in doubt: its lease is over or it has never been told. */
    Optional<EffectiveValues> effectiveValues(String name);

    /** The last value known here, whether or not it may be acted by; empty if there was never one. */
    Optional<Value> lastKnown(String name);

    /**
     * Asks to be the one who acts in this role. The role is held by one member at any moment, by any clock that keeps
     * to the drift; the same member extends it by asking again.
     *
     * @return until when this member holds it by its own clock; a time in the past if another holds it
     */
    CompletableFuture<Lease> acquire(String role, double forMs);

    /**
     * Who holds a role.
     *
     * @param holder its name; empty if unknown
     * @param token greater for each new holder: orders that carry a lower one are passed over
     * @param untilMs until when, by this member's clock, if it is this member
     */
    record Lease(String holder, long token, double untilMs) {}

    /**
     * This member's lease of the role, if it holds it now by its own clock: to be asked before each act. Its token is
     * the one to act by; a token that was kept from an earlier answer may be of a lease that another held after.
     */
    Optional<Lease> heldLease(String role);

    /** Whether this member holds the role now, by its own clock: to be asked before each act. */
    default boolean holdsLease(String role) {
        return heldLease(role).isPresent();
    }

    /** Whether a majority answers, and who leads; for staff. */
    String status();
}
