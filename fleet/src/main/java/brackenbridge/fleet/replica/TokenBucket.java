package brackenbridge.fleet.replica;

/** Bytes that may be sent: they come in at a rate and are kept up to a quarter of a second's worth. */
public final class TokenBucket {
    private final double rate;
    private double tokens;
    private double atMs = Double.NaN;

    /** Bytes a second. */
    public TokenBucket(double bytesASecond) {
        if (!(bytesASecond >= 1000)) {
            throw new IllegalArgumentException("at least 1000 bytes a second: " + bytesASecond);
        }
        rate = bytesASecond / 1000;
        tokens = most();
    }

    private double most() {
        return rate * 250;
    }

    /** Whether something that can't wait may go out: at most one message is sent on credit. */
    public boolean urgent(double nowMs) {
        fill(nowMs);
        return tokens > 0;
    }

    /** Whether something that can wait may go out: a quarter is kept for what can't. */
    public boolean spare(double nowMs) {
        fill(nowMs);
        return tokens > most() / 4;
    }

    /** So many bytes went out. */
    public void spent(int bytes) {
        tokens -= bytes;
    }

    private void fill(double nowMs) {
        if (nowMs > atMs) {
            tokens = Math.min(most(), tokens + (nowMs - atMs) * rate);
        }
        atMs = nowMs;
    }
}
