package brackenbridge.lab.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/**
 * A shorter list that fails still: delta debugging after Zeller and Hildebrandt, Simplifying and Isolating
 * Failure-Inducing Input, 2002. What is found does not fail with any one element less, unless the trials run out.
 */
public final class Shrinking {
    private Shrinking() {}

    /**
     * Shrinks a list that fails.
     *
     * @param fails whether a list fails; the whole one is taken to
     * @param trials how often that may be asked
     */
    public static <T> List<T> shrink(List<T> whole, Predicate<List<T>> fails, int trials) {
        List<T> now = whole;
        int parts = 2;
        int left = trials;
        while (now.size() > 1) {
            List<T> shorter = null;
            int size = (now.size() + parts - 1) / parts;
            for (int from = 0; from < now.size() && shorter == null && left > 0; from += size) {
                List<T> without = new ArrayList<>(now.subList(0, from));
                without.addAll(now.subList(Math.min(now.size(), from + size), now.size()));
                left--;
                shorter = fails.test(without) ? without : null;
            }
            if (shorter != null) {
                now = shorter;
                parts = Math.max(2, parts - 1);
            } else if (left <= 0 || parts >= now.size()) {
                break;
            } else {
                parts = Math.min(now.size(), parts * 2);
            }
        }
        return now;
    }
}
