package brackenbridge.core.balancing;

/**
 * A tenant and its share.
 *
 * @param name its name
 * @param share its part of the service
 * @param quotaPerSecond requests a second, over all instances, within its share; 0 if there is no quota
 */
public record TenantShare(String name, double share, double quotaPerSecond) {
    /** A share or a quota that no rate can have is rejected. */
    public TenantShare {
        SettingsChecks.require(share >= 0 && share <= SettingsChecks.MAX_RATE, "share of tenant " + name, share);
        SettingsChecks.require(
                quotaPerSecond >= 0 && quotaPerSecond <= SettingsChecks.MAX_RATE,
                "quota of tenant " + name,
                quotaPerSecond);
    }
}
