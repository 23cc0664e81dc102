package brackenbridge.core;

/**
 * A client request as a listener passes it to the reducer, independent of the protocol.
 *
 * @param className the name of its request class
 * @param tenant its tenant; null if none
 * @param timeLeftMs how long its client waits from its last byte on, in milliseconds; negative if not given
 * @param clientRetry whether its client marked it as a retry
 * @param complete whether its last byte has been received; if not, an {@link Event.RequestCompleted} follows
 * @param maxBacklogWaitMs the longest that it may have waited in the backlog before the node read it, in milliseconds
 * @param message what to send to a server; opaque to the core
 */
public record ClientRequest(
        String className,
        String tenant,
        double timeLeftMs,
        boolean clientRetry,
        boolean complete,
        double maxBacklogWaitMs,
        Object message) {

    /** A request that can't have waited in the backlog. */
    public ClientRequest(
            String className, String tenant, double timeLeftMs, boolean clientRetry, boolean complete, Object message) {
        this(className, tenant, timeLeftMs, clientRetry, complete, 0, message);
    }
}
