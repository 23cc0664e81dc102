package brackenbridge.core.balancing;

/**
 * A class of request.
 *
 * @param name its name
 * @param latencyObjective responses within this time have the full priority weight
 * @param deadline the total time a client waits, over all attempts
 * @param idempotence what a repeat would do
 * @param deduplicationScope for {@link Idempotence#IDEMPOTENCY_KEY}: who drops repeats
 * @param idempotencyKeyTtl for {@link Idempotence#IDEMPOTENCY_KEY}: how long repeats are dropped, from the send that
 *     may have run
 * @param streamed the answer arrives as a stream
 * @param priorityWeight the value of one request answered within its latency objective
 * @param lateValueRatio the part of the priority weight left to a response after the latency objective
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
    /** A class that could not be served or ranked is rejected; its name stands in paths and in figures. */
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
