package brackenbridge.fleet.evacuation;

import brackenbridge.fleet.evacuation.Forecast.Interval;
import brackenbridge.fleet.evacuation.PlanState.PoolPrediction;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Drives the plan that there is: a machine that takes a time, the agreed record and what is seen of pools, and hands
 * back what the record should become. What it keeps between turns is when it first saw the record as it is, and sums
 * since then; a driver that takes over holds the running step for its whole pause again, never shorter.
 */
public final class Driver {
    /**
     * What halts a plan.
     *
     * @param partOff a foretold load that is off by this part, and outside its interval
     * @param utilisation the part of what servers can do
     * @param failing the part of tries that fails for want of room or time
     * @param graceMs for so long after a step's begin, figures of before are still seen
     * @param silentMs a pool that is not heard of for longer
     */
    public record Limits(
            double maxLoadDeviation,
            double maxUtilisation,
            double maxFailureRatio,
            double settlingMs,
            double maxAgeMs) {
        /** The usual ones. */
        public static final Limits DEFAULTS = new Limits(0.2, 0.98, 0.03, 2000, 6000);
    }

    /**
     * What is seen of a pool of late, all nodes together.
     *
     * @param pool its name
     * @param servers servers that run
     * @param attempts tries a second
     * @param utilisation the part of their time for which servers work; negative if not known
     * @param failing the part of tries that fails
     * @param heardMs the age of it
     */
    public record PoolMeasurement(
            PoolName pool, int servers, double attemptRate, double utilisation, double failureRatio, double ageMs) {}

    /**
     * What a rehearsal has shown of the load that moves to a pool.
     *
     * @param pool the pool
     * @param factor what came as a multiple of what was foretold
     * @param weight what that is worth, 0 to 1
     */
    public record Correction(PoolName pool, double factor, double weight) {}

    /**
     * What is to be done.
     *
     * @param next what the record should become; null if it stays
     * @param corrections what the model has to learn
     */
    public record Decision(PlanState nextState, List<Correction> corrections) {
        static final Decision UNCHANGED = new Decision(null, List.of());
    }

    private static final class LoadAccumulator {
        double rateIntegral;
        double observedMs;
        double overLimitMs;
    }

    /** A foretold figure is compared once it was seen for so long. */
    private static final double MIN_OBSERVED_MS = 2500;
    /** A bound is passed once it was for so long: one second's figure is noise. */
    private static final double MIN_OVER_LIMIT_MS = 1400;

    private static final double MIN_LOAD = 1;

    private final String driverName;
    private final Limits limits;
    private long generation = -1;
    private double stateSinceMs;
    private double lastDecisionMs;
    private final Map<PoolName, LoadAccumulator> accumulators = new HashMap<>();

    /** A driver of this name. */
    public Driver(String driverName, Limits limits) {
        this.driverName = driverName;
        this.limits = limits;
    }

    /**
     * One turn.
     *
     * @param nowMs now
     * @param state the agreed record
     * @param ofGeneration its generation
     * @param token this driver's
     * @param seen what is seen of all pools now
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

    /** The reason to halt; null if there is none. */
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
        // More servers than were foretold take more of what moves; that is no fault while load is carried.
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

    /** What came beside what was foretold, weighed by how far it stands out from chance. */
    private List<Correction> computeCorrections(PlanState state, double elapsedMs) {
        List<Correction> corrections = new ArrayList<>();
        for (PoolPrediction prediction : state.predictions()) {
            LoadAccumulator accumulator = accumulators.get(prediction.pool());
            double predictedIncrease = prediction.rehearsal().expected() - prediction.baselineRate();
            if (accumulator == null || accumulator.observedMs < MIN_OBSERVED_MS || predictedIncrease <= 0) {
                continue;
            }
            double observedIncrease = accumulator.rateIntegral / accumulator.observedMs - prediction.baselineRate();
            // Chance of arrivals while it was held, and that of the load it is compared with.
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
