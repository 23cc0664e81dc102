package brackenbridge.core.share;

import java.util.Map;

/**
 * The quota of each tenant at this node: the number of concurrent connections to the servers of its endpoint list.
 * Received from the fleet and valid for a limited time.
 *
 * @param epoch the number of the allocation; allocations with a lower epoch than the last are ignored
 * @param namedQuotas connections for each named tenant; all other tenants share {@code unnamedQuota}
 * @param unnamedQuota connections for all unnamed tenants and requests without a tenant together
 * @param weights the weights by which tenants borrow spare capacity; 1 if absent
 * @param expiresAtMs from then on {@code guaranteedQuotas} replaces {@code namedQuotas} and {@code unnamedQuota}
 * @param guaranteedQuotas connections that each tenant may hold even while the node is disconnected from the fleet
 */
public record TenantQuotas(
        long epoch,
        Map<String, Double> namedQuotas,
        double unnamedQuota,
        Map<String, Double> weights,
        double expiresAtMs,
        Map<String, Double> guaranteedQuotas) {
    /** Makes immutable copies. */
    public TenantQuotas {
        namedQuotas = Map.copyOf(namedQuotas);
        weights = Map.copyOf(weights);
        guaranteedQuotas = Map.copyOf(guaranteedQuotas);
    }
}
