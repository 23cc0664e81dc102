package brackenbridge.core.share;

import java.util.Comparator;
import java.util.TreeSet;

/**
 * Start-time fair queueing over shares with waiting requests: selects the share whose request starts next. Eligible
 * shares, those that hold less than their quota and burst credit permit, come first, by finish tag; after them those
 * that borrow from {@link SpareCapacity}. A finish tag lags virtual time by at most the burst limit; this lag is the
 * share's burst credit.
 */
final class FairQueue {
    /** Tolerance for comparisons of tags and connection counts, against rounding errors. */
    static final double TOLERANCE = 1e-6;

    private final double maxBurstMs;
    private final VirtualTime virtualTime;
    private final SpareCapacity spareCapacity;
    /** Eligible shares with waiting requests. */
    private final TreeSet<QuotaShare> eligible = new TreeSet<>(
            Comparator.<QuotaShare>comparingDouble(share -> share.queueTag).thenComparingLong(share -> share.sequence));
    /** Shares that become eligible once virtual time has reached their refill tag. */
    private final TreeSet<QuotaShare> refilling =
            new TreeSet<>(Comparator.<QuotaShare>comparingDouble(share -> share.refillTag)
                    .thenComparingLong(share -> share.sequence));

    FairQueue(double maxBurstMs, VirtualTime virtualTime, SpareCapacity spareCapacity) {
        this.maxBurstMs = maxBurstMs;
        this.virtualTime = virtualTime;
        this.spareCapacity = spareCapacity;
    }

    /** The remaining burst credit, in milliseconds at the full quota. */
    double burstCreditMs(QuotaShare share, double nowMs) {
        return Math.max(0, Math.min(maxBurstMs, virtualTime.value() - share.chargedFinishTag(nowMs)));
    }

    /** The minimum finish tag of a share at this time: that of a share with full burst credit. */
    double minFinishTag() {
        return virtualTime.value() - maxBurstMs;
    }

    /** Whether a share holds less than its quota and burst credit permit. */
    boolean isEligible(QuotaShare share, double nowMs) {
        double maxRunning = maxRunning(share, nowMs);
        return share.running + 1 <= maxRunning + TOLERANCE
                || share.running < maxRunning && share.chargedFinishTag(nowMs) <= virtualTime.value() + TOLERANCE;
    }

    private double maxRunning(QuotaShare share, double nowMs) {
        return maxBurstMs == 0 ? share.quota : share.quota * (1 + burstCreditMs(share, nowMs) / maxBurstMs);
    }

    /** Whether a new request of a share may start at once without overtaking a share that precedes it. */
    boolean mayStartAtOnce(QuotaShare share, double nowMs) {
        return isEligible(share, nowMs) || !spareCapacity.hasBorrowers() && spareCapacity.mayBorrow(share, nowMs);
    }

    boolean hasEligibleShares() {
        return !eligible.isEmpty();
    }

    /**
     * Moves a share to the queues that it belongs to. Call this after each change of its running or waiting requests or
     * its quota.
     */
    void update(QuotaShare share, double nowMs) {
        removeFromQueues(share);
        if (share.waitingTenants.isEmpty()) {
            return;
        }
        if (isEligible(share, nowMs)) {
            share.queueTag = share.chargedFinishTag(nowMs);
            share.queuedAsEligible = true;
            eligible.add(share);
            return;
        }
        if (spareCapacity.mayBorrow(share, nowMs)) {
            spareCapacity.add(share);
        }
        if (share.running < share.quota) {
            share.refillTag = share.chargedFinishTag(nowMs);
            share.refilling = true;
            refilling.add(share);
        }
    }

    private void removeFromQueues(QuotaShare share) {
        if (share.queuedAsEligible) {
            eligible.remove(share);
            share.queuedAsEligible = false;
        }
        spareCapacity.remove(share);
        stopRefilling(share);
    }

    private void stopRefilling(QuotaShare share) {
        if (share.refilling) {
            refilling.remove(share);
            share.refilling = false;
        }
    }

    /** Updates the shares whose refill tag has been reached. */
    void updateRefilled(double nowMs) {
        while (!refilling.isEmpty() && isRefilled(refilling.first())) {
            QuotaShare share = refilling.first();
            update(share, nowMs);
            if (share.refilling && isRefilled(share)) {
                stopRefilling(share);
            }
        }
    }

    private boolean isRefilled(QuotaShare share) {
        return share.refillTag <= virtualTime.value() + TOLERANCE;
    }

    /** When {@link #updateRefilled} is due; infinite if no share is refilling or virtual time is stopped. */
    double nextRefillMs() {
        return refilling.isEmpty() || !virtualTime.isRunning()
                ? Double.POSITIVE_INFINITY
                : virtualTime.reachedAtMs(refilling.first().refillTag);
    }

    /** The share whose request starts next, or null. */
    QuotaShare next(double nowMs) {
        while (!eligible.isEmpty()) {
            QuotaShare share = eligible.first();
            if (isEligible(share, nowMs)) {
                return share;
            }
            update(share, nowMs);
        }
        return spareCapacity.next(nowMs);
    }

    /** Charges the expected hold time of a request that starts. */
    void chargeStart(QuotaShare share, double expectedHoldMs) {
        share.finishTag = Math.max(share.finishTag, minFinishTag()) + expectedHoldMs / share.effectiveQuota();
        spareCapacity.chargeStart(share, expectedHoldMs);
    }

    /** Charges the time that a request took beyond its expected hold time; negative if it took less. */
    void chargeEnd(QuotaShare share, double excessMs) {
        double quota = share.effectiveQuota();
        // Guards against a debt that a share with a small quota could not pay off within a bounded time.
        double maxFinishTag = virtualTime.value() + maxBurstMs + 2 * share.meanHoldMs / quota;
        share.finishTag = Math.min(share.finishTag + excessMs / quota, maxFinishTag);
        spareCapacity.chargeEnd(share, excessMs);
    }
}
