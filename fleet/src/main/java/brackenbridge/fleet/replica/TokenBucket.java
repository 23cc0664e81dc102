package brackenbridge.fleet.replica;

/** A token bucket that bounds the bytes sent a second; it holds a quarter of a second's worth. Not thread-safe. */
public final class TokenBucket {
    /** The bucket holds what comes in within this time, in milliseconds. */
    private static final double CAPACITY_MS = 250;

    private static final double MIN_BYTES_PER_SECOND = 1000;

    private final double bytesPerMs;
    private double tokens;
    private double refilledAtMs = Double.NaN;

    /**
     * A full bucket.
     *
     * @param bytesASecond the rate
     * @throws IllegalArgumentException below 1000 bytes a second
     */
    public TokenBucket(double bytesASecond) {
        if (!(bytesASecond >= MIN_BYTES_PER_SECOND)) {
            throw new IllegalArgumentException("at least 1000 bytes a second: " + bytesASecond);
        }
        bytesPerMs = bytesASecond / 1000;
        tokens = capacity();
    }

    private double capacity() {
        return bytesPerMs * CAPACITY_MS;
    }

    /** Whether something that can't wait may go out: at most one message is sent on credit. */
    public boolean canSendUrgent(double nowMs) {
        refill(nowMs);
        return tokens > 0;
    }

    /** Whether something that can wait may go out: a quarter is kept for what can't. */
    public boolean canSendDeferrable(double nowMs) {
        refill(nowMs);
        return tokens > capacity() / 4;
    }

    /** So many bytes went out. */
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
