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
 * Estimates the properties of pools from the records of all nodes. Without I/O; not thread-safe.
 *
 * <p>Capacity follows from the utilisation law of operational analysis (Denning and Buzen, The operational analysis of
 * queueing network models, 1978): attempts per second divided by the utilisation that servers report. This requires
 * neither assumptions about a server nor load near its limit.
 */
public final class PoolModel {
    /** The maximum number of records by node, pool and class, so that peers can't exhaust the memory. */
    private static final int MAX_RECORDS = 200_000;

    private static final double FORGET_AFTER_MS = 600_000;
    /** Factor on the half-life of capacity and call estimates, which change more slowly than load. */
    private static final double SLOW_HALF_LIFE_FACTOR = 4;
    /** At a lower utilisation, a measurement says nothing about capacity. */
    private static final double MIN_UTILISATION = 0.02;

    private static final double MIN_ATTEMPT_RATE = 0.5;
    private static final double MIN_WEIGHT = 3;
    /** A capacity whose spread is larger counts as unknown. */
    private static final double MAX_SPREAD = 0.35;
    /** Spread of moved load around a split by slots, until a rehearsal has shown how it splits. */
    private static final double UNREHEARSED_SPREAD = 0.06;

    private static final double REHEARSED_SPREAD = 0.02;
    private static final double MAX_CORRECTION = 3;

    /**
     * A record of a node, as read from the replica.
     *
     * @param node the owner
     * @param zone the owner's zone
     * @param pool the pool
     * @param className the request class
     * @param version the owner's version of the record; each version is learnt from once
     * @param observation the content
     * @param ageMs the time since the owner last confirmed the record
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
    private final Map<String, Double> lastReportedMs = new TreeMap<>();
    private final Map<PoolName, PoolEstimates> pools = new TreeMap<>();
    private final Map<FlowKey, MovingEstimate> flowRates = new HashMap<>();
    private final Map<CallerKey, CallEstimates> callers = new HashMap<>();
    private final DailyProfile dailyProfile = new DailyProfile();
    private Map<String, String> expectedNodes = Map.of();
    private List<TenantDemand> tenantDemand = List.of();
    private double timeOfDayMs;

    /** Creates a model without any observations. */
    public PoolModel(ForecastSettings settings) {
        this.settings = settings;
    }

    /** Returns the configured inputs. */
    public ForecastSettings settings() {
        return settings;
    }

    /** Sets the nodes that should report, with their zones; those that do not are listed as missing. */
    public void expectNodes(Map<String, String> nodes) {
        expectedNodes = Map.copyOf(nodes);
    }

    /** Sets the demand of tenants for pools, summed over all nodes. */
    public void setTenantDemand(List<TenantDemand> demand) {
        tenantDemand = List.copyOf(demand);
    }

    /**
     * Learns from the current records; those already learnt from and those that are too old are skipped.
     *
     * @param nowMs the current time by this member's clock
     * @param nowTimeOfDayMs the current time of day
     */
    public void update(double nowMs, double nowTimeOfDayMs, List<PoolReport> reports) {
        timeOfDayMs = nowTimeOfDayMs;
        boolean changed = false;
        Map<RecordKey, StoredRecord> present = new HashMap<>();
        for (PoolReport report : reports) {
            lastReportedMs.merge(report.node(), nowMs - report.ageMs(), Math::max);
            RecordKey key = new RecordKey(report.node(), report.pool(), report.className());
            StoredRecord record = records.get(key);
            if (record == null) {
                if (records.size() >= MAX_RECORDS || !isPlausible(report.observation())) {
                    continue;
                }
                record = new StoredRecord();
                records.put(key, record);
            }
            record.confirmedAtMs = nowMs - report.ageMs();
            // A record that its owner has removed no longer counts.
            present.put(key, record);
            if (!report.version().equals(record.version)
                    && report.ageMs() <= settings.maxRecordAgeMs()
                    && isPlausible(report.observation())) {
                record.version = report.version();
                record.observation = report.observation();
                record.zone = report.zone();
                changed = true;
            }
        }
        // Guards against names that are no longer used filling the memory.
        records.values().removeIf(record -> nowMs - record.confirmedAtMs > FORGET_AFTER_MS);
        lastReportedMs.values().removeIf(at -> nowMs - at > FORGET_AFTER_MS);
        if (changed) {
            learn(nowMs, present);
        }
    }

