package brackenbridge.fleet.evacuation;

import brackenbridge.fleet.evacuation.Forecast.Resource;
import brackenbridge.fleet.evacuation.PoolSnapshot.Flow;
import brackenbridge.fleet.evacuation.PoolSnapshot.Pool;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.apache.commons.math3.random.RandomGenerator;
import org.apache.commons.math3.special.Erf;

/**
 * One course of a plan through all pools, as a fluid. Each pool's calls in work follow the pointwise stationary fluid
 * flow approximation (Wang, Tipper and Banerjee, A new method for analyzing time-varying queues, Performance
 * Evaluation 1996): what it completes is what a stationary M/G/c queue completes that holds as many, with the number
 * waiting by Sakasegawa. Where chance is drawn as well it makes the queues by itself (a reflected diffusion: Kingman,
 * On queues in heavy traffic, 1962), and the number waiting is left out. Tries call the next tier while they hold
 * their slot, so that a slow pool fills the slots of those before it, and a full one spares those behind it.
 */
final class FluidModel {
    private static final double STEP_MS = 50;
    private static final double STEP_S = STEP_MS / 1000;
    /** Before the plan: long enough that what lies in the pools is what their load puts there. */
    private static final double BEFORE_MS = 10_000;

    private static final int GRID = 400;
    private static final double TOP = 0.9975;
    /** Noise holds for so many steps. */
    private static final int NOISE_STEPS = 2;
    /** Every how many steps the part that is late is looked at. */
    private static final int LATE_STEPS = 4;
    /** How fast the part that fails makes clients and nodes try again. */
    private static final double REACTION = 0.1;

    private static final double SLOW_AFTER_MS = 2000;
    private static final double RESTED_AFTER_MS = 3500;

    /** Factors on what the picture holds; the noise of arrivals, or none. */
    static final class Draw {
        final double[] capacity;
        final double[] calls;
        final double[] correction;
        final double[] flow;
        final RandomGenerator noise;

        Draw(int pools, int flows, RandomGenerator noise) {
            capacity = ones(pools);
            calls = ones(pools);
            correction = ones(pools);
            flow = ones(flows);
            this.noise = noise;
        }

        private static double[] ones(int n) {
            double[] all = new double[n];
            Arrays.fill(all, 1);
            return all;
        }
    }

    /** What a course came to: by pool, and by pool and step. */
    static final class Course {
        final double[] saturatesMs;
        final Resource[] resource;
        final double[][] load;
        final double[][] firstTries;
        final double[][] slots;
        final double[][] connections;
        final double[][] responseMs;
        final double[][] failing;
        final double[][] utilisation;
        final double[] lastFailing;

        Course(int pools, int steps) {
            saturatesMs = new double[pools];
            Arrays.fill(saturatesMs, Double.NaN);
            resource = new Resource[pools];
            load = new double[steps][pools];
            firstTries = new double[steps][pools];
            slots = new double[steps][pools];
            connections = new double[steps][pools];
            responseMs = new double[steps][pools];
            failing = new double[steps][pools];
            utilisation = new double[steps][pools];
            lastFailing = new double[pools];
        }
    }

    private final PoolSnapshot picture;
    private final ForecastSettings terms;
    private final List<Pool> pools;
    private final List<String> zones;
    private final int planZone;
    private final EvacuationPlan plan;
    private final double[] movedAt;
    private final double[] endsMs;
    /** By tier: its pools. */
    private final List<int[]> tiers = new ArrayList<>();

    private final int[] zoneOf;
    /** Part of the zone's load of its tier that a pool takes. */
    private final double[] split;
    /** By tier, origin and zone: where load goes usually. */
    private final double[][][] usual;
    /** By flow: origin and whether it is of the first tier. */
    private final int[] originOf;

    private final int[] poolOf;
    private final double[][] rhoAt;
    private final double[][] plainAt;
    private final double[] chance;

