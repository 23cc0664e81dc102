package brackenbridge.fleet.peer;

/**
 * What a member grants its links. Times are milliseconds.
 *
 * @param frameBytes longest body of a message
 * @param queueBytes bytes that wait in one stream of one link
 * @param queueMessages messages that wait in one stream of one link
 * @param beatMs a member speaks to each linked peer this often
 * @param suspectMs a peer that nobody has heard for so long is suspected
 * @param goneMs a peer that nobody has heard for so long is taken for dead, if enough others suspect it too; up to
 *     twice this if they do not. A link on which nothing comes or goes for so long is closed
 * @param handshakeMs a dial and a handshake take at most so long each
 * @param dialMinMs mean wait before the first dial after a loss, doubled after each failure
 * @param dialMaxMs longest wait between two dials
 * @param strangers connections that may stand before the end of their handshake
 * @param asked how many others are asked at a time whether they hear a silent peer
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
    /** Bytes of a member's, a zone's or a fleet's name, in UTF-8. */
    public static final int MAX_NAME_BYTES = 64;

    /** Checks each value; faults are told by {@link IllegalArgumentException}. */
    public PeerLimits {
        require(maxFrameBytes >= 4096 && maxFrameBytes <= 64 << 20, "frameBytes must be from 4096 to 67108864");
        require(maxQueueBytes >= maxFrameBytes, "queueBytes must hold one frame at least");
        require(maxQueueMessages > 0, "queueMessages must be positive");
        require(heartbeatMs >= 1, "beatMs must be 1 at least");
        require(suspectAfterMs >= 4 * heartbeatMs, "suspectMs must be four beats at least");
        require(deadAfterMs >= 2 * suspectAfterMs, "goneMs must be twice suspectMs at least");
        require(handshakeTimeoutMs > 0, "handshakeMs must be positive");
        require(dialBackoffMinMs > 0 && dialBackoffMaxMs >= dialBackoffMinMs, "dialMaxMs must not be under dialMinMs");
        require(maxPendingHandshakes > 0, "strangers must be positive");
        require(probeHelpers > 0, "asked must be positive");
    }

    /** What a fleet of some tens of members in one region does well with. */
    public static PeerLimits defaults() {
        return new PeerLimits(1 << 20, 4 << 20, 4096, 250, 1250, 4000, 2000, 100, 5000, 32, 3);
    }

    /** The same with other times of liveness. */
    public PeerLimits withLivenessTimeouts(double beat, double suspect, double gone) {
        return new PeerLimits(
                maxFrameBytes,
                maxQueueBytes,
                maxQueueMessages,
                beat,
                suspect,
                gone,
                handshakeTimeoutMs,
                dialBackoffMinMs,
                dialBackoffMaxMs,
                maxPendingHandshakes,
                probeHelpers);
    }

    private static void require(boolean holds, String fault) {
        if (!holds) {
            throw new IllegalArgumentException(fault);
        }
    }
}
