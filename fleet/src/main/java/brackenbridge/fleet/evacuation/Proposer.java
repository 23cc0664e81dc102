package brackenbridge.fleet.evacuation;

import brackenbridge.fleet.evacuation.Forecast.PoolForecast;
import brackenbridge.fleet.evacuation.Forecast.Verdict;
import brackenbridge.fleet.evacuation.PoolSnapshot.Pool;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Looks for the fastest order of steps that saturates nothing, or says what is missing for one. */
public final class Proposer {
    private static final int TRAJECTORIES = 40;
    /** A step order is taken only if no pool saturates in more of the courses. */
    private static final double MAX_SATURATION_PROBABILITY = 0.1;

    private static final int[] STEP_COUNTS = {1, 2, 3, 4, 6, 8, 12, 16};
    private static final double[] FIRST_FRACTIONS = {0.9, 0.8, 0.7, 0.6, 0.5, 0.4, 0.3, 0.2, 0.1};
    private static final int MAX_ROUNDS = 60;
    private static final double GROWTH_PER_ROUND = 0.08;

    /**
     * What was found.
     *
     * @param plan the fastest plan; null if there is none
     * @param forecast its forecast, or that of moving all at once where there is no plan
     * @param missing servers by pool with which one step would do; empty if there is a plan or nothing can be said
     * @param why why there is none; null if there is
     */
    public record Proposal(
            EvacuationPlan plan, Forecast forecast, Map<PoolName, Integer> additionalServers, String reason) {}

    private Proposer() {}

    /**
     * Looks for a plan.
     *
     * @param wanted its name, zone, rehearsal, return and servers that come; its steps are replaced
     * @param pauseMs the shortest pause between two steps
     */
    public static Proposal propose(
            PoolSnapshot picture, EvacuationPlan wanted, double pauseMs, SharePolicy shares, long seed) {
        Forecast atOnce = null;
        for (int n : STEP_COUNTS) {
            EvacuationPlan p = wanted.withSteps(evenSteps(1, n, pauseMs));
            Forecast f = forecast(picture, p, shares, seed);
            if (f.verdict() == Verdict.UNKNOWN || f.pools().stream().anyMatch(x -> x.verdict() == Verdict.UNKNOWN)) {
                return new Proposal(null, f, Map.of(), "not all pools are known");
            }
            if (nothingSaturates(f)) {
                return new Proposal(p, f, Map.of(), null);
            }
            atOnce = atOnce == null ? f : atOnce;
        }
        EvacuationPlan later = findPlanThatWaitsForAddedServers(picture, wanted, pauseMs, shares, seed);
        if (later != null) {
            return new Proposal(later, forecast(picture, later, shares, seed), Map.of(), null);
        }
        Map<PoolName, Integer> missing =
                findAdditionalServers(picture, wanted.withSteps(evenSteps(1, 1, pauseMs)), shares, seed);
        return new Proposal(
                null,
                atOnce,
                missing,
                missing.isEmpty()
                        ? "no number of servers was found that would do"
                        : "no order of steps does it without more servers");
    }

    private static Forecast forecast(PoolSnapshot picture, EvacuationPlan p, SharePolicy shares, long seed) {
        double[] moved = new double[p.steps().size()];
        for (int i = 0; i < moved.length; i++) {
            moved[i] = p.movedFraction(i + 1);
        }
        return Forecast.of(picture, p, moved, shares, seed, TRAJECTORIES);
    }

    private static boolean nothingSaturates(Forecast f) {
        return f.pools().stream()
                .allMatch(
                        p -> p.verdict() != Verdict.UNKNOWN && p.saturationProbability() < MAX_SATURATION_PROBABILITY);
    }

    private static List<EvacuationPlan.Step> evenSteps(double part, int n, double pauseMs) {
        List<EvacuationPlan.Step> steps = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            steps.add(new EvacuationPlan.Step(part / n, pauseMs));
        }
        return steps;
    }

    /** What holds at once, then a wait until the servers that come are warm, then the rest. */
    private static EvacuationPlan findPlanThatWaitsForAddedServers(
            PoolSnapshot picture, EvacuationPlan wanted, double pauseMs, SharePolicy shares, long seed) {
        double warm = 0;
        for (EvacuationPlan.AddedServers c : wanted.addedServers()) {
            Pool p = picture.pool(c.pool());
            warm = Math.max(warm, c.afterMs() + (p == null ? 0 : p.warmUpMs()));
        }
        if (warm == 0) {
            return null;
        }
        for (double first : FIRST_FRACTIONS) {
            for (int n : STEP_COUNTS) {
                List<EvacuationPlan.Step> steps = new ArrayList<>();
                steps.add(new EvacuationPlan.Step(first, Math.max(pauseMs, warm)));
                steps.addAll(evenSteps(1 - first, n, pauseMs));
                EvacuationPlan p = wanted.withSteps(steps);
                if (nothingSaturates(forecast(picture, p, shares, seed))) {
                    return p;
                }
            }
        }
        return null;
    }

    /** Grows the pools that fall until none does, then takes back what was too much. */
    private static Map<PoolName, Integer> findAdditionalServers(
            PoolSnapshot picture, EvacuationPlan atOnce, SharePolicy shares, long seed) {
        Map<PoolName, Integer> more = new TreeMap<>();
        boolean done = false;
        for (int round = 0; round < MAX_ROUNDS && !done; round++) {
            Forecast f = forecast(withServersAdded(picture, more), atOnce, shares, seed);
            done = nothingSaturates(f);
            for (PoolForecast p : f.pools()) {
                if (p.saturationProbability() >= MAX_SATURATION_PROBABILITY) {
                    Pool pool = picture.pool(p.pool());
                    more.merge(p.pool(), Math.max(1, (int) (pool.servers() * GROWTH_PER_ROUND)), Integer::sum);
                }
            }
        }
        if (!done) {
            return Map.of();
        }
        for (PoolName name : List.copyOf(more.keySet())) {
            while (more.getOrDefault(name, 0) > 0) {
                Map<PoolName, Integer> less = new TreeMap<>(more);
                less.merge(name, -1, Integer::sum);
                less.values().removeIf(n -> n == 0);
                if (!nothingSaturates(forecast(withServersAdded(picture, less), atOnce, shares, seed))) {
                    break;
                }
                more.clear();
                more.putAll(less);
            }
        }
        return more;
    }

    private static PoolSnapshot withServersAdded(PoolSnapshot picture, Map<PoolName, Integer> more) {
        List<Pool> pools = new ArrayList<>();
        for (Pool p : picture.pools()) {
            pools.add(p.withMoreServers(more.getOrDefault(p.name(), 0)));
        }
        return picture.withPools(pools);
    }
}
