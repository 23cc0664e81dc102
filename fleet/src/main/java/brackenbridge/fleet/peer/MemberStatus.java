package brackenbridge.fleet.peer;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** A member's state as another member holds it. The order is the wire's: new ones are added at the end. */
public enum MemberStatus {
    /** Never heard of since the start. */
    UNKNOWN("unknown"),
    /** Heard of lately, by itself or through others. */
    ALIVE("alive"),
    /** Not heard of for a while: it may refute. */
    SUSPECT("suspect"),
    /** Declared dead until it is heard of with a later life or a refutation. */
    DEAD("gone");

    private final String text;

    MemberStatus(String text) {
        this.text = text;
    }

    /** The word in answers and counters; it does not follow the constant's name. */
    public String text() {
        return text;
    }

    /** The word in the admin API, in tables and in JSON. */
    @JsonValue
    public String label() {
        return text.toUpperCase(Locale.ROOT);
    }
}
