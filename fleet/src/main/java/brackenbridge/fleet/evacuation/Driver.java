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
    public Driver(String me, Limits limits) {
        this.driverName = me;
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
    public Decision decide(double nowMs, PlanState state, long ofGeneration, long token, List<PoolMeasurement> seen) {
        if (!state.status().needsDriver()) {
            return Decision.UNCHANGED;
        }
        if (ofGeneration != generation) {
            generation = ofGeneration;
            stateSinceMs = nowMs;
            lastDecisionMs = nowMs;
            accumulators.clear();
        }
        double held = nowMs - stateSinceMs;
        double since = nowMs - lastDecisionMs;
        lastDecisionMs = nowMs;
        if (state.status() == EvacuationStatus.EVACUATED) {
            return state.plan().returnAfterMs() > 0 && held >= state.plan().returnAfterMs()
                    ? changeTo(state.transitionTo(EvacuationStatus.RETURNING, 0, token, driverName, "its time is over"))
                    : Decision.UNCHANGED;
        }
        if (state.status() == EvacuationStatus.RETURNING) {
            return continueReturn(state, token, held);
        }
        String why = findHaltReason(state, seen, held, since);
        if (why != null) {
            List<Correction> learnt =
                    state.status() == EvacuationStatus.REHEARSING ? computeCorrections(state, held) : List.of();
            return new Decision(
                    state.transitionTo(EvacuationStatus.HALTED, state.step(), token, driverName, why), learnt);
        }
        if (state.status() == EvacuationStatus.REHEARSING) {
            return held < state.plan().rehearsalMs()
                    ? Decision.UNCHANGED
                    : new Decision(
                            state.transitionTo(EvacuationStatus.PASSED, 0, token, driverName, "as foretold"),
                            computeCorrections(state, held));
        }
        List<EvacuationPlan.Step> steps = state.plan().steps();
        if (held < steps.get(Math.min(state.step(), steps.size() - 1)).pauseMs()) {
            return Decision.UNCHANGED;
        }
        return changeTo(
                state.step() + 1 < steps.size()
                        ? state.transitionTo(EvacuationStatus.EVACUATING, state.step() + 1, token, driverName, "")
                        : state.transitionTo(EvacuationStatus.EVACUATED, 0, token, driverName, ""));
    }

    private Decision continueReturn(PlanState state, long token, double held) {
        List<EvacuationPlan.Step> back = state.plan().returnSteps();
        if (state.step() < back.size() && held < back.get(state.step()).pauseMs()) {
            return Decision.UNCHANGED;
        }
        return changeTo(
                state.step() + 1 < back.size()
                        ? state.transitionTo(EvacuationStatus.RETURNING, state.step() + 1, token, driverName, "")
                        : state.transitionTo(EvacuationStatus.CLOSED, 0, token, driverName, "all load is back"));
    }

    private static Decision changeTo(PlanState state) {
        return new Decision(state, List.of());
    }

    /** The reason to halt; null if there is none. */
    private String findHaltReason(PlanState state, List<PoolMeasurement> seen, double held, double since) {
        Map<PoolName, PoolMeasurement> by = new HashMap<>();
        seen.forEach(s -> by.put(s.pool(), s));
        for (PoolPrediction f : state.predictions()) {
            PoolMeasurement s = by.get(f.pool());
            if (s == null || s.ageMs() > limits.maxAgeMs()) {
                if (held > limits.maxAgeMs()) {
                    return f.pool() + " is not heard of";
                }
                continue;
            }
            LoadAccumulator sum = accumulators.computeIfAbsent(f.pool(), p -> new LoadAccumulator());
            boolean passed = s.failureRatio() > limits.maxFailureRatio() || s.utilisation() > limits.maxUtilisation();
            sum.overLimitMs = passed ? sum.overLimitMs + since : 0;
            if (sum.overLimitMs >= MIN_OVER_LIMIT_MS) {
                return s.failureRatio() > limits.maxFailureRatio()
                        ? format("%s passed its bound: %.1f%% of tries fail", f.pool(), 100 * s.failureRatio())
                        : format("%s passed its bound: %.0f%% in use", f.pool(), 100 * s.utilisation());
            }
            if (state.status() == EvacuationStatus.REHEARSING && s.servers() != f.servers()) {
                return format("%s has %d servers, not %d: forecast again", f.pool(), s.servers(), f.servers());
            }
            if (held < limits.settlingMs()) {
                continue;
            }
            sum.rateIntegral += s.attemptRate() * since;
            sum.observedMs += since;
            Interval expected = predictedRate(state, f);
            double mean = sum.observedMs > 0 ? sum.rateIntegral / sum.observedMs : 0;
            if (expected != null && sum.observedMs >= MIN_OBSERVED_MS && deviates(expected, mean, f, s)) {
                return format(
                        "%s has %.1f tries a second, foretold were %.1f (%.1f to %.1f)",
                        f.pool(), mean, expected.expected(), expected.low(), expected.high());
            }
        }
        return null;
    }

    private boolean deviates(Interval expected, double mean, PoolPrediction f, PoolMeasurement s) {
        // More servers than were foretold take more of what moves; that is no fault while load is carried.
        boolean more = s.servers() > f.servers() && mean > expected.expected();
        return !more
                && !expected.contains(mean)
                && Math.abs(mean - expected.expected())
                        > limits.maxLoadDeviation() * Math.max(MIN_LOAD, expected.expected());
    }

    private static Interval predictedRate(PlanState state, PoolPrediction f) {
        if (state.status() == EvacuationStatus.REHEARSING) {
            return f.rehearsal();
        }
        return state.step() < f.steps().size() ? f.steps().get(state.step()) : null;
    }

    /** What came beside what was foretold, weighed by how far it stands out from chance. */
    private List<Correction> computeCorrections(PlanState state, double held) {
        List<Correction> out = new ArrayList<>();
        for (PoolPrediction f : state.predictions()) {
            LoadAccumulator sum = accumulators.get(f.pool());
            double moved = f.rehearsal().expected() - f.baselineRate();
            if (sum == null || sum.observedMs < MIN_OBSERVED_MS || moved <= 0) {
                continue;
            }
            double came = sum.rateIntegral / sum.observedMs - f.baselineRate();
            // Chance of arrivals while it was held, and that of the load it is compared with.
            double noise = f.rehearsal().expected() / (sum.observedMs / 1000)
                    + Math.pow((f.rehearsal().high() - f.rehearsal().low()) / 2.56, 2);
            double weight = moved * moved / (moved * moved + noise);
            if (came > 0 && weight > 0.01) {
                out.add(new Correction(f.pool(), came / moved, weight));
            }
        }
        return out;
    }

    private static String format(String format, Object... args) {
        return String.format(Locale.ROOT, format, args);
    }
}