    /** The courses of this plan; moved parts may be told apart from the plan's own steps. */
    FluidModel(PoolSnapshot picture, EvacuationPlan plan, double[] movedAt) {
        this.picture = picture;
        this.plan = plan;
        this.terms = picture.terms();
        this.pools = picture.pools();
        this.zones = new ArrayList<>(picture.zones());
        for (Flow f : picture.flows()) {
            if (!zones.contains(f.origin())) {
                zones.add(f.origin());
            }
        }
        this.planZone = zones.indexOf(plan.zone());
        this.movedAt = movedAt;
        endsMs = new double[movedAt.length];
        double at = 0;
        for (int i = 0; i < endsMs.length; i++) {
            at += plan.steps().get(i).pauseMs();
            endsMs[i] = at;
        }
        zoneOf = pools.stream().mapToInt(p -> zones.indexOf(p.name().zone())).toArray();
        for (String tier : terms.tiers()) {
            List<Integer> of = new ArrayList<>();
            for (int i = 0; i < pools.size(); i++) {
                if (pools.get(i).name().tier().equals(tier)) {
                    of.add(i);
                }
            }
            tiers.add(of.stream().mapToInt(Integer::intValue).toArray());
        }
        originOf = picture.flows().stream()
                .mapToInt(f -> zones.indexOf(f.origin()))
                .toArray();
        poolOf = picture.flows().stream().mapToInt(f -> indexOf(f.to())).toArray();
        split = new double[pools.size()];
        usual = new double[tiers.size()][zones.size()][zones.size()];
        for (int t = 0; t < tiers.size(); t++) {
            split(tiers.get(t));
            usual(t);
        }
        rhoAt = new double[pools.size()][];
        plainAt = new double[pools.size()][];
        chance = new double[pools.size()];
        for (int i = 0; i < pools.size(); i++) {
            Pool p = pools.get(i);
            rhoAt[i] = table(p, true);
            plainAt[i] = table(p, false);
            chance[i] = 1 + (inTurn(p) ? p.variation() : 1);
        }
    }

    private int indexOf(PoolName name) {
        for (int i = 0; i < pools.size(); i++) {
            if (pools.get(i).name().equals(name)) {
                return i;
            }
        }
        return -1;
    }

    private void split(int[] tier) {
        for (int i : tier) {
            double mine = pools.get(i).attemptRate();
            double all = 0;
            double slots = 0;
            for (int j : tier) {
                if (zoneOf[j] == zoneOf[i]) {
                    all += pools.get(j).attemptRate();
                    slots += room(j);
                }
            }
            split[i] = all > 0 ? mine / all : slots > 0 ? room(i) / slots : 0;
        }
    }

    private double room(int pool) {
        return pools.get(pool).servers() * pools.get(pool).slots();
    }

    private void usual(int t) {
        for (int f = 0; f < poolOf.length; f++) {
            if (poolOf[f] >= 0
                    && pools.get(poolOf[f]).name().tier().equals(terms.tiers().get(t))) {
                usual[t][originOf[f]][zoneOf[poolOf[f]]] +=
                        picture.flows().get(f).rate();
            }
        }
        for (int o = 0; o < zones.size(); o++) {
            double sum = Arrays.stream(usual[t][o]).sum();
            if (sum > 0) {
                for (int z = 0; z < zones.size(); z++) {
                    usual[t][o][z] /= sum;
                }
            } else {
                usual[t][o][o] = 1;
            }
        }
    }

    /** Slots beyond what is worked on share it evenly, and then the work's variation does not matter. */
    private static boolean inTurn(Pool p) {
        return p.slots() * p.servers() <= Math.max(1, p.parallel()) * 1.05;
    }

    /** The number in work and before it at each load of the grid: as it is in the mean, or without any chance. */
    private static double[] table(Pool p, boolean mean) {
        double[] n = new double[GRID + 1];
        double c = Math.max(1, p.parallel());
        double factor = !mean ? 0 : inTurn(p) ? (1 + p.variation()) / 2 : 1;
        for (int i = 0; i <= GRID; i++) {
            double rho = TOP * i / GRID;
            n[i] = c * rho + factor * Queues.waiting(c, rho);
        }
        return n;
    }

    /**
     * The number in work at a step's end that fits its completions: n + most * rho(n) = before, solved on the grid, so
     * that steps longer than a call's work do not swing.
     *
     * @param most what all servers complete in a step at the most
     * @param scale servers there are for each that the table was made for
     */
    private static double left(double[] n, double before, double most, double scale) {
        if (before >= n[GRID] * scale + TOP * most) {
            return before - most * Math.min(1, TOP + (1 - TOP) * (before / (n[GRID] * scale + TOP * most) - 1));
        }
        int low = 0;
        int high = GRID;
        while (high - low > 1) {
            int mid = (low + high) >>> 1;
            if (n[mid] * scale + TOP * mid / GRID * most <= before) {
                low = mid;
            } else {
                high = mid;
            }
        }
        double atLow = n[low] * scale + TOP * low / GRID * most;
        double atHigh = n[high] * scale + TOP * high / GRID * most;
        double part = (before - atLow) / Math.max(1e-12, atHigh - atLow);
        return scale * (n[low] + part * (n[high] - n[low]));
    }

