package brackenbridge.core.balancing;

/**
 * Bounds retries to a part of the requests, as in Google's SRE book, chapter 22: each first attempt earns a part of a
 * retry, and each retry spends one.
 */
final class RetryBudget {
    private static final double MAX_RETRIES = 10;
    private static final double RETRIES_PER_REQUEST = 0.1;

    private double retries = MAX_RETRIES;

    /** A first attempt has been sent. */
    void onFirstAttempt() {
        retries = Math.min(MAX_RETRIES, retries + RETRIES_PER_REQUEST);
    }

    /**
     * Spends a retry, if the budget covers one and the request may be retried: it has attempts and time left, its
     * effect allows it, and the outcome of its last attempt was neither of the client's nor of the node's making. A
     * retry after an attempt that the node itself failed to connect costs nothing.
     */
    boolean trySpend(long now, QueuedRequest request, AttemptOutcome outcome) {
        double cost = outcome == AttemptOutcome.FAILED_LOCALLY ? 0 : 1;
        boolean attemptsLeft = request.attempts.size() < request.maxAttempts;
        boolean timeLeft = now < request.arrival + request.timeBudget;
        boolean wanted = outcome != AttemptOutcome.NEVER_STARTED && outcome != AttemptOutcome.CANCELLED;
        boolean repeatable =
                !request.mayHaveRun || request.requestClass.rules.idempotence() != Idempotence.NOT_IDEMPOTENT;
        if (!attemptsLeft || !timeLeft || !wanted || !repeatable || retries < cost) {
            return false;
        }
        retries -= cost;
        return true;
    }
}
