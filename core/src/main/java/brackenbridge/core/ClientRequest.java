package brackenbridge.core;

/**
 * A request as a listener hands it in, whatever its protocol.
 *
 * @param className its class
 * @param tenant its tenant; null if none
 * @param timeLeftMs how long its client still waits, from its last byte on; negative if it did not say
 * @param clientRetry its client says that it tried before
 * @param complete whether its last byte has come; if not, {@link Event.RequestCompleted} says when it has
 * @param maxUnseenWaitMs it may have waited for so long before the node could see it, at the most; in milliseconds
 * @param message what to forward; nothing in the core looks into it
 */
public record ClientRequest(
        String className,
        String tenant,
        double timeLeftMs,
        boolean clientRetry,
        boolean complete,
        double maxUnseenWaitMs,
        Object message) {

    /** A request that was seen as soon as it came. */
    public ClientRequest(
            String className, String tenant, double timeLeftMs, boolean repeat, boolean whole, Object message) {
        this(className, tenant, timeLeftMs, repeat, whole, 0, message);
    }
}
