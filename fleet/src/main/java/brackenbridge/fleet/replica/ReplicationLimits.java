package brackenbridge.fleet.replica;

/**
 * How a member exchanges records; times in milliseconds.
 *
 * @param bytesASecond what it sends, at the most
 * @param pushMs writes of so long go out together
 * @param beatMs between two heartbeats; so often it also compares how far it is with others
 * @param digestMs between two comparisons of contents
 * @param againMs after so long without an answer it asks again
 * @param lagMs a member that lacks for longer what it knows of is not level
 * @param removalMs how long a removal is remembered
 * @param mesh up to so many peers, a write goes from its owner to each; with more, each passes news on to some
 * @param fanOut to how many news are passed on, above that
 * @param pieceBytes the size of a piece of a log, about
 */
public record ReplicationLimits(
        double bytesPerSecond,
        double pushIntervalMs,
        double heartbeatIntervalMs,
        double digestIntervalMs,
        double requestTimeoutMs,
        double maxLagMs,
        double tombstoneRetentionMs,
        int maxMeshPeers,
        int fanOut,
        int chunkBytes) {
    /** What holds without a word in the file. */
    public static final ReplicationLimits DEFAULT =
            new ReplicationLimits(1_000_000, 20, 1000, 2000, 300, 2000, 60_000, 32, 4, 32 << 10);

    /** Checks bounds. */
    public ReplicationLimits {
        if (!(pushIntervalMs >= 1
                        && heartbeatIntervalMs >= pushIntervalMs
                        && digestIntervalMs >= pushIntervalMs
                        && requestTimeoutMs >= pushIntervalMs
                        && maxLagMs >= requestTimeoutMs
                        && tombstoneRetentionMs >= heartbeatIntervalMs)
                || maxMeshPeers < 1
                || fanOut < 1
                || chunkBytes < 1024
                || chunkBytes > 128 << 10) {
            throw new IllegalArgumentException("terms out of bounds");
        }
    }

    /** The same with another bound on what it sends. */
    public ReplicationLimits withBytesPerSecond(double bytesPerSecond) {
        return new ReplicationLimits(
                bytesPerSecond,
                pushIntervalMs,
                heartbeatIntervalMs,
                digestIntervalMs,
                requestTimeoutMs,
                maxLagMs,
                tombstoneRetentionMs,
                maxMeshPeers,
                fanOut,
                chunkBytes);
    }
}
