package brackenbridge.fleet.share;

/**
 * The terms of leases of connections, the same at all members.
 *
 * @param leaseMs for how long a node acts by an answer, by its own clock, from the moment at which it asked;
 *     milliseconds
 * @param drift by what part the rate of any clock may be off
 * @param drainMs how long calls that began within a lease may hold their connections beyond it before the node gives
 *     them up; milliseconds
 * @param guaranteed the part of a pool that is divided evenly among the members as what each may use whatever
 *     becomes of the others; at most a half, so that a member more never makes it too much
 */
public record QuotaLeaseTerms(double leaseMs, double drift, double drainMs, double guaranteed) {
    /** A lease of 1.6 s. */
    public static final QuotaLeaseTerms USUAL = new QuotaLeaseTerms(1600, 0.01, 400, 0.5);

    /** Terms that can't be kept are rejected. */
    public QuotaLeaseTerms {
        if (!(leaseMs >= 100 && leaseMs <= 60_000)
                || !(drift >= 0 && drift < 0.5)
                || !(drainMs >= 0)
                || !(guaranteed >= 0 && guaranteed <= 0.5)) {
            throw new IllegalArgumentException(
                    "lease terms: " + leaseMs + ", " + drift + ", " + drainMs + ", " + guaranteed);
        }
    }

    /** How long the lessor waits until a lease has run out by any clock, and its calls have gone; milliseconds. */
    public double waitMs() {
        return leaseMs * (1 + drift) / (1 - drift) + drainMs;
    }

    /**
     * When a node's guaranteed part begins, from the last answer on, by its own clock: before that its part may be
     * lent to others, whose leases have run out by then.
     */
    public double lentMs() {
        return (leaseMs + waitMs()) * (1 + drift) / (1 - drift);
    }

    /** How often a node asks; milliseconds. */
    public double askMs() {
        return leaseMs / 8;
    }

    /** The least time between two questions, whatever calls for them; milliseconds. */
    public double leastMs() {
        return leaseMs / 64;
    }

    /** A member's guaranteed part of a pool, in whole connections. */
    public int guaranteed(int capacity, int members) {
        return members <= 0 ? 0 : (int) Math.floor(guaranteed * capacity / members + 1e-9);
    }
}
