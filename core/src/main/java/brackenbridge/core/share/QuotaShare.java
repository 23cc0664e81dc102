package brackenbridge.core.share;

import java.util.Comparator;
import java.util.TreeSet;

/** The holder of a quota: one named tenant, or all unnamed tenants together. */
final class QuotaShare {
    /** Smaller quotas are charged as this many connections, so that a charge is always finite. */
    private static final double MIN_CHARGED_QUOTA = 0.01;

    /** Breaks ties between equal tags in the order of creation. */
    final long sequence;
    /** Whether this is the share of all unnamed tenants. */
    final boolean unnamed;
    /** Its tenants with a waiting request that may start, by finish tag. */
    final TreeSet<Tenant> waitingTenants = new TreeSet<>(Comparator.<Tenant>comparingDouble(tenant -> tenant.finishTag)
            .thenComparingLong(tenant -> tenant.sequence));

    double quota;
    double weight = 1;
    int running;
    /** Sum of the start times of its running requests. */
    double sumStartTimesMs;
    /** Sum of the expected hold times of its running requests. */
    double sumExpectedHoldMs;

    double meanHoldMs = Tenant.UNKNOWN_HOLD_MS;
    /** Finish tag in the fair queue: charged connection time divided by the quota. */
    double finishTag = Double.NEGATIVE_INFINITY;
    /** Finish tag among borrowers: charged connection time divided by the weight. */
    double borrowedFinishTag;
    /** Virtual time of the fair queueing among its tenants. */
    double innerVirtualTime;

    /** The tag by which it is sorted in {@link FairQueue} or {@link SpareCapacity}; fixed while it is in one. */
    double queueTag;
    /** The virtual time at which it becomes eligible again; fixed while it is refilling. */
    double refillTag;

    boolean queuedAsEligible;
    boolean borrowing;
    boolean refilling;

    QuotaShare(long sequence, boolean unnamed) {
        this.sequence = sequence;
        this.unnamed = unnamed;
    }

    double effectiveQuota() {
        return Math.max(quota, MIN_CHARGED_QUOTA);
    }

    /** The finish tag, plus the time that running requests have taken beyond their expected hold times. */
    double chargedFinishTag(double nowMs) {
        return finishTag + Math.max(0, running * nowMs - sumStartTimesMs - sumExpectedHoldMs) / effectiveQuota();
    }

    /** The hold time of its requests: their mean, or the mean age of the running ones if that is longer. */
    double holdMs(double nowMs) {
        return running == 0 ? meanHoldMs : Math.max(meanHoldMs, nowMs - sumStartTimesMs / running);
    }

    void onStarted(ScheduledRequest request, double nowMs) {
        running++;
        sumStartTimesMs += nowMs;
        sumExpectedHoldMs += request.expectedHoldMs;
    }

    void onEnded(ScheduledRequest request, double nowMs) {
        running--;
        sumStartTimesMs = running == 0 ? 0 : sumStartTimesMs - request.startedMs();
        sumExpectedHoldMs = running == 0 ? 0 : Math.max(0, sumExpectedHoldMs - request.expectedHoldMs);
        meanHoldMs += Tenant.HOLD_MEAN_GAIN * (nowMs - request.startedMs() - meanHoldMs);
    }

    /** Adds the running requests of a tenant that moves here from another share. */
    void addRunning(Tenant tenant, double expectedHoldMs) {
        running += tenant.running;
        sumStartTimesMs += tenant.sumStartTimesMs;
        sumExpectedHoldMs += expectedHoldMs;
    }

    /** Removes the running requests of a tenant that moves to another share. */
    void removeRunning(Tenant tenant, double expectedHoldMs) {
        running -= tenant.running;
        sumStartTimesMs -= tenant.sumStartTimesMs;
        sumExpectedHoldMs = Math.max(0, sumExpectedHoldMs - expectedHoldMs);
    }
}
