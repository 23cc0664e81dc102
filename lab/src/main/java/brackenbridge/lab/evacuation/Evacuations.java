package brackenbridge.lab.evacuation;

import brackenbridge.fleet.evacuation.Driver;
import brackenbridge.fleet.evacuation.Driver.Decision;
import brackenbridge.fleet.evacuation.Driver.Limits;
import brackenbridge.fleet.evacuation.EvacuationPlan;
import brackenbridge.fleet.evacuation.EvacuationStatus;
import brackenbridge.fleet.evacuation.Forecast;
import brackenbridge.fleet.evacuation.Forecast.PoolForecast;
import brackenbridge.fleet.evacuation.Forecast.Verdict;
import brackenbridge.fleet.evacuation.ForecastSettings;
import brackenbridge.fleet.evacuation.PlanState;
import brackenbridge.fleet.evacuation.PoolModel;
import brackenbridge.fleet.evacuation.PoolName;
import brackenbridge.fleet.evacuation.PoolSnapshot;
import brackenbridge.fleet.evacuation.SharePolicy;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Plays drawn evacuations: learns, forecasts, rehearses, forecasts again, carries the plan out, and looks. */
public final class Evacuations {
    private static final double LEARN_MS = 40_000;
    private static final double REST_MS = 6000;
    private static final double TICK_MS = 500;
    private static final double STRIKE_MS = 1000;
    private static final double SURGE = 2.5;
    private static final double SLOWED = 0.3;
    private static final double IN_TIME_MS = 3000;

    /**
     * What became of a pool that was not evacuated.
     *
     * @param experiment the experiment
     * @param seed the seed
     * @param pool the pool
     * @param lengthMs the plan's length
     * @param truthMs when it saturated; NaN if it did not
     * @param foretold the forecast
     * @param unrehearsed what was foretold before the rehearsal
     * @param proportionalMs when it does by scaling all load; NaN if it does not
     * @param peakMs when its load passes its last peak; NaN if it does not
     * @param loads measured tries a second by step
     */
    public record PoolResult(
            String experiment,
            long seed,
            PoolName pool,
            double lengthMs,
            double truthMs,
            PoolForecast foretold,
            Verdict unrehearsed,
            double proportionalMs,
            double peakMs,
            List<Double> loads) {}

    /**
     * What became of an evacuation.
     *
     * @param pools its pools
     * @param halted its rehearsal halted, with the reason; null if it passed
     * @param surprised whether something struck in the rehearsal by which a pool would saturate
     * @param inTime whether it halted before a pool was saturated for long
     */
    public record Result(List<PoolResult> pools, String halted, boolean surprised, boolean inTime) {}

    private Evacuations() {}

    /** Plays one; with a surprise in its rehearsal, it ends there. */
    static Result play(String experiment, RandomPlan drawn, long seed, boolean surprise) {
        EvacuationPlan plan = drawn.plan();
        ForecastSettings terms = drawn.terms();
        ZoneWorld world = new ZoneWorld(drawn, LEARN_MS + plan.rehearsalMs() + REST_MS + plan.durationMs() + 1000);
        PoolModel model = new PoolModel(terms);
        Map<String, String> nodes = new HashMap<>();
        for (String zone : drawn.zones()) {
            for (int i = 0; i < RandomPlan.NODES_A_ZONE; i++) {
                nodes.put("n-" + zone + "-" + i, zone);
            }
        }
        model.expectNodes(nodes);
        learn(world, model, 3000, LEARN_MS);
        SharePolicy shares = SharePolicy.maxMin(Map.of());
        PoolSnapshot before = model.snapshot(world.nowMs(), -1);
        Forecast first = Forecast.of(before, plan, shares, drawn.seed());
        Forecast small = Forecast.rehearsal(before, plan, shares, drawn.seed());
        PlanState state = PlanState.drafted(plan, "lab")
                .predictions(PlanState.predictions(before, first, small), first.verdict(), "lab")
                .transitionTo(EvacuationStatus.REHEARSING, 0, 1, "lab", "");
        double rehearsalAt = world.nowMs();
        state = rehearse(world, model, state, surprise);
        String halted = state.status() == EvacuationStatus.HALTED
                ? state.history().get(state.history().size() - 1).reason()
                : null;
        if (surprise) {
            double saturates = unhalted(drawn, terms);
            return new Result(
                    List.of(),
                    halted,
                    Double.isFinite(saturates),
                    halted != null && world.nowMs() - rehearsalAt <= saturates + IN_TIME_MS);
        }
        learn(world, model, world.nowMs() + 3000, world.nowMs() + REST_MS);
        PoolSnapshot picture = model.snapshot(world.nowMs(), -1);
        Forecast forecast = Forecast.of(picture, plan, shares, drawn.seed());
        double start = world.nowMs();
        for (int i = 0; i < plan.steps().size(); i++) {
            world.part(plan.zone(), Math.max(0, 1 - plan.movedFraction(i + 1)));
            world.runUntil(world.nowMs() + plan.steps().get(i).pauseMs());
        }
        double end = world.nowMs();
        // What came within the plan may fail for want of time after it.
        double longest = drawn.world().classes().stream()
                .mapToDouble(c -> c.deadlineMs())
                .max()
                .orElse(0);
        world.runUntil(end + longest);
        List<PoolResult> out = new ArrayList<>();
        for (ZoneWorld.Pool p : world.pools()) {
            if (!p.name.zone().equals(plan.zone())) {
                out.add(new PoolResult(
                        experiment,
                        seed,
                        p.name,
                        plan.durationMs(),
                        ZoneWorld.saturatesMs(
                                p, start, end, terms.saturationFailureRatio(), terms.saturationWindowMs()),
                        forecast.of(p.name),
                        first.of(p.name).verdict(),
                        proportional(drawn, world, picture, p, plan, false),
                        proportional(drawn, world, picture, p, plan, true),
                        loads(p, plan, start)));
            }
        }
        return new Result(out, halted, false, false);
    }

