package brackenbridge.fleet.replica;

/** A token bucket that limits the bytes sent per second; its capacity is 250 ms of the rate. Not thread-safe. */
public final class TokenBucket {
    /** The time in which an empty bucket fills up, in milliseconds. */
    private static final double CAPACITY_MS = 250;

    private static final double MIN_BYTES_PER_SECOND = 1000;

    private final double bytesPerMs;
    private double tokens;
    private double refilledAtMs = Double.NaN;

    /**
     * Creates a full bucket.
     *
     * @param bytesPerSecond the rate
     * @throws IllegalArgumentException if the rate is below 1000 bytes per second
     */
    public TokenBucket(double bytesASecond) {
        if (!(bytesASecond >= MIN_BYTES_PER_SECOND)) {
            throw new IllegalArgumentException("rate must be at least 1000 bytes per second: " + bytesASecond);
        }
        bytesPerMs = bytesASecond / 1000;
        tokens = capacity();
    }

    private double capacity() {
        return bytesPerMs * CAPACITY_MS;
    }

    /** Whether a message that can't wait may be sent; at most one message overdraws the bucket. */
    public boolean canSendUrgent(double nowMs) {
        refill(nowMs);
        return tokens > 0;
    }

    /** Whether a message that can wait may be sent; a quarter of the capacity is reserved for those that can't. */
    public boolean canSendDeferrable(double nowMs) {
        refill(nowMs);
        return tokens > capacity() / 4;
    }

    /** Takes the tokens of sent bytes. */
    public void consume(int bytes) {
        tokens -= bytes;
    }

    private void refill(double nowMs) {
        if (nowMs > refilledAtMs) {
            tokens = Math.min(capacity(), tokens + (nowMs - refilledAtMs) * bytesPerMs);
        }
        refilledAtMs = nowMs;
    }
}
