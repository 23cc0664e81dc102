package brackenbridge.core.balancing;

import java.util.List;

/**
 * What an instance is given at its start.
 *
 * @param seed the only source of its random numbers
 * @param instanceIndex its number among its peers
 * @param instanceCount how many instances its tier of nodes has
 * @param tier which tier it sends to; above 0, its clients are servers of the tier before
 * @param zone the zone it is in
 * @param classes the classes of request
 * @param tenants the tenants; may be empty
 * @param overShareWeight the factor on the priority weight of a request beyond its tenant's share
 * @param polledDiscovery whether the endpoint list is received only by polling
 * @param maxPollInterval without a subscription, ask at least this often
 * @param maxAttempts attempts allowed for one request
 * @param maxOpenRequests open requests allowed at once
 * @param maxRetryAfter the longest Retry-After that clients respect; 0 if unknown
 * @param mayCancel attempts may be cancelled
 * @param mayHealthCheck endpoints may be probed
 * @param mayHedge two attempts of one request may be out at once
 * @param idleTimeout idle connections are closed after this time
 * @param coldCapacityRatio a starting endpoint has at least this part of its capacity
 * @param warmUpTime and all of it after this time
 * @param overloadMultiple sent more than so many times what it can do then ...
 * @param overloadWindow ... for this time, a starting endpoint falls over; 0 if it can not, or if unknown
 * @param network what the node round the module must keep to
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
    /** Settings that contradict themselves are rejected. */
    public BalancerSettings {
        SettingsChecks.require(!classes.isEmpty(), "no classes", classes);
        for (int i = 0; i < classes.size(); i++) {
            String className = classes.get(i).name();
            SettingsChecks.require(
                    classes.stream().filter(o -> o.name().equals(className)).count() == 1,
                    "class given twice",
                    className);
        }
        for (TenantShare tenant : tenants) {
            SettingsChecks.require(
                    tenants.stream().filter(o -> o.name().equals(tenant.name())).count() == 1,
                    "tenant given twice",
                    tenant.name());
        }
        SettingsChecks.require(
                overShareWeight >= 0 && overShareWeight <= SettingsChecks.MAX_RATE, "overShareWorth", overShareWeight);
        SettingsChecks.require(instanceCount >= 1, "peers", instanceCount);
        SettingsChecks.require(
                instanceIndex >= 0 && instanceIndex < instanceCount, "me is not among the peers", instanceIndex);
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
     * How long an endpoint that no list names is still known, in microseconds: for as long as what it was sent counts
     * in its slow start.
     */
    public long removedRetention() {
        return overloadWindow == 0 ? 0 : overloadWindow + network.drainGrace();
    }

    /** The settings of a deployment that tells of no endpoint that falls over. */
    public BalancerSettings(
            long seed,
            int me,
            int peers,
            int tier,
            String zone,
            List<RequestClass> classes,
            List<TenantShare> tenants,
            double overShareWorth,
            boolean askDiscovery,
            long mustAskWithin,
            int maxAttempts,
            int maxOpen,
            long maxRetryAfter,
            boolean mayCancel,
            boolean mayProbe,
            boolean secondCopies,
            long idleClose,
            double coldFrom,
            long warmAfter,
            NetworkSettings network) {
        this(
                seed,
                me,
                peers,
                tier,
                zone,
                classes,
                tenants,
                overShareWorth,
                askDiscovery,
                mustAskWithin,
                maxAttempts,
                maxOpen,
                maxRetryAfter,
                mayCancel,
                mayProbe,
                secondCopies,
                idleClose,
                coldFrom,
                warmAfter,
                1,
                0,
                network);
    }

    /** The same settings with another seed. */
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

    /** The same settings with other values for endpoints that fail under overload while cold. */
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
