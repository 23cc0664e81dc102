package brackenbridge.fleet.peer;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** A member's status in the view of another. Ordinals are used on the wire: append new constants at the end. */
public enum MemberStatus {
    /** Not heard of since the start. */
    UNKNOWN("unknown"),
    /** Recently heard from, directly or through other members. */
    ALIVE("alive"),
    /** Silent for longer than the suspicion timeout; it may still refute. */
    SUSPECT("suspect"),
    /** Declared dead until it appears with a later incarnation or refutes. */
    DEAD("gone");

    private final String text;

    MemberStatus(String text) {
        this.text = text;
    }

    /** The name in responses and counters; independent of the constant's name. */
    public String text() {
        return text;
    }

    /** The name in the admin API, in tables and in JSON. */
    @JsonValue
    public String label() {
        return text.toUpperCase(Locale.ROOT);
    }
}
