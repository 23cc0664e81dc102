package brackenbridge.fleet.control;

import java.util.OptionalDouble;

/**
 * Limits the rate of new subscriptions at a control machine by a token bucket and a virtual queue of the rejected ones.
 * Each rejected subscription gets a later Retry-After than the one before, so that they return at the admission rate
 * and not all at once.
 */
final class AdmissionLimiter {
    private final double ratePerMs;
    private final int burst;
    private double usedTokens;
    private double queuedRetries;
    private double lastMs = Double.NEGATIVE_INFINITY;

    /**
     * Creates a limiter with a full bucket.
     *
     * @param perSecond sustained number of admissions per second
     * @param burst capacity of the bucket
     */
    AdmissionLimiter(double perSecond, int burst) {
        if (!(perSecond > 0) || burst < 1) {
            throw new IllegalArgumentException(
                    "admission rate must be positive and burst at least 1: " + perSecond + ", " + burst);
        }
        this.ratePerMs = perSecond / 1000;
        this.burst = burst;
    }

    /** Admits one subscription and returns empty, or returns after how many milliseconds to retry. */
    OptionalDouble admit(double nowMs) {
        double drained = lastMs == Double.NEGATIVE_INFINITY ? 0 : Math.max(0, nowMs - lastMs) * ratePerMs;
        lastMs = Math.max(lastMs, nowMs);
        usedTokens = Math.max(0, usedTokens - drained);
        queuedRetries = Math.max(0, queuedRetries - drained);
        if (usedTokens + 1 <= burst) {
            usedTokens++;
            return OptionalDouble.empty();
        }
        queuedRetries++;
        return OptionalDouble.of((usedTokens + queuedRetries - burst) / ratePerMs);
    }
}
