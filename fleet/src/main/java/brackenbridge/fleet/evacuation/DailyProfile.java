package brackenbridge.fleet.evacuation;

import java.util.HashMap;
import java.util.Map;

/**
 * How the load of an origin goes over the day: a mean for each quarter of an hour, learnt from day to day. Says nothing
 * until it has seen both quarters that are compared on two days.
 */
final class DailyProfile {
    private static final int QUARTERS = 96;
    private static final double QUARTER_MS = 15 * 60_000.0;
    /** A new day's part of a quarter's mean. */
    private static final double NEWEST = 0.3;

    private static final int DAYS = 2;
    /** Relative spread of the load after an hour of which nothing is known, and of one that was seen. */
    private static final double AN_HOUR_UNKNOWN = 0.15;

    private static final double AN_HOUR_KNOWN = 0.04;

    private static final class Day {
        final double[] means = new double[QUARTERS];
        final int[] days = new int[QUARTERS];
        int quarter = -1;
        double sum;
        int count;

        void close() {
            if (quarter >= 0 && count > 0) {
                double mean = sum / count;
                means[quarter] = days[quarter] == 0 ? mean : means[quarter] + NEWEST * (mean - means[quarter]);
                days[quarter]++;
            }
            sum = 0;
            count = 0;
        }
    }

    private final Map<String, Day> days = new HashMap<>();

    private static int quarter(double dayMs) {
        return (int) Math.floorMod((long) Math.floor(dayMs / QUARTER_MS), (long) QUARTERS);
    }

    void take(String origin, double dayMs, double rate) {
        Day d = days.computeIfAbsent(origin, k -> new Day());
        int q = quarter(dayMs);
        if (q != d.quarter) {
            d.close();
            d.quarter = q;
        }
        d.sum += rate;
        d.count++;
    }

    /** The load at a time of the day as a multiple of that at another; 1 if not known. */
    double factor(String origin, double fromDayMs, double toDayMs) {
        return known(origin, fromDayMs, toDayMs)
                ? days.get(origin).means[quarter(toDayMs)] / days.get(origin).means[quarter(fromDayMs)]
                : 1;
    }

    boolean known(String origin, double fromDayMs, double toDayMs) {
        Day d = days.get(origin);
        int from = quarter(fromDayMs);
        int to = quarter(toDayMs);
        return d != null && d.days[from] >= DAYS && d.days[to] >= DAYS && d.means[from] > 0;
    }

    /** Relative spread that the time between adds. */
    double spread(String origin, double fromDayMs, double toDayMs) {
        double hours = Math.max(0, toDayMs - fromDayMs) / 3_600_000;
        return (known(origin, fromDayMs, toDayMs) ? AN_HOUR_KNOWN : AN_HOUR_UNKNOWN) * Math.sqrt(hours);
    }
}
