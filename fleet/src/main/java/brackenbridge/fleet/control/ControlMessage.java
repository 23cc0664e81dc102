package brackenbridge.fleet.control;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;

/**
 * What a node and a control machine tell each other over their connection. Each connection is ordered and reliable;
 * what was on its way when it ends is lost, and the versions in the next {@link Subscribe} make up for it.
 */
public sealed interface ControlMessage {
    /** Most resources that one node may subscribe to. */
    int MAX_RESOURCES = 256;
    /** Longest reason for the refusal of a version, in characters. */
    int MAX_REASON_LENGTH = 200;

    /**
     * What a node holds of a resource.
     *
     * @param name the resource
     * @param received the newest version that it was sent, accepted or not; 0 if none
     * @param applied the version that it acts by; 0 if none
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record HeldVersion(String name, long received, long applied) {
        /** Rejects what is out of bounds. */
        public HeldVersion {
            Resource.checkName(name);
            if (applied < 0 || received < applied) {
                throw new IllegalArgumentException(name + ": received " + received + ", applied " + applied);
            }
        }
    }

    /**
     * A node's first message: it subscribes to these resources, from the versions that it holds.
     *
     * @param fleet the fleet's name
     * @param node the node's name
     * @param region where the node runs
     * @param connection grows with each connection of this node, over its restarts as well
     * @param resources what it subscribes to
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record Subscribe(String fleet, String node, String region, long connectionNumber, List<HeldVersion> resources)
            implements ControlMessage {
        /** Rejects what is out of bounds; too many resources are left to the machine, which has a name for it. */
        public Subscribe {
            Resource.checkName(fleet);
            Resource.checkName(node);
            Resource.checkName(region);
            resources = List.copyOf(resources);
        }
    }

    /**
     * A node has taken a version, or can't use it and acts on by the one before.
     *
     * @param name the resource
     * @param version which version
     * @param accepted whether the node acts by it now
     * @param reason why not; empty if accepted
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
     * The node lives, and has read all that was sent to it before this heartbeat of the machine's.
     *
     * @param sequence the machine's last heartbeat that the node has read; 0 if none
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record NodeHeartbeat(long sequence) implements ControlMessage {}

    /**
     * The subscription is accepted.
     *
     * @param machine the control machine's name
     * @param heartbeatMs how often it says that it lives, in milliseconds
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record Welcome(String machine, double heartbeatMs) implements ControlMessage {}

    /** The newest version of a resource that the node has subscribed to. */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record Update(Resource resource) implements ControlMessage {}

    /**
     * The control machine lives.
     *
     * @param sequence counts its heartbeats
     * @param confirmed whether it held a lease of the agreement when it sent this: then every change that was told
     *     {@code IN_FORCE} up to a lease before has been written to this connection before this message
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record MachineHeartbeat(long sequence, boolean confirmed) implements ControlMessage {}

    /**
     * The machine ends the connection.
     *
     * @param refusal why
     * @param retryAfterMs when to come back to this machine, in milliseconds; 0 if it makes no difference
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record Reject(SubscriptionRejection rejection, double retryAfterMs) implements ControlMessage {}
}
