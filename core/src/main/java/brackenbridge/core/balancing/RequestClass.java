package brackenbridge.core.balancing;

/**
 * A class of requests with common limits and a common priority weight.
 *
 * @param name its name
 * @param latencyObjective the time within which a response has the full priority weight
 * @param deadline the total time that a client waits, over all attempts
 * @param idempotence whether requests may be sent again
 * @param deduplicationScope for {@link Idempotence#IDEMPOTENCY_KEY}: the endpoints that drop duplicates
 * @param idempotencyKeyTtl for {@link Idempotence#IDEMPOTENCY_KEY}: how long duplicates are dropped, from the start of
 *     the attempt that may have run
 * @param streamed whether the response is streamed
 * @param priorityWeight the value of a request that is answered within its latency objective
 * @param lateValueRatio the fraction of the priority weight that a response after the latency objective has
 */
public record RequestClass(
        String name,
        long latencyObjective,
        long deadline,
        Idempotence idempotence,
        DeduplicationScope deduplicationScope,
        long idempotencyKeyTtl,
        boolean streamed,
        double priorityWeight,
        double lateValueRatio) {
    /** Rejects values out of range, and names that could not be part of a request path and of a metric name. */
    public RequestClass {
        SettingsChecks.require(name.matches("[^\\s\\p{Cntrl}/?#:|]+"), "name of a class", name);
        SettingsChecks.require(latencyObjective > 0, "aim of class " + name, latencyObjective);
        SettingsChecks.require(
                deadline >= latencyObjective && deadline <= SettingsChecks.MAX_TIMEOUT_MICROS,
                "deadline of class " + name,
                deadline);
        SettingsChecks.require(
                idempotencyKeyTtl >= 0 && idempotencyKeyTtl <= SettingsChecks.MAX_RETENTION_MICROS,
                "keyTtl of class " + name,
                idempotencyKeyTtl);
        SettingsChecks.require(
                priorityWeight >= 0 && priorityWeight <= SettingsChecks.MAX_RATE,
                "worth of class " + name,
                priorityWeight);
        SettingsChecks.require(
                lateValueRatio >= 0 && lateValueRatio <= 1, "lateShare of class " + name, lateValueRatio);
    }
}
