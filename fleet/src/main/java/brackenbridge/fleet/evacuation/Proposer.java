package brackenbridge.fleet.evacuation;

import brackenbridge.fleet.evacuation.Forecast.PoolForecast;
import brackenbridge.fleet.evacuation.Forecast.Verdict;
import brackenbridge.fleet.evacuation.PoolSnapshot.Pool;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Finds the fastest sequence of steps that saturates no pool, or the additional servers that would allow one. */
public final class Proposer {
    private static final int TRAJECTORIES = 40;
    /** A plan is accepted only if each pool saturates in a smaller fraction of the simulations. */
    private static final double MAX_SATURATION_PROBABILITY = 0.1;

    private static final int[] STEP_COUNTS = {1, 2, 3, 4, 6, 8, 12, 16};
    private static final double[] FIRST_FRACTIONS = {0.9, 0.8, 0.7, 0.6, 0.5, 0.4, 0.3, 0.2, 0.1};
    private static final int MAX_ROUNDS = 60;
    private static final double GROWTH_PER_ROUND = 0.08;

    /**
     * The result of a search.
     *
     * @param plan the fastest plan; null if there is none
     * @param forecast the plan's forecast; without a plan, that of moving all load at once
     * @param additionalServers the servers by pool that would allow a single step; empty with a plan, or if unknown
     * @param reason why there is no plan; null if there is one
     */
    public record Proposal(
            EvacuationPlan plan, Forecast forecast, Map<PoolName, Integer> additionalServers, String reason) {}

    private Proposer() {}

    /**
     * Searches for a plan.
     *
     * @param template the name, zone, rehearsal, return steps and added servers of the plan; its steps are replaced
     * @param pauseMs the shortest pause between two steps
     */
    public static Proposal propose(
            PoolSnapshot snapshot, EvacuationPlan template, double pauseMs, SharePolicy shares, long seed) {
        Forecast atOnce = null;
        for (int stepCount : STEP_COUNTS) {
            EvacuationPlan plan = template.withSteps(evenSteps(1, stepCount, pauseMs));
            Forecast forecast = forecast(snapshot, plan, shares, seed);
            if (forecast.verdict() == Verdict.UNKNOWN
                    || forecast.pools().stream().anyMatch(pool -> pool.verdict() == Verdict.UNKNOWN)) {
                return new Proposal(null, forecast, Map.of(), "not all pools can be predicted");
            }
            if (nothingSaturates(forecast)) {
                return new Proposal(plan, forecast, Map.of(), null);
            }
            atOnce = atOnce == null ? forecast : atOnce;
        }
        EvacuationPlan staged = findPlanThatWaitsForAddedServers(snapshot, template, pauseMs, shares, seed);
        if (staged != null) {
            return new Proposal(staged, forecast(snapshot, staged, shares, seed), Map.of(), null);
        }
        Map<PoolName, Integer> additionalServers =
                findAdditionalServers(snapshot, template.withSteps(evenSteps(1, 1, pauseMs)), shares, seed);
        return new Proposal(
                null,
                atOnce,
                additionalServers,
                additionalServers.isEmpty()
                        ? "no number of additional servers was found that suffices"
                        : "no sequence of steps avoids saturation without additional servers");
    }

    private static Forecast forecast(PoolSnapshot snapshot, EvacuationPlan plan, SharePolicy shares, long seed) {
        double[] movedFractions = new double[plan.steps().size()];
        for (int i = 0; i < movedFractions.length; i++) {
            movedFractions[i] = plan.movedFraction(i + 1);
        }
        return Forecast.of(snapshot, plan, movedFractions, shares, seed, TRAJECTORIES);
    }

    private static boolean nothingSaturates(Forecast forecast) {
        return forecast.pools().stream()
                .allMatch(pool ->
                        pool.verdict() != Verdict.UNKNOWN && pool.saturationProbability() < MAX_SATURATION_PROBABILITY);
    }

    private static List<EvacuationPlan.Step> evenSteps(double fraction, int stepCount, double pauseMs) {
        List<EvacuationPlan.Step> steps = new ArrayList<>();
        for (int i = 0; i < stepCount; i++) {
            steps.add(new EvacuationPlan.Step(fraction / stepCount, pauseMs));
        }
        return steps;
    }

    /** Moves what is possible at once, waits until the added servers are warm, then moves the rest. */
    private static EvacuationPlan findPlanThatWaitsForAddedServers(
            PoolSnapshot snapshot, EvacuationPlan template, double pauseMs, SharePolicy shares, long seed) {
        double warmAtMs = 0;
        for (EvacuationPlan.AddedServers added : template.addedServers()) {
            Pool pool = snapshot.pool(added.pool());
            warmAtMs = Math.max(warmAtMs, added.afterMs() + (pool == null ? 0 : pool.warmUpMs()));
        }
        if (warmAtMs == 0) {
            return null;
        }
        for (double firstFraction : FIRST_FRACTIONS) {
            for (int stepCount : STEP_COUNTS) {
                List<EvacuationPlan.Step> steps = new ArrayList<>();
                steps.add(new EvacuationPlan.Step(firstFraction, Math.max(pauseMs, warmAtMs)));
                steps.addAll(evenSteps(1 - firstFraction, stepCount, pauseMs));
                EvacuationPlan plan = template.withSteps(steps);
                if (nothingSaturates(forecast(snapshot, plan, shares, seed))) {
                    return plan;
                }
            }
        }
        return null;
    }

    /** Adds servers to the saturating pools until none saturates, then removes those that were not needed. */
    private static Map<PoolName, Integer> findAdditionalServers(
            PoolSnapshot snapshot, EvacuationPlan atOnce, SharePolicy shares, long seed) {
        Map<PoolName, Integer> added = new TreeMap<>();
        boolean done = false;
        for (int round = 0; round < MAX_ROUNDS && !done; round++) {
            Forecast forecast = forecast(withServersAdded(snapshot, added), atOnce, shares, seed);
            done = nothingSaturates(forecast);
            for (PoolForecast poolForecast : forecast.pools()) {
                if (poolForecast.saturationProbability() >= MAX_SATURATION_PROBABILITY) {
                    Pool pool = snapshot.pool(poolForecast.pool());
                    added.merge(
                            poolForecast.pool(), Math.max(1, (int) (pool.servers() * GROWTH_PER_ROUND)), Integer::sum);
                }
            }
        }
        if (!done) {
            return Map.of();
        }
        for (PoolName name : List.copyOf(added.keySet())) {
            while (added.getOrDefault(name, 0) > 0) {
                Map<PoolName, Integer> fewer = new TreeMap<>(added);
                fewer.merge(name, -1, Integer::sum);
                fewer.values().removeIf(count -> count == 0);
                if (!nothingSaturates(forecast(withServersAdded(snapshot, fewer), atOnce, shares, seed))) {
                    break;
                }
                added.clear();
                added.putAll(fewer);
            }
        }
        return added;
    }

    private static PoolSnapshot withServersAdded(PoolSnapshot snapshot, Map<PoolName, Integer> added) {
        List<Pool> pools = new ArrayList<>();
        for (Pool pool : snapshot.pools()) {
            pools.add(pool.withMoreServers(added.getOrDefault(pool.name(), 0)));
        }
        return snapshot.withPools(pools);
    }
}
