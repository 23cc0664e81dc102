package brackenbridge.core.balancing;

/**
 * The load that an endpoint reports, delayed and noisy; NaN for values that it does not report.
 *
 * @param inFlight requests being processed
 * @param queued requests waiting
 * @param utilization the fraction of its CPU in use
 * @param meanServiceTimeMs its recent mean service time, in milliseconds
 * @param requestsPerSecond requests served per second
 * @param errorsPerSecond errors per second
 */
public record LoadReport(
        double inFlight,
        double queued,
        double utilization,
        double meanServiceTimeMs,
        double requestsPerSecond,
        double errorsPerSecond) {}
