package brackenbridge.core.balancing;

/**
 * A request that has arrived.
 *
 * @param id its id, never used again
 * @param className its class
 * @param tenant its tenant; null if none
 * @param key what it is about; -1 if not told; the module sends no two calls together for it
 * @param timeLeft how long until its caller gives up this try; below 0 is as good as 0
 * @param expectedCost the work expected; -1 if not told
 * @param clientRetry its caller says that it tried before
 */
public record BalancerRequest(
        long id, String className, String tenant, long key, long timeLeft, long expectedCost, boolean clientRetry) {}
