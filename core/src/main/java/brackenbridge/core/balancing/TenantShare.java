package brackenbridge.core.balancing;

/**
 * A tenant and its share.
 *
 * @param name its name
 * @param share its fraction of the service
 * @param quotaPerSecond its quota in requests per second over all instances; 0 if there is none
 */
public record TenantShare(String name, double share, double quotaPerSecond) {
    /** Rejects a share or a quota out of range. */
    public TenantShare {
        SettingsChecks.require(share >= 0 && share <= SettingsChecks.MAX_RATE, "share of tenant " + name, share);
        SettingsChecks.require(
                quotaPerSecond >= 0 && quotaPerSecond <= SettingsChecks.MAX_RATE,
                "quota of tenant " + name,
                quotaPerSecond);
    }
}
