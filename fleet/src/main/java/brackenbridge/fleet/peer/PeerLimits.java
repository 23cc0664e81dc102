package brackenbridge.fleet.peer;

/**
 * Limits and timeouts of a member's links. Times are milliseconds.
 *
 * @param maxFrameBytes maximum length of a message body
 * @param maxQueueBytes maximum bytes queued per stream and link
 * @param maxQueueMessages maximum messages queued per stream and link
 * @param heartbeatMs interval between heartbeats to each connected peer
 * @param suspectAfterMs a peer is suspected after no member has heard from it for this long
 * @param deadAfterMs a peer is declared dead after no member has heard from it for this long if enough others suspect
 *     it too, and after up to twice this if they do not. A link that is stalled in either direction for this long is
 *     closed
 * @param handshakeTimeoutMs timeout of connecting and of the handshake, each
 * @param dialBackoffMinMs mean wait before the first dial after a lost connection, doubled after each failure
 * @param dialBackoffMaxMs longest wait between two dials
 * @param maxPendingHandshakes maximum accepted connections whose handshake is not complete
 * @param probeHelpers number of members asked at a time to probe a silent peer
 */
public record PeerLimits(
        int maxFrameBytes,
        long maxQueueBytes,
        int maxQueueMessages,
        double heartbeatMs,
        double suspectAfterMs,
        double deadAfterMs,
        int handshakeTimeoutMs,
        double dialBackoffMinMs,
        double dialBackoffMaxMs,
        int maxPendingHandshakes,
        int probeHelpers) {
    /** Maximum length of a member, zone or fleet name, in UTF-8 bytes. */
    public static final int MAX_NAME_BYTES = 64;

    /** Throws an {@link IllegalArgumentException} if a value is out of range. */
    public PeerLimits {
        require(maxFrameBytes >= 4096 && maxFrameBytes <= 64 << 20, "maxFrameBytes must be from 4096 to 67108864");
        require(maxQueueBytes >= maxFrameBytes, "maxQueueBytes must be at least maxFrameBytes");
        require(maxQueueMessages > 0, "maxQueueMessages must be positive");
        require(heartbeatMs >= 1, "heartbeatMs must be at least 1");
        require(suspectAfterMs >= 4 * heartbeatMs, "suspectAfterMs must be at least 4 * heartbeatMs");
        require(deadAfterMs >= 2 * suspectAfterMs, "deadAfterMs must be at least 2 * suspectAfterMs");
        require(handshakeTimeoutMs > 0, "handshakeTimeoutMs must be positive");
        require(
                dialBackoffMinMs > 0 && dialBackoffMaxMs >= dialBackoffMinMs,
                "dialBackoffMinMs must be positive and at most dialBackoffMaxMs");
        require(maxPendingHandshakes > 0, "maxPendingHandshakes must be positive");
        require(probeHelpers > 0, "probeHelpers must be positive");
    }

    /** Defaults for a fleet of some tens of members in one region. */
    public static PeerLimits defaults() {
        return new PeerLimits(1 << 20, 4 << 20, 4096, 250, 1250, 4000, 2000, 100, 5000, 32, 3);
    }

    /** A copy with these timeouts of the failure detector. */
    public PeerLimits withLivenessTimeouts(double newHeartbeatMs, double newSuspectAfterMs, double newDeadAfterMs) {
        return new PeerLimits(
                maxFrameBytes,
                maxQueueBytes,
                maxQueueMessages,
                newHeartbeatMs,
                newSuspectAfterMs,
                newDeadAfterMs,
                handshakeTimeoutMs,
                dialBackoffMinMs,
                dialBackoffMaxMs,
                maxPendingHandshakes,
                probeHelpers);
    }

    private static void require(boolean valid, String message) {
        if (!valid) {
            throw new IllegalArgumentException(message);
        }
    }
}
