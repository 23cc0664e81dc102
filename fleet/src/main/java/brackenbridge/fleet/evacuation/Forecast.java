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
 * What a plan would do to the pools that remain. The course of the plan is computed as it is expected, and many times
 * more with figures drawn within their spreads and with the chance of arrivals; verdicts and intervals are counts of
 * those courses.
 *
 * @param plan the plan's name
 * @param zone the zone that is emptied
 * @param verdict the worst of the pools'
 * @param pools the pools of the other zones
 */
public record Forecast(String plan, String zone, Verdict verdict, List<PoolForecast> pools) {
    /** Courses that are drawn. */
    static final int TRAJECTORIES = 80;
    /** A pool saturates if it does in so many of the courses; it is tight if it does in so many. */
    private static final double SATURATES_PROBABILITY = 0.5;

    private static final double TIGHT_PROBABILITY = 0.1;
    private static final double TIGHT_UTILISATION = 0.9;
    /** The interval's ends, in percent: it holds in eight cases of ten. */
    private static final double LOW_PERCENTILE = 10;

    private static final double HIGH_PERCENTILE = 90;
    private static final double MEDIAN_PERCENTILE = 50;
    private static final double FULLY_GRANTED = 0.995;

    /** What becomes of a pool. */
    public enum Verdict {
        /** It serves what comes. */
        @JsonProperty("HOLDS")
        HOLDS,
        /** It serves what is expected, with little room or by luck. */
        @JsonProperty("TIGHT")
        TIGHT,
        /** A stated part of what comes fails for want of room or time. */
        @JsonProperty("SATURATES")
        SATURATES,
        /** Nothing can be said; the reason stands beside it. Not a guess: it counts as no permission. */
        @JsonProperty("UNKNOWN")
        UNKNOWN
    }

    /** What a pool runs out of. */
    public enum Resource {
        /** All slots are taken: calls wait, and then are turned away. */
        SLOTS,
        /** No more calls may be open, though slots are free. */
        CONNECTIONS,
        /** Calls are served, but after their class's time. */
        DEADLINE
    }

    /**
     * A figure between bounds that hold in eight cases of ten.
     *
     * @param expected in the middle
     * @param low the lower bound
     * @param high the upper bound
     */
    public record Interval(
            @JsonProperty("expected") double expected,
            @JsonProperty("low") double low,
            @JsonProperty("high") double high) {
        /** Whether it lies between the bounds. */
        public boolean contains(double value) {
            return value >= low && value <= high;
        }
    }

    /**
     * A pool in a step, in the step's later half.
     *
     * @param step which, from 0
     * @param load tries a second, repeats included
     * @param utilisation the part of what its servers can do
     * @param slots the part of its slots that is taken at the most
     * @param connections the part of its connections that is taken at the most
     * @param waitMs the mean wait before work, by Allen and Cunneen; negative if it grows without bound
     * @param responseMs the mean time of an answer
     * @param late the part whose wait alone is longer than the shortest deadline
     * @param amplification tries for a first try
     * @param refusedTenants tenants that shares would not give all that they want, with the part that is refused
     */
    public record StepForecast(
            int step,
            Interval load,
            double utilisation,
            double slots,
            double connections,
            double waitMs,
            double responseMs,
            double lateFraction,
            double amplification,
            Map<String, Double> rejectedTenants) {}

    /**
     * A pool.
     *
     * @param pool its name
     * @param verdict what becomes of it
     * @param why why nothing can be said
     * @param part the part of the courses in which it saturates
     * @param atMs when, from the first step's begin; null if it does in none
     * @param step the step in which it does; -1 if in none
     * @param resource what runs out first
     * @param next the pool that falls next, if one does
     * @param steps step by step
     */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    public record PoolForecast(
            PoolName pool,
            Verdict verdict,
            String reason,
            double saturationProbability,
            Interval saturationMs,
            int step,
            Resource resource,
            PoolName nextSaturated,
            List<StepForecast> steps) {}

    /** Forecasts a plan that has no faults; the same seed gives the same forecast. */
    public static Forecast of(PoolSnapshot picture, EvacuationPlan plan, SharePolicy shares, long seed) {
        double[] moved = new double[plan.steps().size()];
        for (int i = 0; i < moved.length; i++) {
            moved[i] = plan.movedFraction(i + 1);
        }
        return of(picture, plan, moved, shares, seed, TRAJECTORIES);
    }

    /** Forecasts a rehearsal of it: one step, held for its time. */
    public static Forecast rehearsal(PoolSnapshot picture, EvacuationPlan plan, SharePolicy shares, long seed) {
        EvacuationPlan one =
                plan.withSteps(List.of(new EvacuationPlan.Step(plan.rehearsalFraction(), plan.rehearsalMs())));
        return of(picture, one, new double[] {plan.rehearsalFraction()}, shares, seed, TRAJECTORIES);
    }

