package brackenbridge.core.share;

/** A request that waits for a connection or holds one. */
final class ScheduledRequest {
    final long id;
    final Tenant tenant;
    final double expectedHoldMs;
    /** The latest start at which it is still expected to end before its deadline. */
    final double latestStartMs;

    private double startedMs = Double.NaN;
    private boolean cancelled;

    ScheduledRequest(long id, Tenant tenant, double expectedHoldMs, double latestStartMs) {
        this.id = id;
        this.tenant = tenant;
        this.expectedHoldMs = expectedHoldMs;
        this.latestStartMs = latestStartMs;
    }

    void start(double nowMs) {
        startedMs = nowMs;
    }

    void cancel() {
        cancelled = true;
    }

    boolean isRunning() {
        return !Double.isNaN(startedMs);
    }

    boolean isWaiting() {
        return !cancelled && !isRunning();
    }

    boolean isCancelled() {
        return cancelled;
    }

    double startedMs() {
        return startedMs;
    }
}
