package brackenbridge.fleet.evacuation;

import brackenbridge.fleet.evacuation.FluidModel.ParameterSample;
import brackenbridge.fleet.evacuation.FluidModel.Trajectory;
import brackenbridge.fleet.evacuation.PoolSnapshot.Flow;
import brackenbridge.fleet.evacuation.PoolSnapshot.MissingNode;
import brackenbridge.fleet.evacuation.PoolSnapshot.Pool;
import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.apache.commons.math3.random.RandomGenerator;
import org.apache.commons.math3.random.Well19937c;
import org.apache.commons.math3.stat.descriptive.rank.Percentile;

/**
 * The predicted effect of a plan on the remaining pools. The plan is simulated once with the expected values, and many
 * times with values sampled within their spreads and with random arrivals; verdicts and intervals are statistics of
 * those simulations.
 *
 * @param plan the plan's name
 * @param zone the evacuated zone
 * @param verdict the worst verdict of any pool
 * @param pools the pools of the other zones
 */
public record Forecast(String plan, String zone, Verdict verdict, List<PoolForecast> pools) {
    /** The number of sampled simulations. */
    static final int TRAJECTORIES = 80;
    /** The fractions of sampled simulations from which on a pool counts as saturating, and as tight. */
    private static final double SATURATES_PROBABILITY = 0.5;

    private static final double TIGHT_PROBABILITY = 0.1;
    private static final double TIGHT_UTILISATION = 0.9;
    /** The percentiles of the interval's ends: it covers 80% of the sampled simulations. */
    private static final double LOW_PERCENTILE = 10;

    private static final double HIGH_PERCENTILE = 90;
    private static final double MEDIAN_PERCENTILE = 50;
    private static final double FULLY_GRANTED = 0.995;

    /** The verdict on a pool. */
    public enum Verdict {
        /** It serves its load. */
        @JsonProperty("HOLDS")
        HOLDS,
        /** It serves the expected load, but with little headroom or not in all simulations. */
        @JsonProperty("TIGHT")
        TIGHT,
        /** More than the configured fraction of its attempts fails because slots, connections or time run out. */
        @JsonProperty("SATURATES")
        SATURATES,
        /** No prediction is possible, for the given reason. This is not a guess, and does not permit an evacuation. */
        @JsonProperty("UNKNOWN")
        UNKNOWN
    }

    /** The resource that a pool exhausts. */
    public enum Resource {
        /** All slots are in use: requests wait, and then are rejected. */
        SLOTS,
        /** The limit of open requests is reached while slots are free. */
        CONNECTIONS,
        /** Requests are served, but after the deadline of their class. */
        DEADLINE
    }

    /**
     * A value with an interval that covers 80% of the cases.
     *
     * @param expected the median
     * @param low the lower bound
     * @param high the upper bound
     */
    public record Interval(
            @JsonProperty("expected") double expected,
            @JsonProperty("low") double low,
            @JsonProperty("high") double high) {
        /** Whether a value lies within the bounds. */
        public boolean contains(double value) {
            return value >= low && value <= high;
        }
    }

    /**
     * The forecast of a pool during the second half of a step.
     *
     * @param step the step's index, from 0
     * @param load attempts per second, retries included
     * @param utilisation the fraction of the servers' capacity in use
     * @param slots the highest fraction of its slots in use
     * @param connections the highest fraction of its connections in use
     * @param waitMs the mean wait before service, by Allen and Cunneen; negative if it grows without bound
     * @param responseMs the mean response time
     * @param lateFraction the fraction of attempts whose wait alone exceeds the shortest deadline
     * @param amplification attempts per first attempt
     * @param rejectedTenants tenants whose demand the share policy would not meet, with the rejected fraction of it
     */
    public record StepForecast(
            int step,
            Interval load,
            double utilisation,
            double slots,
            double connections,
            double waitMs,
            double responseMs,
            @JsonProperty("late") double lateFraction,
            double amplification,
            @JsonProperty("refusedTenants") Map<String, Double> rejectedTenants) {}

