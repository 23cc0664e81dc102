package brackenbridge.core.share;

import java.util.Comparator;
import java.util.TreeSet;

/**
 * Start-time fair queueing over shares with waiting requests: says which share's request starts next. Shares below
 * their quota come first, by finish tag; after them those that borrow from {@link SpareCapacity}. A finish tag stays
 * behind virtual time by the burst limit at most; that distance is the share's burst credit.
 */
final class FairQueue {
    /** Tolerance for comparisons of tags and connection counts, against rounding errors. */
    static final double TOLERANCE = 1e-6;

    private final double maxBurstMs;
    private final VirtualTime virtualTime;
    private final SpareCapacity spareCapacity;
    /** Shares that hold less than their quota and have waiting requests. */
    private final TreeSet<QuotaShare> belowQuota = new TreeSet<>(
            Comparator.<QuotaShare>comparingDouble(share -> share.queueTag).thenComparingLong(share -> share.sequence));
    /** Shares that are below their quota once virtual time has reached their refill tag. */
    private final TreeSet<QuotaShare> refilling =
            new TreeSet<>(Comparator.<QuotaShare>comparingDouble(share -> share.refillTag)
                    .thenComparingLong(share -> share.sequence));

    FairQueue(double maxBurstMs, VirtualTime virtualTime, SpareCapacity spareCapacity) {
        this.maxBurstMs = maxBurstMs;
        this.virtualTime = virtualTime;
        this.spareCapacity = spareCapacity;
    }

    /** Burst credit left, in milliseconds of the quota. */
    double burstCreditMs(QuotaShare share, double nowMs) {
        return Math.max(0, Math.min(maxBurstMs, virtualTime.value() - share.chargedFinishTag(nowMs)));
    }

    /** The least finish tag that a share may have at this time: that of one with all of its burst credit. */
    double minFinishTag() {
        return virtualTime.value() - maxBurstMs;
    }

    /** Whether a share holds less than its quota, with its burst credit, permits. */
    boolean mayClaim(QuotaShare share, double nowMs) {
        double maxRunning = maxRunning(share, nowMs);
        return share.running + 1 <= maxRunning + TOLERANCE
                || share.running < maxRunning && share.chargedFinishTag(nowMs) <= virtualTime.value() + TOLERANCE;
    }

    private double maxRunning(QuotaShare share, double nowMs) {
        return maxBurstMs == 0 ? share.quota : share.quota * (1 + burstCreditMs(share, nowMs) / maxBurstMs);
    }

    /** Whether a new request of a share may start without overtaking a share with a better claim. */
    boolean mayStartAtOnce(QuotaShare share, double nowMs) {
        return mayClaim(share, nowMs) || !spareCapacity.hasBorrowers() && spareCapacity.mayBorrow(share, nowMs);
    }

    boolean hasSharesBelowQuota() {
        return !belowQuota.isEmpty();
    }

    /** Puts a share where it belongs; to be called after each change of what it runs, waits for or may hold. */
    void update(QuotaShare share, double nowMs) {
        removeFromQueues(share);
        if (share.waitingTenants.isEmpty()) {
            return;
        }
        if (mayClaim(share, nowMs)) {
            share.queueTag = share.chargedFinishTag(nowMs);
            share.belowQuota = true;
            belowQuota.add(share);
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
        if (share.belowQuota) {
            belowQuota.remove(share);
            share.belowQuota = false;
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

    /** When {@link #updateRefilled} is due; infinite if no share is refilling or virtual time stands still. */
    double nextRefillMs() {
        return refilling.isEmpty() || !virtualTime.isRunning()
                ? Double.POSITIVE_INFINITY
                : virtualTime.reachedAtMs(refilling.first().refillTag);
    }

    /** The share whose request starts next, or null. */
    QuotaShare next(double nowMs) {
        while (!belowQuota.isEmpty()) {
            QuotaShare share = belowQuota.first();
            if (mayClaim(share, nowMs)) {
                return share;
            }
            update(share, nowMs);
        }
        return spareCapacity.next(nowMs);
    }

    /** Charges the expected hold time of a request that starts. */
    void chargeStart(QuotaShare share, double expectedMs) {
        share.finishTag = Math.max(share.finishTag, minFinishTag()) + expectedMs / share.effectiveQuota();
        spareCapacity.chargeStart(share, expectedMs);
    }

    /** Charges what a request took beyond what was expected; less than 0 if it took less. */
    void chargeEnd(QuotaShare share, double extraMs) {
        double quota = share.effectiveQuota();
        // Guards against a debt that a share with a small quota would take unboundedly long to pay off.
        double maxFinishTag = virtualTime.value() + maxBurstMs + 2 * share.meanHoldMs / quota;
        share.finishTag = Math.min(share.finishTag + extraMs / quota, maxFinishTag);
        spareCapacity.chargeEnd(share, extraMs);
    }
}
