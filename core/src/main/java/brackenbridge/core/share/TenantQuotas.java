package brackenbridge.core.share;

import java.util.Map;

/**
 * The quota of each tenant at this node: connections to its endpoint list, open at the same time. Received from the
 * fleet; valid for a limited time.
 *
 * @param epoch number of the allocation; lower ones than the last are ignored
 * @param tenants connections for each named tenant; absent tenants share {@code others}
 * @param others connections for all unnamed tenants together, and for requests without a tenant
 * @param weights the proportion in which tenants borrow spare capacity; 1 if absent
 * @param untilMs from then on {@code guaranteed} applies instead of {@code tenants} and {@code others}
 * @param guaranteed connections that each tenant may hold even while the node is cut off from the fleet
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
