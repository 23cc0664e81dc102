package brackenbridge.core.share;

/**
 * A tenant's demand and usage since the last report.
 *
 * @param tenant its name; empty for requests without a tenant
 * @param demand mean connections that it would have used without other tenants: those in use, those waited for, and
 *     those that rejected requests would have held
 * @param meanRunning mean connections in use
 * @param running connections in use now
 * @param rejectedPerSecond rejected requests per second
 * @param meanHoldMs the hold time of its requests, including those still running, in milliseconds
 * @param quota connections that it may hold; for an unnamed tenant, those of all unnamed tenants together
 * @param burstCreditMs the remaining burst credit, in milliseconds at its full quota
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
