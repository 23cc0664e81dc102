package brackenbridge.fleet.evacuation;

import brackenbridge.fleet.evacuation.PoolSnapshot.Flow;
import brackenbridge.fleet.evacuation.PoolSnapshot.MissingNode;
import brackenbridge.fleet.evacuation.PoolSnapshot.Pool;
import brackenbridge.fleet.evacuation.PoolSnapshot.TenantDemand;
import brackenbridge.fleet.replica.RecordVersion;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * What is learnt of pools from the records of all nodes. Plain: takes times and values, from one thread.
 *
 * <p>Capacity follows from the utilisation law of operational analysis (Denning and Buzen, The operational analysis of
 * queueing network models, 1978): tries a second over the utilisation that servers tell. It needs no guess of what a
 * server is like, and no load near the limit.
 */
public final class PoolModel {
    /** Nodes, pools and classes together that are kept: what comes from peers must not fill the memory. */
    private static final int MAX_RECORDS = 200_000;

    private static final double FORGET_AFTER_MS = 600_000;
    /** Capacity and calls change more slowly than load. */
    private static final double SLOW_HALF_LIFE_FACTOR = 4;
    /** Less than this says nothing of what a server can do. */
    private static final double MIN_UTILISATION = 0.02;

    private static final double MIN_ATTEMPT_RATE = 0.5;
    private static final double MIN_WEIGHT = 3;
    /** A capacity known worse than this is not known. */
    private static final double MAX_SPREAD = 0.35;
    /** How far moved load may go otherwise than by slots, as long as no rehearsal has shown how it goes. */
    private static final double UNREHEARSED_SPREAD = 0.06;

    private static final double REHEARSED_SPREAD = 0.02;
    private static final double MAX_CORRECTION = 3;

    /**
     * A record of a node.
     *
     * @param node its owner
     * @param zone the owner's zone
     * @param pool the pool
     * @param className the class
     * @param version the owner's count: what was learnt once is not learnt again
     * @param seen its content
     * @param heardMs how long ago its owner was last known to hold it so
     */
    public record PoolReport(
            String node,
            String zone,
            PoolName pool,
            String className,
            RecordVersion version,
            PoolObservation observation,
            double ageMs) {}

    private record RecordKey(String node, PoolName pool, String className) {}

    private record FlowKey(String zone, PoolName pool) {}

    private record CallerKey(String tier, String zone) {}

    private static final class StoredRecord {
        String zone;
        RecordVersion version;
        PoolObservation observation;
        double confirmedAtMs;
    }

    private final class PoolEstimates {
        final MovingEstimate successRate = new MovingEstimate(settings.halfLifeMs() * SLOW_HALF_LIFE_FACTOR);
        final MovingEstimate recentAttemptRate = new MovingEstimate(settings.halfLifeMs());
        final MovingEstimate busyServers = new MovingEstimate(settings.halfLifeMs() * SLOW_HALF_LIFE_FACTOR);
        final MovingEstimate capacityPerServer = new MovingEstimate(settings.halfLifeMs() * SLOW_HALF_LIFE_FACTOR);
        final MovingEstimate serviceMs = new MovingEstimate(settings.halfLifeMs() * SLOW_HALF_LIFE_FACTOR);
        final MovingEstimate squaredVariation = new MovingEstimate(settings.halfLifeMs() * SLOW_HALF_LIFE_FACTOR);
        final Map<String, MovingEstimate> classRates = new HashMap<>();
        PoolObservation lastObservation;
        int servers;
        double correction = 1;
        double correctionSpread = UNREHEARSED_SPREAD;
    }

    private final class CallEstimates {
        final MovingEstimate callRate = new MovingEstimate(settings.halfLifeMs() * SLOW_HALF_LIFE_FACTOR);
        final MovingEstimate callerRate = new MovingEstimate(settings.halfLifeMs() * SLOW_HALF_LIFE_FACTOR);
        final MovingEstimate ratio = new MovingEstimate(settings.halfLifeMs() * SLOW_HALF_LIFE_FACTOR);
    }

