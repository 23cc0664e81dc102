package brackenbridge.core.balancing;

import java.util.List;

/**
 * The settings of an instance.
 *
 * @param seed the only source of its random numbers
 * @param instanceIndex its index among the instances of its tier
 * @param instanceCount the number of instances in its tier
 * @param tier the tier that it sends to; above 0, its clients are servers of the previous tier
 * @param zone the zone of the instance
 * @param classes the request classes
 * @param tenants the tenants, possibly none
 * @param overShareWeight the factor on the priority weight of a request beyond its tenant's share
 * @param polledDiscovery whether the endpoint list is received only by polling
 * @param maxPollInterval without a subscription, the longest time between two polls of discovery
 * @param maxAttempts the maximum number of attempts for one request
 * @param maxOpenRequests the maximum number of open requests
 * @param maxRetryAfter the longest Retry-After that clients respect; 0 if unknown
 * @param mayCancel whether attempts may be cancelled
 * @param mayHealthCheck whether endpoints may be sent health checks
 * @param mayHedge whether two attempts of one request may be in flight at once
 * @param idleTimeout idle connections are closed after this time
 * @param coldCapacityRatio the fraction of its capacity that an endpoint has when it starts
 * @param warmUpTime the time after which a started endpoint has its full capacity
 * @param overloadMultiple an endpoint that is warming up fails if it is sent more than this multiple of its current
 *     capacity ...
 * @param overloadWindow ... over this time; 0 if it can't fail that way, or if unknown
 * @param network connection and report settings that the node applies
 */
public record BalancerSettings(
        long seed,
        int instanceIndex,
        int instanceCount,
        int tier,
        String zone,
        List<RequestClass> classes,
        List<TenantShare> tenants,
        double overShareWeight,
        boolean polledDiscovery,
        long maxPollInterval,
        int maxAttempts,
        int maxOpenRequests,
        long maxRetryAfter,
        boolean mayCancel,
        boolean mayHealthCheck,
        boolean mayHedge,
        long idleTimeout,
        double coldCapacityRatio,
        long warmUpTime,
        double overloadMultiple,
        long overloadWindow,
        NetworkSettings network) {
    /** Rejects contradictory or out-of-range settings. */
    public BalancerSettings {
        SettingsChecks.require(!classes.isEmpty(), "classes must not be empty", classes);
        for (int i = 0; i < classes.size(); i++) {
            String className = classes.get(i).name();
            SettingsChecks.require(
                    classes.stream().filter(o -> o.name().equals(className)).count() == 1,
                    "duplicate class",
                    className);
        }
        for (TenantShare tenant : tenants) {
            SettingsChecks.require(
                    tenants.stream().filter(o -> o.name().equals(tenant.name())).count() == 1,
                    "duplicate tenant",
                    tenant.name());
        }
        SettingsChecks.require(
                overShareWeight >= 0 && overShareWeight <= SettingsChecks.MAX_RATE, "overShareWorth", overShareWeight);
        SettingsChecks.require(instanceCount >= 1, "peers", instanceCount);
        SettingsChecks.require(
                instanceIndex >= 0 && instanceIndex < instanceCount, "me is not in [0, peers)", instanceIndex);
        SettingsChecks.require(tier >= 0, "tier", tier);
        SettingsChecks.require(maxAttempts >= 1, "maxAttempts", maxAttempts);
        SettingsChecks.require(maxOpenRequests >= 1, "maxOpen", maxOpenRequests);
        SettingsChecks.require(
                maxPollInterval >= 0 && maxPollInterval <= SettingsChecks.MAX_RETENTION_MICROS,
                "mustAskWithin",
                maxPollInterval);
        SettingsChecks.require(
                maxRetryAfter >= 0 && maxRetryAfter <= SettingsChecks.MAX_TIMEOUT_MICROS,
                "maxRetryAfter",
                maxRetryAfter);
        SettingsChecks.require(
                idleTimeout >= 0 && idleTimeout <= SettingsChecks.MAX_RETENTION_MICROS, "idleClose", idleTimeout);
        SettingsChecks.require(
                coldCapacityRatio >= SettingsChecks.MIN_COLD_CAPACITY_RATIO && coldCapacityRatio <= 1,
                "coldFrom",
                coldCapacityRatio);
        SettingsChecks.require(
                warmUpTime >= 0 && warmUpTime <= SettingsChecks.MAX_RETENTION_MICROS, "warmAfter", warmUpTime);
        SettingsChecks.require(
                overloadMultiple >= SettingsChecks.MIN_COLD_CAPACITY_RATIO
                        && overloadMultiple <= SettingsChecks.MAX_RATE,
                "fallMultiple",
                overloadMultiple);
        SettingsChecks.require(
                overloadWindow >= 0 && overloadWindow <= SettingsChecks.MAX_TIMEOUT_MICROS, "fall", overloadWindow);
        classes = List.copyOf(classes);
        tenants = List.copyOf(tenants);
    }

    /**
     * How long an unlisted endpoint is remembered, in microseconds: as long as requests sent to it count against its
     * slow-start budget.
     */
    public long removedRetention() {
        return overloadWindow == 0 ? 0 : overloadWindow + network.drainGrace();
    }

    /** Settings without an overload window: endpoints that are warming up are not known to fail under overload. */
    public BalancerSettings(
            long seed,
            int instanceIndex,
            int instanceCount,
            int tier,
            String zone,
            List<RequestClass> classes,
            List<TenantShare> tenants,
            double overShareWeight,
            boolean polledDiscovery,
            long maxPollInterval,
            int maxAttempts,
            int maxOpenRequests,
            long maxRetryAfter,
            boolean mayCancel,
            boolean mayHealthCheck,
            boolean mayHedge,
            long idleTimeout,
            double coldCapacityRatio,
            long warmUpTime,
            NetworkSettings network) {
        this(
                seed,
                instanceIndex,
                instanceCount,
                tier,
                zone,
                classes,
                tenants,
                overShareWeight,
                polledDiscovery,
                maxPollInterval,
                maxAttempts,
                maxOpenRequests,
                maxRetryAfter,
                mayCancel,
                mayHealthCheck,
                mayHedge,
                idleTimeout,
                coldCapacityRatio,
                warmUpTime,
                1,
                0,
                network);
    }

    /** Returns the same settings with another seed. */
    public BalancerSettings withSeed(long other) {
        return new BalancerSettings(
                other,
                instanceIndex,
                instanceCount,
                tier,
                zone,
                classes,
                tenants,
                overShareWeight,
                polledDiscovery,
                maxPollInterval,
                maxAttempts,
                maxOpenRequests,
                maxRetryAfter,
                mayCancel,
                mayHealthCheck,
                mayHedge,
                idleTimeout,
                coldCapacityRatio,
                warmUpTime,
                overloadMultiple,
                overloadWindow,
                network);
    }

    /** Returns the same settings with another overload multiple and window for endpoints that are warming up. */
    public BalancerSettings withColdOverload(double multiple, long time) {
        return new BalancerSettings(
                seed,
                instanceIndex,
                instanceCount,
                tier,
                zone,
                classes,
                tenants,
                overShareWeight,
                polledDiscovery,
                maxPollInterval,
                maxAttempts,
                maxOpenRequests,
                maxRetryAfter,
                mayCancel,
                mayHealthCheck,
                mayHedge,
                idleTimeout,
                coldCapacityRatio,
                warmUpTime,
                multiple,
                time,
                network);
    }
}
