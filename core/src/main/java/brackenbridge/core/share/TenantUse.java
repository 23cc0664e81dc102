package brackenbridge.core.share;

/**
 * What a tenant wanted and used since its last reading.
 *
 * @param tenant its name; empty for calls without one
 * @param wanted connections that it would have used if it were alone: in use, waiting, and what was refused would
 *     have held
 * @param used connections in use on average
 * @param running connections in use now
 * @param refused calls a second that were refused
 * @param meanMs how long one of its calls holds a connection, those still running included, in milliseconds
 * @param allowance connections that it may hold; that of all unnamed tenants together if it has no name there
 * @param creditMs burst credit left, in milliseconds of its allowance
 */
public record TenantUse(
        String tenant,
        double wanted,
        double used,
        int running,
        double refused,
        double meanMs,
        double allowance,
        double creditMs) {}
