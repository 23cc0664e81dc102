package brackenbridge.core.share;

import java.util.Comparator;
import java.util.TreeSet;

/** What has a quota of its own: one named tenant, or all unnamed tenants together. */
final class QuotaShare {
    /** Quotas below this are charged as if they were this, so that a charge is always finite; connections. */
    private static final double MIN_CHARGED_QUOTA = 0.01;

    /** Breaks ties between equal tags in the order of creation. */
    final long sequence;
    /** Whether it is that of all unnamed tenants. */
    final boolean unnamed;
    /** Its tenants with requests that may start, by finish tag. */
    final TreeSet<Tenant> waitingTenants = new TreeSet<>(Comparator.<Tenant>comparingDouble(tenant -> tenant.finishTag)
            .thenComparingLong(tenant -> tenant.sequence));

    double quota;
    double weight = 1;
    int running;
    /** Sum of the start times of its running requests. */
    double sumStartedMs;
    /** Sum of the expected hold times of its running requests. */
    double sumExpectedMs;

    double meanHoldMs = Tenant.UNKNOWN_HOLD_MS;
    /** Finish tag in the fair queue: connection time charged, divided by the quota. */
    double finishTag = Double.NEGATIVE_INFINITY;
    /** Finish tag among borrowers: connection time charged, divided by the weight. */
    double borrowedFinishTag;
    /** Virtual time among its tenants. */
    double innerVirtualTime;

    /** The tag by which it is sorted in {@link FairQueue} or {@link SpareCapacity}; fixed while it is in one. */
    double queueTag;
    /** The virtual time at which it is below its quota again; fixed while it is refilling. */
    double refillTag;

    boolean belowQuota;
    boolean borrowing;
    boolean refilling;

    QuotaShare(long sequence, boolean unnamed) {
        this.sequence = sequence;
        this.unnamed = unnamed;
    }

    double effectiveQuota() {
        return Math.max(quota, MIN_CHARGED_QUOTA);
    }

    /** The finish tag, plus what running requests took beyond what was expected of them. */
    double chargedFinishTag(double nowMs) {
        return finishTag + Math.max(0, running * nowMs - sumStartedMs - sumExpectedMs) / effectiveQuota();
    }

    /** How long one of its requests holds a connection; running ones count when they exceed the mean. */
    double holdMs(double nowMs) {
        return running == 0 ? meanHoldMs : Math.max(meanHoldMs, nowMs - sumStartedMs / running);
    }

    void onStarted(ScheduledRequest request, double nowMs) {
        running++;
        sumStartedMs += nowMs;
        sumExpectedMs += request.expectedMs;
    }

    void onEnded(ScheduledRequest request, double nowMs) {
        running--;
        sumStartedMs = running == 0 ? 0 : sumStartedMs - request.startedMs();
        sumExpectedMs = running == 0 ? 0 : Math.max(0, sumExpectedMs - request.expectedMs);
        meanHoldMs += Tenant.HOLD_MEAN_GAIN * (nowMs - request.startedMs() - meanHoldMs);
    }

    /** Takes over the running requests of a tenant that comes from another share. */
    void addRunning(Tenant tenant, double expectedMs) {
        running += tenant.running;
        sumStartedMs += tenant.sumStartedMs;
        sumExpectedMs += expectedMs;
    }

    /** Gives up the running requests of a tenant that goes to another share. */
    void removeRunning(Tenant tenant, double expectedMs) {
        running -= tenant.running;
        sumStartedMs -= tenant.sumStartedMs;
        sumExpectedMs = Math.max(0, sumExpectedMs - expectedMs);
    }
}
