package brackenbridge.core.balancing;

/**
 * An entry of an endpoint list.
 *
 * @param id its id
 * @param cell its cell, -1 if unknown
 * @param zone its zone
 * @param weight its capacity relative to the others; 1 if unknown or invalid
 * @param startedAt when it last started; 0 if that was long ago
 * @param state its state according to discovery
 */
public record Endpoint(long id, long cell, String zone, double weight, long startedAt, EndpointState state) {
    /** Limits the ratio of a weight to the usual weight of 1; larger ratios are not plausible. */
    private static final double MAX_WEIGHT_RATIO = 1000;

    /** Guards the weighted round robin against invalid weights, which could starve this server or all others. */
    public Endpoint {
        weight = weight > 0 && weight < Double.POSITIVE_INFINITY
                ? Math.min(MAX_WEIGHT_RATIO, Math.max(1 / MAX_WEIGHT_RATIO, weight))
                : 1;
    }
}
