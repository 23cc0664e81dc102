package brackenbridge.core.share;

import java.util.Map;

/**
 * What each tenant may hold here and now: connections to this node's target group, open at the same time. A value
 * from outside, which says itself until when it holds.
 *
 * @param epoch counts the allocations; a lower one than was told before is passed over
 * @param tenants connections for each tenant; one that is absent has {@code others} together with all that are absent
 * @param others connections for all tenants together that are not named, and for calls without a tenant
 * @param weights what each tenant's part is beside the others' when all want more; absent is 1
 * @param untilMs from then on {@code guaranteed} holds instead of {@code tenants} and {@code others}
 * @param guaranteed connections that each tenant may hold here whatever becomes of the rest of the fleet
 */
public record TenantQuotas(
        long epoch,
        Map<String, Double> tenants,
        double others,
        Map<String, Double> weights,
        double untilMs,
        Map<String, Double> guaranteed) {
    /** Keeps its own copies. */
    public TenantQuotas {
        tenants = Map.copyOf(tenants);
        weights = Map.copyOf(weights);
        guaranteed = Map.copyOf(guaranteed);
    }
}