    private final ForecastSettings settings;
    private final Map<RecordKey, StoredRecord> records = new HashMap<>();
    private final Map<String, Double> lastHeardMs = new TreeMap<>();
    private final Map<PoolName, PoolEstimates> pools = new TreeMap<>();
    private final Map<FlowKey, MovingEstimate> flowRates = new HashMap<>();
    private final Map<CallerKey, CallEstimates> callers = new HashMap<>();
    private final DailyProfile dailyProfile = new DailyProfile();
    private Map<String, String> expectedNodes = Map.of();
    private List<TenantDemand> tenantDemand = List.of();
    private double timeOfDayMs;

    /** Knows nothing yet. */
    public PoolModel(ForecastSettings terms) {
        this.settings = terms;
    }

    /** What it takes as given. */
    public ForecastSettings settings() {
        return settings;
    }

    /** The nodes that there should be, with their zones: one that is not heard is missed. */
    public void expectNodes(Map<String, String> nodes) {
        expectedNodes = Map.copyOf(nodes);
    }

    /** What tenants want of pools, all nodes together. */
    public void setTenantDemand(List<TenantDemand> now) {
        tenantDemand = List.copyOf(now);
    }

    /**
     * Learns from the records as they are now; one that was learnt is passed over, one that is too old as well.
     *
     * @param nowMs now, by this member's clock
     * @param nowDayMs now, as a time of the day
     */
    public void update(double nowMs, double nowDayMs, List<PoolReport> all) {
        timeOfDayMs = nowDayMs;
        boolean news = false;
        Map<RecordKey, StoredRecord> present = new HashMap<>();
        for (PoolReport o : all) {
            lastHeardMs.merge(o.node(), nowMs - o.ageMs(), Math::max);
            RecordKey key = new RecordKey(o.node(), o.pool(), o.className());
            StoredRecord k = records.get(key);
            if (k == null) {
                if (records.size() >= MAX_RECORDS || !isPlausible(o.observation())) {
                    continue;
                }
                k = new StoredRecord();
                records.put(key, k);
            }
            k.confirmedAtMs = nowMs - o.ageMs();
            // What its owner has taken back counts no more.
            present.put(key, k);
            if (!o.version().equals(k.version)
                    && o.ageMs() <= settings.maxRecordAgeMs()
                    && isPlausible(o.observation())) {
                k.version = o.version();
                k.observation = o.observation();
                k.zone = o.zone();
                news = true;
            }
        }
        // Guards against names of the past that fill the memory.
        records.values().removeIf(k -> nowMs - k.confirmedAtMs > FORGET_AFTER_MS);
        lastHeardMs.values().removeIf(at -> nowMs - at > FORGET_AFTER_MS);
        if (news) {
            learn(nowMs, present);
        }
    }

    /** Guards against figures that a faulty node sends: they must not spoil what others see. */
    private static boolean isPlausible(PoolObservation s) {
        return s != null
                && isPlausibleValue(s.arrivalRate())
                && isPlausibleValue(s.attemptRate())
                && isPlausibleValue(s.rejectionRate())
                && s.servers() >= 0
                && s.servers() <= 1_000_000
                && isPlausibleValue(s.slots())
                && isPlausibleValue(s.inFlight())
                && isPlausibleValue(s.serviceMs())
                && isPlausibleValue(s.latencyMs())
                && isPlausibleValue(s.squaredVariation())
                && s.failureRatio() >= 0
                && s.failureRatio() <= 1
                && s.utilisation() <= 1.01
                && isPlausibleValue(s.connections())
                && s.coldCapacityRatio() > 0
                && s.coldCapacityRatio() <= 1
                && isPlausibleValue(s.warmUpMs())
                && s.degradedCapacityRatio() > 0
                && s.degradedCapacityRatio() <= 1
                && isPlausibleValue(s.degradedAtCalls());
    }

