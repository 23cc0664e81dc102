package brackenbridge.net.client;

/** Measures how far a request's body is behind the minimum rate at which a client must send it. */
final class BodyRateMonitor {
    /** Maximum lag of a body behind its minimum rate, and maximum time without any byte. */
    static final double MAX_LAG_MS = 2500;

    private static final double MIN_RATE_BYTES_PER_MS = 32;

    private double lagMs;
    /** Time since the last byte of the body; detects a client that was fast at first and then stopped. */
    private double silentMs;

    private double checkedAtMs;
    private int bytesSinceCheck;

    BodyRateMonitor(double nowMs) {
        checkedAtMs = nowMs;
    }

    /** Counts bytes received on the connection. */
    void onBytes(int bytes) {
        bytesSinceCheck += bytes;
    }

    /** Resets the lag when the first bytes of a request are received. */
    void startRequest() {
        lagMs = 0;
    }

    /** Adds the time since the last check to the lag; returns whether the body is too slow. */
    boolean isTooSlow(double nowMs) {
        double elapsedMs = nowMs - checkedAtMs;
        lagMs = Math.max(-MAX_LAG_MS, lagMs + elapsedMs - bytesSinceCheck / MIN_RATE_BYTES_PER_MS);
        silentMs = bytesSinceCheck > 0 ? 0 : silentMs + elapsedMs;
        return lagMs > MAX_LAG_MS || silentMs > MAX_LAG_MS;
    }

    /** Resets the silence when no body was awaited since the last check. */
    void resetSilence() {
        silentMs = 0;
    }

    /** Ends a check: the next one measures from this time. */
    void endCheck(double nowMs) {
        bytesSinceCheck = 0;
        checkedAtMs = nowMs;
    }
}
