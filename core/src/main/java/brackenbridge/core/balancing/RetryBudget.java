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

    /** Whether so many retries can be spent. */
    boolean covers(double cost) {
        return retries >= cost;
    }

    /** Spends so many retries. */
    void spend(double cost) {
        retries -= cost;
    }
}
