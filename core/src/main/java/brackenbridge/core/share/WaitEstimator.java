package brackenbridge.core.share;

/** Estimates how long a request would wait, and when a rejected one may be sent again. */
final class WaitEstimator {
    /** A share is taken to serve this many requests at once at least, so that an estimate is finite. */
    private static final double MIN_SERVED_AT_ONCE = 0.05;

    private static final double MIN_RETRY_AFTER_MS = 1;
    private static final double MAX_RETRY_AFTER_MS = 60_000;

    private final double retryWithoutCapacityMs;

    /**
     * Creates one.
     *
     * @param retryWithoutCapacityMs when a request may be sent again that was rejected because there is no quota at all
     */
    WaitEstimator(double retryWithoutCapacityMs) {
        this.retryWithoutCapacityMs = retryWithoutCapacityMs;
    }

    /** How long the next request of a tenant would wait; infinite if no request may run. */
    double waitMs(Tenant tenant, double nowMs, int maxRunning) {
        if (maxRunning == 0) {
            return Double.POSITIVE_INFINITY;
        }
        QuotaShare share = tenant.share;
        double servedAtOnce = Math.min(maxRunning, Math.max(share.quota, share.running));
        if (share.unnamed) {
            servedAtOnce /= share.waitingTenants.size() + (tenant.isQueued() ? 0 : 1);
        }
        return (tenant.waiting + 1) * tenant.holdMs(nowMs) / Math.max(MIN_SERVED_AT_ONCE, servedAtOnce);
    }

    /** When the client of a rejected request may send it again, from now. */
    double retryAfterMs(double latenessMs, double expectedMs, int maxRunning) {
        double waitMs = maxRunning == 0 ? retryWithoutCapacityMs : Math.max(latenessMs, expectedMs);
        return Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, waitMs));
    }
}
