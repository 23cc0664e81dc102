package brackenbridge.core.balancing;

/** A token bucket: it is refilled at a rate, up to its capacity, and each request takes one token. */
final class TokenBucket {
    private static final double MICROSECONDS_PER_SECOND = 1e6;

    private double tokensPerSecond;
    private double capacity;
    private double tokens;
    private long refilledAt = Long.MIN_VALUE;

    /** Takes a token if there is one at this time in microseconds; returns whether it did. */
    boolean tryTakeToken(long now) {
        if (refilledAt != Long.MIN_VALUE) {
            tokens = Math.min(capacity, tokens + (now - refilledAt) * tokensPerSecond / MICROSECONDS_PER_SECOND);
        }
        refilledAt = now;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }

    /** Sets the rate in tokens per second; the capacity is the tokens of one second, but at least one. */
    void setRate(double ratePerSecond) {
        tokensPerSecond = ratePerSecond;
        capacity = Math.max(1, ratePerSecond);
        tokens = refilledAt == Long.MIN_VALUE ? capacity : Math.min(capacity, tokens);
    }
}