    /**
     * The forecast of a pool.
     *
     * @param pool the pool's name
     * @param verdict the verdict
     * @param reason why no prediction is possible; null if one is
     * @param saturationProbability the fraction of sampled simulations in which it saturates
     * @param saturationMs when it saturates, after the start of the first step; null if it never does
     * @param step the step in which it saturates; -1 if it never does
     * @param resource the resource that is exhausted first
     * @param nextSaturated the pool that saturates next, if any
     * @param steps the forecast of each step
     */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    public record PoolForecast(
            PoolName pool,
            Verdict verdict,
            @JsonProperty("why") String reason,
            @JsonProperty("part") double saturationProbability,
            @JsonProperty("atMs") Interval saturationMs,
            int step,
            Resource resource,
            @JsonProperty("next") PoolName nextSaturated,
            List<StepForecast> steps) {}

    /** Forecasts a valid plan; the same seed gives the same forecast. */
    public static Forecast of(PoolSnapshot snapshot, EvacuationPlan plan, SharePolicy shares, long seed) {
        double[] movedFractions = new double[plan.steps().size()];
        for (int i = 0; i < movedFractions.length; i++) {
            movedFractions[i] = plan.movedFraction(i + 1);
        }
        return of(snapshot, plan, movedFractions, shares, seed, TRAJECTORIES);
    }

    /** Forecasts the plan's rehearsal: a single step of the rehearsal's fraction and duration. */
    public static Forecast rehearsal(PoolSnapshot snapshot, EvacuationPlan plan, SharePolicy shares, long seed) {
        EvacuationPlan rehearsal =
                plan.withSteps(List.of(new EvacuationPlan.Step(plan.rehearsalFraction(), plan.rehearsalMs())));
        return of(snapshot, rehearsal, new double[] {plan.rehearsalFraction()}, shares, seed, TRAJECTORIES);
    }

    static Forecast of(
            PoolSnapshot snapshot,
            EvacuationPlan plan,
            double[] movedFractions,
            SharePolicy shares,
            long seed,
            int trajectoryCount) {
        FluidModel model = new FluidModel(snapshot, plan, movedFractions);
        RandomGenerator random = new Well19937c(seed);
        Trajectory expected = model.simulate(
                new ParameterSample(snapshot.pools().size(), snapshot.flows().size(), null));
        List<Trajectory> samples = new ArrayList<>();
        for (int i = 0; i < trajectoryCount; i++) {
            samples.add(model.simulate(sampleParameters(snapshot, random)));
        }
        List<PoolForecast> forecasts = new ArrayList<>();
        Verdict worst = Verdict.HOLDS;
        for (int i = 0; i < snapshot.pools().size(); i++) {
            if (!snapshot.pools().get(i).name().zone().equals(plan.zone())) {
                PoolForecast forecast =
                        forecastPool(snapshot, plan, movedFractions, model, shares, i, expected, samples);
                forecasts.add(forecast);
                worst = worse(worst, forecast.verdict());
            }
        }
        return new Forecast(plan.name(), plan.zone(), forecasts.isEmpty() ? Verdict.UNKNOWN : worst, forecasts);
    }

    private static Verdict worse(Verdict a, Verdict b) {
        // SATURATES is certain harm and ranks highest; UNKNOWN ranks above TIGHT.
        int[] rank = {0, 1, 3, 2};
        return rank[a.ordinal()] >= rank[b.ordinal()] ? a : b;
    }

    private static ParameterSample sampleParameters(PoolSnapshot snapshot, RandomGenerator random) {
        ParameterSample sample =
                new ParameterSample(snapshot.pools().size(), snapshot.flows().size(), random);
        for (int i = 0; i < sample.capacityFactors.length; i++) {
            Pool pool = snapshot.pools().get(i);
            sample.capacityFactors[i] = lognormalFactor(random, pool.capacitySpread());
            sample.callFactors[i] = lognormalFactor(random, pool.callsSpread());
            sample.correctionFactors[i] = lognormalFactor(random, pool.correctionSpread());
        }
        for (int i = 0; i < sample.flowFactors.length; i++) {
            sample.flowFactors[i] =
                    lognormalFactor(random, snapshot.flows().get(i).spread());
        }
        return sample;
    }

    private static double lognormalFactor(RandomGenerator random, double spread) {
        double normal = random.nextGaussian();
        double sigma = Double.isFinite(spread) ? Math.min(spread, 1) : 1;
        return Math.exp(sigma * normal - sigma * sigma / 2);
    }

