package brackenbridge.core.share;

import java.util.ArrayDeque;

/** Accounting of one tenant that has requests, or whose finish tag still matters. */
final class Tenant {
    /** How long a request is expected to hold a connection while nothing is known of its tenant. */
    static final double UNKNOWN_HOLD_MS = 50;
    /** Weight of the newest request in a moving mean of hold times. */
    static final double HOLD_MEAN_GAIN = 0.1;
    /** An unnamed tenant of long requests never gets more than the quota of unnamed tenants divided by this. */
    private static final int MIN_UNNAMED_DIVISOR = 2;

    final String name;
    /** Breaks ties between equal tags in the order of arrival. */
    final long sequence;

    final ArrayDeque<ScheduledRequest> waitingRequests = new ArrayDeque<>(2);
    QuotaShare share;
    int running;
    int waiting;
    int rejected;
    /** Moving mean of how long its requests held a connection; NaN before the first has ended. */
    double meanHoldMs = Double.NaN;
    /** Sum of the start times of its running requests. */
    double sumStartedMs;
    /** Integral of running requests over time since the last report, in request milliseconds. */
    double runningIntegral;
    /** Integral of waiting requests over time since the last report, in request milliseconds. */
    double waitingIntegral;
    /** Its finish tag among the tenants of its share. */
    double finishTag;

    private double integratedUntilMs;
    private boolean queued;

    Tenant(String name, long sequence, double nowMs) {
        this.name = name;
        this.sequence = sequence;
        this.integratedUntilMs = nowMs;
    }

    /** Adds up its use until now; to be called before each change of what runs or waits. */
    void integrateUse(double nowMs) {
        runningIntegral += running * (nowMs - integratedUntilMs);
        waitingIntegral += waiting * (nowMs - integratedUntilMs);
        integratedUntilMs = nowMs;
    }

    void resetUse() {
        runningIntegral = 0;
        waitingIntegral = 0;
        rejected = 0;
    }

    double expectedHoldMs() {
        return Double.isNaN(meanHoldMs) ? UNKNOWN_HOLD_MS : meanHoldMs;
    }

    /** How long one of its requests holds a connection; running ones count when they exceed the mean. */
    double holdMs(double nowMs) {
        double mean = expectedHoldMs();
        return running == 0 ? mean : Math.max(mean, nowMs - sumStartedMs / running);
    }

    void onStarted(ScheduledRequest request, double nowMs, double weight) {
        running++;
        sumStartedMs += nowMs;
        finishTag = Math.max(finishTag, share.innerVirtualTime);
        share.innerVirtualTime = finishTag;
        finishTag += request.expectedMs / weight;
    }

    void onEnded(ScheduledRequest request, double nowMs, double weight) {
        double heldMs = nowMs - request.startedMs();
        running--;
        sumStartedMs = running == 0 ? 0 : sumStartedMs - request.startedMs();
        meanHoldMs = Double.isNaN(meanHoldMs) ? heldMs : meanHoldMs + HOLD_MEAN_GAIN * (heldMs - meanHoldMs);
        finishTag += (heldMs - request.expectedMs) / weight;
    }

    /** Guards against an unnamed tenant of long requests that takes all of the quota of unnamed tenants. */
    boolean mayStartAnother(double nowMs, double maxLoanMs) {
        return !share.unnamed
                || running == 0
                || holdMs(nowMs) <= maxLoanMs
                || running + 1 <= share.quota / Math.max(MIN_UNNAMED_DIVISOR, share.waitingTenants.size() + 1);
    }

    boolean isQueued() {
        return queued;
    }

    /** Enters the queue of its share if it has a request that may start. */
    void enterQueue(double nowMs, double maxLoanMs) {
        if (!queued && waiting > 0 && mayStartAnother(nowMs, maxLoanMs)) {
            queued = true;
            share.waitingTenants.add(this);
        }
    }

    /** Leaves the queue of its share; to be called before each change of its finish tag. */
    void leaveQueue() {
        if (queued) {
            share.waitingTenants.remove(this);
            queued = false;
        }
    }
}
