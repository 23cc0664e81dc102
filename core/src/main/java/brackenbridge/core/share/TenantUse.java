package brackenbridge.core.share;

/**
 * What a tenant wanted and used since its last reading.
 *
 * @param tenant its name; empty for calls without one
 * @param demand connections that it would have used if it were alone: in use, waiting, and what was refused would
 *     have held
 * @param used connections in use on average
 * @param running connections in use now
 * @param rejectedPerSecond calls a second that were refused
 * @param meanMs how long one of its calls holds a connection, those still running included, in milliseconds
 * @param quota connections that it may hold; that of all unnamed tenants together if it has no name there
 * @param creditMs burst credit left, in milliseconds of its allowance
 */
public record TenantUse(
        String tenant,
        double demand,
        double used,
        int running,
        double rejectedPerSecond,
        double meanMs,
        double quota,
        double creditMs) {}