    /** Guards against implausible values from a faulty node, which would distort the estimates. */
    private static boolean isPlausible(PoolObservation observation) {
        return observation != null
                && isPlausibleValue(observation.arrivalRate())
                && isPlausibleValue(observation.attemptRate())
                && isPlausibleValue(observation.rejectionRate())
                && observation.servers() >= 0
                && observation.servers() <= 1_000_000
                && isPlausibleValue(observation.slots())
                && isPlausibleValue(observation.inFlight())
                && isPlausibleValue(observation.serviceMs())
                && isPlausibleValue(observation.latencyMs())
                && isPlausibleValue(observation.squaredVariation())
                && observation.failureRatio() >= 0
                && observation.failureRatio() <= 1
                && observation.utilisation() <= 1.01
                && isPlausibleValue(observation.connections())
                && observation.coldCapacityRatio() > 0
                && observation.coldCapacityRatio() <= 1
                && isPlausibleValue(observation.warmUpMs())
                && observation.degradedCapacityRatio() > 0
                && observation.degradedCapacityRatio() <= 1
                && isPlausibleValue(observation.degradedAtCalls());
    }

    private static boolean isPlausibleValue(double value) {
        return value >= 0 && value < 1e12;
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
        Map<PoolName, PoolTotals> totalsByPool = new TreeMap<>();
        Map<FlowKey, Double> ratesByFlow = new HashMap<>();
        for (Map.Entry<RecordKey, StoredRecord> entry : present.entrySet()) {
            StoredRecord record = entry.getValue();
            if (record.observation == null || nowMs - record.confirmedAtMs > settings.maxRecordAgeMs()) {
                continue;
            }
            PoolObservation observation = record.observation;
            PoolTotals totals = totalsByPool.computeIfAbsent(entry.getKey().pool(), p -> new PoolTotals());
            totals.attemptRate += observation.attemptRate();
            totals.successRate += observation.attemptRate() * (1 - observation.failureRatio());
            totals.servers = Math.max(totals.servers, observation.servers());
            totals.classRates.merge(entry.getKey().className(), observation.attemptRate(), Double::sum);
            if (observation.utilisation() >= 0) {
                totals.utilisationSum += observation.utilisation();
                totals.utilisationCount++;
            }
            if (observation.serviceMs() > 0 && observation.attemptRate() > 0) {
                totals.serviceTimeSum += observation.serviceMs() * observation.attemptRate();
                totals.variationSum += observation.squaredVariation() * observation.attemptRate();
                totals.serviceTimeWeight += observation.attemptRate();
            }
            if (totals.lastObservation == null || observation.degradedAtCalls() > 0) {
                totals.lastObservation = observation;
            }
            ratesByFlow.merge(new FlowKey(record.zone, entry.getKey().pool()), observation.arrivalRate(), Double::sum);
        }
        totalsByPool.forEach(
                (name, totals) -> learn(nowMs, pools.computeIfAbsent(name, n -> new PoolEstimates()), totals));
        ratesByFlow.forEach((flow, rate) -> flowRates
                .computeIfAbsent(flow, n -> new MovingEstimate(settings.halfLifeMs()))
                .add(nowMs, rate));
        learnCalls(nowMs, totalsByPool, ratesByFlow);
        if (!settings.tiers().isEmpty()) {
            Map<String, Double> ratesByZone = new HashMap<>();
            ratesByFlow.forEach((flow, rate) -> {
                if (flow.pool().tier().equals(settings.tiers().get(0))) {
                    ratesByZone.merge(flow.zone(), rate, Double::sum);
                }
            });
            ratesByZone.forEach((zone, rate) -> dailyProfile.add(zone, timeOfDayMs, rate));
        }
    }

    private void learn(double nowMs, PoolEstimates estimates, PoolTotals totals) {
        estimates.servers = totals.servers;
        estimates.lastObservation = totals.lastObservation;
        estimates.recentAttemptRate.add(nowMs, totals.attemptRate);
        double utilisation = totals.utilisationCount > 0 ? totals.utilisationSum / totals.utilisationCount : -1;
        if (utilisation >= MIN_UTILISATION && totals.successRate >= MIN_ATTEMPT_RATE && totals.servers > 0) {
            estimates.successRate.add(nowMs, totals.successRate);
            estimates.busyServers.add(nowMs, utilisation * totals.servers);
            estimates.capacityPerServer.add(nowMs, totals.successRate / (utilisation * totals.servers));
        }
        if (totals.serviceTimeWeight > 0) {
            estimates.serviceMs.add(nowMs, totals.serviceTimeSum / totals.serviceTimeWeight);
            estimates.squaredVariation.add(nowMs, totals.variationSum / totals.serviceTimeWeight);
        }
        totals.classRates.forEach((className, rate) -> estimates
                .classRates
                .computeIfAbsent(className, k -> new MovingEstimate(settings.halfLifeMs() * SLOW_HALF_LIFE_FACTOR))
                .add(nowMs, rate));
    }

