package brackenbridge.core.balancing;

/**
 * How many requests a warming-up server takes in a window: the number N that the settings allow, and what is added
 * for chance. From it follows how much of N the nodes may plan with when each of them rounds its share at random.
 */
final class SlowStartLimit {
    /** From this N on the smaller addition applies. */
    private static final double LARGE_ALLOWANCE = 30;
    /** Standard deviations of the total that must fit below the limit: a day has some thousands of windows. */
    private static final double STANDARD_DEVIATIONS_BELOW_LIMIT = 4.5;
    /** A share above this is rounded with at most a quarter of a request of variance. */
    private static final double HALF_REQUEST = 0.5;

    private SlowStartLimit() {}

    /**
     * The maximum number of requests of mean work that a server takes in a window for which the settings allow so many.
     */
    static double maxRequests(double allowed) {
        double root = Math.sqrt(allowed);
        return allowed < LARGE_ALLOWANCE ? allowed + 3 * root + 3 : allowed + 2 * root + 2;
    }

    /**
     * The part of its share that a node may use. Where each of many nodes sends a fraction of a request, the total
     * varies like the square root of its mean, and the limit leaves room for two such deviations only: the mean has
     * to stay below N so far that several fit. A few nodes with whole requests each use their complete shares.
     *
     * @param share one node's requests in a window
     * @param nodes how many nodes share the server
     */
    static double usableFraction(double share, int nodes) {
        double allowed = share * nodes;
        if (allowed <= 0) {
            return 1;
        }
        double variancePerRequest = share < HALF_REQUEST ? 1 - share : HALF_REQUEST * HALF_REQUEST / share;
        double spread = STANDARD_DEVIATIONS_BELOW_LIMIT * Math.sqrt(variancePerRequest);
        // The root of the mean that solves mean + spread * root(mean) = limit.
        double root = (Math.sqrt(spread * spread + 4 * maxRequests(allowed)) - spread) / 2;
        return Math.min(1, root * root / allowed);
    }
}
