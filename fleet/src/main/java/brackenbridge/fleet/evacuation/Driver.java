package brackenbridge.fleet.evacuation;

import brackenbridge.fleet.evacuation.Forecast.Interval;
import brackenbridge.fleet.evacuation.PlanState.Foretold;
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
    public record Limits(double partOff, double utilisation, double failing, double graceMs, double silentMs) {
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
            PoolName pool, int servers, double attempts, double utilisation, double failing, double heardMs) {}

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
        static final Decision STAY = new Decision(null, List.of());
    }

    private static final class Sum {
        double load;
        double loadMs;
        double over;
    }

    /** A foretold figure is compared once it was seen for so long. */
    private static final double COMPARED_MS = 2500;
    /** A bound is passed once it was for so long: one second's figure is noise. */
    private static final double PASSED_MS = 1400;

    private static final double LEAST_LOAD = 1;

    private final String me;
    private final Limits limits;
    private long generation = -1;
    private double beganMs;
    private double lastMs;
    private final Map<PoolName, Sum> sums = new HashMap<>();

    /** A driver of this name. */
    public Driver(String me, Limits limits) {
        this.me = me;
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
        if (!state.status().driven()) {
            return Decision.STAY;
        }
        if (ofGeneration != generation) {
            generation = ofGeneration;
            beganMs = nowMs;
            lastMs = nowMs;
            sums.clear();
        }
        double held = nowMs - beganMs;
        double since = nowMs - lastMs;
        lastMs = nowMs;
        if (state.status() == EvacuationStatus.EVACUATED) {
            return state.plan().backAfterMs() > 0 && held >= state.plan().backAfterMs()
                    ? next(state.transitionTo(EvacuationStatus.RETURNING, 0, token, me, "its time is over"))
                    : Decision.STAY;
        }
        if (state.status() == EvacuationStatus.RETURNING) {
            return returning(state, token, held);
        }
        String why = watch(state, seen, held, since);
        if (why != null) {
            List<Correction> learnt =
                    state.status() == EvacuationStatus.REHEARSING ? corrections(state, held) : List.of();
            return new Decision(state.transitionTo(EvacuationStatus.HALTED, state.step(), token, me, why), learnt);
        }
        if (state.status() == EvacuationStatus.REHEARSING) {
            return held < state.plan().rehearsalMs()
                    ? Decision.STAY
                    : new Decision(
                            state.transitionTo(EvacuationStatus.PASSED, 0, token, me, "as foretold"),
                            corrections(state, held));
        }
        List<EvacuationPlan.Step> steps = state.plan().steps();
        if (held < steps.get(Math.min(state.step(), steps.size() - 1)).pauseMs()) {
            return Decision.STAY;
        }
        return next(
                state.step() + 1 < steps.size()
                        ? state.transitionTo(EvacuationStatus.EVACUATING, state.step() + 1, token, me, "")
                        : state.transitionTo(EvacuationStatus.EVACUATED, 0, token, me, ""));
    }

    private Decision returning(PlanState state, long token, double held) {
        List<EvacuationPlan.Step> back = state.plan().back();
        if (state.step() < back.size() && held < back.get(state.step()).pauseMs()) {
            return Decision.STAY;
        }
        return next(
                state.step() + 1 < back.size()
                        ? state.transitionTo(EvacuationStatus.RETURNING, state.step() + 1, token, me, "")
                        : state.transitionTo(EvacuationStatus.CLOSED, 0, token, me, "all load is back"));
    }

    private static Decision next(PlanState state) {
        return new Decision(state, List.of());
    }

    /** The reason to halt; null if there is none. */
    private String watch(PlanState state, List<PoolMeasurement> seen, double held, double since) {
        Map<PoolName, PoolMeasurement> by = new HashMap<>();
        seen.forEach(s -> by.put(s.pool(), s));
        for (Foretold f : state.predictions()) {
            PoolMeasurement s = by.get(f.pool());
            if (s == null || s.heardMs() > limits.silentMs()) {
                if (held > limits.silentMs()) {
                    return f.pool() + " is not heard of";
                }
                continue;
            }
            Sum sum = sums.computeIfAbsent(f.pool(), p -> new Sum());
            boolean passed = s.failing() > limits.failing() || s.utilisation() > limits.utilisation();
            sum.over = passed ? sum.over + since : 0;
            if (sum.over >= PASSED_MS) {
                return s.failing() > limits.failing()
                        ? text("%s passed its bound: %.1f%% of tries fail", f.pool(), 100 * s.failing())
                        : text("%s passed its bound: %.0f%% in use", f.pool(), 100 * s.utilisation());
            }
            if (state.status() == EvacuationStatus.REHEARSING && s.servers() != f.servers()) {
                return text("%s has %d servers, not %d: forecast again", f.pool(), s.servers(), f.servers());
            }
            if (held < limits.graceMs()) {
                continue;
            }
            sum.load += s.attempts() * since;
            sum.loadMs += since;
            Interval expected = expected(state, f);
            double mean = sum.loadMs > 0 ? sum.load / sum.loadMs : 0;
            if (expected != null && sum.loadMs >= COMPARED_MS && off(expected, mean, f, s)) {
                return text(
                        "%s has %.1f tries a second, foretold were %.1f (%.1f to %.1f)",
                        f.pool(), mean, expected.expected(), expected.low(), expected.high());
            }
        }
        return null;
    }

    private boolean off(Interval expected, double mean, Foretold f, PoolMeasurement s) {
        // More servers than were foretold take more of what moves; that is no fault while load is carried.
        boolean more = s.servers() > f.servers() && mean > expected.expected();
        return !more
                && !expected.contains(mean)
                && Math.abs(mean - expected.expected()) > limits.partOff() * Math.max(LEAST_LOAD, expected.expected());
    }

    private static Interval expected(PlanState state, Foretold f) {
        if (state.status() == EvacuationStatus.REHEARSING) {
            return f.rehearsal();
        }
        return state.step() < f.steps().size() ? f.steps().get(state.step()) : null;
    }

    /** What came beside what was foretold, weighed by how far it stands out from chance. */
    private List<Correction> corrections(PlanState state, double held) {
        List<Correction> out = new ArrayList<>();
        for (Foretold f : state.predictions()) {
            Sum sum = sums.get(f.pool());
            double moved = f.rehearsal().expected() - f.before();
            if (sum == null || sum.loadMs < COMPARED_MS || moved <= 0) {
                continue;
            }
            double came = sum.load / sum.loadMs - f.before();
            // Chance of arrivals while it was held, and that of the load it is compared with.
            double noise = f.rehearsal().expected() / (sum.loadMs / 1000)
                    + Math.pow((f.rehearsal().high() - f.rehearsal().low()) / 2.56, 2);
            double weight = moved * moved / (moved * moved + noise);
            if (came > 0 && weight > 0.01) {
                out.add(new Correction(f.pool(), came / moved, weight));
            }
        }
        return out;
    }

    private static String text(String format, Object... args) {
        return String.format(Locale.ROOT, format, args);
    }
}
