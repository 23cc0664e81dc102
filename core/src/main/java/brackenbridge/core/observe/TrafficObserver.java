package brackenbridge.core.observe;

import java.util.HashMap;
import java.util.Map;

/**
 * Counts what went to each pool, by class, since the node started. A pool is the servers of one zone and one weight of
 * the node's own tier. Only the loop's thread touches it; a {@link #snapshot} may go to another.
 */
public final class TrafficObserver {
    /** Guards memory against lists that name ever new zones: what is beyond is counted nowhere. */
    private static final int MOST = 4096;

    /**
     * Which servers, and which calls.
     *
     * @param zone the servers' zone
     * @param weight their capacity beside the others'
     * @param className the class of the calls
     */
    public record PoolKey(String zone, double weight, String className) {}

    /**
     * What was counted; all of it only grows but {@code out}.
     *
     * @param firstAttempts first tries
     * @param attempts all tries
     * @param served tries that were served
     * @param failed tries that ended otherwise, those that were never sent left out
     * @param sumMs the times of the served ones together, in milliseconds
     * @param sumSquaredMs the squares of these times together
     * @param inFlightMs the time that calls were at the pool, together; of those that have ended, however they did
     * @param inFlight calls that are there now
     */
    public record PoolTally(
            long firstAttempts,
            long attempts,
            long served,
            long failed,
            double sumMs,
            double sumSquaredMs,
            double inFlightMs,
            int inFlight) {
        static final PoolTally NONE = new PoolTally(0, 0, 0, 0, 0, 0, 0, 0);

        PoolTally sent(boolean isFirst) {
            return new PoolTally(
                    firstAttempts + (isFirst ? 1 : 0),
                    attempts + 1,
                    served,
                    failed,
                    sumMs,
                    sumSquaredMs,
                    inFlightMs,
                    inFlight + 1);
        }

        PoolTally ended(boolean ok, boolean counts, double ms) {
            return new PoolTally(
                    firstAttempts,
                    attempts,
                    served + (ok ? 1 : 0),
                    failed + (!ok && counts ? 1 : 0),
                    sumMs + (ok ? ms : 0),
                    sumSquaredMs + (ok ? ms * ms : 0),
                    inFlightMs + ms,
                    Math.max(0, inFlight - 1));
        }
    }

    /**
     * All of it at one moment.
     *
     * @param atMs when
     * @param pools what was counted at each pool
     * @param rejected flows that the node turned away, by class
     * @param servers how many servers of each zone and weight are known to run, under the empty class
     */
    public record TrafficSnapshot(
            double atMs, Map<PoolKey, PoolTally> pools, Map<String, Long> rejected, Map<PoolKey, Integer> servers) {
        /** Nothing yet. */
        public static final TrafficSnapshot NONE = new TrafficSnapshot(0, Map.of(), Map.of(), Map.of());

        /** Keeps its own copies. */
        public TrafficSnapshot {
            pools = Map.copyOf(pools);
            rejected = Map.copyOf(rejected);
            servers = Map.copyOf(servers);
        }
    }

    private final Map<PoolKey, PoolTally> pools = new HashMap<>();
    private final Map<String, Long> refused = new HashMap<>();

    /** A call goes to a server. */
    public void onAttemptStarted(PoolKey key, boolean first) {
        if (pools.size() < MOST || pools.containsKey(key)) {
            pools.put(key, pools.getOrDefault(key, PoolTally.NONE).sent(first));
        }
    }

    /**
     * A call that went to a server has ended.
     *
     * @param served with the server's own answer
     * @param counts it was there at all: false for one that was never sent
     * @param ms how long it was out
     */
    public void onAttemptEnded(PoolKey key, boolean served, boolean counts, double ms) {
        pools.computeIfPresent(key, (k, t) -> t.ended(served, counts, ms));
    }

    /** A flow was turned away. */
    public void onRejected(String className) {
        refused.merge(className, 1L, Long::sum);
    }

    /** All of it now. */
    public TrafficSnapshot snapshot(double nowMs, Map<PoolKey, Integer> servers) {
        return new TrafficSnapshot(nowMs, pools, refused, servers);
    }
}
