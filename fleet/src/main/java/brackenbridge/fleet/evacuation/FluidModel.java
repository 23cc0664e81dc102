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
    private static final double LEAD_IN_MS = 10_000;

    private static final int GRID_SIZE = 400;
    private static final double MAX_GRID_LOAD = 0.9975;
    /** Noise holds for so many steps. */
    private static final int NOISE_STEPS = 2;
    /** Every how many steps the part that is late is looked at. */
    private static final int LATENESS_INTERVAL_STEPS = 4;
    /** How fast the part that fails makes clients and nodes try again. */
    private static final double FEEDBACK_GAIN = 0.1;

    private static final double DEGRADES_AFTER_MS = 2000;
    private static final double RECOVERS_AFTER_MS = 3500;

    /** Factors on what the picture holds; the noise of arrivals, or none. */
    static final class ParameterSample {
        final double[] capacityFactors;
        final double[] callFactors;
        final double[] correctionFactors;
        final double[] flowFactors;
        final RandomGenerator arrivalNoise;

        ParameterSample(int pools, int flows, RandomGenerator noise) {
            capacityFactors = ones(pools);
            callFactors = ones(pools);
            correctionFactors = ones(pools);
            flowFactors = ones(flows);
            this.arrivalNoise = noise;
        }

        private static double[] ones(int n) {
            double[] all = new double[n];
            Arrays.fill(all, 1);
            return all;
        }
    }

    /** What a course came to: by pool, and by pool and step. */
    static final class Trajectory {
        final double[] saturationMs;
        final Resource[] exhaustedResource;
        final double[][] attemptRate;
        final double[][] firstAttemptRate;
        final double[][] slotUse;
        final double[][] connectionUse;
        final double[][] responseMs;
        final double[][] failureRatio;
        final double[][] utilisation;
        final double[] finalFailureRatio;

        Trajectory(int pools, int steps) {
            saturationMs = new double[pools];
            Arrays.fill(saturationMs, Double.NaN);
            exhaustedResource = new Resource[pools];
            attemptRate = new double[steps][pools];
            firstAttemptRate = new double[steps][pools];
            slotUse = new double[steps][pools];
            connectionUse = new double[steps][pools];
            responseMs = new double[steps][pools];
            failureRatio = new double[steps][pools];
            utilisation = new double[steps][pools];
            finalFailureRatio = new double[pools];
        }
    }

    private final PoolSnapshot snapshot;
    private final ForecastSettings settings;
    private final List<Pool> pools;
    private final List<String> zones;
    private final int evacuatedZone;
    private final EvacuationPlan plan;
    private final double[] movedFractions;
    private final double[] stepEndsMs;
    /** By tier: its pools. */
    private final List<int[]> poolsByTier = new ArrayList<>();

    private final int[] zoneOfPool;
    /** Part of the zone's load of its tier that a pool takes. */
    private final double[] shareInZone;
    /** By tier, origin and zone: where load goes usually. */
    private final double[][][] usualRouting;
    /** By flow: origin and whether it is of the first tier. */
    private final int[] originOfFlow;

    private final int[] poolOfFlow;
    private final double[][] meanOccupancy;
    private final double[][] fluidOccupancy;
    private final double[] arrivalDispersion;

    /** The courses of this plan; moved parts may be told apart from the plan's own steps. */
    FluidModel(PoolSnapshot picture, EvacuationPlan plan, double[] movedAt) {
        this.snapshot = picture;
        this.plan = plan;
        this.settings = picture.settings();
        this.pools = picture.pools();
        this.zones = new ArrayList<>(picture.zones());
        for (Flow f : picture.flows()) {
            if (!zones.contains(f.origin())) {
                zones.add(f.origin());
            }
        }
        this.evacuatedZone = zones.indexOf(plan.zone());
        this.movedFractions = movedAt;
        stepEndsMs = new double[movedAt.length];
        double at = 0;
        for (int i = 0; i < stepEndsMs.length; i++) {
            at += plan.steps().get(i).pauseMs();
            stepEndsMs[i] = at;
        }
        zoneOfPool =
                pools.stream().mapToInt(p -> zones.indexOf(p.name().zone())).toArray();
        for (String tier : settings.tiers()) {
            List<Integer> of = new ArrayList<>();
            for (int i = 0; i < pools.size(); i++) {
                if (pools.get(i).name().tier().equals(tier)) {
                    of.add(i);
                }
            }
            poolsByTier.add(of.stream().mapToInt(Integer::intValue).toArray());
        }
        originOfFlow = picture.flows().stream()
                .mapToInt(f -> zones.indexOf(f.origin()))
                .toArray();
        poolOfFlow = picture.flows().stream().mapToInt(f -> indexOf(f.pool())).toArray();
        shareInZone = new double[pools.size()];
        usualRouting = new double[poolsByTier.size()][zones.size()][zones.size()];
        for (int t = 0; t < poolsByTier.size(); t++) {
            shareInZone(poolsByTier.get(t));
            usualRouting(t);
        }
        meanOccupancy = new double[pools.size()][];
        fluidOccupancy = new double[pools.size()][];
        arrivalDispersion = new double[pools.size()];
        for (int i = 0; i < pools.size(); i++) {
            Pool p = pools.get(i);
            meanOccupancy[i] = occupancyTable(p, true);
            fluidOccupancy[i] = occupancyTable(p, false);
            arrivalDispersion[i] = 1 + (isSlotLimited(p) ? p.squaredVariation() : 1);
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

    private void shareInZone(int[] tier) {
        for (int i : tier) {
            double mine = pools.get(i).attemptRate();
            double all = 0;
            double slots = 0;
            for (int j : tier) {
                if (zoneOfPool[j] == zoneOfPool[i]) {
                    all += pools.get(j).attemptRate();
                    slots += totalSlots(j);
                }
            }
            shareInZone[i] = all > 0 ? mine / all : slots > 0 ? totalSlots(i) / slots : 0;
        }
    }

    private double totalSlots(int pool) {
        return pools.get(pool).servers() * pools.get(pool).slots();
    }

    private void usualRouting(int t) {
        for (int f = 0; f < poolOfFlow.length; f++) {
            if (poolOfFlow[f] >= 0
                    && pools.get(poolOfFlow[f])
                            .name()
                            .tier()
                            .equals(settings.tiers().get(t))) {
                usualRouting[t][originOfFlow[f]][zoneOfPool[poolOfFlow[f]]] +=
                        snapshot.flows().get(f).rate();
            }
        }
        for (int o = 0; o < zones.size(); o++) {
            double sum = Arrays.stream(usualRouting[t][o]).sum();
            if (sum > 0) {
                for (int z = 0; z < zones.size(); z++) {
                    usualRouting[t][o][z] /= sum;
                }
            } else {
                usualRouting[t][o][o] = 1;
            }
        }
    }

    /** Slots beyond what is worked on share it evenly, and then the work's variation does not matter. */
    private static boolean isSlotLimited(Pool p) {
        return p.slots() * p.servers() <= Math.max(1, p.concurrency()) * 1.05;
    }

    /** The number in work and before it at each load of the grid: as it is in the mean, or without any chance. */
    private static double[] occupancyTable(Pool p, boolean mean) {
        double[] n = new double[GRID_SIZE + 1];
        double c = Math.max(1, p.concurrency());
        double factor = !mean ? 0 : isSlotLimited(p) ? (1 + p.squaredVariation()) / 2 : 1;
        for (int i = 0; i <= GRID_SIZE; i++) {
            double rho = MAX_GRID_LOAD * i / GRID_SIZE;
            n[i] = c * rho + factor * Queues.sakasegawaQueueLength(c, rho);
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
    private static double remainingInService(double[] n, double before, double most, double scale) {
        if (before >= n[GRID_SIZE] * scale + MAX_GRID_LOAD * most) {
            return before
                    - most
                            * Math.min(
                                    1,
                                    MAX_GRID_LOAD
                                            + (1 - MAX_GRID_LOAD)
                                                    * (before / (n[GRID_SIZE] * scale + MAX_GRID_LOAD * most) - 1));
        }
        int low = 0;
        int high = GRID_SIZE;
        while (high - low > 1) {
            int mid = (low + high) >>> 1;
            if (n[mid] * scale + MAX_GRID_LOAD * mid / GRID_SIZE * most <= before) {
                low = mid;
            } else {
                high = mid;
            }
        }
        double atLow = n[low] * scale + MAX_GRID_LOAD * low / GRID_SIZE * most;
        double atHigh = n[high] * scale + MAX_GRID_LOAD * high / GRID_SIZE * most;
        double part = (before - atLow) / Math.max(1e-12, atHigh - atLow);
        return scale * (n[low] + part * (n[high] - n[low]));
    }

    int stepAt(double ms) {
        for (int i = 0; i < stepEndsMs.length; i++) {
            if (ms < stepEndsMs[i]) {
                return i;
            }
        }
        return stepEndsMs.length - 1;
    }

    Trajectory simulate(ParameterSample draw) {
        int n = pools.size();
        Trajectory out = new Trajectory(n, Math.max(1, movedFractions.length));
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
        int window = Math.max(1, (int) Math.round(settings.saturationWindowMs() / STEP_MS));
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
            response[i] = pools.get(i).ownWorkMs();
        }
        double[] first = new double[zones.size()];
        for (int f = 0; f < poolOfFlow.length; f++) {
            if (poolOfFlow[f] >= 0
                    && pools.get(poolOfFlow[f])
                            .name()
                            .tier()
                            .equals(settings.tiers().get(0))) {
                first[originOfFlow[f]] += snapshot.flows().get(f).rate() * draw.flowFactors[f];
            }
        }
        double length = stepEndsMs.length == 0 ? 0 : stepEndsMs[stepEndsMs.length - 1];
        long ticks = Math.round((LEAD_IN_MS + length) / STEP_MS);
        int[] counted = new int[out.attemptRate.length];
        for (long k = 0; k < ticks; k++) {
            double at = k * STEP_MS - LEAD_IN_MS;
            int step = at < 0 ? -1 : stepAt(at);
            double keeps = step < 0 ? 1 : 1 - movedFractions[step];
            double[] from = first;
            for (int t = 0; t < poolsByTier.size(); t++) {
                Arrays.fill(inflow, 0);
                distributeFirstAttempts(t, from, keeps, draw, inflow);
                double[] next = new double[zones.size()];
                for (int i : poolsByTier.get(t)) {
                    Pool p = pools.get(i);
                    double servers = effectiveServers(p, at);
                    scale[i] = servers / Math.max(1, p.servers());
                    if (draw.arrivalNoise != null && k % NOISE_STEPS == 0) {
                        double calls = Math.max(0.1, inflow[i] * STEP_S * NOISE_STEPS);
                        noise[i] = Math.max(
                                0, 1 + draw.arrivalNoise.nextGaussian() * Math.sqrt(arrivalDispersion[i] / calls));
                    }
                    double again = attemptsPerFirstAttempt(i, t, failing[i], refusing[i]);
                    double attempts = inflow[i] * again * noise[i];
                    double rateCalls = p.callsPerAttempt() * draw.callFactors[i];
                    double callMs = rateCalls * downstreamCallMs(t, i, keeps, response, failing);
                    double speed = p.capacity()
                            * draw.capacityFactors[i]
                            * scale[i]
                            * (slow[i] ? p.degradedCapacityRatio() : 1);
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
                    double[] table = draw.arrivalNoise == null ? meanOccupancy[i] : fluidOccupancy[i];
                    working[i] = remainingInService(table, inWork, speed * STEP_S, Math.max(1e-9, scale[i]));
                    double doneWork = inWork - working[i];
                    double before = calling[i] + doneWork;
                    calling[i] = callMs <= 0 ? 0 : before / (1 + STEP_MS / callMs);
                    done[i] = (before - calling[i]) / STEP_S;
                    double workRate = doneWork / STEP_S;
                    double queueMs = workRate > 1e-6 ? 1000 * waiting[i] / workRate : waiting[i] > 0 ? 1e6 : 0;
                    double ownMs =
                            workRate > 1e-6 ? Math.max(p.ownWorkMs(), 1000 * working[i] / workRate) : p.ownWorkMs();
                    response[i] = Math.min(60_000, queueMs + ownMs + callMs);
                    if (k % LATENESS_INTERVAL_STEPS == 0) {
                        late[i] = lateFraction(p, queueMs, ownMs, callMs);
                    }
                    dropExpired(i, p, attempts, waiting, working, calling);
                    updateDegradation(
                            i,
                            p,
                            at,
                            (waiting[i] + working[i] + calling[i]) / Math.max(1, servers),
                            slow,
                            slowSince,
                            restSince);
                    next[zoneOfPool[i]] += workRate * rateCalls;
                    double fails = refused + late[i] * (in - refused);
                    double part = in > 1e-9 ? fails / in : 0;
                    failing[i] += FEEDBACK_GAIN * (part - failing[i]);
                    refusing[i] += FEEDBACK_GAIN * ((in > 1e-9 ? refused / in : 0) - refusing[i]);
                    int slot = (int) (k % window);
                    causes[i][0] *= 1 - FEEDBACK_GAIN;
                    causes[i][1] *= 1 - FEEDBACK_GAIN;
                    causes[i][2] *= 1 - FEEDBACK_GAIN;
                    causes[i][limit > slotsAll ? Resource.SLOTS.ordinal() : Resource.CONNECTIONS.ordinal()] += refused;
                    causes[i][free <= 0 ? Resource.SLOTS.ordinal() : Resource.DEADLINE.ordinal()] += fails - refused;
                    failedSum[i] += fails - failed[i][slot];
                    cameSum[i] += in - came[i][slot];
                    failed[i][slot] = fails;
                    came[i][slot] = in;
                    double slotShare = (working[i] + calling[i]) / Math.max(1, slotsAll);
                    double connectionShare = (waiting[i] + working[i] + calling[i]) / limit;
                    if (at >= 0) {
                        if (Double.isNaN(out.saturationMs[i])
                                && k >= window
                                && cameSum[i] > 1e-6
                                && failedSum[i] / cameSum[i] >= settings.saturationFailureRatio()) {
                            out.saturationMs[i] = at;
                            out.exhaustedResource[i] = dominantCause(causes[i]);
                        }
                        // The later half of a step, where its load has come.
                        if (at >= stepEndsMs[step] - plan.steps().get(step).pauseMs() / 2) {
                            int c = counted[step];
                            out.attemptRate[step][i] += (attempts - out.attemptRate[step][i]) / (c + 1);
                            out.firstAttemptRate[step][i] += (inflow[i] - out.firstAttemptRate[step][i]) / (c + 1);
                            out.slotUse[step][i] = Math.max(out.slotUse[step][i], slotShare);
                            out.connectionUse[step][i] = Math.max(out.connectionUse[step][i], connectionShare);
                            out.responseMs[step][i] += (response[i] - out.responseMs[step][i]) / (c + 1);
                            out.failureRatio[step][i] += (part - out.failureRatio[step][i]) / (c + 1);
                            out.utilisation[step][i] += (Math.min(1, attempts / Math.max(1e-9, speed))
                                            - out.utilisation[step][i])
                                    / (c + 1);
                        }
                    }
                }
                from = next;
            }
            if (at >= 0 && at >= stepEndsMs[step] - plan.steps().get(step).pauseMs() / 2) {
                counted[step]++;
            }
        }
        System.arraycopy(failing, 0, out.finalFailureRatio, 0, n);
        return out;
    }

    private static Resource dominantCause(double[] causes) {
        Resource most = Resource.DEADLINE;
        for (Resource r : Resource.values()) {
            if (causes[r.ordinal()] > causes[most.ordinal()]) {
                most = r;
            }
        }
        return most;
    }

    /** First tries go where they go usually, what a zone does not keep to the others by their slots. */
    private void distributeFirstAttempts(int t, double[] from, double keeps, ParameterSample draw, double[] inflow) {
        double[] weight = new double[zones.size()];
        double all = 0;
        for (int i : poolsByTier.get(t)) {
            if (zoneOfPool[i] != evacuatedZone) {
                double w = totalSlots(i) * pools.get(i).correction() * draw.correctionFactors[i];
                weight[zoneOfPool[i]] += w;
                all += w;
            }
        }
        double[] to = new double[zones.size()];
        for (int o = 0; o < zones.size(); o++) {
            double moved = evacuatedZone < 0 ? 0 : from[o] * usualRouting[t][o][evacuatedZone] * (1 - keeps);
            for (int z = 0; z < zones.size(); z++) {
                to[z] += from[o] * usualRouting[t][o][z] * (z == evacuatedZone ? keeps : 1);
                to[z] += all > 0 ? moved * weight[z] / all : 0;
            }
        }
        for (int i : poolsByTier.get(t)) {
            inflow[i] += to[zoneOfPool[i]] * shareInZone[i];
        }
    }

    private double effectiveServers(Pool p, double at) {
        double servers = p.servers();
        for (EvacuationPlan.AddedServers c : plan.addedServers()) {
            if (c.pool().equals(p.name()) && at >= c.afterMs()) {
                double warm = p.warmUpMs() <= 0
                        ? 1
                        : Math.min(
                                1,
                                p.coldCapacityRatio()
                                        + (1 - p.coldCapacityRatio()) * (at - c.afterMs()) / p.warmUpMs());
                servers += c.servers() * warm;
            }
        }
        return servers;
    }

    /** How many tries come for a first one: nodes' within attempts and budget, clients' within theirs. */
    private double attemptsPerFirstAttempt(int i, int t, double failing, double refusing) {
        double node = 0;
        double q = refusing;
        for (int a = 1; a < settings.maxAttempts(); a++) {
            node += q;
            q *= refusing;
        }
        node = Math.min(node, settings.retryBudget());
        double client = 0;
        if (t == 0) {
            double repeatable = 0;
            double all = 0;
            for (Map.Entry<String, Double> c : pools.get(i).classMix().entrySet()) {
                all += c.getValue();
                repeatable += settings.isIdempotent(c.getKey()) ? c.getValue() : 0;
            }
            double lost = node >= settings.retryBudget() ? refusing : Math.pow(refusing, settings.maxAttempts());
            // Refused calls have not run and may all be tried again; late ones end with their client's time.
            double q1 = Math.min(0.95, lost + (all > 0 ? repeatable / all : 1) * Math.max(0, failing - refusing) / 2);
            double power = q1;
            for (int a = 1; a < settings.maxClientAttempts(); a++) {
                client += power;
                power *= q1;
            }
        }
        return (1 + node) * (1 + client);
    }

    /** The time of a call to the next tier, as the pool's zone sends them. */
    private double downstreamCallMs(int t, int i, double keeps, double[] response, double[] failing) {
        if (t + 1 >= poolsByTier.size()) {
            return 0;
        }
        double sum = 0;
        double weight = 0;
        for (int j : poolsByTier.get(t + 1)) {
            double w = usualRouting[t + 1][zoneOfPool[i]][zoneOfPool[j]] * shareInZone[j];
            if (zoneOfPool[j] == evacuatedZone) {
                w *= keeps;
            } else if (evacuatedZone >= 0) {
                w += usualRouting[t + 1][zoneOfPool[i]][evacuatedZone]
                        * (1 - keeps)
                        * totalSlots(j)
                        / Math.max(1, slotsOutsideEvacuatedZone(t + 1));
            }
            // A call that is turned away comes back at once.
            sum += w * response[j] * (1 - Math.min(1, failing[j]) / 2);
            weight += w;
        }
        return weight > 0 ? sum / weight : 0;
    }

    private double slotsOutsideEvacuatedZone(int t) {
        double all = 0;
        for (int j : poolsByTier.get(t)) {
            all += zoneOfPool[j] == evacuatedZone ? 0 : totalSlots(j);
        }
        return all;
    }

    /** The part of calls that take longer than their classes' time: their work is taken for lognormal. */
    private double lateFraction(Pool p, double queueMs, double ownMs, double callMs) {
        double stretch = Math.max(1, ownMs / Math.max(1e-6, p.ownWorkMs()));
        double sigma2 = Math.log1p(Math.max(0.01, p.squaredVariation()));
        double mu = Math.log(Math.max(1e-6, p.ownWorkMs())) - sigma2 / 2;
        double sum = 0;
        double all = 0;
        for (Map.Entry<String, Double> c : p.classMix().entrySet()) {
            double left = (settings.deadlineMs(c.getKey()) - queueMs - callMs) / stretch;
            double part = left <= 0 ? 1 : 0.5 * Erf.erfc((Math.log(left) - mu) / Math.sqrt(2 * sigma2));
            sum += c.getValue() * part;
            all += c.getValue();
        }
        return all > 0 ? sum / all : 0;
    }

    /** Nobody stays longer than the longest deadline. */
    private void dropExpired(int i, Pool p, double attempts, double[] waiting, double[] working, double[] calling) {
        double most = p.classMix().keySet().stream()
                        .mapToDouble(settings::deadlineMs)
                        .max()
                        .orElse(10_000)
                / 1000;
        double over = waiting[i] + working[i] + calling[i] - Math.max(1, attempts * most);
        if (over > 0) {
            double gone = Math.min(over, waiting[i]);
            waiting[i] -= gone;
            double more = Math.min(over - gone, working[i]);
            working[i] -= more;
            calling[i] = Math.max(0, calling[i] - (over - gone - more));
        }
    }

    private static void updateDegradation(
            int i, Pool p, double at, double each, boolean[] slow, double[] since, double[] rest) {
        if (p.degradedAtCalls() <= 0 || p.degradedCapacityRatio() >= 1) {
            return;
        }
        if (!slow[i]) {
            if (each < p.degradedAtCalls()) {
                since[i] = Double.NaN;
            } else if (Double.isNaN(since[i])) {
                since[i] = at;
            } else if (at - since[i] >= DEGRADES_AFTER_MS) {
                slow[i] = true;
                rest[i] = Double.NaN;
            }
        } else if (each > p.degradedAtCalls() / 4) {
            rest[i] = Double.NaN;
        } else if (Double.isNaN(rest[i])) {
            rest[i] = at;
        } else if (at - rest[i] >= RECOVERS_AFTER_MS) {
            slow[i] = false;
            since[i] = Double.NaN;
        }
    }
}
