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
        int frameBytes,
        long queueBytes,
        int queueMessages,
        double beatMs,
        double suspectMs,
        double goneMs,
        int handshakeMs,
        double dialMinMs,
        double dialMaxMs,
        int strangers,
        int asked) {
    /** Bytes of a member's, a zone's or a fleet's name, in UTF-8. */
    public static final int NAME_BYTES = 64;

    /** Checks each value; faults are told by {@link IllegalArgumentException}. */
    public PeerLimits {
        demand(frameBytes >= 4096 && frameBytes <= 64 << 20, "frameBytes must be from 4096 to 67108864");
        demand(queueBytes >= frameBytes, "queueBytes must hold one frame at least");
        demand(queueMessages > 0, "queueMessages must be positive");
        demand(beatMs >= 1, "beatMs must be 1 at least");
        demand(suspectMs >= 4 * beatMs, "suspectMs must be four beats at least");
        demand(goneMs >= 2 * suspectMs, "goneMs must be twice suspectMs at least");
        demand(handshakeMs > 0, "handshakeMs must be positive");
        demand(dialMinMs > 0 && dialMaxMs >= dialMinMs, "dialMaxMs must not be under dialMinMs");
        demand(strangers > 0, "strangers must be positive");
        demand(asked > 0, "asked must be positive");
    }

    /** What a fleet of some tens of members in one region does well with. */
    public static PeerLimits standard() {
        return new PeerLimits(1 << 20, 4 << 20, 4096, 250, 1250, 4000, 2000, 100, 5000, 32, 3);
    }

    /** The same with other times of liveness. */
    public PeerLimits beating(double beat, double suspect, double gone) {
        return new PeerLimits(
                frameBytes,
                queueBytes,
                queueMessages,
                beat,
                suspect,
                gone,
                handshakeMs,
                dialMinMs,
                dialMaxMs,
                strangers,
                asked);
    }

    private static void demand(boolean holds, String fault) {
        if (!holds) {
            throw new IllegalArgumentException(fault);
        }
    }
}
