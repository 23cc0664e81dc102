package brackenbridge.core.generation;

/**
 * The terms of leases, the same for the authority and all holders.
 *
 * @param leaseMs for how long a holder may use a grant, by its own clock, from when it sent the request; milliseconds
 * @param drift maximum relative error of the rate of any clock, such as 0.01
 */
public record LeaseTerms(double leaseMs, double drift) {
    /** Rejects terms that no clock could keep. */
    public LeaseTerms {
        if (!(leaseMs > 0) || !Double.isFinite(leaseMs)) {
            throw new IllegalArgumentException("leaseMs: " + leaseMs);
        }
        if (!(drift >= 0 && drift < 0.5)) {
            throw new IllegalArgumentException("drift: " + drift);
        }
    }

    /** How long the authority waits, by its clock, until a lease has expired by any holder's clock; milliseconds. */
    public double authorityWaitMs() {
        return leaseMs * (1 + drift) / (1 - drift);
    }
}