    private static PoolForecast forecastPool(
            PoolSnapshot snapshot,
            EvacuationPlan plan,
            double[] movedFractions,
            FluidModel model,
            SharePolicy shares,
            int poolIndex,
            Trajectory expected,
            List<Trajectory> samples) {
        Pool pool = snapshot.pools().get(poolIndex);
        String unknownReason = unknownReason(snapshot, plan, pool);
        int saturatedCount = 0;
        List<Double> saturationTimes = new ArrayList<>();
        Map<Resource, Integer> resourceCounts = new TreeMap<>();
        Map<Integer, Integer> nextCounts = new HashMap<>();
        for (Trajectory trajectory : samples) {
            if (!Double.isNaN(trajectory.saturationMs[poolIndex])) {
                saturatedCount++;
                saturationTimes.add(trajectory.saturationMs[poolIndex]);
                resourceCounts.merge(trajectory.exhaustedResource[poolIndex], 1, Integer::sum);
                int nextIndex = nextSaturatedPool(trajectory, poolIndex);
                if (nextIndex >= 0) {
                    nextCounts.merge(nextIndex, 1, Integer::sum);
                }
            }
        }
        double probability = samples.isEmpty() ? 0 : saturatedCount / (double) samples.size();
        Interval saturationMs = saturationTimes.isEmpty() ? null : intervalOf(saturationTimes);
        List<StepForecast> steps = new ArrayList<>();
        double maxUse = 0;
        for (int step = 0; step < movedFractions.length; step++) {
            StepForecast forecast = forecastStep(snapshot, pool, shares, step, poolIndex, expected, samples);
            maxUse = Math.max(
                    maxUse, Math.max(forecast.utilisation(), Math.max(forecast.slots(), forecast.connections())));
            steps.add(forecast);
        }
        Verdict verdict = unknownReason != null
                ? Verdict.UNKNOWN
                : probability >= SATURATES_PROBABILITY
                        ? Verdict.SATURATES
                        : probability >= TIGHT_PROBABILITY || maxUse >= TIGHT_UTILISATION
                                ? Verdict.TIGHT
                                : Verdict.HOLDS;
        PoolName nextSaturated = null;
        for (Map.Entry<Integer, Integer> entry : nextCounts.entrySet()) {
            if (entry.getValue() * 2 >= saturatedCount) {
                nextSaturated = snapshot.pools().get(entry.getKey()).name();
            }
        }
        Resource firstResource = resourceCounts.entrySet().stream()
                .max(Map.Entry.comparingByValue())
                .map(Map.Entry::getKey)
                .orElse(null);
        if (unknownReason != null) {
            return new PoolForecast(pool.name(), verdict, unknownReason, 0, null, -1, null, null, List.of());
        }
        return new PoolForecast(
                pool.name(),
                verdict,
                null,
                probability,
                saturationMs,
                saturationMs == null ? -1 : model.stepAt(saturationMs.expected()),
                firstResource,
                nextSaturated,
                steps);
    }

    /** Returns the index of the pool that saturates next after this one in a simulation; -1 if none does. */
    private static int nextSaturatedPool(Trajectory trajectory, int poolIndex) {
        int next = -1;
        for (int other = 0; other < trajectory.saturationMs.length; other++) {
            if (other != poolIndex
                    && trajectory.saturationMs[other] >= trajectory.saturationMs[poolIndex]
                    && (next < 0 || trajectory.saturationMs[other] < trajectory.saturationMs[next])) {
                next = other;
            }
        }
        return next;
    }

    private static String unknownReason(PoolSnapshot snapshot, EvacuationPlan plan, Pool pool) {
        if (pool.unknownReason() != null) {
            return pool.unknownReason();
        }
        // The load that a missing node sends is not reported: neither in its own zone nor where the plan moves it.
        for (MissingNode missing : snapshot.missingNodes()) {
            boolean affectsPool =
                    missing.zone().equals(pool.name().zone()) || missing.zone().equals(plan.zone());
            for (Flow flow : snapshot.flows()) {
                affectsPool |=
                        flow.origin().equals(missing.zone()) && flow.pool().equals(pool.name()) && flow.rate() > 0;
            }
            if (affectsPool) {
                return missing.reason();
            }
        }
        // The load that a pool receives from an unknown pool of an earlier tier is unknown too.
        for (Pool caller : snapshot.pools()) {
            if (caller.unknownReason() != null
                    && !caller.name().zone().equals(plan.zone())
                    && caller.name().zone().equals(pool.name().zone())
                    && snapshot.settings().tiers().indexOf(caller.name().tier())
                            < snapshot.settings().tiers().indexOf(pool.name().tier())) {
                return caller.name() + ", which calls it, can't be predicted: " + caller.unknownReason();
            }
        }
        return null;
    }

