package brackenbridge.core.generation;

/**
 * The terms of leases, the same for the authority and all holders.
 *
 * @param leaseMs how long a holder may use a grant by its own clock, counted from the sending of the request;
 *     milliseconds
 * @param drift the maximum relative rate error of any clock, such as 0.01
 */
public record LeaseTerms(double leaseMs, double drift) {
    /** Rejects values out of range. */
    public LeaseTerms {
        if (!(leaseMs > 0) || !Double.isFinite(leaseMs)) {
            throw new IllegalArgumentException("leaseMs: " + leaseMs);
        }
        if (!(drift >= 0 && drift < 0.5)) {
            throw new IllegalArgumentException("drift: " + drift);
        }
    }

    /**
     * How long the authority has to wait by its own clock until a lease has expired by any holder's clock;
     * milliseconds.
     */
    public double authorityWaitMs() {
        return leaseMs * (1 + drift) / (1 - drift);
    }
}
