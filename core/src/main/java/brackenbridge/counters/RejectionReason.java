package brackenbridge.counters;

/**
 * Why input at a port was rejected or its connection closed. Counters and log lines use the {@link #key}, which
 * dashboards rely on: a key never changes.
 */
public enum RejectionReason {
    /** It can't be parsed as what is expected there. */
    MALFORMED("malformed"),
    /** It is longer than what is expected there, or too much of it is buffered. */
    OVERSIZED("oversized"),
    /** It was not complete in time, or did not come at all. */
    TOO_SLOW("slow"),
    /** Its connection ended in the middle of it. */
    TRUNCATED("cut"),
    /** It can be parsed, and nothing of that name is served there. */
    UNKNOWN("unknown"),
    /** It is expected at another moment. */
    OUT_OF_TURN("out_of_turn"),
    /** Others needed its place. */
    SHED("shed");

    private final String key;

    RejectionReason(String key) {
        this.key = key;
    }

    /** Where input comes in. */
    public enum Port {
        /** Requests of clients. */
        REQUESTS("requests"),
        /** Responses of servers. */
        RESPONSES("answers"),
        /** Management calls of operators. */
        MANAGEMENT("calls"),
        /** Messages of the process that is replaced, or that replaces this one. */
        HANDOVERS("handovers");

        private final String key;

        Port(String key) {
            this.key = key;
        }

        /** The name under which it is published. */
        public String key() {
            return key;
        }
    }

    /** The reason that belongs to a request rejected with this HTTP status. */
    public static RejectionReason ofStatus(int status) {
        return switch (status) {
            case 408 -> TOO_SLOW;
            case 413, 414, 431 -> OVERSIZED;
            case 404, 405, 417 -> UNKNOWN;
            case 409 -> OUT_OF_TURN;
            default -> MALFORMED;
        };
    }

    /** The name under which it is published and logged. */
    public String key() {
        return key;
    }
}
