package brackenbridge.core.balancing;

/**
 * Limits retries to a fraction of the requests, as in Google's SRE book, chapter 22: each first attempt adds a fraction
 * of a retry to the budget, and each retry spends one.
 */
final class RetryBudget {
    private static final double MAX_RETRIES = 10;
    private static final double RETRIES_PER_REQUEST = 0.1;

    private double retries = MAX_RETRIES;

    /** Records the first attempt of a request. */
    void onFirstAttempt() {
        retries = Math.min(MAX_RETRIES, retries + RETRIES_PER_REQUEST);
    }

    /**
     * Spends a retry if the budget covers one and the request may be retried: it has attempts and time left, its
     * idempotence allows it, and its last attempt was neither cancelled nor skipped by the node. A retry after an
     * attempt that failed locally costs nothing.
     */
    boolean trySpend(long now, QueuedRequest request, AttemptOutcome outcome) {
        double cost = outcome == AttemptOutcome.FAILED_LOCALLY ? 0 : 1;
        boolean attemptsLeft = request.attempts.size() < request.maxAttempts;
        boolean timeLeft = now < request.arrival + request.timeBudget;
        boolean retryable = outcome != AttemptOutcome.NEVER_STARTED && outcome != AttemptOutcome.CANCELLED;
        boolean repeatable =
                !request.mayHaveRun || request.requestClass.rules.idempotence() != Idempotence.NOT_IDEMPOTENT;
        if (!attemptsLeft || !timeLeft || !retryable || !repeatable || retries < cost) {
            return false;
        }
        retries -= cost;
        return true;
    }
}