    static Forecast of(
            PoolSnapshot picture, EvacuationPlan plan, double[] moved, SharePolicy shares, long seed, int courses) {
        FluidModel fluid = new FluidModel(picture, plan, moved);
        RandomGenerator random = new Well19937c(seed);
        Trajectory central = fluid.simulate(
                new ParameterSample(picture.pools().size(), picture.flows().size(), null));
        List<Trajectory> drawn = new ArrayList<>();
        for (int i = 0; i < courses; i++) {
            drawn.add(fluid.simulate(sampleParameters(picture, random)));
        }
        List<PoolForecast> out = new ArrayList<>();
        Verdict worst = Verdict.HOLDS;
        for (int i = 0; i < picture.pools().size(); i++) {
            if (!picture.pools().get(i).name().zone().equals(plan.zone())) {
                PoolForecast p = forecastPool(picture, plan, moved, fluid, shares, i, central, drawn);
                out.add(p);
                worst = worse(worst, p.verdict());
            }
        }
        return new Forecast(plan.name(), plan.zone(), out.isEmpty() ? Verdict.UNKNOWN : worst, out);
    }

    private static Verdict worse(Verdict a, Verdict b) {
        // What saturates is certain harm and said first; what is unknown comes before what is tight.
        int[] rank = {0, 1, 3, 2};
        return rank[a.ordinal()] >= rank[b.ordinal()] ? a : b;
    }

    private static ParameterSample sampleParameters(PoolSnapshot picture, RandomGenerator random) {
        ParameterSample d =
                new ParameterSample(picture.pools().size(), picture.flows().size(), random);
        for (int i = 0; i < d.capacityFactors.length; i++) {
            Pool p = picture.pools().get(i);
            d.capacityFactors[i] = lognormalFactor(random, p.capacitySpread());
            d.callFactors[i] = lognormalFactor(random, p.callsSpread());
            d.correctionFactors[i] = lognormalFactor(random, p.correctionSpread());
        }
        for (int i = 0; i < d.flowFactors.length; i++) {
            d.flowFactors[i] = lognormalFactor(random, picture.flows().get(i).spread());
        }
        return d;
    }

    private static double lognormalFactor(RandomGenerator random, double spread) {
        double z = random.nextGaussian();
        double sigma = Double.isFinite(spread) ? Math.min(spread, 1) : 1;
        return Math.exp(sigma * z - sigma * sigma / 2);
    }

    private static PoolForecast forecastPool(
            PoolSnapshot picture,
            EvacuationPlan plan,
            double[] moved,
            FluidModel fluid,
            SharePolicy shares,
            int i,
            Trajectory central,
            List<Trajectory> drawn) {
        Pool p = picture.pools().get(i);
        String why = unknownReason(picture, plan, p);
        int fell = 0;
        List<Double> times = new ArrayList<>();
        Map<Resource, Integer> resources = new TreeMap<>();
        Map<Integer, Integer> nexts = new HashMap<>();
        for (Trajectory c : drawn) {
            if (!Double.isNaN(c.saturationMs[i])) {
                fell++;
                times.add(c.saturationMs[i]);
                resources.merge(c.exhaustedResource[i], 1, Integer::sum);
                int next = nextSaturatedPool(c, i);
                if (next >= 0) {
                    nexts.merge(next, 1, Integer::sum);
                }
            }
        }
        double part = drawn.isEmpty() ? 0 : fell / (double) drawn.size();
        Interval at = times.isEmpty() ? null : intervalOf(times);
        List<StepForecast> steps = new ArrayList<>();
        double fullest = 0;
        for (int s = 0; s < moved.length; s++) {
            StepForecast f = forecastStep(picture, p, shares, s, i, central, drawn);
            fullest = Math.max(fullest, Math.max(f.utilisation(), Math.max(f.slots(), f.connections())));
            steps.add(f);
        }
        Verdict verdict = why != null
                ? Verdict.UNKNOWN
                : part >= SATURATES_PROBABILITY
                        ? Verdict.SATURATES
                        : part >= TIGHT_PROBABILITY || fullest >= TIGHT_UTILISATION ? Verdict.TIGHT : Verdict.HOLDS;
        PoolName next = null;
        for (Map.Entry<Integer, Integer> e : nexts.entrySet()) {
            if (e.getValue() * 2 >= fell) {
                next = picture.pools().get(e.getKey()).name();
            }
        }
        Resource first = resources.entrySet().stream()
                .max(Map.Entry.comparingByValue())
                .map(Map.Entry::getKey)
                .orElse(null);
        if (why != null) {
            return new PoolForecast(p.name(), verdict, why, 0, null, -1, null, null, List.of());
        }
        return new PoolForecast(
                p.name(), verdict, null, part, at, at == null ? -1 : fluid.stepAt(at.expected()), first, next, steps);
    }