    int stepAt(double ms) {
        for (int i = 0; i < endsMs.length; i++) {
            if (ms < endsMs[i]) {
                return i;
            }
        }
        return endsMs.length - 1;
    }

    Course run(Draw draw) {
        int n = pools.size();
        Course out = new Course(n, Math.max(1, movedAt.length));
        double[] waiting = new double[n];
        double[] working = new double[n];
        double[] calling = new double[n];
        double[] done = new double[n];
        double[] failing = new double[n];
        double[] refusing = new double[n];
        double[] late = new double[n];
        double[] response = new double[n];
        double[] noise = new double[n];
        double[] slowSince = new double[n];
        double[] restSince = new double[n];
        boolean[] slow = new boolean[n];
        double[] inflow = new double[n];
        int window = Math.max(1, (int) Math.round(terms.saturationWindowMs() / STEP_MS));
        double[][] failed = new double[n][window];
        double[][] came = new double[n][window];
        double[] failedSum = new double[n];
        double[] cameSum = new double[n];
        double[] scale = new double[n];
        double[][] causes = new double[n][Resource.values().length];
        Arrays.fill(noise, 1);
        Arrays.fill(slowSince, Double.NaN);
        Arrays.fill(restSince, Double.NaN);
        for (int i = 0; i < n; i++) {
            response[i] = pools.get(i).workMs();
        }
        double[] first = new double[zones.size()];
        for (int f = 0; f < poolOf.length; f++) {
            if (poolOf[f] >= 0
                    && pools.get(poolOf[f]).name().tier().equals(terms.tiers().get(0))) {
                first[originOf[f]] += picture.flows().get(f).rate() * draw.flow[f];
            }
        }
        double length = endsMs.length == 0 ? 0 : endsMs[endsMs.length - 1];
        long ticks = Math.round((BEFORE_MS + length) / STEP_MS);
        int[] counted = new int[out.load.length];
        for (long k = 0; k < ticks; k++) {
            double at = k * STEP_MS - BEFORE_MS;
            int step = at < 0 ? -1 : stepAt(at);
            double keeps = step < 0 ? 1 : 1 - movedAt[step];
            double[] from = first;
            for (int t = 0; t < tiers.size(); t++) {
                Arrays.fill(inflow, 0);
                spread(t, from, keeps, draw, inflow);
                double[] next = new double[zones.size()];
                for (int i : tiers.get(t)) {
                    Pool p = pools.get(i);
                    double servers = servers(p, at);
                    scale[i] = servers / Math.max(1, p.servers());
                    if (draw.noise != null && k % NOISE_STEPS == 0) {
                        double calls = Math.max(0.1, inflow[i] * STEP_S * NOISE_STEPS);
                        noise[i] = Math.max(0, 1 + draw.noise.nextGaussian() * Math.sqrt(chance[i] / calls));
                    }
                    double again = again(i, t, failing[i], refusing[i]);
                    double attempts = inflow[i] * again * noise[i];
                    double rateCalls = p.calls() * draw.calls[i];
                    double callMs = rateCalls * nextMs(t, i, keeps, response, failing);
                    double speed = p.capacity() * draw.capacity[i] * scale[i] * (slow[i] ? p.slowPart() : 1);
                    double slotsAll = servers * p.slots();
                    double limit = servers * Math.max(1, p.connections());
                    double in = attempts * STEP_S;
                    double held = waiting[i] + working[i] + calling[i];
                    double refused = Math.min(in, Math.max(0, held + in - limit));
                    double free = Math.max(0, slotsAll - working[i] - calling[i]);
                    waiting[i] += in - refused;
                    double admitted = Math.min(waiting[i], free);
                    waiting[i] -= admitted;
                    double inWork = working[i] + admitted;
                    double[] table = draw.noise == null ? rhoAt[i] : plainAt[i];
                    working[i] = left(table, inWork, speed * STEP_S, Math.max(1e-9, scale[i]));
                    double doneWork = inWork - working[i];
                    double before = calling[i] + doneWork;
                    calling[i] = callMs <= 0 ? 0 : before / (1 + STEP_MS / callMs);
                    done[i] = (before - calling[i]) / STEP_S;
                    double workRate = doneWork / STEP_S;
                    double queueMs = workRate > 1e-6 ? 1000 * waiting[i] / workRate : waiting[i] > 0 ? 1e6 : 0;
                    double ownMs = workRate > 1e-6 ? Math.max(p.workMs(), 1000 * working[i] / workRate) : p.workMs();
                    response[i] = Math.min(60_000, queueMs + ownMs + callMs);
                    if (k % LATE_STEPS == 0) {
                        late[i] = late(p, queueMs, ownMs, callMs);
                    }
                    leave(i, p, attempts, waiting, working, calling);
                    slow(
                            i,
                            p,
                            at,
                            (waiting[i] + working[i] + calling[i]) / Math.max(1, servers),
                            slow,
                            slowSince,
                            restSince);
                    next[zoneOf[i]] += workRate * rateCalls;
                    double fails = refused + late[i] * (in - refused);
                    double part = in > 1e-9 ? fails / in : 0;
                    failing[i] += REACTION * (part - failing[i]);
                    refusing[i] += REACTION * ((in > 1e-9 ? refused / in : 0) - refusing[i]);
                    int slot = (int) (k % window);
                    causes[i][0] *= 1 - REACTION;
                    causes[i][1] *= 1 - REACTION;
                    causes[i][2] *= 1 - REACTION;
                    causes[i][limit > slotsAll ? Resource.SLOTS.ordinal() : Resource.CONNECTIONS.ordinal()] += refused;
                    causes[i][free <= 0 ? Resource.SLOTS.ordinal() : Resource.DEADLINE.ordinal()] += fails - refused;
                    failedSum[i] += fails - failed[i][slot];
                    cameSum[i] += in - came[i][slot];
                    failed[i][slot] = fails;
                    came[i][slot] = in;
                    double slotShare = (working[i] + calling[i]) / Math.max(1, slotsAll);
                    double connectionShare = (waiting[i] + working[i] + calling[i]) / limit;
                    if (at >= 0) {
                        if (Double.isNaN(out.saturatesMs[i])
                                && k >= window
                                && cameSum[i] > 1e-6
                                && failedSum[i] / cameSum[i] >= terms.saturationFailureRatio()) {
                            out.saturatesMs[i] = at;
                            out.resource[i] = largest(causes[i]);
                        }
                        // The later half of a step, where its load has come.
                        if (at >= endsMs[step] - plan.steps().get(step).pauseMs() / 2) {
                            int c = counted[step];
                            out.load[step][i] += (attempts - out.load[step][i]) / (c + 1);
                            out.firstTries[step][i] += (inflow[i] - out.firstTries[step][i]) / (c + 1);
                            out.slots[step][i] = Math.max(out.slots[step][i], slotShare);
                            out.connections[step][i] = Math.max(out.connections[step][i], connectionShare);
                            out.responseMs[step][i] += (response[i] - out.responseMs[step][i]) / (c + 1);
                            out.failing[step][i] += (part - out.failing[step][i]) / (c + 1);
                            out.utilisation[step][i] += (Math.min(1, attempts / Math.max(1e-9, speed))
                                            - out.utilisation[step][i])
                                    / (c + 1);
                        }
                    }
                }
                from = next;
            }
            if (at >= 0 && at >= endsMs[step] - plan.steps().get(step).pauseMs() / 2) {
                counted[step]++;
            }
        }
        System.arraycopy(failing, 0, out.lastFailing, 0, n);
        return out;
    }