    private void learnCalls(double nowMs, Map<PoolName, PoolTotals> totalsByPool, Map<FlowKey, Double> ratesByFlow) {
        for (int tierIndex = 0; tierIndex + 1 < settings.tiers().size(); tierIndex++) {
            String tier = settings.tiers().get(tierIndex);
            String nextTier = settings.tiers().get(tierIndex + 1);
            Map<String, Double> successByZone = new TreeMap<>();
            totalsByPool.forEach((pool, totals) -> {
                if (pool.tier().equals(tier)) {
                    successByZone.merge(pool.zone(), totals.successRate, Double::sum);
                }
            });
            Map<String, Double> callsByZone = new TreeMap<>();
            ratesByFlow.forEach((flow, rate) -> {
                if (flow.pool().tier().equals(nextTier)) {
                    callsByZone.merge(flow.zone(), rate, Double::sum);
                }
            });
            for (Map.Entry<String, Double> entry : successByZone.entrySet()) {
                if (entry.getValue() >= MIN_ATTEMPT_RATE) {
                    CallEstimates estimates =
                            callers.computeIfAbsent(new CallerKey(tier, entry.getKey()), k -> new CallEstimates());
                    double rate = callsByZone.getOrDefault(entry.getKey(), 0.0);
                    estimates.callRate.add(nowMs, rate);
                    estimates.callerRate.add(nowMs, entry.getValue());
                    estimates.ratio.add(nowMs, rate / entry.getValue());
                }
            }
        }
    }

    /**
     * Applies the result of a rehearsal: the load that moved to a pool differed from the prediction by this factor.
     *
     * @param weight the rehearsal's weight relative to what was known before, 0 to 1
     */
    public void applyCorrection(PoolName pool, double factor, double weight) {
        PoolEstimates estimates = pools.get(pool);
        if (estimates != null && factor > 0 && Double.isFinite(factor) && weight > 0 && weight <= 1) {
            double bounded = Math.max(1 / MAX_CORRECTION, Math.min(MAX_CORRECTION, factor));
            estimates.correction *= Math.exp(weight * Math.log(bounded));
            estimates.correctionSpread = Math.max(REHEARSED_SPREAD, estimates.correctionSpread * (1 - weight));
        }
    }

    /** Returns the current state of the pools, for a plan that starts at this time of day; negative for now. */
    public PoolSnapshot snapshot(double nowMs, double startTimeOfDayMs) {
        List<Pool> estimatedPools = new ArrayList<>();
        for (Map.Entry<PoolName, PoolEstimates> entry : pools.entrySet()) {
            estimatedPools.add(estimatePool(nowMs, entry.getKey(), entry.getValue()));
        }
        List<Flow> flows = new ArrayList<>();
        Map<FlowKey, MovingEstimate> sorted = new TreeMap<>((left, right) -> {
            int byZone = left.zone().compareTo(right.zone());
            return byZone != 0 ? byZone : left.pool().compareTo(right.pool());
        });
        sorted.putAll(flowRates);
        sorted.forEach((flow, rate) -> {
            double dayRatio = startTimeOfDayMs < 0 ? 1 : dailyProfile.ratio(flow.zone(), timeOfDayMs, startTimeOfDayMs);
            double daySpread =
                    startTimeOfDayMs < 0 ? 0 : dailyProfile.spread(flow.zone(), timeOfDayMs, startTimeOfDayMs);
            double spread = rate.spread(nowMs);
            flows.add(new Flow(
                    flow.zone(),
                    flow.pool(),
                    rate.mean() * dayRatio,
                    Math.sqrt(
                            spread * spread + settings.clockDrift() * settings.clockDrift() + daySpread * daySpread)));
        });
        List<MissingNode> missing = new ArrayList<>();
        new TreeMap<>(expectedNodes).forEach((node, zone) -> {
            Double reportedMs = lastReportedMs.get(node);
            if (reportedMs == null) {
                missing.add(new MissingNode(node, zone, node + " has never reported"));
            } else if (nowMs - reportedMs > settings.maxRecordAgeMs()) {
                missing.add(new MissingNode(
                        node,
                        zone,
                        String.format(Locale.ROOT, "%s last reported %.0f s ago", node, (nowMs - reportedMs) / 1000)));
            }
        });
        return new PoolSnapshot(settings, estimatedPools, flows, missing, tenantDemand);
    }

