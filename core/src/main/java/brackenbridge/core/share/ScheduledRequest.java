package brackenbridge.core.share;

/** A request that waits for its turn, or that holds a connection. */
final class ScheduledRequest {
    final long id;
    final Tenant tenant;
    final double expectedMs;
    /** The last moment at which it may start and still be answered before its deadline. */
    final double latestStartMs;

    private double startedMs = Double.NaN;
    private boolean cancelled;

    ScheduledRequest(long id, Tenant tenant, double expectedMs, double latestStartMs) {
        this.id = id;
        this.tenant = tenant;
        this.expectedMs = expectedMs;
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