    private static Interval intervalOf(List<Double> values) {
        double[] samples = values.stream().mapToDouble(Double::doubleValue).toArray();
        Percentile percentile = new Percentile();
        percentile.setData(samples);
        return new Interval(
                percentile.evaluate(MEDIAN_PERCENTILE),
                percentile.evaluate(LOW_PERCENTILE),
                percentile.evaluate(HIGH_PERCENTILE));
    }

    private static StepForecast forecastStep(
            PoolSnapshot snapshot,
            Pool pool,
            SharePolicy shares,
            int step,
            int poolIndex,
            Trajectory expected,
            List<Trajectory> samples) {
        List<Double> rates = new ArrayList<>();
        for (Trajectory trajectory : samples) {
            rates.add(trajectory.attemptRate[step][poolIndex]);
        }
        double attemptRate = expected.attemptRate[step][poolIndex];
        Interval interval = rates.isEmpty() ? new Interval(attemptRate, attemptRate, attemptRate) : intervalOf(rates);
        int concurrency = Math.max(1, (int) Math.round(pool.concurrency()));
        double serviceS = concurrency / Math.max(1e-9, pool.capacity());
        double shortestDeadlineMs = pool.classMix().keySet().stream()
                .mapToDouble(snapshot.settings()::deadlineMs)
                .min()
                .orElse(10_000);
        double waitS = Queues.allenCunneen(concurrency, attemptRate, serviceS, 1, pool.squaredVariation());
        double lateFraction = Queues.waitExceedsProbability(
                concurrency,
                attemptRate,
                serviceS,
                pool.squaredVariation(),
                Math.max(0, shortestDeadlineMs - pool.ownWorkMs()) / 1000);
        double firstAttemptRate = expected.firstAttemptRate[step][poolIndex];
        return new StepForecast(
                step,
                interval,
                expected.utilisation[step][poolIndex],
                expected.slotUse[step][poolIndex],
                expected.connectionUse[step][poolIndex],
                Double.isFinite(waitS) ? waitS * 1000 : -1,
                expected.responseMs[step][poolIndex],
                lateFraction,
                firstAttemptRate > 0 ? attemptRate / firstAttemptRate : 1,
                rejectedByTenant(snapshot, pool, shares, attemptRate));
    }

    private static Map<String, Double> rejectedByTenant(
            PoolSnapshot snapshot, Pool pool, SharePolicy shares, double attemptRate) {
        Map<String, Double> demand = new TreeMap<>();
        double growth = pool.attemptRate() > 0 ? attemptRate / pool.attemptRate() : 1;
        for (PoolSnapshot.TenantDemand tenantDemand : snapshot.tenantDemand()) {
            if (tenantDemand.pool().equals(pool.name())) {
                demand.merge(tenantDemand.tenant(), tenantDemand.connections() * growth, Double::sum);
            }
        }
        Map<String, Double> rejected = new TreeMap<>();
        if (!demand.isEmpty()) {
            Map<String, Double> allocated =
                    shares.allocate(pool.name(), pool.servers() * Math.min(pool.slots(), pool.connections()), demand);
            demand.forEach((tenant, demanded) -> {
                double granted = allocated.getOrDefault(tenant, 0.0);
                if (demanded > 0 && granted < demanded * FULLY_GRANTED) {
                    rejected.put(tenant, 1 - granted / demanded);
                }
            });
        }
        return rejected;
    }

    /** Returns the forecast of a pool; null if it has none. */
    public PoolForecast of(PoolName name) {
        return pools.stream().filter(p -> p.pool().equals(name)).findFirst().orElse(null);
    }
}
