package brackenbridge.core.share;

import java.util.Map;

/**
 * How much of their usual load the servers of each zone are to get. A value from outside, which says itself until when
 * it holds: nobody needs to take it back.
 *
 * @param driverToken of whoever drives it: a lower one than was heard before is passed over
 * @param epoch counts the values under one token
 * @param weights for each zone, from 0 (none) to 1 (as usual); a zone that is absent has 1
 * @param untilMs from then on each zone has 1
 */
public record ZoneWeights(long driverToken, long epoch, Map<String, Double> weights, double untilMs) {
    /** Keeps its own copy. */
    public ZoneWeights {
        weights = Map.copyOf(weights);
        for (Map.Entry<String, Double> e : weights.entrySet()) {
            if (!(e.getValue() >= 0 && e.getValue() <= 1)) {
                throw new IllegalArgumentException("part of zone " + e.getKey() + ": " + e.getValue());
            }
        }
    }

    /** None told: each zone has its usual load. */
    public static final ZoneWeights USUAL = new ZoneWeights(0, 0, Map.of(), Double.NEGATIVE_INFINITY);

    /** Whether this one may take that one's place: it is no earlier driver's, and no earlier word of the same one. */
    public boolean supersedes(ZoneWeights that) {
        return driverToken != that.driverToken ? driverToken > that.driverToken : epoch >= that.epoch;
    }

    /** The part of its usual load that this zone has at this time. */
    public double weightOf(String zone, double nowMs) {
        return nowMs < untilMs ? weights.getOrDefault(zone, 1.0) : 1;
    }
}