    /** The pool that saturates next after this one in a course; -1 if none does. */
    private static int nextSaturatedPool(Trajectory c, int i) {
        int next = -1;
        for (int j = 0; j < c.saturationMs.length; j++) {
            if (j != i
                    && c.saturationMs[j] >= c.saturationMs[i]
                    && (next < 0 || c.saturationMs[j] < c.saturationMs[next])) {
                next = j;
            }
        }
        return next;
    }

    private static String unknownReason(PoolSnapshot picture, EvacuationPlan plan, Pool p) {
        if (p.unknownReason() != null) {
            return p.unknownReason();
        }
        // Load that a missing node sends is load that nobody tells: in its own zone, and wherever the plan moves it.
        for (MissingNode m : picture.missingNodes()) {
            boolean reaches = m.zone().equals(p.name().zone()) || m.zone().equals(plan.zone());
            for (Flow f : picture.flows()) {
                reaches |= f.origin().equals(m.zone()) && f.pool().equals(p.name()) && f.rate() > 0;
            }
            if (reaches) {
                return m.reason();
            }
        }
        // What flows from an unknown pool of a tier before it comes here, and nobody knows how much.
        for (Pool q : picture.pools()) {
            if (q.unknownReason() != null
                    && !q.name().zone().equals(plan.zone())
                    && q.name().zone().equals(p.name().zone())
                    && picture.settings().tiers().indexOf(q.name().tier())
                            < picture.settings().tiers().indexOf(p.name().tier())) {
                return q.name() + ", which calls it, is unknown: " + q.unknownReason();
            }
        }
        return null;
    }

    private static Interval intervalOf(List<Double> values) {
        double[] all = values.stream().mapToDouble(Double::doubleValue).toArray();
        Percentile p = new Percentile();
        p.setData(all);
        return new Interval(p.evaluate(MEDIAN_PERCENTILE), p.evaluate(LOW_PERCENTILE), p.evaluate(HIGH_PERCENTILE));
    }

    private static StepForecast forecastStep(
            PoolSnapshot picture,
            Pool p,
            SharePolicy shares,
            int s,
            int i,
            Trajectory central,
            List<Trajectory> drawn) {
        List<Double> loads = new ArrayList<>();
        for (Trajectory c : drawn) {
            loads.add(c.attemptRate[s][i]);
        }
        double load = central.attemptRate[s][i];
        Interval within = loads.isEmpty() ? new Interval(load, load, load) : intervalOf(loads);
        int c = Math.max(1, (int) Math.round(p.concurrency()));
        double workS = c / Math.max(1e-9, p.capacity());
        double shortest = p.classMix().keySet().stream()
                .mapToDouble(picture.settings()::deadlineMs)
                .min()
                .orElse(10_000);
        double wait = Queues.allenCunneen(c, load, workS, 1, p.squaredVariation());
        double late = Queues.waitExceedsProbability(
                c, load, workS, p.squaredVariation(), Math.max(0, shortest - p.ownWorkMs()) / 1000);
        double first = central.firstAttemptRate[s][i];
        return new StepForecast(
                s,
                within,
                central.utilisation[s][i],
                central.slotUse[s][i],
                central.connectionUse[s][i],
                Double.isFinite(wait) ? wait * 1000 : -1,
                central.responseMs[s][i],
                late,
                first > 0 ? load / first : 1,
                rejectedByTenant(picture, p, shares, load));
    }

    private static Map<String, Double> rejectedByTenant(PoolSnapshot picture, Pool p, SharePolicy shares, double load) {
        Map<String, Double> wanted = new TreeMap<>();
        double grown = p.attemptRate() > 0 ? load / p.attemptRate() : 1;
        for (PoolSnapshot.TenantDemand w : picture.tenantDemand()) {
            if (w.pool().equals(p.name())) {
                wanted.merge(w.tenant(), w.connections() * grown, Double::sum);
            }
        }
        Map<String, Double> out = new TreeMap<>();
        if (!wanted.isEmpty()) {
            Map<String, Double> granted =
                    shares.allocate(p.name(), p.servers() * Math.min(p.slots(), p.connections()), wanted);
            wanted.forEach((t, w) -> {
                double gets = granted.getOrDefault(t, 0.0);
                if (w > 0 && gets < w * FULLY_GRANTED) {
                    out.put(t, 1 - gets / w);
                }
            });
        }
        return out;
    }

    /** The forecast of a pool; null if it is not among them. */
    public PoolForecast of(PoolName name) {
        return pools.stream().filter(p -> p.pool().equals(name)).findFirst().orElse(null);
    }
}
