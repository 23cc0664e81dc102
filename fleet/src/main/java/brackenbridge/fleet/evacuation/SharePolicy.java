package brackenbridge.fleet.evacuation;

import java.util.Map;
import java.util.TreeMap;

/** Who gets how many connections of a pool when not all can be served: the fleet's rule of shares. */
@FunctionalInterface
public interface SharePolicy {
    /**
     * What each tenant gets.
     *
     * @param pool the pool
     * @param connections what there is
     * @param wanted what each tenant wants
     */
    Map<String, Double> allocate(PoolName pool, double connections, Map<String, Double> wanted);

    /** Max-min fairness by water-filling with these weights; a tenant that has none weighs 1. */
    static SharePolicy maxMin(Map<String, Double> weights) {
        Map<String, Double> fixed = Map.copyOf(weights);
        return (pool, connections, wanted) -> {
            Map<String, Double> out = new TreeMap<>();
            Map<String, Double> open = new TreeMap<>(wanted);
            double left = connections;
            while (!open.isEmpty()) {
                double all = 0;
                for (String t : open.keySet()) {
                    all += fixed.getOrDefault(t, 1.0);
                }
                double level = left / all;
                Map<String, Double> fed = new TreeMap<>();
                open.forEach((t, w) -> {
                    if (w <= level * fixed.getOrDefault(t, 1.0)) {
                        fed.put(t, w);
                    }
                });
                if (fed.isEmpty()) {
                    open.forEach((t, w) -> out.put(t, level * fixed.getOrDefault(t, 1.0)));
                    break;
                }
                out.putAll(fed);
                open.keySet().removeAll(fed.keySet());
                left -= fed.values().stream().mapToDouble(Double::doubleValue).sum();
            }
            return out;
        };
    }
}
