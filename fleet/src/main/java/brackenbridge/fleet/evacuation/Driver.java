package brackenbridge.fleet.evacuation;

import brackenbridge.fleet.evacuation.Forecast.Interval;
import brackenbridge.fleet.evacuation.PlanState.PoolPrediction;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Drives the agreed evacuation plan: a state machine that takes the time, the agreed record and measurements of the
 * pools, and returns the record that should follow. Between calls it keeps only the time at which it first saw the
 * current generation of the record and what it has accumulated since. A driver that takes over therefore holds the
 * running step for its full pause again, never for less.
 */
public final class Driver {
    /**
     * The limits beyond which a plan is halted.
     *
     * @param maxLoadDeviation the largest relative deviation of a load that lies outside its predicted interval
     * @param maxUtilisation the largest fraction of the servers' capacity in use
     * @param maxFailureRatio the largest fraction of attempts that fail because slots, connections or time run out
     * @param settlingMs how long after the start of a step measurements still include load from before it
     * @param maxAgeMs a pool whose latest measurement is older counts as not reporting
     */
    public record Limits(
            double maxLoadDeviation,
            double maxUtilisation,
            double maxFailureRatio,
            double settlingMs,
            double maxAgeMs) {
        /** The default limits. */
        public static final Limits DEFAULTS = new Limits(0.2, 0.98, 0.03, 2000, 6000);
    }

    /**
     * Recent measurements of a pool, summed over all nodes.
     *
     * @param pool the pool's name
     * @param servers the number of running servers
     * @param attemptRate attempts per second
     * @param utilisation the fraction of time that servers are busy; negative if not known
     * @param failureRatio the fraction of attempts that fail
     * @param ageMs the age of the measurement
     */
    public record PoolMeasurement(
            PoolName pool, int servers, double attemptRate, double utilisation, double failureRatio, double ageMs) {}

    /**
     * What a rehearsal has shown about the load that moves to a pool.
     *
     * @param pool the pool
     * @param factor the observed increase as a multiple of the predicted one
     * @param weight the weight of this observation, 0 to 1
     */
    public record Correction(PoolName pool, double factor, double weight) {}

    /**
     * The outcome of one call of {@link #decide}.
     *
     * @param nextState the record to propose; null to keep the current one
     * @param corrections corrections for the pool model
     */
    public record Decision(PlanState nextState, List<Correction> corrections) {
        static final Decision UNCHANGED = new Decision(null, List.of());
    }

    private static final class LoadAccumulator {
        double rateIntegral;
        double observedMs;
        double overLimitMs;
    }

    /** A predicted rate is compared only with a mean over at least this long. */
    private static final double MIN_OBSERVED_MS = 2500;
    /** A limit counts as exceeded only after this long: the value of a single second is noise. */
    private static final double MIN_OVER_LIMIT_MS = 1400;

    private static final double MIN_LOAD = 1;

    private final String driverName;
    private final Limits limits;
    private long generation = -1;
    private double stateSinceMs;
    private double lastDecisionMs;
    private final Map<PoolName, LoadAccumulator> accumulators = new HashMap<>();

    /** Creates a driver that signs its changes with this name. */
    public Driver(String driverName, Limits limits) {
        this.driverName = driverName;
        this.limits = limits;
    }

    /**
     * Decides whether the plan moves on, halts or stays as it is.
     *
     * @param nowMs the current time
     * @param state the agreed record
     * @param stateGeneration the record's generation
     * @param token this driver's token
     * @param measurements the latest measurements of all pools
     */
    public Decision decide(
            double nowMs, PlanState state, long stateGeneration, long token, List<PoolMeasurement> measurements) {
        if (!state.status().needsDriver()) {
            return Decision.UNCHANGED;
        }
        if (stateGeneration != generation) {
            generation = stateGeneration;
            stateSinceMs = nowMs;
            lastDecisionMs = nowMs;
            accumulators.clear();
        }
        double elapsedMs = nowMs - stateSinceMs;
        double sinceLastMs = nowMs - lastDecisionMs;
        lastDecisionMs = nowMs;
        if (state.status() == EvacuationStatus.EVACUATED) {
            return state.plan().returnAfterMs() > 0 && elapsedMs >= state.plan().returnAfterMs()
                    ? changeTo(state.transitionTo(EvacuationStatus.RETURNING, 0, token, driverName, "its time is over"))
                    : Decision.UNCHANGED;
        }
        if (state.status() == EvacuationStatus.RETURNING) {
            return continueReturn(state, token, elapsedMs);
        }
        String haltReason = findHaltReason(state, measurements, elapsedMs, sinceLastMs);
        if (haltReason != null) {
            List<Correction> corrections =
                    state.status() == EvacuationStatus.REHEARSING ? computeCorrections(state, elapsedMs) : List.of();
            return new Decision(
                    state.transitionTo(EvacuationStatus.HALTED, state.step(), token, driverName, haltReason),
                    corrections);
        }
        if (state.status() == EvacuationStatus.REHEARSING) {
            return elapsedMs < state.plan().rehearsalMs()
                    ? Decision.UNCHANGED
                    : new Decision(
                            state.transitionTo(EvacuationStatus.PASSED, 0, token, driverName, "as foretold"),
                            computeCorrections(state, elapsedMs));
        }
        List<EvacuationPlan.Step> steps = state.plan().steps();
        if (elapsedMs < steps.get(Math.min(state.step(), steps.size() - 1)).pauseMs()) {
            return Decision.UNCHANGED;
        }
        return changeTo(
                state.step() + 1 < steps.size()
                        ? state.transitionTo(EvacuationStatus.EVACUATING, state.step() + 1, token, driverName, "")
                        : state.transitionTo(EvacuationStatus.EVACUATED, 0, token, driverName, ""));
    }

