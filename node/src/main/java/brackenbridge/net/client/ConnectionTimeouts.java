package brackenbridge.net.client;

import brackenbridge.net.channel.DescriptorBudget;

/** How long a client connection may take for each of its states. */
final class ConnectionTimeouts {
    /** A head must be complete this long after its first byte, the first one after the connection was accepted. */
    static final double HEAD_TIMEOUT_MS = 2500;
    /** A connection is not shed before it has been idle this long: its request may be on the way already. */
    static final long MIN_IDLE_BEFORE_CLOSE_MS = 100;
    /** After a last response, what the client still sends is read and discarded for this long. */
    private static final double LINGER_TIMEOUT_MS = 1000;

    /** A client must take some of a streamed response within this time. */
    private static final double STALLED_STREAM_TIMEOUT_MS = 20_000;
    /** A client must take any other response within this time. */
    private static final double STALLED_RESPONSE_TIMEOUT_MS = 5000;
    /** A connection without a request is kept this long. */
    private static final double IDLE_TIMEOUT_MS = 60_000;
    /** And this long once clients have half of the descriptors that they may have. */
    private static final double CROWDED_IDLE_TIMEOUT_MS = 3000;

    private final ClosePolicy closePolicy;
    private final DescriptorBudget descriptors;

    ConnectionTimeouts(ClosePolicy closePolicy, DescriptorBudget descriptors) {
        this.closePolicy = closePolicy;
        this.descriptors = descriptors;
    }

    /** Whether the client of a connection in this state takes too long to read a response, or the connection's end. */
    static boolean isStalled(ConnectionState state, boolean streaming, double ageMs) {
        return switch (state) {
            case READING, AWAITING_RESPONSE -> false;
            case RESPONDING -> ageMs > (streaming ? STALLED_STREAM_TIMEOUT_MS : STALLED_RESPONSE_TIMEOUT_MS);
            case LINGERING, CLOSED -> ageMs > LINGER_TIMEOUT_MS;
        };
    }

    /** How long a connection may be idle that has sent a request, or none yet. */
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
