package brackenbridge.core.balancing;

/**
 * One endpoint of a list.
 *
 * @param id its id
 * @param cell the cell it is in, -1 if unknown
 * @param zone the zone it is in
 * @param weight its capacity relative to the others; 1 if unknown or invalid
 * @param startedAt when it last started; 0 for long ago
 * @param state what discovery says of it
 */
public record Endpoint(long id, long cell, String zone, double weight, long startedAt, EndpointState state) {
    /** No server has a capacity so far from the others'. */
    private static final double MAX_WEIGHT_RATIO = 1000;

    /** Guards turns that go by weights: one that is absurd must not take every turn, or its neighbours theirs. */
    public Endpoint {
        weight = weight > 0 && weight < Double.POSITIVE_INFINITY
                ? Math.min(MAX_WEIGHT_RATIO, Math.max(1 / MAX_WEIGHT_RATIO, weight))
                : 1;
    }
}
