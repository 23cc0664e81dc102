package brackenbridge.lab.random;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ContinuousSampler;
import org.apache.commons.rng.sampling.distribution.InverseTransformParetoSampler;
import org.apache.commons.rng.sampling.distribution.LogNormalSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

/**
 * A distribution of positive amounts, named by its mean and its coefficient of variation.
 *
 * @param shape its form
 * @param mean its mean, above 0
 * @param cv standard deviation over mean; the fixed and the exponential form have their own and ignore it
 */
public record Distribution(Shape shape, double mean, double cv) {
    /** Forms of a distribution. */
    public enum Shape {
        /** Always the mean. */
        FIXED,
        /** Exponential. */
        EXPONENTIAL,
        /** Lognormal. */
        LOGNORMAL,
        /** Pareto, with a tail as heavy as its variation asks for. */
        PARETO
    }

    /** Rejects what no sampler could draw. */
    public Distribution {
        if (!(mean > 0) || Double.isInfinite(mean)) {
            throw new IllegalArgumentException("mean: " + mean);
        }
        if ((shape == Shape.LOGNORMAL || shape == Shape.PARETO) && !(cv > 0)) {
            throw new IllegalArgumentException("cv: " + cv);
        }
    }

    /** Always the same amount. */
    public static Distribution fixed(double amount) {
        return new Distribution(Shape.FIXED, amount, 0);
    }

    /** Exponential with this mean. */
    public static Distribution exponential(double mean) {
        return new Distribution(Shape.EXPONENTIAL, mean, 1);
    }

    /** The mean of the squares, which queueing formulas ask for. */
    public double secondMoment() {
        double variation = switch (shape) {
            case FIXED -> 0;
            case EXPONENTIAL -> 1;
            default -> cv;
        };
        return mean * mean * (1 + variation * variation);
    }

    /** Draws from this stream. */
    public ContinuousSampler sampler(UniformRandomProvider random) {
        return switch (shape) {
            case FIXED -> () -> mean;
            case EXPONENTIAL -> ZigguratSampler.Exponential.of(random, mean);
            case LOGNORMAL -> {
                double variance = Math.log1p(cv * cv);
                yield LogNormalSampler.of(
                        ZigguratSampler.NormalizedGaussian.of(random),
                        Math.log(mean) - variance / 2,
                        Math.sqrt(variance));
            }
            case PARETO -> {
                // From mean = scale a / (a - 1) and cv^2 = 1 / (a (a - 2)), for the tail index a.
                double index = 1 + Math.sqrt(1 + 1 / (cv * cv));
                yield InverseTransformParetoSampler.of(random, mean * (index - 1) / index, index);
            }
        };
    }
}
