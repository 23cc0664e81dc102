package brackenbridge.fleet.control;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;

/**
 * A message between a node and a control machine. Each connection is ordered and reliable; messages in flight when it
 * closes are lost, and the versions in the next {@link Subscribe} recover from that.
 */
public sealed interface ControlMessage {
    /** Maximum number of resources that a node may subscribe to. */
    int MAX_RESOURCES = 256;
    /** Maximum length of the reason for a rejected version, in characters. */
    int MAX_REASON_LENGTH = 200;

    /**
     * The versions of a resource at a node.
     *
     * @param name the resource
     * @param received the newest version that the node received, accepted or not; 0 if none
     * @param applied the version that the node applies; 0 if none
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record ResumeVersion(String name, long received, long applied) {
        /** Rejects what is out of bounds. */
        public ResumeVersion {
            Resource.checkName(name);
            if (applied < 0 || received < applied) {
                throw new IllegalArgumentException(name + ": received " + received + ", applied " + applied);
            }
        }
    }

    /**
     * A node's first message: subscribes to these resources, resuming from the versions that the node has.
     *
     * @param fleet the fleet's name
     * @param node the node's name
     * @param region the region in which the node runs
     * @param connectionNumber grows with each connection of this node, across restarts as well
     * @param resources the resources to subscribe to
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record Subscribe(String fleet, String node, String region, long connectionNumber, List<ResumeVersion> resources)
            implements ControlMessage {
        /** Validates the names; the machine checks the number of resources, as it has a rejection for that. */
        public Subscribe {
            Resource.checkName(fleet);
            Resource.checkName(node);
            Resource.checkName(region);
            resources = List.copyOf(resources);
        }
    }

    /**
     * A node applied a version, or rejected it and keeps applying the previous one.
     *
     * @param name the resource
     * @param version the version
     * @param accepted whether the node applies it
     * @param reason why it was rejected; empty if it was accepted
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record Acknowledge(String name, long version, boolean accepted, String reason) implements ControlMessage {
        /** Rejects what is out of bounds. */
        public Acknowledge {
            Resource.checkName(name);
            if (version < 1 || reason.length() > MAX_REASON_LENGTH) {
                throw new IllegalArgumentException(name + ": version " + version + ", reason of " + reason.length());
            }
        }
    }

    /**
     * A node's heartbeat. It acknowledges all messages up to the machine's heartbeat with this sequence number.
     *
     * @param sequence the last heartbeat of the machine that the node has read; 0 if none
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record NodeHeartbeat(long sequence) implements ControlMessage {}

    /**
     * The subscription is accepted.
     *
     * @param machine the control machine's name
     * @param heartbeatMs the machine's heartbeat interval in milliseconds
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record Welcome(String machine, double heartbeatMs) implements ControlMessage {}

    /** The newest version of a resource to which the node is subscribed. */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record Update(Resource resource) implements ControlMessage {}

    /**
     * A control machine's heartbeat.
     *
     * @param sequence sequence number of the heartbeat
     * @param confirmed whether the machine held a lease of the agreement when it sent this: then every change reported
     *     as {@code IN_FORCE} up to one lease earlier was written to this connection before this message
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record MachineHeartbeat(long sequence, boolean confirmed) implements ControlMessage {}

    /**
     * The machine rejects or closes the connection.
     *
     * @param rejection the reason
     * @param retryAfterMs Retry-After for this machine in milliseconds; 0 if waiting makes no difference
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record Reject(SubscriptionRejection rejection, double retryAfterMs) implements ControlMessage {}
}
