package brackenbridge.fleet.control;

import com.fasterxml.jackson.annotation.JsonProperty;

/** Why a control machine does not serve a connection, or ends one. Counted and logged by this name. */
public enum SubscriptionRejection {
    /** A frame that is no message of this protocol, or one that is not allowed at this point. */
    @JsonProperty("UNREADABLE")
    UNREADABLE(false),
    /** A frame longer than the limit. */
    @JsonProperty("FRAME_TOO_LONG")
    FRAME_TOO_LONG(false),
    /** A version of the protocol that this machine does not speak. */
    @JsonProperty("UNKNOWN_PROTOCOL_VERSION")
    UNKNOWN_PROTOCOL_VERSION(false),
    /** A node of another fleet. */
    @JsonProperty("OTHER_FLEET")
    OTHER_FLEET(false),
    /** A node whose name is not in the fleet's file. */
    @JsonProperty("UNKNOWN_NODE")
    UNKNOWN_NODE(false),
    /** More resources than one node may subscribe to. */
    @JsonProperty("TOO_MANY_RESOURCES")
    TOO_MANY_RESOURCES(false),
    /** No subscription within the time allowed for it: a node or a machine that is short of processor time. */
    @JsonProperty("NO_SUBSCRIPTION")
    NO_SUBSCRIPTION(true),
    /** More subscriptions begin at the moment than this machine admits; it says when to come back. */
    @JsonProperty("BUSY")
    BUSY(true),
    /** This machine serves as many nodes as it may. */
    @JsonProperty("FULL")
    FULL(true),
    /** The node has not read what was sent to it for too long. */
    @JsonProperty("SLOW_READER")
    SLOW_READER(true),
    /** Nothing was heard of the node for too long. */
    @JsonProperty("SILENT")
    SILENT(true),
    /** A newer connection of the same node has taken this one's place. */
    @JsonProperty("REPLACED")
    REPLACED(true),
    /** This machine is being stopped. */
    @JsonProperty("STOPPING")
    STOPPING(true);

    private final boolean isTransientFault;

    SubscriptionRejection(boolean transientFault) {
        this.isTransientFault = transientFault;
    }

    /** Whether the same node may succeed later without a change of its configuration. */
    public boolean isTransient() {
        return isTransientFault;
    }
}
