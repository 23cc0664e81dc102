package brackenbridge.core.balancing;

/**
 * A request that has arrived.
 *
 * @param id its id, never reused
 * @param className its class
 * @param tenant its tenant; null if none
 * @param key the key of the object that it concerns; -1 if unknown; two requests with one key are never in flight at
 *     once
 * @param timeLeft the time until its client gives up; negative values count as 0
 * @param expectedCost its expected work; -1 if unknown
 * @param clientRetry whether its client marked it as a retry
 */
public record BalancerRequest(
        long id, String className, String tenant, long key, long timeLeft, long expectedCost, boolean clientRetry) {}
