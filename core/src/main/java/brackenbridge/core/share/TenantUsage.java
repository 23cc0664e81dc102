package brackenbridge.core.share;

/**
 * What a tenant wanted and used since the last report.
 *
 * @param tenant its name; empty for requests without one
 * @param demand connections that it would have used if it were alone: in use, waited for, and those that rejected
 *     requests would have held
 * @param used connections in use on average
 * @param running connections in use now
 * @param rejectedPerSecond rejected requests per second
 * @param meanMs how long one of its requests holds a connection, including those still running, in milliseconds
 * @param quota connections that it may hold; for an unnamed tenant those of all unnamed tenants together
 * @param creditMs burst credit left, in milliseconds of its quota
 */
public record TenantUsage(
        String tenant,
        double demand,
        double meanRunning,
        int running,
        double rejectedPerSecond,
        double meanHoldMs,
        double quota,
        double burstCreditMs) {}
