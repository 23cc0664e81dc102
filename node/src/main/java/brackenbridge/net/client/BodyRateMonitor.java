package brackenbridge.net.client;

/** Measures how far a request's body is behind the pace that a client must keep. */
final class BodyRateMonitor {
    /** How far a body may be behind its pace, and how long it may stay silent. */
    static final double MAX_LAG_MS = 2500;

    private static final double MIN_RATE_BYTES_PER_MS = 32;

    private double lagMs;
    /** How long nothing of the body has come: a client that was quick at first may have stopped. */
    private double silentMs;

    private double checkedAtMs;
    private int bytesSinceCheck;

    BodyRateMonitor(double nowMs) {
        checkedAtMs = nowMs;
    }

    /** Bytes have come on the connection. */
    void onBytes(int bytes) {
        bytesSinceCheck += bytes;
    }

    /** The first bytes of a request have come. */
    void startRequest() {
        lagMs = 0;
    }

    /** Measures the time since the last check; whether the body is too slow. */
    boolean isTooSlow(double nowMs) {
        double elapsedMs = nowMs - checkedAtMs;
        lagMs = Math.max(-MAX_LAG_MS, lagMs + elapsedMs - bytesSinceCheck / MIN_RATE_BYTES_PER_MS);
        silentMs = bytesSinceCheck > 0 ? 0 : silentMs + elapsedMs;
        return lagMs > MAX_LAG_MS || silentMs > MAX_LAG_MS;
    }

    /** No body was waited for since the last check. */
    void resetSilence() {
        silentMs = 0;
    }

    /** The next check measures from here. */
    void endCheck(double nowMs) {
        bytesSinceCheck = 0;
        checkedAtMs = nowMs;
    }
}
