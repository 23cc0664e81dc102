package brackenbridge.fleet.evacuation;

/**
 * A figure that is learnt by exponentially weighted mean and variance (Finch, Incremental calculation of weighted mean
 * and variance, 2009), with a spread that widens with age and with thin data.
 */
final class MovingEstimate {
    /** What one observation says of the next, at the least: figures of neighbouring seconds are not independent. */
    private static final double CORRELATION_FACTOR = 2;
    /** Relative spread that a single observation leaves open. */
    private static final double SINGLE_SAMPLE_SPREAD = 0.3;
    /** Relative spread that a minute's age adds. */
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

    /** For how many observations of late it stands. */
    double weight() {
        return weight;
    }

    /** Relative standard deviation of the figure as an estimate of what is true now; infinite if nothing is known. */
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
