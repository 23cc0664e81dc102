package brackenbridge.core;

/**
 * How much later than due this node has recently noticed deadlines: the longest delay, which decays by half in {@link
 * #HALF_LIFE_MS}. A node short of processor time notices everything late, so its answers need a larger margin. All
 * times are in milliseconds.
 */
final class TimerLateness {
    /** Long enough to span the time between two garbage collections, short enough to forget a cold start. */
    static final double HALF_LIFE_MS = 2000;

    private double longestMs;
    private double atMs;

    /** Records that a deadline was noticed now. */
    void noticed(double nowMs, double dueMs) {
        longestMs = Math.max(ms(nowMs), nowMs - dueMs);
        atMs = nowMs;
    }

    /** The delay to expect; 0 if none was recorded. */
    double ms(double nowMs) {
        return longestMs * Math.pow(0.5, (nowMs - atMs) / HALF_LIFE_MS);
    }
}
