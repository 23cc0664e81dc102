package brackenbridge.core.share;

import java.util.ArrayDeque;

/** State of a tenant that has requests, or whose finish tag still affects scheduling. */
final class Tenant {
    /** The assumed hold time of a tenant's requests until the first one has ended. */
    static final double UNKNOWN_HOLD_MS = 50;
    /** Weight of the newest request in the moving means of hold times. */
    static final double HOLD_MEAN_GAIN = 0.1;
    /** An unnamed tenant with long requests never gets more than the quota of unnamed tenants divided by this. */
    private static final int MIN_UNNAMED_DIVISOR = 2;

    final String name;
    /** Breaks ties between equal tags in the order of arrival. */
    final long sequence;

    final ArrayDeque<ScheduledRequest> waitingRequests = new ArrayDeque<>(2);
    QuotaShare share;
    int running;
    int waiting;
    int rejected;
    /** Moving mean of its requests' hold times; NaN until the first one has ended. */
    double meanHoldMs = Double.NaN;
    /** Sum of the start times of its running requests. */
    double sumStartTimesMs;
    /** Integral of running requests over time since the last report, in request milliseconds. */
    double runningIntegral;
    /** Integral of waiting requests over time since the last report, in request milliseconds. */
    double waitingIntegral;
    /** Finish tag among the tenants of its share. */
    double finishTag;

    private double integratedUntilMs;
    private boolean queued;

    Tenant(String name, long sequence, double nowMs) {
        this.name = name;
        this.sequence = sequence;
        this.integratedUntilMs = nowMs;
    }

    /** Integrates its usage up to now. Call this before each change of its running or waiting requests. */
    void integrateUsage(double nowMs) {
        runningIntegral += running * (nowMs - integratedUntilMs);
        waitingIntegral += waiting * (nowMs - integratedUntilMs);
        integratedUntilMs = nowMs;
    }

    void resetUsage() {
        runningIntegral = 0;
        waitingIntegral = 0;
        rejected = 0;
    }

    double expectedHoldMs() {
        return Double.isNaN(meanHoldMs) ? UNKNOWN_HOLD_MS : meanHoldMs;
    }

    /** The hold time of its requests: their mean, or the mean age of the running ones if that is longer. */
    double holdMs(double nowMs) {
        double mean = expectedHoldMs();
        return running == 0 ? mean : Math.max(mean, nowMs - sumStartTimesMs / running);
    }

    void onStarted(ScheduledRequest request, double nowMs, double weight) {
        running++;
        sumStartTimesMs += nowMs;
        finishTag = Math.max(finishTag, share.innerVirtualTime);
        share.innerVirtualTime = finishTag;
        finishTag += request.expectedHoldMs / weight;
    }

    void onEnded(ScheduledRequest request, double nowMs, double weight) {
        double heldMs = nowMs - request.startedMs();
        running--;
        sumStartTimesMs = running == 0 ? 0 : sumStartTimesMs - request.startedMs();
        meanHoldMs = Double.isNaN(meanHoldMs) ? heldMs : meanHoldMs + HOLD_MEAN_GAIN * (heldMs - meanHoldMs);
        finishTag += (heldMs - request.expectedHoldMs) / weight;
    }

    /** Guards against an unnamed tenant whose long requests take the entire quota of unnamed tenants. */
    boolean mayStartAnother(double nowMs, double maxLoanMs) {
        return !share.unnamed
                || running == 0
                || holdMs(nowMs) <= maxLoanMs
                || running + 1 <= share.quota / Math.max(MIN_UNNAMED_DIVISOR, share.waitingTenants.size() + 1);
    }

    boolean isQueued() {
        return queued;
    }

    /** Enters the queue of its share if it has a waiting request that may start. */
    void enterQueue(double nowMs, double maxLoanMs) {
        if (!queued && waiting > 0 && mayStartAnother(nowMs, maxLoanMs)) {
            queued = true;
            share.waitingTenants.add(this);
        }
    }

    /** Leaves the queue of its share. Call this before each change of its finish tag. */
    void leaveQueue() {
        if (queued) {
            share.waitingTenants.remove(this);
            queued = false;
        }
    }
}