    private Pool estimatePool(double nowMs, PoolName name, PoolEstimates estimates) {
        CallEstimates callEstimates = callers.get(new CallerKey(name.tier(), name.zone()));
        double callsPerAttempt = callEstimates == null || callEstimates.callerRate.mean() <= 0
                ? 0
                : callEstimates.callRate.mean() / callEstimates.callerRate.mean();
        double callsSpread = callEstimates == null ? 0 : callEstimates.ratio.spread(nowMs);
        double capacityPerServer =
                estimates.busyServers.mean() > 0 ? estimates.successRate.mean() / estimates.busyServers.mean() : 0;
        double spread = estimates.capacityPerServer.isKnown()
                ? estimates.capacityPerServer.spread(nowMs)
                : Double.POSITIVE_INFINITY;
        double downstreamMs = callsPerAttempt * downstreamServiceMs(name);
        double serviceMs = estimates.serviceMs.mean();
        // Time spent in the next tier is not this tier's own work; at least a tenth of the service time is.
        double ownWorkMs = Math.max(0.1 * serviceMs, serviceMs - downstreamMs);
        String unknownReason = unknownReason(nowMs, estimates, spread);
        Map<String, Double> classMix = new TreeMap<>();
        double totalRate = estimates.classRates.values().stream()
                .mapToDouble(MovingEstimate::mean)
                .sum();
        if (totalRate > 0) {
            estimates.classRates.forEach((className, rate) -> classMix.put(className, rate.mean() / totalRate));
        }
        double capacity = capacityPerServer * estimates.servers;
        double concurrency = Math.max(estimates.servers, capacity * ownWorkMs / 1000);
        PoolObservation last = estimates.lastObservation;
        double squaredVariation = estimates.squaredVariation.isKnown() ? estimates.squaredVariation.mean() : 1;
        return new Pool(
                name,
                estimates.servers,
                last.slots(),
                last.connections() > 0 ? last.connections() : last.slots(),
                capacity,
                Math.sqrt(spread * spread + settings.clockDrift() * settings.clockDrift()),
                ownWorkMs,
                squaredVariation,
                concurrency,
                callsPerAttempt,
                callsSpread,
                classMix,
                last.coldCapacityRatio(),
                last.warmUpMs(),
                last.degradedCapacityRatio(),
                last.degradedAtCalls(),
                estimates.correction,
                estimates.correctionSpread,
                estimates.recentAttemptRate.mean(),
                unknownReason);
    }

    private double downstreamServiceMs(PoolName name) {
        int tierIndex = settings.tiers().indexOf(name.tier());
        if (tierIndex < 0 || tierIndex + 1 >= settings.tiers().size()) {
            return 0;
        }
        String nextTier = settings.tiers().get(tierIndex + 1);
        double sum = 0;
        double totalWeight = 0;
        for (Map.Entry<PoolName, PoolEstimates> entry : pools.entrySet()) {
            MovingEstimate serviceMs = entry.getValue().serviceMs;
            if (entry.getKey().tier().equals(nextTier) && serviceMs.isKnown()) {
                double weight = entry.getKey().zone().equals(name.zone()) ? 1 : 1e-3;
                sum += weight * serviceMs.mean();
                totalWeight += weight;
            }
        }
        return totalWeight > 0 ? sum / totalWeight : 0;
    }

    private static String unknownReason(double nowMs, PoolEstimates estimates, double spread) {
        if (estimates.servers == 0) {
            return "it has no running server";
        }
        if (!estimates.recentAttemptRate.isKnown() || estimates.recentAttemptRate.mean() < MIN_ATTEMPT_RATE / 10) {
            return "it has no load to estimate its capacity from";
        }
        if (!estimates.capacityPerServer.isKnown()) {
            return "no node reports the utilisation of its servers";
        }
        if (estimates.capacityPerServer.weight() < MIN_WEIGHT) {
            return "it has been observed for too short a time";
        }
        if (estimates.lastObservation.slots() <= 0) {
            return "the number of its slots is unknown";
        }
        return spread > MAX_SPREAD
                ? String.format(Locale.ROOT, "its capacity is known only to within %.0f%%", 100 * spread)
                : null;
    }

    /** Returns the names of the known pools. */
    public List<PoolName> poolNames() {
        return List.copyOf(pools.keySet());
    }

    /** Removes pools that no longer have any records; to be called from time to time. */
    public void forgetPools(double nowMs) {
        Iterator<Map.Entry<PoolName, PoolEstimates>> iterator = pools.entrySet().iterator();
        while (iterator.hasNext()) {
            PoolName name = iterator.next().getKey();
            if (records.keySet().stream().noneMatch(k -> k.pool().equals(name))) {
                iterator.remove();
                flowRates.keySet().removeIf(o -> o.pool().equals(name));
            }
        }
    }
}
