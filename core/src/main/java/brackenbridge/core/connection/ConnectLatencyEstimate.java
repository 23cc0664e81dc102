package brackenbridge.core.connection;

/**
 * Estimates the median time to open a connection and derives from it when a connection is late. Each opened connection
 * moves the estimate by a fixed factor towards its own time, so that a few very late ones hardly change it.
 */
final class ConnectLatencyEstimate {
    /** A connection is late when it takes longer than this many times the median. */
    private static final double LATE_MEDIANS = 4;
    /** Guards servers against a second handshake because of a short pause of the event loop. */
    private static final double MIN_LATE_AFTER_MS = 5;
    /** A connection is late after this fraction of the connect time-out, even if the median is higher. */
    private static final double MAX_LATE_TIMEOUT_RATIO = 0.25;
    /** Each opened connection moves the estimate of the median by this factor. */
    private static final double MEDIAN_STEP_FACTOR = 1.15;

    private static final double MIN_MEDIAN_MS = 0.1;

    private double medianMs;

    ConnectLatencyEstimate(double connectTimeoutMs) {
        medianMs = connectTimeoutMs * MAX_LATE_TIMEOUT_RATIO / LATE_MEDIANS;
    }

    void onConnected(double latencyMs, double connectTimeoutMs) {
        double newMedianMs = latencyMs > medianMs
                ? medianMs * MEDIAN_STEP_FACTOR
                : Math.max(MIN_MEDIAN_MS, medianMs / MEDIAN_STEP_FACTOR);
        medianMs = Math.min(connectTimeoutMs, newMedianMs);
    }

    /** A connection that takes longer than this is late. */
    double lateAfterMs(double connectTimeoutMs) {
        return Math.min(
                connectTimeoutMs * MAX_LATE_TIMEOUT_RATIO, Math.max(MIN_LATE_AFTER_MS, medianMs * LATE_MEDIANS));
    }
}