    private static boolean isPlausibleValue(double v) {
        return v >= 0 && v < 1e12;
    }

    private static final class PoolTotals {
        double attemptRate;
        double successRate;
        double utilisationSum;
        double utilisationCount;
        double serviceTimeSum;
        double serviceTimeWeight;
        double variationSum;
        int servers;
        PoolObservation lastObservation;
        final Map<String, Double> classRates = new TreeMap<>();
    }

    private void learn(double nowMs, Map<RecordKey, StoredRecord> present) {
        Map<PoolName, PoolTotals> sums = new TreeMap<>();
        Map<FlowKey, Double> from = new HashMap<>();
        for (Map.Entry<RecordKey, StoredRecord> e : present.entrySet()) {
            StoredRecord k = e.getValue();
            if (k.observation == null || nowMs - k.confirmedAtMs > settings.maxRecordAgeMs()) {
                continue;
            }
            PoolObservation s = k.observation;
            PoolTotals sum = sums.computeIfAbsent(e.getKey().pool(), p -> new PoolTotals());
            sum.attemptRate += s.attemptRate();
            sum.successRate += s.attemptRate() * (1 - s.failureRatio());
            sum.servers = Math.max(sum.servers, s.servers());
            sum.classRates.merge(e.getKey().className(), s.attemptRate(), Double::sum);
            if (s.utilisation() >= 0) {
                sum.utilisationSum += s.utilisation();
                sum.utilisationCount++;
            }
            if (s.serviceMs() > 0 && s.attemptRate() > 0) {
                sum.serviceTimeSum += s.serviceMs() * s.attemptRate();
                sum.variationSum += s.squaredVariation() * s.attemptRate();
                sum.serviceTimeWeight += s.attemptRate();
            }
            if (sum.lastObservation == null || s.degradedAtCalls() > 0) {
                sum.lastObservation = s;
            }
            from.merge(new FlowKey(k.zone, e.getKey().pool()), s.arrivalRate(), Double::sum);
        }
        sums.forEach((name, sum) -> learn(nowMs, pools.computeIfAbsent(name, n -> new PoolEstimates()), sum));
        from.forEach((o, rate) -> flowRates
                .computeIfAbsent(o, n -> new MovingEstimate(settings.halfLifeMs()))
                .add(nowMs, rate));
        learnCalls(nowMs, sums, from);
        if (!settings.tiers().isEmpty()) {
            Map<String, Double> first = new HashMap<>();
            from.forEach((o, rate) -> {
                if (o.pool().tier().equals(settings.tiers().get(0))) {
                    first.merge(o.zone(), rate, Double::sum);
                }
            });
            first.forEach((zone, rate) -> dailyProfile.add(zone, timeOfDayMs, rate));
        }
    }

    private void learn(double nowMs, PoolEstimates l, PoolTotals sum) {
        l.servers = sum.servers;
        l.lastObservation = sum.lastObservation;
        l.recentAttemptRate.add(nowMs, sum.attemptRate);
        double u = sum.utilisationCount > 0 ? sum.utilisationSum / sum.utilisationCount : -1;
        if (u >= MIN_UTILISATION && sum.successRate >= MIN_ATTEMPT_RATE && sum.servers > 0) {
            l.successRate.add(nowMs, sum.successRate);
            l.busyServers.add(nowMs, u * sum.servers);
            l.capacityPerServer.add(nowMs, sum.successRate / (u * sum.servers));
        }
        if (sum.serviceTimeWeight > 0) {
            l.serviceMs.add(nowMs, sum.serviceTimeSum / sum.serviceTimeWeight);
            l.squaredVariation.add(nowMs, sum.variationSum / sum.serviceTimeWeight);
        }
        sum.classRates.forEach((c, rate) -> l.classRates
                .computeIfAbsent(c, k -> new MovingEstimate(settings.halfLifeMs() * SLOW_HALF_LIFE_FACTOR))
                .add(nowMs, rate));
    }

