package brackenbridge.lab.report;

import java.util.List;
import java.util.Locale;
import org.apache.commons.statistics.distribution.TDistribution;

/**
 * A mean and its 95% confidence interval over seeds, by Student's t.
 *
 * @param mean the mean
 * @param half half the width of the interval; NaN for a single figure
 * @param n how many figures
 */
public record Interval(double mean, double half, int n) {
    private static final double TAIL = 0.975;

    /** Of these figures. */
    public static Interval of(List<Double> figures) {
        int n = figures.size();
        double mean =
                figures.stream().mapToDouble(Double::doubleValue).average().orElse(Double.NaN);
        if (n < 2) {
            return new Interval(mean, Double.NaN, n);
        }
        double squares =
                figures.stream().mapToDouble(f -> (f - mean) * (f - mean)).sum();
        double error = Math.sqrt(squares / (n - 1) / n);
        return new Interval(mean, TDistribution.of(n - 1).inverseCumulativeProbability(TAIL) * error, n);
    }

    /** The mean with so many decimals, and half the interval. */
    public String text(int decimals) {
        String format = "%." + decimals + "f";
        return String.format(Locale.ROOT, format, mean)
                + (Double.isNaN(half) ? "" : " ± " + String.format(Locale.ROOT, format, half));
    }

    /** Whether 0 lies outside of the interval. */
    public boolean beyondNoise() {
        return !Double.isNaN(half) && Math.abs(mean) > half;
    }
}