    /** When a first pool saturates in the same rehearsal that nobody halts, from its begin; infinite if none does. */
    private static double unhalted(RandomPlan drawn, ForecastSettings terms) {
        EvacuationPlan plan = drawn.plan();
        double longest = drawn.world().classes().stream()
                .mapToDouble(c -> c.deadlineMs())
                .max()
                .orElse(0);
        ZoneWorld world = new ZoneWorld(drawn, LEARN_MS + plan.rehearsalMs() + longest);
        world.runUntil(LEARN_MS);
        world.part(plan.zone(), 1 - plan.rehearsalFraction());
        world.runUntil(LEARN_MS + STRIKE_MS);
        strike(world, plan);
        world.runUntil(LEARN_MS + plan.rehearsalMs());
        world.part(plan.zone(), 1);
        world.runUntil(LEARN_MS + plan.rehearsalMs() + longest);
        double first = Double.POSITIVE_INFINITY;
        for (ZoneWorld.Pool p : world.pools()) {
            double at = ZoneWorld.saturatesMs(
                    p,
                    LEARN_MS,
                    LEARN_MS + plan.rehearsalMs(),
                    terms.saturationFailureRatio(),
                    terms.saturationWindowMs());
            first = Double.isNaN(at) ? first : Math.min(first, at);
        }
        return first;
    }

    private static void learn(ZoneWorld world, PoolModel model, double fromMs, double toMs) {
        while (world.nowMs() + 1000 <= toMs) {
            world.runUntil(world.nowMs() + 1000);
            if (world.nowMs() >= fromMs) {
                model.update(world.nowMs(), 0, world.told());
            }
        }
    }

    private static PlanState rehearse(ZoneWorld world, PoolModel model, PlanState begun, boolean surprise) {
        Driver driver = new Driver("lab", Limits.DEFAULTS);
        PlanState state = begun;
        boolean struck = false;
        double began = world.nowMs();
        while (state.status() == EvacuationStatus.REHEARSING) {
            world.part(state.plan().zone(), state.retainedFraction());
            world.runUntil(world.nowMs() + TICK_MS);
            if (surprise && !struck && world.nowMs() - began >= STRIKE_MS) {
                strike(world, state.plan());
                struck = true;
            }
            Decision turn = driver.decide(world.nowMs(), state, 1, 1, world.seen());
            turn.corrections().forEach(c -> model.applyCorrection(c.pool(), c.factor(), c.weight()));
            state = turn.nextState() == null ? state : turn.nextState();
        }
        world.part(state.plan().zone(), 1);
        return state;
    }

    /** A surge of a zone's clients as the step begins, or a pool that turns slow. */
    private static void strike(ZoneWorld world, EvacuationPlan plan) {
        List<ZoneWorld.Pool> others = world.pools().stream()
                .filter(p -> !p.name.zone().equals(plan.zone()))
                .toList();
        ZoneWorld.Pool p = others.get((int) (Math.abs(plan.name().hashCode()) % (long) others.size()));
        if (Math.abs(plan.name().hashCode()) / others.size() % 2 == 0) {
            world.surge(p.zone, SURGE);
        } else {
            p.servers.forEach(s -> s.slow(SLOWED));
        }
    }

    /** Every pool's load grows as the others' part of the whole shrinks; against what it can do, or its last peak. */
    private static double proportional(
            RandomPlan drawn,
            ZoneWorld world,
            PoolSnapshot picture,
            ZoneWorld.Pool p,
            EvacuationPlan plan,
            boolean peak) {
        double all = 0;
        double leaves = 0;
        for (int z = 0; z < drawn.zones().size(); z++) {
            all += drawn.rates()[z];
            leaves += drawn.zones().get(z).equals(plan.zone()) ? drawn.rates()[z] : 0;
        }
        PoolSnapshot.Pool now = picture.pool(p.name);
        double most = peak ? ZoneWorld.peak(p, LEARN_MS) : now.capacity();
        double at = 0;
        for (int i = 0; i < plan.steps().size(); i++) {
            if (now.attemptRate() * (1 + plan.movedFraction(i + 1) * leaves / (all - leaves)) > most) {
                return at;
            }
            at += plan.steps().get(i).pauseMs();
        }
        return Double.NaN;
    }

    private static List<Double> loads(ZoneWorld.Pool p, EvacuationPlan plan, double start) {
        List<Double> out = new ArrayList<>();
        double at = start;
        for (EvacuationPlan.Step s : plan.steps()) {
            out.add(ZoneWorld.load(p, at + s.pauseMs() / 2, at + s.pauseMs()));
            at += s.pauseMs();
        }
        return out;
    }
}
