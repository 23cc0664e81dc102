package brackenbridge.fleet.evacuation;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.EnumSet;
import java.util.Set;

/** The status of an evacuation plan. */
public enum EvacuationStatus {
    /** The plan has been written. */
    @JsonProperty("DRAFTED")
    DRAFTED,
    /** The plan's effect has been forecast. */
    @JsonProperty("FORECAST")
    FORECAST,
    /** A small fraction of the load is moved for a limited time. */
    @JsonProperty("REHEARSING")
    REHEARSING,
    /** A limit was exceeded, the load deviated from the forecast or an operator stopped it: all load is as usual. */
    @JsonProperty("HALTED")
    HALTED,
    /** The rehearsal matched the forecast. */
    @JsonProperty("PASSED")
    PASSED,
    /** Load is moved step by step. */
    @JsonProperty("EVACUATING")
    EVACUATING,
    /** All load is moved. */
    @JsonProperty("EVACUATED")
    EVACUATED,
    /** Load returns step by step. */
    @JsonProperty("RETURNING")
    RETURNING,
    /** Finished: all load is as usual. */
    @JsonProperty("CLOSED")
    CLOSED,
    /** Given up before it was finished. */
    @JsonProperty("ABANDONED")
    ABANDONED;

    /** Returns the statuses that may follow this one. */
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

    /** Whether load may be away from its usual zone, so that a driver has to be active. */
    public boolean needsDriver() {
        return this == REHEARSING || this == EVACUATING || this == EVACUATED || this == RETURNING;
    }

    /** Whether another plan may be drafted after this one. */
    public boolean isTerminal() {
        return this == CLOSED || this == ABANDONED;
    }
}
