package brackenbridge.core.share;

/**
 * The virtual time of start-time fair queueing. It runs with the clock, so that a share that uses its full quota
 * advances its finish tag as fast as time passes; it runs slower if the sum of all quotas is not an integer.
 */
final class VirtualTime {
    private static final double MIN_TIMER_MS = 1;

    private double value;
    private double rate = 1;
    private double updatedMs = Double.NaN;

    boolean isStarted() {
        return !Double.isNaN(updatedMs);
    }

    void start(double nowMs) {
        updatedMs = nowMs;
    }

    void advance(double nowMs) {
        value += Math.max(0, nowMs - updatedMs) * rate;
        updatedMs = Math.max(updatedMs, nowMs);
    }

    double value() {
        return value;
    }

    /** Sets the virtual milliseconds per millisecond of the clock. */
    void setRate(double rate) {
        this.rate = rate;
    }

    boolean isRunning() {
        return rate > 0;
    }

    /** The clock time at which it reaches a tag. */
    double reachedAtMs(double tag) {
        return updatedMs + Math.max(MIN_TIMER_MS, (tag - value) / rate);
    }
}
