package brackenbridge.fleet.share;

import java.util.Arrays;

/**
 * Weighted max-min fairness with floors and ceilings: each gets its weight times a common level, but at least its floor
 * and at most its demand (Bertsekas and Gallager, Data Networks, 1992, section 6.5).
 */
final class WaterFilling {
    private WaterFilling() {}

    /**
     * Divides an amount.
     *
     * @param amount the available amount; what exceeds the total demand stays undivided
     * @param weights positive weights
     * @param floors at most the demand; if their sum exceeds the amount, all are reduced by the same factor
     * @param demands the demand of each
     */
    static double[] fill(double amount, double[] weights, double[] floors, double[] demands) {
        int count = weights.length;
        double[] filled = new double[count];
        double sumFloors = Arrays.stream(floors).sum();
        if (sumFloors >= amount) {
            for (int i = 0; i < count; i++) {
                filled[i] = sumFloors > 0 ? floors[i] * Math.max(0, amount) / sumFloors : 0;
            }
            return filled;
        }
        if (Arrays.stream(demands).sum() <= amount) {
            return demands.clone();
        }
        // At level x each gets min(demand, max(floor, weight * x)), which rises from floor/weight to demand/weight.
        double[] levels = new double[2 * count];
        Integer[] order = new Integer[2 * count];
        for (int i = 0; i < count; i++) {
            levels[2 * i] = floors[i] / weights[i];
            levels[2 * i + 1] = demands[i] / weights[i];
            order[2 * i] = 2 * i;
            order[2 * i + 1] = 2 * i + 1;
        }
        Arrays.sort(order, (a, b) -> Double.compare(levels[a], levels[b]));
        double level = 0;
        double slope = 0;
        double remaining = amount - sumFloors;
        for (int breakpoint : order) {
            double required = slope * (levels[breakpoint] - level);
            if (required >= remaining) {
                break;
            }
            remaining -= required;
            level = levels[breakpoint];
            slope += breakpoint % 2 == 0 ? weights[breakpoint / 2] : -weights[breakpoint / 2];
        }
        level += slope > 1e-12 ? remaining / slope : 0;
        for (int i = 0; i < count; i++) {
            filled[i] = Math.min(demands[i], Math.max(floors[i], weights[i] * level));
        }
        return filled;
    }
}