    private static Resource largest(double[] causes) {
        Resource most = Resource.DEADLINE;
        for (Resource r : Resource.values()) {
            if (causes[r.ordinal()] > causes[most.ordinal()]) {
                most = r;
            }
        }
        return most;
    }

    /** First tries go where they go usually, what a zone does not keep to the others by their slots. */
    private void spread(int t, double[] from, double keeps, Draw draw, double[] inflow) {
        double[] weight = new double[zones.size()];
        double all = 0;
        for (int i : tiers.get(t)) {
            if (zoneOf[i] != planZone) {
                double w = room(i) * pools.get(i).correction() * draw.correction[i];
                weight[zoneOf[i]] += w;
                all += w;
            }
        }
        double[] to = new double[zones.size()];
        for (int o = 0; o < zones.size(); o++) {
            double moved = planZone < 0 ? 0 : from[o] * usual[t][o][planZone] * (1 - keeps);
            for (int z = 0; z < zones.size(); z++) {
                to[z] += from[o] * usual[t][o][z] * (z == planZone ? keeps : 1);
                to[z] += all > 0 ? moved * weight[z] / all : 0;
            }
        }
        for (int i : tiers.get(t)) {
            inflow[i] += to[zoneOf[i]] * split[i];
        }
    }

    private double servers(Pool p, double at) {
        double servers = p.servers();
        for (EvacuationPlan.Comes c : plan.comes()) {
            if (c.pool().equals(p.name()) && at >= c.afterMs()) {
                double warm = p.coldMs() <= 0
                        ? 1
                        : Math.min(1, p.coldFrom() + (1 - p.coldFrom()) * (at - c.afterMs()) / p.coldMs());
                servers += c.servers() * warm;
            }
        }
        return servers;
    }