    private void learnCalls(double nowMs, Map<PoolName, PoolTotals> sums, Map<FlowKey, Double> from) {
        for (int t = 0; t + 1 < settings.tiers().size(); t++) {
            String tier = settings.tiers().get(t);
            String next = settings.tiers().get(t + 1);
            Map<String, Double> by = new TreeMap<>();
            sums.forEach((p, s) -> {
                if (p.tier().equals(tier)) {
                    by.merge(p.zone(), s.successRate, Double::sum);
                }
            });
            Map<String, Double> made = new TreeMap<>();
            from.forEach((o, rate) -> {
                if (o.pool().tier().equals(next)) {
                    made.merge(o.zone(), rate, Double::sum);
                }
            });
            for (Map.Entry<String, Double> e : by.entrySet()) {
                if (e.getValue() >= MIN_ATTEMPT_RATE) {
                    CallEstimates c =
                            callers.computeIfAbsent(new CallerKey(tier, e.getKey()), k -> new CallEstimates());
                    double rate = made.getOrDefault(e.getKey(), 0.0);
                    c.callRate.add(nowMs, rate);
                    c.callerRate.add(nowMs, e.getValue());
                    c.ratio.add(nowMs, rate / e.getValue());
                }
            }
        }
    }

    /**
     * A rehearsal has shown that the load which was moved to a pool was off by this factor.
     *
     * @param weight how much the rehearsal is worth beside what was known, 0 to 1
     */
    public void applyCorrection(PoolName pool, double factor, double weight) {
        PoolEstimates l = pools.get(pool);
        if (l != null && factor > 0 && Double.isFinite(factor) && weight > 0 && weight <= 1) {
            double bounded = Math.max(1 / MAX_CORRECTION, Math.min(MAX_CORRECTION, factor));
            l.correction *= Math.exp(weight * Math.log(bounded));
            l.correctionSpread = Math.max(REHEARSED_SPREAD, l.correctionSpread * (1 - weight));
        }
    }

    /** How the pools are now, for a plan that starts at this time of the day; negative for now. */
    public PoolSnapshot snapshot(double nowMs, double startDayMs) {
        List<Pool> out = new ArrayList<>();
        for (Map.Entry<PoolName, PoolEstimates> e : pools.entrySet()) {
            out.add(estimatePool(nowMs, e.getKey(), e.getValue()));
        }
        List<Flow> flows = new ArrayList<>();
        Map<FlowKey, MovingEstimate> sorted = new TreeMap<>((a, b) -> {
            int by = a.zone().compareTo(b.zone());
            return by != 0 ? by : a.pool().compareTo(b.pool());
        });
        sorted.putAll(flowRates);
        sorted.forEach((o, l) -> {
            double factor = startDayMs < 0 ? 1 : dailyProfile.ratio(o.zone(), timeOfDayMs, startDayMs);
            double wait = startDayMs < 0 ? 0 : dailyProfile.spread(o.zone(), timeOfDayMs, startDayMs);
            double spread = l.spread(nowMs);
            flows.add(new Flow(
                    o.zone(),
                    o.pool(),
                    l.mean() * factor,
                    Math.sqrt(spread * spread + settings.clockDrift() * settings.clockDrift() + wait * wait)));
        });
        List<MissingNode> missing = new ArrayList<>();
        new TreeMap<>(expectedNodes).forEach((node, zone) -> {
            Double at = lastHeardMs.get(node);
            if (at == null) {
                missing.add(new MissingNode(node, zone, node + " was never heard"));
            } else if (nowMs - at > settings.maxRecordAgeMs()) {
                missing.add(new MissingNode(
                        node,
                        zone,
                        String.format(Locale.ROOT, "%s was last heard %.0f s ago", node, (nowMs - at) / 1000)));
            }
        });
        return new PoolSnapshot(settings, out, flows, missing, tenantDemand);
    }

