package brackenbridge.counters;

/**
 * Why input at a port was rejected or its connection closed. Counters and log lines use the {@link #key}, on which
 * dashboards rely, so a key never changes.
 */
public enum RejectionReason {
    /** It can't be parsed as the expected input. */
    MALFORMED("malformed"),
    /** It is longer than allowed, or too much of it is buffered. */
    OVERSIZED("oversized"),
    /** It was not complete in time, or did not arrive at all. */
    TOO_SLOW("slow"),
    /** Its connection ended before it was complete. */
    TRUNCATED("cut"),
    /** It can be parsed, but names something that is not served at the port. */
    UNKNOWN("unknown"),
    /** It is not expected in the current state. */
    OUT_OF_TURN("out_of_turn"),
    /** Its resources were needed for others. */
    SHED("shed");

    private final String key;

    RejectionReason(String key) {
        this.key = key;
    }

    /** The kinds of ports that receive input. */
    public enum Port {
        /** Requests of clients. */
        REQUESTS("requests"),
        /** Responses of servers. */
        RESPONSES("answers"),
        /** Management calls of operators. */
        MANAGEMENT("calls"),
        /** Messages of the process that this one replaces, or that replaces this one. */
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

    /** Returns the reason for a request that is rejected with this HTTP status. */
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