    /** How many tries come for a first one: nodes' within attempts and budget, clients' within theirs. */
    private double again(int i, int t, double failing, double refusing) {
        double node = 0;
        double q = refusing;
        for (int a = 1; a < terms.attempts(); a++) {
            node += q;
            q *= refusing;
        }
        node = Math.min(node, terms.budget());
        double client = 0;
        if (t == 0) {
            double repeatable = 0;
            double all = 0;
            for (Map.Entry<String, Double> c : pools.get(i).mix().entrySet()) {
                all += c.getValue();
                repeatable += terms.repeatable(c.getKey()) ? c.getValue() : 0;
            }
            double lost = node >= terms.budget() ? refusing : Math.pow(refusing, terms.attempts());
            // Refused calls have not run and may all be tried again; late ones end with their client's time.
            double q1 = Math.min(0.95, lost + (all > 0 ? repeatable / all : 1) * Math.max(0, failing - refusing) / 2);
            double power = q1;
            for (int a = 1; a < terms.clientTries(); a++) {
                client += power;
                power *= q1;
            }
        }
        return (1 + node) * (1 + client);
    }

    /** The time of a call to the next tier, as the pool's zone sends them. */
    private double nextMs(int t, int i, double keeps, double[] response, double[] failing) {
        if (t + 1 >= tiers.size()) {
            return 0;
        }
        double sum = 0;
        double weight = 0;
        for (int j : tiers.get(t + 1)) {
            double w = usual[t + 1][zoneOf[i]][zoneOf[j]] * split[j];
            if (zoneOf[j] == planZone) {
                w *= keeps;
            } else if (planZone >= 0) {
                w += usual[t + 1][zoneOf[i]][planZone] * (1 - keeps) * room(j) / Math.max(1, roomBeside(t + 1));
            }
            // A call that is turned away comes back at once.
            sum += w * response[j] * (1 - Math.min(1, failing[j]) / 2);
            weight += w;
        }
        return weight > 0 ? sum / weight : 0;
    }

    private double roomBeside(int t) {
        double all = 0;
        for (int j : tiers.get(t)) {
            all += zoneOf[j] == planZone ? 0 : room(j);
        }
        return all;
    }

    /** The part of calls that take longer than their classes' time: their work is taken for lognormal. */
    private double late(Pool p, double queueMs, double ownMs, double callMs) {
        double stretch = Math.max(1, ownMs / Math.max(1e-6, p.workMs()));
        double sigma2 = Math.log1p(Math.max(0.01, p.variation()));
        double mu = Math.log(Math.max(1e-6, p.workMs())) - sigma2 / 2;
        double sum = 0;
        double all = 0;
        for (Map.Entry<String, Double> c : p.mix().entrySet()) {
            double left = (terms.deadlineMs(c.getKey()) - queueMs - callMs) / stretch;
            double part = left <= 0 ? 1 : 0.5 * Erf.erfc((Math.log(left) - mu) / Math.sqrt(2 * sigma2));
            sum += c.getValue() * part;
            all += c.getValue();
        }
        return all > 0 ? sum / all : 0;
    }

    /** Nobody stays longer than the longest deadline. */
    private void leave(int i, Pool p, double attempts, double[] waiting, double[] working, double[] calling) {
        double most =
                p.mix().keySet().stream().mapToDouble(terms::deadlineMs).max().orElse(10_000) / 1000;
        double over = waiting[i] + working[i] + calling[i] - Math.max(1, attempts * most);
        if (over > 0) {
            double gone = Math.min(over, waiting[i]);
            waiting[i] -= gone;
            double more = Math.min(over - gone, working[i]);
            working[i] -= more;
            calling[i] = Math.max(0, calling[i] - (over - gone - more));
        }
    }

    private static void slow(int i, Pool p, double at, double each, boolean[] slow, double[] since, double[] rest) {
        if (p.slowAt() <= 0 || p.slowPart() >= 1) {
            return;
        }
        if (!slow[i]) {
            if (each < p.slowAt()) {
                since[i] = Double.NaN;
            } else if (Double.isNaN(since[i])) {
                since[i] = at;
            } else if (at - since[i] >= SLOW_AFTER_MS) {
                slow[i] = true;
                rest[i] = Double.NaN;
            }
        } else if (each > p.slowAt() / 4) {
            rest[i] = Double.NaN;
        } else if (Double.isNaN(rest[i])) {
            rest[i] = at;
        } else if (at - rest[i] >= RESTED_AFTER_MS) {
            slow[i] = false;
            since[i] = Double.NaN;
        }
    }
}