    private Pool estimatePool(double nowMs, PoolName name, PoolEstimates l) {
        CallEstimates c = callers.get(new CallerKey(name.tier(), name.zone()));
        double calls = c == null || c.callerRate.mean() <= 0 ? 0 : c.callRate.mean() / c.callerRate.mean();
        double callsSpread = c == null ? 0 : c.ratio.spread(nowMs);
        double each = l.busyServers.mean() > 0 ? l.successRate.mean() / l.busyServers.mean() : 0;
        double spread = l.capacityPerServer.isKnown() ? l.capacityPerServer.spread(nowMs) : Double.POSITIVE_INFINITY;
        double within = calls * downstreamServiceMs(name);
        double service = l.serviceMs.mean();
        // What the next tier takes is not this one's work; a tenth at the least is its own.
        double work = Math.max(0.1 * service, service - within);
        String unknown = unknownReason(nowMs, l, spread);
        Map<String, Double> mix = new TreeMap<>();
        double all =
                l.classRates.values().stream().mapToDouble(MovingEstimate::mean).sum();
        if (all > 0) {
            l.classRates.forEach((k, v) -> mix.put(k, v.mean() / all));
        }
        double capacity = each * l.servers;
        double parallel = Math.max(l.servers, capacity * work / 1000);
        PoolObservation s = l.lastObservation;
        double variation = l.squaredVariation.isKnown() ? l.squaredVariation.mean() : 1;
        return new Pool(
                name,
                l.servers,
                s.slots(),
                s.connections() > 0 ? s.connections() : s.slots(),
                capacity,
                Math.sqrt(spread * spread + settings.clockDrift() * settings.clockDrift()),
                work,
                variation,
                parallel,
                calls,
                callsSpread,
                mix,
                s.coldCapacityRatio(),
                s.warmUpMs(),
                s.degradedCapacityRatio(),
                s.degradedAtCalls(),
                l.correction,
                l.correctionSpread,
                l.recentAttemptRate.mean(),
                unknown);
    }

    private double downstreamServiceMs(PoolName name) {
        int t = settings.tiers().indexOf(name.tier());
        if (t < 0 || t + 1 >= settings.tiers().size()) {
            return 0;
        }
        String next = settings.tiers().get(t + 1);
        double sum = 0;
        double weight = 0;
        for (Map.Entry<PoolName, PoolEstimates> e : pools.entrySet()) {
            MovingEstimate service = e.getValue().serviceMs;
            if (e.getKey().tier().equals(next) && service.isKnown()) {
                double w = e.getKey().zone().equals(name.zone()) ? 1 : 1e-3;
                sum += w * service.mean();
                weight += w;
            }
        }
        return weight > 0 ? sum / weight : 0;
    }

    private static String unknownReason(double nowMs, PoolEstimates l, double spread) {
        if (l.servers == 0) {
            return "no server of it is known to run";
        }
        if (!l.recentAttemptRate.isKnown() || l.recentAttemptRate.mean() < MIN_ATTEMPT_RATE / 10) {
            return "it has no load to learn from";
        }
        if (!l.capacityPerServer.isKnown()) {
            return "nobody tells how busy its servers are";
        }
        if (l.capacityPerServer.weight() < MIN_WEIGHT) {
            return "it was seen too shortly";
        }
        if (l.lastObservation.slots() <= 0) {
            return "its slots are not known";
        }
        return spread > MAX_SPREAD
                ? String.format(Locale.ROOT, "its capacity is known to %.0f%% only", 100 * spread)
                : null;
    }

    /** The pools that are known. */
    public List<PoolName> poolNames() {
        return List.copyOf(pools.keySet());
    }

    /** Forgets pools whose last record is long gone; from time to time. */
    public void forgetPools(double nowMs) {
        Iterator<Map.Entry<PoolName, PoolEstimates>> i = pools.entrySet().iterator();
        while (i.hasNext()) {
            PoolName name = i.next().getKey();
            if (records.keySet().stream().noneMatch(k -> k.pool().equals(name))) {
                i.remove();
                flowRates.keySet().removeIf(o -> o.pool().equals(name));
            }
        }
    }
}
