package brackenbridge.core;

/**
 * When a response that is still being received is streamed to its client. Until then a failure of the server can be
 * answered by a retry; afterwards the response can only be truncated. A long response has to begin in time, whenever it
 * ends, whereas the last byte of a short one has to come in time. Times are in milliseconds.
 */
public final class ResponseStreamingPolicy {
    /** A response that is known to be long is streamed this long after its head. */
    static final double FIRST_PART_TIMEOUT_MS = 200;
    /** A response of unknown length is streamed when this part of the client's timeout is left. */
    static final double LEAD_RATIO = 0.1;
    /** A response of unknown length that is slower is not taken for a long one: 64 KiB would take 4 s. */
    static final double MIN_BYTES_PER_MS = 16;
    /** A response of unknown length of which so much has come may pause like a long one. */
    static final int LIKELY_LONG_BYTES = 32 * 1024;
    /** After a pause that lasts from the deadline until so long after it, a response of unknown length is truncated. */
    public static final double MAX_PAUSE_AT_DEADLINE_MS = 350;

    private ResponseStreamingPolicy() {}

    /**
     * When a response whose head has been received now is to be streamed.
     *
     * @param knownLong whether the response is known to be too long to be buffered
     * @param deadlineMs when its attempt or its request ends otherwise
     * @param clientTimeoutMs how long the client waits altogether
     */
    static double streamingMs(boolean knownLong, double nowMs, double deadlineMs, double clientTimeoutMs) {
        return knownLong
                ? Math.min(nowMs + FIRST_PART_TIMEOUT_MS, deadlineMs)
                : Math.max(nowMs, deadlineMs - LEAD_RATIO * clientTimeoutMs);
    }

    /** Whether a response of unknown length may pause like a long one, once its client's time is over. */
    public static boolean mayPause(long bytes) {
        return bytes >= LIKELY_LONG_BYTES;
    }

    /** Whether a response of unknown length is likely to be long, by the bytes received in this time. */
    public static boolean isLikelyLong(long bytes, double elapsedMs) {
        return bytes > 0 && bytes >= MIN_BYTES_PER_MS * elapsedMs;
    }
}
