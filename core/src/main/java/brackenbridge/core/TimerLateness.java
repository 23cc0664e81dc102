package brackenbridge.core;

/**
 * How late this node's deadline timers have recently fired: the maximum delay, which decays with a half-life of {@link
 * #HALF_LIFE_MS}. On a node short of CPU time all timers fire late, so its responses need a larger margin. Times are in
 * milliseconds.
 */
final class TimerLateness {
    /** Long enough to span the time between two garbage collections, short enough to forget a cold start soon. */
    static final double HALF_LIFE_MS = 2000;

    private double maxMs;
    private double recordedAtMs;

    /** Records that a timer due at {@code dueMs} fired now. */
    void recordDelay(double nowMs, double dueMs) {
        maxMs = Math.max(expectedMs(nowMs), nowMs - dueMs);
        recordedAtMs = nowMs;
    }

    /** The expected delay; 0 if none was recorded. */
    double expectedMs(double nowMs) {
        return maxMs * Math.pow(0.5, (nowMs - recordedAtMs) / HALF_LIFE_MS);
    }
}
