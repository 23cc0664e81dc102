package brackenbridge.core.share;

/**
 * The virtual time of start-time fair queueing. It runs with the clock, so that a quota in full use moves its finish
 * tag as fast as time passes; it runs slower where all quotas together are not a whole number of connections.
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

    /** Sets virtual milliseconds a millisecond of the clock. */
    void setRate(double rate) {
        this.rate = rate;
    }

    boolean isRunning() {
        return rate > 0;
    }

    /** When it reaches a tag, on the clock. */
    double reachedAtMs(double tag) {
        return updatedMs + Math.max(MIN_TIMER_MS, (tag - value) / rate);
    }
}
