package brackenbridge.core.share;

import java.util.Map;

/**
 * The fraction of their usual load that the servers of each zone get. Received from the fleet; expires by itself, so
 * that it needs no revocation.
 *
 * @param driverToken the fencing token of the evacuation driver; values with a lower token than the last are ignored
 * @param epoch the number of the value among those with the same token
 * @param weights the weight of each zone, from 0 (no load) to 1 (usual load); an absent zone has weight 1
 * @param expiresAtMs from then on each zone has weight 1
 */
public record ZoneWeights(long driverToken, long epoch, Map<String, Double> weights, double expiresAtMs) {
    /** Makes an immutable copy and checks that each weight is from 0 to 1. */
    public ZoneWeights {
        weights = Map.copyOf(weights);
        for (Map.Entry<String, Double> entry : weights.entrySet()) {
            if (!(entry.getValue() >= 0 && entry.getValue() <= 1)) {
                throw new IllegalArgumentException(
                        "weight of zone " + entry.getKey() + " is not between 0 and 1: " + entry.getValue());
            }
        }
    }

    /** The initial value: each zone has its usual load. */
    public static final ZoneWeights FULL_WEIGHTS = new ZoneWeights(0, 0, Map.of(), Double.NEGATIVE_INFINITY);

    /** Whether this value may replace {@code that}: it is from a later driver, or from the same one and not earlier. */
    public boolean supersedes(ZoneWeights that) {
        return driverToken != that.driverToken ? driverToken > that.driverToken : epoch >= that.epoch;
    }

    /** The fraction of its usual load that this zone gets at this time. */
    public double weightOf(String zone, double nowMs) {
        return nowMs < expiresAtMs ? weights.getOrDefault(zone, 1.0) : 1;
    }
}
