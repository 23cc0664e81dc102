package brackenbridge.core.generation;

import java.util.random.RandomGenerator;

/**
 * When a holder asks next: often enough that a few lost questions cost it no lease, and never more than once in
 * {@link #minIntervalMs} over all causes. Guards the authority against hundreds of holders that all have a reason at
 * once: each
 * first, hinted and failed question is spread by a random part of its time (full jitter).
 */
public final class RenewalSchedule {
    /** Questions of a lease at rest. */
    private static final double AT_REST = 4;
    /** Questions of a lease at the most. */
    private static final double AT_MOST = 16;
    /** An answer that has not come within this part of a lease is given up. */
    private static final double PATIENCE = 1.0 / 8;
    /** Longest time between two questions that fail, in leases. */
    private static final double LONGEST = 4;

    private final LeaseTerms terms;
    private final RandomGenerator random;
    private double lastMs = Double.NEGATIVE_INFINITY;
    private int failures;

    /** The cadence of one holder. */
    public RenewalSchedule(LeaseTerms terms, RandomGenerator random) {
        this.terms = terms;
        this.random = random;
    }

    /** The least time between two questions, in milliseconds. */
    public double minIntervalMs() {
        return terms.leaseMs() / AT_MOST;
    }

    /** How long an answer is waited for, in milliseconds. */
    public double responseTimeoutMs() {
        return terms.leaseMs() * PATIENCE;
    }

    /** It has asked now. */
    public void onRequestSent(double nowMs) {
        lastMs = nowMs;
    }

    /** When the first question is due; also the first at another authority, after the old one was lost. */
    public double firstRequestMs(double nowMs) {
        return notBefore(nowMs + random.nextDouble() * terms.leaseMs() / AT_REST);
    }

    /**
     * An answer has come: when the next question is due.
     *
     * @param newer the word was newer, and the authority may wait to hear that it was heard
     */
    public double nextAfterGrantMs(double nowMs, boolean newer) {
        failures = 0;
        return newer
                ? nextAfterHintMs(nowMs)
                : notBefore(lastMs + terms.leaseMs() / AT_REST * (0.75 + random.nextDouble() / 2));
    }

    /** There is something to be heard: when to ask for it. */
    public double nextAfterHintMs(double nowMs) {
        return notBefore(nowMs + random.nextDouble() * minIntervalMs());
    }

    /** No answer has come, or the connection is lost: when to ask again. */
    public double nextAfterFailureMs(double nowMs) {
        failures = Math.min(failures + 1, 16);
        double most = Math.min(terms.leaseMs() * LONGEST, terms.leaseMs() / AT_REST * (1 << failures));
        return notBefore(nowMs + random.nextDouble() * most);
    }

    private double notBefore(double atMs) {
        return Math.max(atMs, lastMs + minIntervalMs());
    }
}
