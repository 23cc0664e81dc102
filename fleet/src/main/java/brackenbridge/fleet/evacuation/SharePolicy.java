package brackenbridge.fleet.evacuation;

import java.util.Map;
import java.util.TreeMap;

/** Divides a pool's connections among tenants when their demand exceeds them. */
@FunctionalInterface
public interface SharePolicy {
    /**
     * Returns the connections that each tenant gets.
     *
     * @param pool the pool
     * @param connections the available connections
     * @param demands the connections that each tenant demands
     */
    Map<String, Double> allocate(PoolName pool, double connections, Map<String, Double> demands);

    /** Max-min fairness by water-filling with these weights; a tenant without a weight has weight 1. */
    static SharePolicy maxMin(Map<String, Double> weights) {
        Map<String, Double> fixedWeights = Map.copyOf(weights);
        return (pool, connections, demands) -> {
            Map<String, Double> allocated = new TreeMap<>();
            Map<String, Double> unsatisfied = new TreeMap<>(demands);
            double remaining = connections;
            while (!unsatisfied.isEmpty()) {
                double totalWeight = 0;
                for (String tenant : unsatisfied.keySet()) {
                    totalWeight += fixedWeights.getOrDefault(tenant, 1.0);
                }
                double level = remaining / totalWeight;
                Map<String, Double> satisfied = new TreeMap<>();
                unsatisfied.forEach((tenant, demand) -> {
                    if (demand <= level * fixedWeights.getOrDefault(tenant, 1.0)) {
                        satisfied.put(tenant, demand);
                    }
                });
                if (satisfied.isEmpty()) {
                    unsatisfied.forEach(
                            (tenant, demand) -> allocated.put(tenant, level * fixedWeights.getOrDefault(tenant, 1.0)));
                    break;
                }
                allocated.putAll(satisfied);
                unsatisfied.keySet().removeAll(satisfied.keySet());
                remaining -= satisfied.values().stream()
                        .mapToDouble(Double::doubleValue)
                        .sum();
            }
            return allocated;
        };
    }
}