    private Decision continueReturn(PlanState state, long token, double elapsedMs) {
        List<EvacuationPlan.Step> returnSteps = state.plan().returnSteps();
        if (state.step() < returnSteps.size()
                && elapsedMs < returnSteps.get(state.step()).pauseMs()) {
            return Decision.UNCHANGED;
        }
        return changeTo(
                state.step() + 1 < returnSteps.size()
                        ? state.transitionTo(EvacuationStatus.RETURNING, state.step() + 1, token, driverName, "")
                        : state.transitionTo(EvacuationStatus.CLOSED, 0, token, driverName, "all load is back"));
    }

    private static Decision changeTo(PlanState state) {
        return new Decision(state, List.of());
    }

    /** Returns the reason to halt; null if there is none. */
    private String findHaltReason(
            PlanState state, List<PoolMeasurement> measurements, double elapsedMs, double sinceLastMs) {
        Map<PoolName, PoolMeasurement> byPool = new HashMap<>();
        measurements.forEach(measurement -> byPool.put(measurement.pool(), measurement));
        for (PoolPrediction prediction : state.predictions()) {
            PoolMeasurement measurement = byPool.get(prediction.pool());
            if (measurement == null || measurement.ageMs() > limits.maxAgeMs()) {
                if (elapsedMs > limits.maxAgeMs()) {
                    return prediction.pool() + " is not heard of";
                }
                continue;
            }
            LoadAccumulator accumulator = accumulators.computeIfAbsent(prediction.pool(), p -> new LoadAccumulator());
            boolean overLimit = measurement.failureRatio() > limits.maxFailureRatio()
                    || measurement.utilisation() > limits.maxUtilisation();
            accumulator.overLimitMs = overLimit ? accumulator.overLimitMs + sinceLastMs : 0;
            if (accumulator.overLimitMs >= MIN_OVER_LIMIT_MS) {
                return measurement.failureRatio() > limits.maxFailureRatio()
                        ? format(
                                "%s passed its bound: %.1f%% of tries fail",
                                prediction.pool(), 100 * measurement.failureRatio())
                        : format(
                                "%s passed its bound: %.0f%% in use",
                                prediction.pool(), 100 * measurement.utilisation());
            }
            if (state.status() == EvacuationStatus.REHEARSING && measurement.servers() != prediction.servers()) {
                return format(
                        "%s has %d servers, not %d: forecast again",
                        prediction.pool(), measurement.servers(), prediction.servers());
            }
            if (elapsedMs < limits.settlingMs()) {
                continue;
            }
            accumulator.rateIntegral += measurement.attemptRate() * sinceLastMs;
            accumulator.observedMs += sinceLastMs;
            Interval predicted = predictedRate(state, prediction);
            double meanRate = accumulator.observedMs > 0 ? accumulator.rateIntegral / accumulator.observedMs : 0;
            if (predicted != null
                    && accumulator.observedMs >= MIN_OBSERVED_MS
                    && deviates(predicted, meanRate, prediction, measurement)) {
                return format(
                        "%s has %.1f tries a second, foretold were %.1f (%.1f to %.1f)",
                        prediction.pool(), meanRate, predicted.expected(), predicted.low(), predicted.high());
            }
        }
        return null;
    }

    private boolean deviates(
            Interval predicted, double meanRate, PoolPrediction prediction, PoolMeasurement measurement) {
        // A pool with more servers than predicted attracts more of the moved load; no fault as long as it serves it.
        boolean extraServersTakeMore = measurement.servers() > prediction.servers() && meanRate > predicted.expected();
        return !extraServersTakeMore
                && !predicted.contains(meanRate)
                && Math.abs(meanRate - predicted.expected())
                        > limits.maxLoadDeviation() * Math.max(MIN_LOAD, predicted.expected());
    }

    private static Interval predictedRate(PlanState state, PoolPrediction prediction) {
        if (state.status() == EvacuationStatus.REHEARSING) {
            return prediction.rehearsal();
        }
        return state.step() < prediction.steps().size() ? prediction.steps().get(state.step()) : null;
    }

    /** Compares observed with predicted increases, weighted by how far each stands out from random variation. */
    private List<Correction> computeCorrections(PlanState state, double elapsedMs) {
        List<Correction> corrections = new ArrayList<>();
        for (PoolPrediction prediction : state.predictions()) {
            LoadAccumulator accumulator = accumulators.get(prediction.pool());
            double predictedIncrease = prediction.rehearsal().expected() - prediction.baselineRate();
            if (accumulator == null || accumulator.observedMs < MIN_OBSERVED_MS || predictedIncrease <= 0) {
                continue;
            }
            double observedIncrease = accumulator.rateIntegral / accumulator.observedMs - prediction.baselineRate();
            // Variance of the Poisson arrivals during the rehearsal, plus that of the predicted load.
            double variance = prediction.rehearsal().expected() / (accumulator.observedMs / 1000)
                    + Math.pow(
                            (prediction.rehearsal().high()
                                            - prediction.rehearsal().low())
                                    / 2.56,
                            2);
            double weight = predictedIncrease * predictedIncrease / (predictedIncrease * predictedIncrease + variance);
            if (observedIncrease > 0 && weight > 0.01) {
                corrections.add(new Correction(prediction.pool(), observedIncrease / predictedIncrease, weight));
            }
        }
        return corrections;
    }

    private static String format(String pattern, Object... args) {
        return String.format(Locale.ROOT, pattern, args);
    }
}
