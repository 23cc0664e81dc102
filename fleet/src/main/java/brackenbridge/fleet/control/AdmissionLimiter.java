package brackenbridge.fleet.control;

import java.util.OptionalDouble;

/**
 * Bounds how many subscriptions begin at a control machine: a token bucket, with a virtual queue of those that were
 * refused. Each refused one is told a later time to come back than the one before, so that they return at the rate at
 * which they are admitted and not all at once.
 */
final class AdmissionLimiter {
    private final double ratePerMs;
    private final int burst;
    private double usedTokens;
    private double queuedRetries;
    private double lastMs = Double.NEGATIVE_INFINITY;

    /**
     * A limiter that has admitted nobody yet.
     *
     * @param perSecond how many begin in a second over a longer time
     * @param burst how many may begin at once
     */
    AdmissionLimiter(double perSecond, int burst) {
        if (!(perSecond > 0) || burst < 1) {
            throw new IllegalArgumentException(perSecond + " a second, " + burst + " at once");
        }
        this.ratePerMs = perSecond / 1000;
        this.burst = burst;
    }

    /** Empty if one more may begin now; else after how many milliseconds to come back. */
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
