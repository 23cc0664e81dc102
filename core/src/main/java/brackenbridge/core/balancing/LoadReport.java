package brackenbridge.core.balancing;

/**
 * What an endpoint says of its load, late and noisy; NaN for what it does not say.
 *
 * @param inFlight requests in hand
 * @param queued requests waiting
 * @param utilization the part of its CPU in use
 * @param meanMs its service time of late, in milliseconds
 * @param requestsPerSecond requests served a second
 * @param errorsPerSecond errors a second
 */
public record LoadReport(
        double inFlight,
        double queued,
        double utilization,
        double meanServiceTimeMs,
        double requestsPerSecond,
        double errorsPerSecond) {}
