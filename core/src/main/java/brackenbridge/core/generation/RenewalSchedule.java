package brackenbridge.core.generation;

import java.util.random.RandomGenerator;

/**
 * Schedules the lease requests of a holder: often enough that a few lost requests don't cost it the lease, and never
 * more than one per {@link #minIntervalMs}, whatever the cause. Guards the authority against simultaneous requests of
 * hundreds of holders: first requests, requests after a hint and retries have full jitter.
 */
public final class RenewalSchedule {
    private static final double REGULAR_REQUESTS_PER_LEASE = 4;
    private static final double MAX_REQUESTS_PER_LEASE = 16;
    /** A request without a response within this fraction of a lease has failed. */
    private static final double RESPONSE_TIMEOUT_LEASES = 1.0 / 8;
    /** The longest back-off after a failed request. */
    private static final double MAX_RETRY_DELAY_LEASES = 4;

    private static final int MAX_BACKOFF_DOUBLINGS = 16;

    private final LeaseTerms terms;
    private final RandomGenerator random;
    private double lastRequestMs = Double.NEGATIVE_INFINITY;
    private int failures;

    /** Creates the schedule of one holder. */
    public RenewalSchedule(LeaseTerms terms, RandomGenerator random) {
        this.terms = terms;
        this.random = random;
    }

    /** The minimum time between two requests, in milliseconds. */
    public double minIntervalMs() {
        return terms.leaseMs() / MAX_REQUESTS_PER_LEASE;
    }

    /** How long to wait for a response, in milliseconds. */
    public double responseTimeoutMs() {
        return terms.leaseMs() * RESPONSE_TIMEOUT_LEASES;
    }

    /** Records that a request is sent now. */
    public void onRequestSent(double nowMs) {
        lastRequestMs = nowMs;
    }

    /** Returns when the first request is due; also the first one to a new authority. */
    public double firstRequestMs(double nowMs) {
        return notBefore(nowMs + random.nextDouble() * terms.leaseMs() / REGULAR_REQUESTS_PER_LEASE);
    }

    /**
     * Returns when the next request is due after a grant.
     *
     * @param newer whether its decision was newer, so that the authority may be waiting for the acknowledgement
     */
    public double nextAfterGrantMs(double nowMs, boolean newer) {
        failures = 0;
        return newer
                ? nextAfterHintMs(nowMs)
                : notBefore(lastRequestMs
                        + terms.leaseMs() / REGULAR_REQUESTS_PER_LEASE * (0.75 + random.nextDouble() / 2));
    }

    /** Returns when to request a newer decision after a hint that there is one. */
    public double nextAfterHintMs(double nowMs) {
        return notBefore(nowMs + random.nextDouble() * minIntervalMs());
    }

    /** Returns when to retry after a missing response or a lost connection. */
    public double nextAfterFailureMs(double nowMs) {
        failures = Math.min(failures + 1, MAX_BACKOFF_DOUBLINGS);
        double maxDelayMs = Math.min(
                terms.leaseMs() * MAX_RETRY_DELAY_LEASES,
                terms.leaseMs() / REGULAR_REQUESTS_PER_LEASE * (1 << failures));
        return notBefore(nowMs + random.nextDouble() * maxDelayMs);
    }

    private double notBefore(double atMs) {
        return Math.max(atMs, lastRequestMs + minIntervalMs());
    }
}
