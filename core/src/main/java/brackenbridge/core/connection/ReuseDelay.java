package brackenbridge.core.connection;

/**
 * How long a connection rests after a response before it is used again. Guards the next attempt against bytes that a
 * server sends late, such as a second copy of its response: they would be read as the response to that attempt, but on
 * a resting connection they only end it. The rest is short while no server sends such bytes. Times are in milliseconds.
 */
public final class ReuseDelay {
    /** The rest while no server sends late bytes. */
    static final double SHORT_MS = 5;
    /** The rest once a server has sent late bytes. */
    static final double LONG_MS = 30;
    /** How long late bytes are remembered. */
    static final double MEMORY_MS = 60_000;

    private double lateBytesMs = Double.NEGATIVE_INFINITY;

    /** Records that a server has sent bytes beyond its response. */
    public void onLateBytes(double nowMs) {
        lateBytesMs = nowMs;
    }

    /** How long a connection rests from now on. */
    public double delayMs(double nowMs) {
        return nowMs - lateBytesMs < MEMORY_MS ? LONG_MS : SHORT_MS;
    }
}
