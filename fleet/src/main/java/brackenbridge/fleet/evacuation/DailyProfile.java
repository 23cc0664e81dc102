package brackenbridge.fleet.evacuation;

import java.util.HashMap;
import java.util.Map;

/**
 * The daily load profile of each origin: a mean rate for each quarter of an hour, learnt from day to day. It predicts
 * nothing until it has seen both of the compared quarters on two days.
 */
final class DailyProfile {
    private static final int QUARTERS = 96;
    private static final double QUARTER_MS = 15 * 60_000.0;
    /** The weight of a new day in a quarter's mean. */
    private static final double NEW_DAY_WEIGHT = 0.3;

    private static final int MIN_DAYS = 2;
    /** Relative spread that an hour's wait adds, without and with a known profile. */
    private static final double HOURLY_SPREAD_UNKNOWN = 0.15;

    private static final double HOURLY_SPREAD_KNOWN = 0.04;

    private static final class LoadCurve {
        final double[] quarterMeans = new double[QUARTERS];
        final int[] daysSeen = new int[QUARTERS];
        int currentQuarter = -1;
        double currentSum;
        int currentCount;

        void closeQuarter() {
            if (currentQuarter >= 0 && currentCount > 0) {
                double mean = currentSum / currentCount;
                quarterMeans[currentQuarter] = daysSeen[currentQuarter] == 0
                        ? mean
                        : quarterMeans[currentQuarter] + NEW_DAY_WEIGHT * (mean - quarterMeans[currentQuarter]);
                daysSeen[currentQuarter]++;
            }
            currentSum = 0;
            currentCount = 0;
        }
    }

    private final Map<String, LoadCurve> curves = new HashMap<>();

    private static int quarterOf(double timeOfDayMs) {
        return (int) Math.floorMod((long) Math.floor(timeOfDayMs / QUARTER_MS), (long) QUARTERS);
    }

    void add(String origin, double timeOfDayMs, double rate) {
        LoadCurve curve = curves.computeIfAbsent(origin, k -> new LoadCurve());
        int quarter = quarterOf(timeOfDayMs);
        if (quarter != curve.currentQuarter) {
            curve.closeQuarter();
            curve.currentQuarter = quarter;
        }
        curve.currentSum += rate;
        curve.currentCount++;
    }

    /** Returns the load at one time of day as a multiple of the load at another; 1 if the profile is not known. */
    double ratio(String origin, double fromTimeOfDayMs, double toTimeOfDayMs) {
        return isKnown(origin, fromTimeOfDayMs, toTimeOfDayMs)
                ? curves.get(origin).quarterMeans[quarterOf(toTimeOfDayMs)]
                        / curves.get(origin).quarterMeans[quarterOf(fromTimeOfDayMs)]
                : 1;
    }

    boolean isKnown(String origin, double fromTimeOfDayMs, double toTimeOfDayMs) {
        LoadCurve curve = curves.get(origin);
        int from = quarterOf(fromTimeOfDayMs);
        int to = quarterOf(toTimeOfDayMs);
        return curve != null
                && curve.daysSeen[from] >= MIN_DAYS
                && curve.daysSeen[to] >= MIN_DAYS
                && curve.quarterMeans[from] > 0;
    }

    /** Returns the relative spread that the time between the two adds to a prediction. */
    double spread(String origin, double fromTimeOfDayMs, double toTimeOfDayMs) {
        double hours = Math.max(0, toTimeOfDayMs - fromTimeOfDayMs) / 3_600_000;
        return (isKnown(origin, fromTimeOfDayMs, toTimeOfDayMs) ? HOURLY_SPREAD_KNOWN : HOURLY_SPREAD_UNKNOWN)
                * Math.sqrt(hours);
    }
}
