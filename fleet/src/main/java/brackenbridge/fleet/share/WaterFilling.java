package brackenbridge.fleet.share;

import java.util.Arrays;

/**
 * Weighted max-min fairness with floors and ceilings: what each gets is its weight times one level, but never under
 * its floor nor over what it wants (Bertsekas and Gallager, Data Networks, 1992, section 6.5).
 */
final class WaterFilling {
    private WaterFilling() {}

    /**
     * Divides an amount.
     *
     * @param amount what there is; what is left when all have what they want stays undivided
     * @param weights greater than 0
     * @param floors at the most what is wanted; where they are more than there is together, they are all cut by the
     *     same part
     * @param wanted at the most
     */
    static double[] fill(double amount, double[] weights, double[] floors, double[] wanted) {
        int count = weights.length;
        double[] filled = new double[count];
        double sumFloors = Arrays.stream(floors).sum();
        if (sumFloors >= amount) {
            for (int i = 0; i < count; i++) {
                filled[i] = sumFloors > 0 ? floors[i] * Math.max(0, amount) / sumFloors : 0;
            }
            return filled;
        }
        if (Arrays.stream(wanted).sum() <= amount) {
            return wanted.clone();
        }
        // At level x each has min(wanted, max(floor, weight * x)): it rises from floor/weight to wanted/weight.
        double[] levels = new double[2 * count];
        Integer[] order = new Integer[2 * count];
        for (int i = 0; i < count; i++) {
            levels[2 * i] = floors[i] / weights[i];
            levels[2 * i + 1] = wanted[i] / weights[i];
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
            filled[i] = Math.min(wanted[i], Math.max(floors[i], weights[i] * level));
        }
        return filled;
    }
}
