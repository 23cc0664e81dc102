package brackenbridge.core.share;

import java.util.Map;

/**
 * What part of their usual load the servers of each zone are to get. Received from the fleet; expires by itself, so
 * that nobody needs to revoke it.
 *
 * @param driverToken fencing token of the evacuation driver: lower ones than the last are ignored
 * @param epoch number of the value under one token
 * @param weights for each zone, from 0 (none) to 1 (as usual); a zone that is absent has 1
 * @param untilMs from then on each zone has 1
 */
public record ZoneWeights(long driverToken, long epoch, Map<String, Double> weights, double expiresAtMs) {
    /** Makes an immutable copy and checks that each weight is from 0 to 1. */
    public ZoneWeights {
        weights = Map.copyOf(weights);
        for (Map.Entry<String, Double> entry : weights.entrySet()) {
            if (!(entry.getValue() >= 0 && entry.getValue() <= 1)) {
                throw new IllegalArgumentException("part of zone " + entry.getKey() + ": " + entry.getValue());
            }
        }
    }

    /** None received: each zone has its usual load. */
    public static final ZoneWeights FULL_WEIGHTS = new ZoneWeights(0, 0, Map.of(), Double.NEGATIVE_INFINITY);

    /**
     * Whether this value may replace that one: it comes from a later driver, or is not an earlier value of the same
     * one.
     */
    public boolean supersedes(ZoneWeights that) {
        return driverToken != that.driverToken ? driverToken > that.driverToken : epoch >= that.epoch;
    }

    /** The part of its usual load that this zone has at this time. */
    public double weightOf(String zone, double nowMs) {
        return nowMs < expiresAtMs ? weights.getOrDefault(zone, 1.0) : 1;
    }
}
