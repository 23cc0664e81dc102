package brackenbridge.core.observe;

import java.util.HashMap;
import java.util.Map;

/**
 * Counts the attempts at each pool, by request class, since the node started. A pool consists of the servers of one
 * zone and one weight in the node's tier. To be used on the event loop only; a {@link #snapshot} may be passed to
 * another thread.
 */
public final class TrafficObserver {
    /** Guards memory against endpoint lists with ever new zones: attempts at further pools are not counted. */
    private static final int MAX_POOLS = 4096;

    /**
     * A pool and a request class.
     *
     * @param zone the servers' zone
     * @param weight the capacity of each server relative to other servers
     * @param className the class of the requests
     */
    public record PoolKey(String zone, double weight, String className) {}

    /**
     * The counts of a pool; all except {@code inFlight} only increase.
     *
     * @param firstAttempts first attempts of requests
     * @param attempts all attempts
     * @param served attempts that were served
     * @param failed attempts that ended in another way, except those that were never sent
     * @param latencySumMs the sum of the latencies of served attempts, in milliseconds
     * @param squaredLatencySumMs the sum of the squares of these latencies
     * @param inFlightMs the sum of the times that ended attempts were in flight, whatever their outcome
     * @param inFlight attempts that are in flight now
     */
    public record PoolTally(
            long firstAttempts,
            long attempts,
            long served,
            long failed,
            double latencySumMs,
            double squaredLatencySumMs,
            double inFlightMs,
            int inFlight) {
        static final PoolTally NONE = new PoolTally(0, 0, 0, 0, 0, 0, 0, 0);

        PoolTally withAttemptStarted(boolean isFirst) {
            return new PoolTally(
                    firstAttempts + (isFirst ? 1 : 0),
                    attempts + 1,
                    served,
                    failed,
                    latencySumMs,
                    squaredLatencySumMs,
                    inFlightMs,
                    inFlight + 1);
        }

        PoolTally withAttemptEnded(boolean wasServed, boolean wasSent, double latencyMs) {
            return new PoolTally(
                    firstAttempts,
                    attempts,
                    served + (wasServed ? 1 : 0),
                    failed + (!wasServed && wasSent ? 1 : 0),
                    latencySumMs + (wasServed ? latencyMs : 0),
                    squaredLatencySumMs + (wasServed ? latencyMs * latencyMs : 0),
                    inFlightMs + latencyMs,
                    Math.max(0, inFlight - 1));
        }
    }

    /**
     * The counts of all pools at one time.
     *
     * @param atMs the time of the snapshot
     * @param pools the counts of each pool
     * @param rejected requests that the node rejected, by class
     * @param servers the number of servers of each zone and weight that are up, under the empty class name
     */
    public record TrafficSnapshot(
            double atMs, Map<PoolKey, PoolTally> pools, Map<String, Long> rejected, Map<PoolKey, Integer> servers) {
        /** No counts yet. */
        public static final TrafficSnapshot NONE = new TrafficSnapshot(0, Map.of(), Map.of(), Map.of());

        /** Makes immutable copies. */
        public TrafficSnapshot {
            pools = Map.copyOf(pools);
            rejected = Map.copyOf(rejected);
            servers = Map.copyOf(servers);
        }
    }

    private final Map<PoolKey, PoolTally> pools = new HashMap<>();
    private final Map<String, Long> rejectedByClass = new HashMap<>();

    /** Records the start of an attempt. */
    public void onAttemptStarted(PoolKey key, boolean first) {
        if (pools.size() < MAX_POOLS || pools.containsKey(key)) {
            pools.put(key, pools.getOrDefault(key, PoolTally.NONE).withAttemptStarted(first));
        }
    }

    /**
     * Records the end of an attempt.
     *
     * @param served whether it ended with the server's response
     * @param wasSent whether it was sent at all
     * @param latencyMs how long it was in flight, in milliseconds
     */
    public void onAttemptEnded(PoolKey key, boolean served, boolean wasSent, double latencyMs) {
        pools.computeIfPresent(key, (pool, tally) -> tally.withAttemptEnded(served, wasSent, latencyMs));
    }

    /** Records a rejected request. */
    public void onRejected(String className) {
        rejectedByClass.merge(className, 1L, Long::sum);
    }

    /** Returns the current counts. */
    public TrafficSnapshot snapshot(double nowMs, Map<PoolKey, Integer> servers) {
        return new TrafficSnapshot(nowMs, pools, rejectedByClass, servers);
    }
}
