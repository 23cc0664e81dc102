package brackenbridge.counters;

import java.util.Locale;

/** Why what came in at a port was turned down, or its connection closed; counters and log use the same words. */
public enum RejectionReason {
    /** It can't be read as what is due there. */
    MALFORMED,
    /** It is longer than what is due there, or too much of it is held. */
    OVERSIZED,
    /** It was not whole in time, or did not come at all. */
    SLOW,
    /** Its connection ended in the middle of it. */
    CUT,
    /** It can be read, and is nothing that is served there. */
    UNKNOWN,
    /** It is due at another moment. */
    OUT_OF_TURN,
    /** Others needed its place. */
    SHED;

    /** Where something comes in. */
    public enum Port {
        /** Clients' requests. */
        REQUESTS,
        /** Servers' answers. */
        ANSWERS,
        /** Staff's calls. */
        CALLS,
        /** Words of the process that is replaced, or that replaces this one. */
        HANDOVERS
    }

    /** The refusal of a request with this status. */
    public static RejectionReason ofStatus(int status) {
        return switch (status) {
            case 408 -> SLOW;
            case 413, 414, 431 -> OVERSIZED;
            case 404, 405, 417 -> UNKNOWN;
            case 409 -> OUT_OF_TURN;
            default -> MALFORMED;
        };
    }

    /** In words. */
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
