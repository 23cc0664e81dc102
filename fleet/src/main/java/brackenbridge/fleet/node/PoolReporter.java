package brackenbridge.fleet.node;

import brackenbridge.core.observe.TrafficObserver.PoolKey;
import brackenbridge.core.observe.TrafficObserver.PoolTally;
import brackenbridge.core.observe.TrafficObserver.TrafficSnapshot;
import brackenbridge.fleet.evacuation.PoolName;
import brackenbridge.fleet.evacuation.PoolObservation;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Computes the observations of a node's pools, such as rates and latencies, from snapshots of its traffic over a
 * sliding window. It does no I/O and is confined to one thread.
 */
final class PoolReporter {
    /** The length of the sliding window, in milliseconds. */
    private static final double WINDOW_MS = 10_000;
    /** A mean over fewer responses is too noisy to be used for the latency without load. */
    private static final long MIN_LATENCY_SAMPLES = 20;
    /** Raises the lowest mean with each report, so that it adapts to servers that became permanently slower. */
    private static final double BASELINE_GROWTH_FACTOR = 1.0005;

    private final String tier;
    private final double connectionsPerWeight;
    private final double initialCapacityRatio;
    private final double warmUpMs;
    private final ArrayDeque<TrafficSnapshot> snapshots = new ArrayDeque<>();
    private final Map<PoolKey, Double> baselineLatencyMs = new HashMap<>();

    /**
     * Creates the reporter of one node.
     *
     * @param tier the tier that the node sends requests to
     * @param connectionsPerWeight the requests that a server of weight 1 may have in flight; 0 if unknown
     * @param initialCapacityRatio the fraction of its capacity that a server has when it starts
     * @param warmUpMs the time until a server reaches its full capacity, in milliseconds
     */
    PoolReporter(String tier, double connectionsPerWeight, double initialCapacityRatio, double warmUpMs) {
        this.tier = tier;
        this.connectionsPerWeight = connectionsPerWeight;
        this.initialCapacityRatio = initialCapacityRatio;
        this.warmUpMs = warmUpMs;
    }

    /** Adds a snapshot and returns the observations by key, {@code tier/zone/kind/class}. */
    Map<String, PoolObservation> report(TrafficSnapshot snapshot) {
        while (snapshots.size() > 1 && snapshot.atMs() - snapshots.peekFirst().atMs() > WINDOW_MS) {
            snapshots.pollFirst();
        }
        Map<String, PoolObservation> observations = new TreeMap<>();
        TrafficSnapshot earlier = snapshots.peekFirst();
        if (earlier != null && snapshot.atMs() > earlier.atMs()) {
            double seconds = (snapshot.atMs() - earlier.atMs()) / 1000;
            Map<String, Double> rejectionRates = new HashMap<>();
            snapshot.rejected()
                    .forEach((c, n) ->
                            rejectionRates.put(c, (n - earlier.rejected().getOrDefault(c, 0L)) / seconds));
            Map<String, Long> firstAttemptsByClass = new HashMap<>();
            snapshot.pools()
                    .forEach((k, t) -> firstAttemptsByClass.merge(
                            k.className(),
                            t.firstAttempts()
                                    - earlier.pools()
                                            .getOrDefault(k, EMPTY_TALLY)
                                            .firstAttempts(),
                            Long::sum));
            snapshot.pools().forEach((k, t) -> {
                PoolTally earlierTally = earlier.pools().getOrDefault(k, EMPTY_TALLY);
                // A rejected request was sent to no pool: rejections are divided among the pools in proportion to their
                // first attempts.
                double fraction = firstAttemptsByClass.get(k.className()) == 0
                        ? 0
                        : (t.firstAttempts() - earlierTally.firstAttempts())
                                / (double) firstAttemptsByClass.get(k.className());
                observations.put(
                        poolName(k) + "/" + k.className(),
                        createObservation(
                                k,
                                t,
                                earlierTally,
                                seconds,
                                rejectionRates.getOrDefault(k.className(), 0.0) * fraction,
                                snapshot.servers().getOrDefault(new PoolKey(k.zone(), k.weight(), ""), 0)));
            });
        }
        snapshots.addLast(snapshot);
        return observations;
    }

    private static final PoolTally EMPTY_TALLY = new PoolTally(0, 0, 0, 0, 0, 0, 0, 0);

    private PoolName poolName(PoolKey key) {
        // Servers of the same zone and weight form a pool, since an endpoint list does not distinguish them further.
        return new PoolName(tier, key.zone().isEmpty() ? "-" : key.zone().replace('/', '_'), "w" + key.weight());
    }

    private PoolObservation createObservation(
            PoolKey key, PoolTally tally, PoolTally earlierTally, double seconds, double rejectionRate, int servers) {
        long served = tally.served() - earlierTally.served();
        long ended = served + tally.failed() - earlierTally.failed();
        double mean = served == 0 ? 0 : (tally.latencySumMs() - earlierTally.latencySumMs()) / served;
        double meanSquare =
                served == 0 ? 0 : (tally.squaredLatencySumMs() - earlierTally.squaredLatencySumMs()) / served;
        if (served >= MIN_LATENCY_SAMPLES) {
            baselineLatencyMs.merge(key, mean, (old, m) -> Math.min(old * BASELINE_GROWTH_FACTOR, m));
        }
        return new PoolObservation(
                (tally.firstAttempts() - earlierTally.firstAttempts()) / seconds,
                (tally.attempts() - earlierTally.attempts()) / seconds,
                rejectionRate,
                servers,
                0,
                (tally.inFlightMs() - earlierTally.inFlightMs()) / (seconds * 1000),
                baselineLatencyMs.getOrDefault(key, 0.0),
                mean,
                mean == 0 ? 0 : Math.max(0, meanSquare / (mean * mean) - 1),
                ended == 0 ? 0 : (tally.failed() - earlierTally.failed()) / (double) ended,
                seconds * 1000,
                -1,
                connectionsPerWeight * key.weight(),
                initialCapacityRatio,
                warmUpMs,
                1,
                0);
    }
}
