package brackenbridge.core.generation;

import java.util.random.RandomGenerator;

/**
 * When a holder sends its next request: often enough that a few lost requests cost it no lease, and never more than
 * once in {@link #minIntervalMs} over all causes. Guards the authority against hundreds of holders that all send one
 * at once: first requests, those after a hint and retries have full jitter.
 */
public final class RenewalSchedule {
    private static final double REGULAR_REQUESTS_PER_LEASE = 4;
    private static final double MAX_REQUESTS_PER_LEASE = 16;
    /** A request without a response within this part of a lease has failed. */
    private static final double RESPONSE_TIMEOUT_LEASES = 1.0 / 8;
    /** Longest back-off between failed requests. */
    private static final double MAX_RETRY_DELAY_LEASES = 4;

    private static final int MAX_BACKOFF_DOUBLINGS = 16;

    private final LeaseTerms terms;
    private final RandomGenerator random;
    private double lastRequestMs = Double.NEGATIVE_INFINITY;
    private int failures;

    /** The schedule of one holder. */
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

    /** A request was sent now. */
    public void onRequestSent(double nowMs) {
        lastRequestMs = nowMs;
    }

    /** When the first request is due; also the first at another authority, after the old one was lost. */
    public double firstRequestMs(double nowMs) {
        return notBefore(nowMs + random.nextDouble() * terms.leaseMs() / REGULAR_REQUESTS_PER_LEASE);
    }

    /**
     * A grant has arrived: when the next request is due.
     *
     * @param newer whether its decision was newer, so that the authority may wait for the acknowledgement
     */
    public double nextAfterGrantMs(double nowMs, boolean newer) {
        failures = 0;
        return newer
                ? nextAfterHintMs(nowMs)
                : notBefore(lastRequestMs
                        + terms.leaseMs() / REGULAR_REQUESTS_PER_LEASE * (0.75 + random.nextDouble() / 2));
    }

    /** A hint of a newer decision has arrived: when to send a request for it. */
    public double nextAfterHintMs(double nowMs) {
        return notBefore(nowMs + random.nextDouble() * minIntervalMs());
    }

    /** No response has come, or the connection is lost: when to retry. */
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
