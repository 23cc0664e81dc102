package brackenbridge.core.balancing;

/**
 * A request that has arrived.
 *
 * @param id its id, never used again
 * @param className its class
 * @param tenant its tenant; null if none
 * @param key what it is about; -1 if unknown; the balancer never has two requests of one key in flight
 * @param timeLeft how long until its client gives up; below 0 counts as 0
 * @param expectedCost the work expected; -1 if unknown
 * @param clientRetry whether its client marks it as a retry
 */
public record BalancerRequest(
        long id, String className, String tenant, long key, long timeLeft, long expectedCost, boolean clientRetry) {}
