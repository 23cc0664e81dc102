package brackenbridge.core.balancing;

/**
 * How many requests a server that is warming up can take in a window: the number N that the settings allow, plus an
 * allowance for random variation. From this follows what fraction of N the nodes may use when each of them rounds its
 * share at random.
 */
final class SlowStartLimit {
    /** From this N on the smaller allowance applies. */
    private static final double LARGE_ALLOWANCE = 30;
    /** How many standard deviations of the total must fit below the limit; a day has several thousand windows. */
    private static final double STANDARD_DEVIATIONS_BELOW_LIMIT = 4.5;
    /** Rounding a share above this has a variance of at most a quarter of a request. */
    private static final double HALF_REQUEST = 0.5;

    private SlowStartLimit() {}

    /**
     * The maximum number of requests of mean cost that a server can take in a window for which the settings allow
     * {@code allowed}.
     */
    static double maxRequests(double allowed) {
        double root = Math.sqrt(allowed);
        return allowed < LARGE_ALLOWANCE ? allowed + 3 * root + 3 : allowed + 2 * root + 2;
    }

    /**
     * The fraction of its share that a node may use. If each of many nodes sends a fraction of a request, the standard
     * deviation of the total is about the square root of its mean, and the limit leaves room for only two of these
     * above N, so the mean has to stay far enough below N. A few nodes with several requests each may use their
     * complete shares.
     *
     * @param share one node's share in requests per window
     * @param nodes the number of nodes that share the server
     */
    static double usableFraction(double share, int nodes) {
        double allowed = share * nodes;
        if (allowed <= 0) {
            return 1;
        }
        double variancePerRequest = share < HALF_REQUEST ? 1 - share : HALF_REQUEST * HALF_REQUEST / share;
        double spread = STANDARD_DEVIATIONS_BELOW_LIMIT * Math.sqrt(variancePerRequest);
        // The square root of the mean that solves mean + spread * root(mean) = limit.
        double root = (Math.sqrt(spread * spread + 4 * maxRequests(allowed)) - spread) / 2;
        return Math.min(1, root * root / allowed);
    }
}
