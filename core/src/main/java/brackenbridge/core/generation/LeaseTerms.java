package brackenbridge.core.generation;

/**
 * The terms of leases, the same for the authority and all holders.
 *
 * @param leaseMs for how long a holder acts by what it was told, by its own clock, from the moment at which it asked;
 *     milliseconds
 * @param drift by what part the rate of any clock may be off, such as 0.01
 */
public record LeaseTerms(double leaseMs, double drift) {
    /** Terms that no clock could keep are rejected. */
    public LeaseTerms {
        if (!(leaseMs > 0) || !Double.isFinite(leaseMs)) {
            throw new IllegalArgumentException("leaseMs: " + leaseMs);
        }
        if (!(drift >= 0 && drift < 0.5)) {
            throw new IllegalArgumentException("drift: " + drift);
        }
    }

    /** How long the authority waits, by its clock, until a lease has run out by any holder's clock; milliseconds. */
    public double authorityWaitMs() {
        return leaseMs * (1 + drift) / (1 - drift);
    }
}
