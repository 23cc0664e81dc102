package brackenbridge.fleet.control;

import com.fasterxml.jackson.annotation.JsonProperty;

/** Why a control machine rejects or closes a connection. Counted and logged under the constant's name. */
public enum SubscriptionRejection {
    /** A malformed message, or one that is not allowed in this state. */
    @JsonProperty("UNREADABLE")
    UNREADABLE(false),
    /** A frame that exceeds the maximum length. */
    @JsonProperty("FRAME_TOO_LONG")
    FRAME_TOO_LONG(false),
    /** A protocol version that this machine does not support. */
    @JsonProperty("UNKNOWN_PROTOCOL_VERSION")
    UNKNOWN_PROTOCOL_VERSION(false),
    /** A node of another fleet. */
    @JsonProperty("OTHER_FLEET")
    OTHER_FLEET(false),
    /** A node whose name is not in the fleet file. */
    @JsonProperty("UNKNOWN_NODE")
    UNKNOWN_NODE(false),
    /** More resources than a node may subscribe to. */
    @JsonProperty("TOO_MANY_RESOURCES")
    TOO_MANY_RESOURCES(false),
    /** No subscription within the silence timeout, as when the node or the machine is short of CPU time. */
    @JsonProperty("NO_SUBSCRIPTION")
    NO_SUBSCRIPTION(true),
    /** The admission rate of this machine is exceeded; the rejection carries a Retry-After. */
    @JsonProperty("BUSY")
    BUSY(true),
    /** This machine serves its maximum number of nodes. */
    @JsonProperty("FULL")
    FULL(true),
    /** The node did not read what was sent to it for too long. */
    @JsonProperty("SLOW_READER")
    SLOW_READER(true),
    /** Nothing was received from the node for too long. */
    @JsonProperty("SILENT")
    SILENT(true),
    /** A newer connection of the same node replaced this one. */
    @JsonProperty("REPLACED")
    REPLACED(true),
    /** This machine is shutting down. */
    @JsonProperty("STOPPING")
    STOPPING(true);

    private final boolean isTransientFault;

    SubscriptionRejection(boolean transientFault) {
        this.isTransientFault = transientFault;
    }

    /** Whether the node may succeed later without a configuration change. */
    public boolean isTransient() {
        return isTransientFault;
    }
}
