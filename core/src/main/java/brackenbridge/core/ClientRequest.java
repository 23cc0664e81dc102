package brackenbridge.core;

/**
 * A request as a listener hands it in, whatever its protocol.
 *
 * @param className its class
 * @param tenant its tenant; null if none
 * @param timeLeftMs how long its client still waits, from its last byte on, in milliseconds; negative if not given
 * @param clientRetry its client says that it tried before
 * @param complete whether its last byte has come; if not, {@link Event.RequestCompleted} says when it has
 * @param maxUnseenWaitMs it may have waited up to this long before the node could see it, in milliseconds
 * @param message what to send to a server; it is opaque to the core
 */
public record ClientRequest(
        String className,
        String tenant,
        double timeLeftMs,
        boolean clientRetry,
        boolean complete,
        double maxBacklogWaitMs,
        Object message) {

    /** A request that has not waited unseen. */
    public ClientRequest(
            String className, String tenant, double timeLeftMs, boolean clientRetry, boolean complete, Object message) {
        this(className, tenant, timeLeftMs, clientRetry, complete, 0, message);
    }
}
