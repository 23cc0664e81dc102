package brackenbridge.net.client;

import brackenbridge.net.channel.DescriptorBudget;

/** Timeouts of client connections, by state. */
final class ConnectionTimeouts {
    /** Maximum time for a request head from its first byte, or for the first head from the accept of the connection. */
    static final double HEAD_TIMEOUT_MS = 2500;
    /** Lower bound of that timeout for a client that may have waited in the backlog: a slow client takes up to 2 s. */
    private static final double MIN_HEAD_TIMEOUT_MS = 2100;
    /** Minimum idle time before a connection is shed, or closed by a stop: its request may already be on the way. */
    static final long MIN_IDLE_BEFORE_CLOSE_MS = 100;
    /**
     * The same for a connection that has never sent a request while other clients wait to be accepted: a client sends
     * its first request as soon as it is connected.
     */
    static final long MIN_UNUSED_BEFORE_CLOSE_MS = 25;
    /** Clients that have waited this long to be accepted shorten the time that unused connections are kept. */
    static final double LONG_BACKLOG_WAIT_MS = 100;
    /** Time for which input is read and discarded after the last response. */
    private static final double LINGER_TIMEOUT_MS = 1000;

    /** Maximum time in which a client reads nothing of a streamed response. */
    private static final double STALLED_STREAM_TIMEOUT_MS = 20_000;
    /** Maximum time for a client to read any other response. */
    private static final double STALLED_RESPONSE_TIMEOUT_MS = 5000;
    /** Idle timeout of a connection that has sent a request. */
    private static final double IDLE_TIMEOUT_MS = 60_000;
    /** Idle timeout once clients use more than half of their descriptors. */
    private static final double CROWDED_IDLE_TIMEOUT_MS = 3000;

    private final ClosePolicy closePolicy;
    private final DescriptorBudget descriptors;

    ConnectionTimeouts(ClosePolicy closePolicy, DescriptorBudget descriptors) {
        this.closePolicy = closePolicy;
        this.descriptors = descriptors;
    }

    /** Timeout of the first head of a client that may have waited this long in the backlog before it was accepted. */
    static double firstHeadTimeoutMs(double maxBacklogWaitMs) {
        return Math.max(MIN_HEAD_TIMEOUT_MS, HEAD_TIMEOUT_MS - maxBacklogWaitMs);
    }

    /** Whether a client takes too long to read a response, or to close its side of a lingering connection. */
    static boolean isStalled(ConnectionState state, boolean streamed, double ageMs) {
        return switch (state) {
            case READING, AWAITING_RESPONSE -> false;
            case RESPONDING -> ageMs > (streamed ? STALLED_STREAM_TIMEOUT_MS : STALLED_RESPONSE_TIMEOUT_MS);
            case LINGERING, CLOSED -> ageMs > LINGER_TIMEOUT_MS;
        };
    }

    /** Idle timeout of a connection that has sent a request, or has not yet. */
    double idleTimeoutMs(boolean hasSentRequest) {
        if (closePolicy.closesWhenIdle()) {
            return MIN_IDLE_BEFORE_CLOSE_MS;
        }
        if (!hasSentRequest) {
            return HEAD_TIMEOUT_MS;
        }
        return descriptors.isCrowdedByClients() ? CROWDED_IDLE_TIMEOUT_MS : IDLE_TIMEOUT_MS;
    }
}
