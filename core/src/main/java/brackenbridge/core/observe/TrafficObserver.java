package brackenbridge.core.observe;

import java.util.HashMap;
import java.util.Map;

/**
 * Counts attempts to each pool, by request class, since the node started. A pool is the servers of one zone and one
 * weight of the node's own tier. For the event loop's thread only; a {@link #snapshot} may be passed to another.
 */
public final class TrafficObserver {
    /** Guards memory against endpoint lists with ever new zones: attempts to further pools are not counted. */
    private static final int MAX_POOLS = 4096;

    /**
     * A pool and a request class.
     *
     * @param zone the servers' zone
     * @param weight their capacity relative to other servers
     * @param className the class of the requests
     */
    public record PoolKey(String zone, double weight, String className) {}

    /**
     * The counts of a pool; all but {@code inFlight} only grow.
     *
     * @param firstAttempts first attempts of requests
     * @param attempts all attempts
     * @param served attempts that were served
     * @param failed attempts that ended otherwise, except those that were never sent
     * @param sumMs the sum of the latencies of served attempts, in milliseconds
     * @param sumSquaredMs the sum of the squares of these latencies
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

        PoolTally withAttemptEnded(boolean ok, boolean counts, double ms) {
            return new PoolTally(
                    firstAttempts,
                    attempts,
                    served + (ok ? 1 : 0),
                    failed + (!ok && counts ? 1 : 0),
                    latencySumMs + (ok ? ms : 0),
                    squaredLatencySumMs + (ok ? ms * ms : 0),
                    inFlightMs + ms,
                    Math.max(0, inFlight - 1));
        }
    }

    /**
     * The counts of all pools at one time.
     *
     * @param atMs when
     * @param pools the counts of each pool
     * @param rejected requests that the node rejected, by class
     * @param servers how many servers of each zone and weight are up, under the empty class
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

    /** An attempt is sent to a server. */
    public void onAttemptStarted(PoolKey key, boolean first) {
        if (pools.size() < MAX_POOLS || pools.containsKey(key)) {
            pools.put(key, pools.getOrDefault(key, PoolTally.NONE).withAttemptStarted(first));
        }
    }

    /**
     * An attempt has ended.
     *
     * @param served whether it ended with the server's response
     * @param counts false if it was never sent
     * @param ms how long it was in flight
     */
    public void onAttemptEnded(PoolKey key, boolean served, boolean counts, double ms) {
        pools.computeIfPresent(key, (pool, tally) -> tally.withAttemptEnded(served, counts, ms));
    }

    /** A request was rejected. */
    public void onRejected(String className) {
        rejectedByClass.merge(className, 1L, Long::sum);
    }

    /** The counts now. */
    public TrafficSnapshot snapshot(double nowMs, Map<PoolKey, Integer> servers) {
        return new TrafficSnapshot(nowMs, pools, rejectedByClass, servers);
    }
}
