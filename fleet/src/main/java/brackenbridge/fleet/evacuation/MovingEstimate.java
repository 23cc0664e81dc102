package brackenbridge.fleet.evacuation;

/**
 * An estimate by exponentially weighted mean and variance (Finch, Incremental calculation of weighted mean and
 * variance, 2009), with a spread that widens with age and with few observations.
 */
final class MovingEstimate {
    /** Factor on the variance of the mean: values of neighbouring seconds are not independent. */
    private static final double CORRELATION_FACTOR = 2;
    /** Relative spread after a single observation. */
    private static final double SINGLE_SAMPLE_SPREAD = 0.3;
    /** Relative spread that each minute of age adds. */
    private static final double SPREAD_PER_MINUTE = 0.1;

    private final double halfLifeMs;
    private double mean;
    private double variance;
    private double weight;
    private double lastMs = Double.NEGATIVE_INFINITY;

    MovingEstimate(double halfLifeMs) {
        this.halfLifeMs = halfLifeMs;
    }

    void add(double nowMs, double value) {
        if (!Double.isFinite(value)) {
            return;
        }
        double decay = weight == 0 ? 0 : Math.pow(0.5, Math.max(0, nowMs - lastMs) / halfLifeMs);
        weight = weight * decay + 1;
        double gain = 1 / weight;
        double deviation = value - mean;
        mean += gain * deviation;
        variance = (1 - gain) * (variance + gain * deviation * deviation);
        lastMs = nowMs;
    }

    boolean isKnown() {
        return weight > 0;
    }

    double mean() {
        return mean;
    }

    /** Returns the effective number of recent observations. */
    double weight() {
        return weight;
    }

    /** Returns the relative standard deviation of the estimate as of now; infinite if there is no observation. */
    double spread(double nowMs) {
        if (weight == 0 || mean == 0) {
            return weight == 0 ? Double.POSITIVE_INFINITY : 0;
        }
        double sampling = variance * CORRELATION_FACTOR / weight / (mean * mean);
        double fewSamples = SINGLE_SAMPLE_SPREAD / weight;
        double age = SPREAD_PER_MINUTE * Math.max(0, nowMs - lastMs) / 60_000;
        return Math.sqrt(sampling + fewSamples * fewSamples + age * age);
    }
}
