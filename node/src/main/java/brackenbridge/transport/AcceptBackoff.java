package brackenbridge.transport;

/**
 * How long a listening socket waits after a failed accept. Netty's own answer is a second without accepting, which is
 * longer than many clients wait for their answer.
 */
public final class AcceptBackoff {
    /** The pause after a failure that the next accept would meet again. */
    public static final long PAUSE_MS = 5;
    /** Failures in a row that are retried at once; guards the thread against an error that stays. */
    private static final int MAX_IMMEDIATE = 16;

    private int immediate;

    /** An accept has succeeded. */
    public void accepted() {
        immediate = 0;
    }

    /** An accept has failed: how long to wait before the next, in milliseconds; 0 to retry at once. */
    public long pauseMs(Throwable failure) {
        if (SocketErrors.endsOneConnection(failure) && immediate < MAX_IMMEDIATE) {
            immediate++;
            return 0;
        }
        immediate = 0;
        return PAUSE_MS;
    }
}
