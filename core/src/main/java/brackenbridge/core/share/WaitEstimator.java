package brackenbridge.core.share;

/** Estimates how long a request would wait, and when a rejected one may be retried. */
final class WaitEstimator {
    /** The minimum concurrency assumed of a share, so that an estimate is finite. */
    private static final double MIN_CONCURRENCY = 0.05;

    private static final double MIN_RETRY_AFTER_MS = 1;
    private static final double MAX_RETRY_AFTER_MS = 60_000;

    private final double retryWithoutCapacityMs;

    /**
     * Creates an estimator.
     *
     * @param retryWithoutCapacityMs the retry delay of requests that are rejected because no request may run
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
        double concurrency = Math.min(maxRunning, Math.max(share.quota, share.running));
        if (share.unnamed) {
            concurrency /= share.waitingTenants.size() + (tenant.isQueued() ? 0 : 1);
        }
        return (tenant.waiting + 1) * tenant.holdMs(nowMs) / Math.max(MIN_CONCURRENCY, concurrency);
    }

    /** How long the client of a rejected request must wait before a retry. */
    double retryAfterMs(double latenessMs, double expectedHoldMs, int maxRunning) {
        double waitMs = maxRunning == 0 ? retryWithoutCapacityMs : Math.max(latenessMs, expectedHoldMs);
        return Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, waitMs));
    }
}
