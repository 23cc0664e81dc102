package brackenbridge.transport;

/**
 * Decides how long a listening socket waits after a failed accept. Netty's default is one second without accepting,
 * which is longer than the deadline of many requests.
 */
public final class AcceptBackoff {
    /** The pause after a failure that would affect the next accept as well. */
    public static final long PAUSE_MS = 5;
    /** How many consecutive failures are retried at once; guards the thread against a persistent error. */
    private static final int MAX_IMMEDIATE_RETRIES = 16;

    private int immediateRetries;

    /** Records a successful accept. */
    public void onAccepted() {
        immediateRetries = 0;
    }

    /** Records a failed accept; returns the pause before the next in milliseconds, 0 to retry at once. */
    public long onAcceptFailed(Throwable failure) {
        if (SocketErrors.affectsOneConnectionOnly(failure) && immediateRetries < MAX_IMMEDIATE_RETRIES) {
            immediateRetries++;
            return 0;
        }
        immediateRetries = 0;
        return PAUSE_MS;
    }
}
