package brackenbridge.core.share;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/** The known tenants, and the share that each belongs to under the quotas in force. */
final class TenantDirectory {
    /** A full directory removes idle tenants once per {@code maxTenants} divided by this many unknown names. */
    private static final int SWEEPS_PER_CAPACITY = 8;

    private final int maxTenants;
    private final double maxLoanMs;
    private final SpareCapacity spareCapacity;
    private final FairQueue fairQueue;
    private final Map<String, Tenant> tenants = new HashMap<>();
    private final QuotaShare unnamedShare = new QuotaShare(0, true);
    private TenantQuotas quotas;
    private boolean guaranteedOnly;
    private long lastSequence;
    private long nextSweepSequence;

    TenantDirectory(TenantScheduler.SchedulerLimits limits, SpareCapacity spareCapacity, FairQueue fairQueue) {
        this.maxTenants = limits.maxTenants();
        this.maxLoanMs = limits.maxLoanMs();
        this.spareCapacity = spareCapacity;
        this.fairQueue = fairQueue;
    }

    Collection<Tenant> tenants() {
        return tenants.values();
    }

    /**
     * The tenant with this name, created if unknown; once the directory is full, that for requests without a tenant.
     */
    Tenant findOrCreate(String name, double nowMs) {
        Tenant known = tenants.get(name);
        if (known != null) {
            return known;
        }
        removeIdleIfFull();
        lastSequence++;
        // Guards against unbounded memory.
        String recordedName = tenants.size() >= maxTenants ? "" : name;
        Tenant tenant = tenants.get(recordedName);
        if (tenant == null) {
            tenant = new Tenant(recordedName, lastSequence, nowMs);
            assignShare(tenant);
            tenants.put(recordedName, tenant);
        }
        return tenant;
    }

    /**
     * Guards the event loop against clients that send a new name with each request: visiting all tenants is
     * rate-limited.
     */
    private void removeIdleIfFull() {
        if (tenants.size() >= maxTenants && lastSequence >= nextSweepSequence) {
            nextSweepSequence = lastSequence + Math.max(1, maxTenants / SWEEPS_PER_CAPACITY);
            tenants.values().removeIf(tenant -> isIdle(tenant) && tenant.rejected == 0 && tenant.runningIntegral == 0);
        }
    }

    /** Whether removing a tenant has no effect on its next request. */
    boolean isIdle(Tenant tenant) {
        if (tenant.running > 0 || tenant.waiting > 0) {
            return false;
        }
        return tenant.share.unnamed
                ? tenant.finishTag <= unnamedShare.innerVirtualTime
                : tenant.share.finishTag <= fairQueue.minFinishTag();
    }

    /** The weight of a tenant among the tenants of its share. */
    double weightWithinShare(Tenant tenant) {
        return tenant.share.unnamed && quotas != null
                ? Math.max(SpareCapacity.MIN_WEIGHT, quotas.weights().getOrDefault(tenant.name, 1.0))
                : 1;
    }

    /**
     * Applies quotas to all tenants.
     *
     * @param guaranteed whether only the guaranteed quotas are in force
     * @return the sum of all quotas
     */
    double applyQuotas(TenantQuotas newQuotas, boolean guaranteed) {
        quotas = newQuotas;
        guaranteedOnly = guaranteed;
        Map<String, Double> named = namedQuotas();
        unnamedShare.quota = (guaranteed ? 0 : quotas.unnamedQuota()) + named.getOrDefault("", 0.0);
        unnamedShare.weight = quotas.weights().getOrDefault("", 1.0);
        return sumOfQuotas(named);
    }

    private Map<String, Double> namedQuotas() {
        return guaranteedOnly ? quotas.guaranteedQuotas() : quotas.namedQuotas();
    }

    private double sumOfQuotas(Map<String, Double> named) {
        double sum = unnamedShare.quota;
        for (Map.Entry<String, Double> entry : named.entrySet()) {
            sum += entry.getKey().isEmpty() ? 0 : Math.max(0, entry.getValue());
        }
        return sum;
    }

    /** Moves each tenant to its share under the quotas in force, and updates all shares. */
    void reassignShares(double nowMs) {
        Map<String, Double> named = namedQuotas();
        for (Tenant tenant : tenants.values()) {
            Double quota = tenant.name.isEmpty() ? null : named.get(tenant.name);
            if (tenant.share.unnamed != (quota == null)) {
                moveToOtherShare(tenant, nowMs);
            }
            if (!tenant.share.unnamed) {
                tenant.share.quota = Math.max(0, quota);
                tenant.share.weight = quotas.weights().getOrDefault(tenant.name, 1.0);
                fairQueue.update(tenant.share, nowMs);
            }
        }
        fairQueue.update(unnamedShare, nowMs);
    }

    private void assignShare(Tenant tenant) {
        Double quota = quotas == null ? null : namedQuotas().get(tenant.name);
        if (quota == null || tenant.name.isEmpty()) {
            tenant.share = unnamedShare;
            tenant.finishTag = unnamedShare.innerVirtualTime;
            return;
        }
        QuotaShare share = new QuotaShare(++lastSequence, false);
        share.quota = quota;
        share.weight = quotas.weights().getOrDefault(tenant.name, 1.0);
        share.finishTag = fairQueue.minFinishTag();
        share.borrowedFinishTag = spareCapacity.virtualTime();
        tenant.share = share;
        tenant.finishTag = 0;
    }

    /** Moves a tenant, with its running and waiting requests, from its own share to that of unnamed tenants or back. */
    private void moveToOtherShare(Tenant tenant, double nowMs) {
        QuotaShare oldShare = tenant.share;
        tenant.leaveQueue();
        double expectedHoldMs = 0;
        if (tenant.running > 0) {
            expectedHoldMs = oldShare.unnamed
                    ? tenant.running * Math.min(tenant.holdMs(nowMs), Tenant.UNKNOWN_HOLD_MS)
                    : oldShare.sumExpectedHoldMs;
            oldShare.removeRunning(tenant, expectedHoldMs);
        }
        fairQueue.update(oldShare, nowMs);
        assignShare(tenant);
        tenant.share.addRunning(tenant, expectedHoldMs);
        tenant.enterQueue(nowMs, maxLoanMs);
    }
}
