package brackenbridge.fleet.replica;

/**
 * Bounds and intervals of the replication; times in milliseconds.
 *
 * @param bytesPerSecond the maximum rate of sent bytes
 * @param pushIntervalMs the interval at which writes are pushed; writes within it are batched
 * @param heartbeatIntervalMs the interval of heartbeats, and of the comparison of log positions with peers
 * @param digestIntervalMs the mean interval of digest comparisons
 * @param requestTimeoutMs the time after which an unanswered request is repeated; multiplied by the backoff
 * @param maxLagMs a member that lacks reported writes for longer than this is not caught up
 * @param tombstoneRetentionMs the time after which tombstones are forgotten
 * @param maxMeshPeers up to this number of reachable peers an owner pushes its writes to each of them; above it,
 *     members forward changes by gossip
 * @param fanOut the number of peers to which a member forwards changes by gossip
 * @param chunkBytes the approximate size of a chunk of a log
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
    /** The limits that apply where the fleet file sets none. */
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
            throw new IllegalArgumentException("replication limits out of bounds");
        }
    }

    /** A copy with another rate of sent bytes. */
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
