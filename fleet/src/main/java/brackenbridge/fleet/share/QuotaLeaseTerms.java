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
public record QuotaLeaseTerms(double leaseMs, double clockDrift, double drainMs, double guaranteedFraction) {
    /** A lease of 1.6 s. */
    public static final QuotaLeaseTerms DEFAULTS = new QuotaLeaseTerms(1600, 0.01, 400, 0.5);

    /** Terms that can't be kept are rejected. */
    public QuotaLeaseTerms {
        if (!(leaseMs >= 100 && leaseMs <= 60_000)
                || !(clockDrift >= 0 && clockDrift < 0.5)
                || !(drainMs >= 0)
                || !(guaranteedFraction >= 0 && guaranteedFraction <= 0.5)) {
            throw new IllegalArgumentException(
                    "lease terms: " + leaseMs + ", " + clockDrift + ", " + drainMs + ", " + guaranteedFraction);
        }
    }

    /** How long the lessor waits until a lease has run out by any clock, and its calls have gone; milliseconds. */
    public double expiryWaitMs() {
        return leaseMs * (1 + clockDrift) / (1 - clockDrift) + drainMs;
    }

    /**
     * When a node's guaranteed part begins, from the last answer on, by its own clock: before that its part may be
     * lent to others, whose leases have run out by then.
     */
    public double shareLentMs() {
        return (leaseMs + expiryWaitMs()) * (1 + clockDrift) / (1 - clockDrift);
    }

    /** How often a node asks; milliseconds. */
    public double requestIntervalMs() {
        return leaseMs / 8;
    }

    /** The least time between two questions, whatever calls for them; milliseconds. */
    public double minRequestIntervalMs() {
        return leaseMs / 64;
    }

    /** A member's guaranteed part of a pool, in whole connections. */
    public int guaranteedFraction(int capacity, int members) {
        return members <= 0 ? 0 : (int) Math.floor(guaranteedFraction * capacity / members + 1e-9);
    }
}
