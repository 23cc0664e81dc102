package brackenbridge.fleet.share;

/**
 * The parameters of connection leases, the same at all members.
 *
 * @param leaseMs how long a grant is valid by the node's own clock, from the moment of its request; milliseconds
 * @param clockDrift the largest relative error of any clock's rate
 * @param drainMs how long requests that began within a lease may hold their connections beyond it before the node
 *     cancels them; milliseconds
 * @param guaranteedFraction the fraction of a pool that is divided evenly among the members, as what each may use
 *     whatever happens to the others; at most a half, so that an additional member never makes the sum too large
 */
public record QuotaLeaseTerms(double leaseMs, double clockDrift, double drainMs, double guaranteedFraction) {
    /** The default terms, with a lease of 1.6 s. */
    public static final QuotaLeaseTerms DEFAULTS = new QuotaLeaseTerms(1600, 0.01, 400, 0.5);

    /** Rejects values out of bounds. */
    public QuotaLeaseTerms {
        if (!(leaseMs >= 100 && leaseMs <= 60_000)
                || !(clockDrift >= 0 && clockDrift < 0.5)
                || !(drainMs >= 0)
                || !(guaranteedFraction >= 0 && guaranteedFraction <= 0.5)) {
            throw new IllegalArgumentException("lease terms out of bounds: " + leaseMs + ", " + clockDrift + ", "
                    + drainMs + ", " + guaranteedFraction);
        }
    }

    /** How long the server waits until a lease has expired by any clock and its requests have drained; milliseconds. */
    public double expiryWaitMs() {
        return leaseMs * (1 + clockDrift) / (1 - clockDrift) + drainMs;
    }

    /**
     * How long after the last grant, by the node's own clock, its guaranteed share may still be lent to others, whose
     * leases have expired by then; milliseconds.
     */
    public double shareLentMs() {
        return (leaseMs + expiryWaitMs()) * (1 + clockDrift) / (1 - clockDrift);
    }

    /** The interval between a node's regular requests; milliseconds. */
    public double requestIntervalMs() {
        return leaseMs / 8;
    }

    /** The minimum time between two requests, whatever their reason; milliseconds. */
    public double minRequestIntervalMs() {
        return leaseMs / 64;
    }

    /** Returns a member's guaranteed share of a pool, in whole connections. */
    public int guaranteedConnections(int capacity, int members) {
        return members <= 0 ? 0 : (int) Math.floor(guaranteedFraction * capacity / members + 1e-9);
    }
}
