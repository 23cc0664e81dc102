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
 * Computes the observations of a node's pools, such as rates and latencies, from snapshots of its traffic over a sliding
 * window. It does no I/O and is confined to one thread.
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
     * @param connections the requests that a server of weight 1 may have in flight; 0 if unknown
     * @param coldFrom the fraction of its capacity that a server has when it starts
     * @param coldMs the time until a server reaches its full capacity, in milliseconds
     */
    PoolReporter(String tier, double connections, double coldFrom, double coldMs) {
        this.tier = tier;
        this.connectionsPerWeight = connections;
        this.initialCapacityRatio = coldFrom;
        this.warmUpMs = coldMs;
    }

    /** Adds a snapshot and returns the observations by key, {@code tier/zone/kind/class}. */
    Map<String, PoolObservation> report(TrafficSnapshot now) {
        while (snapshots.size() > 1 && now.atMs() - snapshots.peekFirst().atMs() > WINDOW_MS) {
            snapshots.pollFirst();
        }
        Map<String, PoolObservation> all = new TreeMap<>();
        TrafficSnapshot before = snapshots.peekFirst();
        if (before != null && now.atMs() > before.atMs()) {
            double seconds = (now.atMs() - before.atMs()) / 1000;
            Map<String, Double> refused = new HashMap<>();
            now.rejected()
                    .forEach((c, n) -> refused.put(c, (n - before.rejected().getOrDefault(c, 0L)) / seconds));
            Map<String, Long> firstOfClass = new HashMap<>();
            now.pools()
                    .forEach((k, t) -> firstOfClass.merge(
                            k.className(),
                            t.firstAttempts()
                                    - before.pools()
                                            .getOrDefault(k, EMPTY_TALLY)
                                            .firstAttempts(),
                            Long::sum));
            now.pools().forEach((k, t) -> {
                PoolTally was = before.pools().getOrDefault(k, EMPTY_TALLY);
                // A rejected request was sent to no pool: rejections are divided by the pools' fractions of the sent
                // requests.
                double part = firstOfClass.get(k.className()) == 0
                        ? 0
                        : (t.firstAttempts() - was.firstAttempts()) / (double) firstOfClass.get(k.className());
                all.put(
                        poolName(k) + "/" + k.className(),
                        observe(
                                k,
                                t,
                                was,
                                seconds,
                                refused.getOrDefault(k.className(), 0.0) * part,
                                now.servers().getOrDefault(new PoolKey(k.zone(), k.weight(), ""), 0)));
            });
        }
        snapshots.addLast(now);
        return all;
    }

    private static final PoolTally EMPTY_TALLY = new PoolTally(0, 0, 0, 0, 0, 0, 0, 0);

    private PoolName poolName(PoolKey k) {
        // Servers of the same zone and weight form a pool, since an endpoint list does not distinguish them further.
        return new PoolName(tier, k.zone().isEmpty() ? "-" : k.zone().replace('/', '_'), "w" + k.weight());
    }

    private PoolObservation observe(
            PoolKey k, PoolTally now, PoolTally was, double seconds, double refused, int servers) {
        long served = now.served() - was.served();
        long ended = served + now.failed() - was.failed();
        double mean = served == 0 ? 0 : (now.sumMs() - was.sumMs()) / served;
        double square = served == 0 ? 0 : (now.sumSquaredMs() - was.sumSquaredMs()) / served;
        if (served >= MIN_LATENCY_SAMPLES) {
            baselineLatencyMs.merge(k, mean, (old, m) -> Math.min(old * BASELINE_GROWTH_FACTOR, m));
        }
        return new PoolObservation(
                (now.firstAttempts() - was.firstAttempts()) / seconds,
                (now.attempts() - was.attempts()) / seconds,
                refused,
                servers,
                0,
                (now.inFlightMs() - was.inFlightMs()) / (seconds * 1000),
                baselineLatencyMs.getOrDefault(k, 0.0),
                mean,
                mean == 0 ? 0 : Math.max(0, square / (mean * mean) - 1),
                ended == 0 ? 0 : (now.failed() - was.failed()) / (double) ended,
                seconds * 1000,
                -1,
                connectionsPerWeight * k.weight(),
                initialCapacityRatio,
                warmUpMs,
                1,
                0);
    }
}
