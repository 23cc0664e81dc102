package brackenbridge.fleet.evacuation;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.EnumSet;
import java.util.Set;

/** Where a plan stands. */
public enum EvacuationStatus {
    /** Written down. */
    @JsonProperty("DRAFTED")
    DRAFTED,
    /** It is known what it would do. */
    @JsonProperty("FORECAST")
    FORECAST,
    /** A small part of the load is moved for a while. */
    @JsonProperty("REHEARSING")
    REHEARSING,
    /** Something passed its bound or was not as foretold, or staff said so: all load is where it usually is. */
    @JsonProperty("HALTED")
    HALTED,
    /** The rehearsal was as foretold. */
    @JsonProperty("PASSED")
    PASSED,
    /** Load is moved step by step. */
    @JsonProperty("EVACUATING")
    EVACUATING,
    /** All load is moved. */
    @JsonProperty("EVACUATED")
    EVACUATED,
    /** Load comes back step by step. */
    @JsonProperty("RETURNING")
    RETURNING,
    /** Done: all load is where it usually is. */
    @JsonProperty("CLOSED")
    CLOSED,
    /** Given up before it was done. */
    @JsonProperty("ABANDONED")
    ABANDONED;

    /** What may come after it. */
    public Set<EvacuationStatus> allowedNext() {
        return switch (this) {
            case DRAFTED -> EnumSet.of(FORECAST, ABANDONED);
            case FORECAST -> EnumSet.of(FORECAST, REHEARSING, EVACUATING, ABANDONED);
            case REHEARSING -> EnumSet.of(PASSED, HALTED);
            case HALTED -> EnumSet.of(FORECAST, CLOSED, ABANDONED);
            case PASSED -> EnumSet.of(FORECAST, EVACUATING, ABANDONED);
            case EVACUATING -> EnumSet.of(EVACUATING, EVACUATED, HALTED, RETURNING);
            case EVACUATED -> EnumSet.of(RETURNING, HALTED);
            case RETURNING -> EnumSet.of(RETURNING, HALTED, CLOSED);
            case CLOSED, ABANDONED -> EnumSet.noneOf(EvacuationStatus.class);
        };
    }

    /** Whether load may be elsewhere than usual: somebody must drive it. */
    public boolean needsDriver() {
        return this == REHEARSING || this == EVACUATING || this == EVACUATED || this == RETURNING;
    }

    /** Whether another plan may be drafted after it. */
    public boolean isTerminal() {
        return this == CLOSED || this == ABANDONED;
    }
}
