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
 * A fluid simulation of a plan through all pools. The number of attempts in service in each pool follows the pointwise
 * stationary fluid flow approximation (Wang, Tipper and Banerjee, A new method for analyzing time-varying queues,
 * Performance Evaluation 1996): the pool completes as much as a stationary M/G/c queue with the same number in the
 * system, whose queue length is Sakasegawa's. With random arrivals the queues arise from the noise itself (a reflected
 * diffusion: Kingman, On queues in heavy traffic, 1962), and Sakasegawa's term is left out. Attempts call the next tier
 * while they hold their slot, so a slow pool fills the slots of its callers, and a full pool relieves those it calls.
 */
final class FluidModel {
    private static final double STEP_MS = 50;
    private static final double STEP_S = STEP_MS / 1000;
    /** The time before the plan's start: long enough for the pools to fill to the level of their usual load. */
    private static final double LEAD_IN_MS = 10_000;

    private static final int GRID_SIZE = 400;
    private static final double MAX_GRID_LOAD = 0.9975;
    /** How many steps each noise value lasts. */
    private static final int NOISE_STEPS = 2;
    /** The fraction of late attempts is recomputed once in so many steps. */
    private static final int LATENESS_INTERVAL_STEPS = 4;
    /** How fast retries by clients and nodes follow the failure ratio, per step. */
    private static final double FEEDBACK_GAIN = 0.1;

    private static final double DEGRADES_AFTER_MS = 2000;
    private static final double RECOVERS_AFTER_MS = 3500;

    /** Random factors on the values of the snapshot; and the source of arrival noise, or null for none. */
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

    /** The result of one simulation: per pool, and per step and pool. */
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
    /** For each tier, the indices of its pools. */
    private final List<int[]> poolsByTier = new ArrayList<>();

    private final int[] zoneOfPool;
    /** The fraction of its zone's load of the tier that each pool takes. */
    private final double[] shareInZone;
    /** By tier, origin and zone: the fraction of the origin's load that usually goes to the zone. */
    private final double[][][] usualRouting;
    /** For each flow, the zone of its origin and its pool, as indices. */
    private final int[] originOfFlow;

    private final int[] poolOfFlow;
    private final double[][] meanOccupancy;
    private final double[][] fluidOccupancy;
    private final double[] arrivalDispersion;

    /** Prepares simulations of a plan; {@code movedFractions} may differ from those of the plan's own steps. */
    FluidModel(PoolSnapshot snapshot, EvacuationPlan plan, double[] movedFractions) {
        this.snapshot = snapshot;
        this.plan = plan;
        this.settings = snapshot.settings();
        this.pools = snapshot.pools();
        this.zones = new ArrayList<>(snapshot.zones());
        for (Flow flow : snapshot.flows()) {
            if (!zones.contains(flow.origin())) {
                zones.add(flow.origin());
            }
        }
        this.evacuatedZone = zones.indexOf(plan.zone());
        this.movedFractions = movedFractions;
        stepEndsMs = new double[movedFractions.length];
        double endMs = 0;
        for (int i = 0; i < stepEndsMs.length; i++) {
            endMs += plan.steps().get(i).pauseMs();
            stepEndsMs[i] = endMs;
        }
        zoneOfPool =
                pools.stream().mapToInt(p -> zones.indexOf(p.name().zone())).toArray();
        for (String tier : settings.tiers()) {
            List<Integer> poolIndices = new ArrayList<>();
            for (int i = 0; i < pools.size(); i++) {
                if (pools.get(i).name().tier().equals(tier)) {
                    poolIndices.add(i);
                }
            }
            poolsByTier.add(poolIndices.stream().mapToInt(Integer::intValue).toArray());
        }
        originOfFlow = snapshot.flows().stream()
                .mapToInt(flow -> zones.indexOf(flow.origin()))
                .toArray();
        poolOfFlow =
                snapshot.flows().stream().mapToInt(flow -> indexOf(flow.pool())).toArray();
        shareInZone = new double[pools.size()];
        usualRouting = new double[poolsByTier.size()][zones.size()][zones.size()];
        for (int tierIndex = 0; tierIndex < poolsByTier.size(); tierIndex++) {
            computeSharesInZone(poolsByTier.get(tierIndex));
            computeUsualRouting(tierIndex);
        }
        meanOccupancy = new double[pools.size()][];
        fluidOccupancy = new double[pools.size()][];
        arrivalDispersion = new double[pools.size()];
        for (int i = 0; i < pools.size(); i++) {
            Pool pool = pools.get(i);
            meanOccupancy[i] = occupancyTable(pool, true);
            fluidOccupancy[i] = occupancyTable(pool, false);
            arrivalDispersion[i] = 1 + (isSlotLimited(pool) ? pool.squaredVariation() : 1);
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

    private void computeSharesInZone(int[] tier) {
        for (int i : tier) {
            double ownRate = pools.get(i).attemptRate();
            double zoneRate = 0;
            double zoneSlots = 0;
            for (int j : tier) {
                if (zoneOfPool[j] == zoneOfPool[i]) {
                    zoneRate += pools.get(j).attemptRate();
                    zoneSlots += totalSlots(j);
                }
            }
            shareInZone[i] = zoneRate > 0 ? ownRate / zoneRate : zoneSlots > 0 ? totalSlots(i) / zoneSlots : 0;
        }
    }

    private double totalSlots(int pool) {
        return pools.get(pool).servers() * pools.get(pool).slots();
    }

    private void computeUsualRouting(int tier) {
        for (int flow = 0; flow < poolOfFlow.length; flow++) {
            if (poolOfFlow[flow] >= 0
                    && pools.get(poolOfFlow[flow])
                            .name()
                            .tier()
                            .equals(settings.tiers().get(tier))) {
                usualRouting[tier][originOfFlow[flow]][zoneOfPool[poolOfFlow[flow]]] +=
                        snapshot.flows().get(flow).rate();
            }
        }
        for (int origin = 0; origin < zones.size(); origin++) {
            double sum = Arrays.stream(usualRouting[tier][origin]).sum();
            if (sum > 0) {
                for (int zone = 0; zone < zones.size(); zone++) {
                    usualRouting[tier][origin][zone] /= sum;
                }
            } else {
                usualRouting[tier][origin][origin] = 1;
            }
        }
    }

    /**
     * Whether attempts queue for slots. With more slots than the servers can work on, attempts share the servers evenly
     * instead, and the variation of the work does not matter.
     */
    private static boolean isSlotLimited(Pool pool) {
        return pool.slots() * pool.servers() <= Math.max(1, pool.concurrency()) * 1.05;
    }

    /** The number in the system at each load of the grid, with the mean queue or as a fluid without any queue. */
    private static double[] occupancyTable(Pool pool, boolean withQueue) {
        double[] occupancy = new double[GRID_SIZE + 1];
        double concurrency = Math.max(1, pool.concurrency());
        double factor = !withQueue ? 0 : isSlotLimited(pool) ? (1 + pool.squaredVariation()) / 2 : 1;
        for (int i = 0; i <= GRID_SIZE; i++) {
            double rho = MAX_GRID_LOAD * i / GRID_SIZE;
            occupancy[i] = concurrency * rho + factor * Queues.sakasegawaQueueLength(concurrency, rho);
        }
        return occupancy;
    }

    /**
     * The number left in service at the end of a step that is consistent with the step's completions: solves
     * occupancy + maxCompletions * rho(occupancy) = inService on the grid. This implicit step prevents oscillation
     * where a step is longer than the work of an attempt.
     *
     * @param maxCompletions the most that all servers can complete in a step
     * @param scale the number of servers relative to that for which the table was made
     */
    private static double remainingInService(
            double[] occupancy, double inService, double maxCompletions, double scale) {
        if (inService >= occupancy[GRID_SIZE] * scale + MAX_GRID_LOAD * maxCompletions) {
            return inService
                    - maxCompletions
                            * Math.min(
                                    1,
                                    MAX_GRID_LOAD
                                            + (1 - MAX_GRID_LOAD)
                                                    * (inService
                                                                    / (occupancy[GRID_SIZE] * scale
                                                                            + MAX_GRID_LOAD * maxCompletions)
                                                            - 1));
        }
        int low = 0;
        int high = GRID_SIZE;
        while (high - low > 1) {
            int mid = (low + high) >>> 1;
            if (occupancy[mid] * scale + MAX_GRID_LOAD * mid / GRID_SIZE * maxCompletions <= inService) {
                low = mid;
            } else {
                high = mid;
            }
        }
        double atLow = occupancy[low] * scale + MAX_GRID_LOAD * low / GRID_SIZE * maxCompletions;
        double atHigh = occupancy[high] * scale + MAX_GRID_LOAD * high / GRID_SIZE * maxCompletions;
        double interpolation = (inService - atLow) / Math.max(1e-12, atHigh - atLow);
        return scale * (occupancy[low] + interpolation * (occupancy[high] - occupancy[low]));
    }

    int stepAt(double ms) {
        for (int i = 0; i < stepEndsMs.length; i++) {
            if (ms < stepEndsMs[i]) {
                return i;
            }
        }
        return stepEndsMs.length - 1;
    }

    Trajectory simulate(ParameterSample sample) {
        int poolCount = pools.size();
        Trajectory trajectory = new Trajectory(poolCount, Math.max(1, movedFractions.length));
        double[] waiting = new double[poolCount];
        double[] inService = new double[poolCount];
        double[] inDownstreamCall = new double[poolCount];
        double[] completionRate = new double[poolCount];
        double[] failureRatio = new double[poolCount];
        double[] rejectionRatio = new double[poolCount];
        double[] lateRatio = new double[poolCount];
        double[] responseMs = new double[poolCount];
        double[] noiseFactor = new double[poolCount];
        double[] overloadedSinceMs = new double[poolCount];
        double[] recoveringSinceMs = new double[poolCount];
        boolean[] degraded = new boolean[poolCount];
        double[] firstAttemptRate = new double[poolCount];
        int windowSteps = Math.max(1, (int) Math.round(settings.saturationWindowMs() / STEP_MS));
        double[][] failedInWindow = new double[poolCount][windowSteps];
        double[][] arrivedInWindow = new double[poolCount][windowSteps];
        double[] failedSum = new double[poolCount];
        double[] arrivedSum = new double[poolCount];
        double[] serverScale = new double[poolCount];
        double[][] failureCauses = new double[poolCount][Resource.values().length];
        Arrays.fill(noiseFactor, 1);
        Arrays.fill(overloadedSinceMs, Double.NaN);
        Arrays.fill(recoveringSinceMs, Double.NaN);
        for (int i = 0; i < poolCount; i++) {
            responseMs[i] = pools.get(i).ownWorkMs();
        }
        double[] clientRateByZone = new double[zones.size()];
        for (int flow = 0; flow < poolOfFlow.length; flow++) {
            if (poolOfFlow[flow] >= 0
                    && pools.get(poolOfFlow[flow])
                            .name()
                            .tier()
                            .equals(settings.tiers().get(0))) {
                clientRateByZone[originOfFlow[flow]] +=
                        snapshot.flows().get(flow).rate() * sample.flowFactors[flow];
            }
        }
        double durationMs = stepEndsMs.length == 0 ? 0 : stepEndsMs[stepEndsMs.length - 1];
        long timeSteps = Math.round((LEAD_IN_MS + durationMs) / STEP_MS);
        int[] sampleCounts = new int[trajectory.attemptRate.length];
        for (long timeStep = 0; timeStep < timeSteps; timeStep++) {
            double timeMs = timeStep * STEP_MS - LEAD_IN_MS;
            int planStep = timeMs < 0 ? -1 : stepAt(timeMs);
            double retained = planStep < 0 ? 1 : 1 - movedFractions[planStep];
            double[] rateByZone = clientRateByZone;
            for (int tier = 0; tier < poolsByTier.size(); tier++) {
                Arrays.fill(firstAttemptRate, 0);
                distributeFirstAttempts(tier, rateByZone, retained, sample, firstAttemptRate);
                double[] nextRateByZone = new double[zones.size()];
                for (int i : poolsByTier.get(tier)) {
                    Pool pool = pools.get(i);
                    double servers = effectiveServers(pool, timeMs);
                    serverScale[i] = servers / Math.max(1, pool.servers());
                    if (sample.arrivalNoise != null && timeStep % NOISE_STEPS == 0) {
                        double expectedArrivals = Math.max(0.1, firstAttemptRate[i] * STEP_S * NOISE_STEPS);
                        noiseFactor[i] = Math.max(
                                0,
                                1
                                        + sample.arrivalNoise.nextGaussian()
                                                * Math.sqrt(arrivalDispersion[i] / expectedArrivals));
                    }
                    double attemptsPerFirst = attemptsPerFirstAttempt(i, tier, failureRatio[i], rejectionRatio[i]);
                    double attemptRate = firstAttemptRate[i] * attemptsPerFirst * noiseFactor[i];
                    double callsPerAttempt = pool.callsPerAttempt() * sample.callFactors[i];
                    double downstreamMs =
                            callsPerAttempt * downstreamCallMs(tier, i, retained, responseMs, failureRatio);
                    double capacity = pool.capacity()
                            * sample.capacityFactors[i]
                            * serverScale[i]
                            * (degraded[i] ? pool.degradedCapacityRatio() : 1);
                    double slots = servers * pool.slots();
                    double maxOpen = servers * Math.max(1, pool.connections());
                    double arrived = attemptRate * STEP_S;
                    double open = waiting[i] + inService[i] + inDownstreamCall[i];
                    double rejected = Math.min(arrived, Math.max(0, open + arrived - maxOpen));
                    double freeSlots = Math.max(0, slots - inService[i] - inDownstreamCall[i]);
                    waiting[i] += arrived - rejected;
                    double started = Math.min(waiting[i], freeSlots);
                    waiting[i] -= started;
                    double inServiceBefore = inService[i] + started;
                    double[] occupancy = sample.arrivalNoise == null ? meanOccupancy[i] : fluidOccupancy[i];
                    inService[i] = remainingInService(
                            occupancy, inServiceBefore, capacity * STEP_S, Math.max(1e-9, serverScale[i]));
                    double served = inServiceBefore - inService[i];
                    double inCallBefore = inDownstreamCall[i] + served;
                    inDownstreamCall[i] = downstreamMs <= 0 ? 0 : inCallBefore / (1 + STEP_MS / downstreamMs);
                    completionRate[i] = (inCallBefore - inDownstreamCall[i]) / STEP_S;
                    double serviceRate = served / STEP_S;
                    double queueMs = serviceRate > 1e-6 ? 1000 * waiting[i] / serviceRate : waiting[i] > 0 ? 1e6 : 0;
                    double ownMs = serviceRate > 1e-6
                            ? Math.max(pool.ownWorkMs(), 1000 * inService[i] / serviceRate)
                            : pool.ownWorkMs();
                    responseMs[i] = Math.min(60_000, queueMs + ownMs + downstreamMs);
                    if (timeStep % LATENESS_INTERVAL_STEPS == 0) {
                        lateRatio[i] = lateFraction(pool, queueMs, ownMs, downstreamMs);
                    }
                    dropExpired(i, pool, attemptRate, waiting, inService, inDownstreamCall);
                    updateDegradation(
                            i,
                            pool,
                            timeMs,
                            (waiting[i] + inService[i] + inDownstreamCall[i]) / Math.max(1, servers),
                            degraded,
                            overloadedSinceMs,
                            recoveringSinceMs);
                    nextRateByZone[zoneOfPool[i]] += serviceRate * callsPerAttempt;
                    double failures = rejected + lateRatio[i] * (arrived - rejected);
                    double stepFailureRatio = arrived > 1e-9 ? failures / arrived : 0;
                    failureRatio[i] += FEEDBACK_GAIN * (stepFailureRatio - failureRatio[i]);
                    rejectionRatio[i] +=
                            FEEDBACK_GAIN * ((arrived > 1e-9 ? rejected / arrived : 0) - rejectionRatio[i]);
                    int windowSlot = (int) (timeStep % windowSteps);
                    failureCauses[i][0] *= 1 - FEEDBACK_GAIN;
                    failureCauses[i][1] *= 1 - FEEDBACK_GAIN;
                    failureCauses[i][2] *= 1 - FEEDBACK_GAIN;
                    failureCauses[i][maxOpen > slots ? Resource.SLOTS.ordinal() : Resource.CONNECTIONS.ordinal()] +=
                            rejected;
                    failureCauses[i][freeSlots <= 0 ? Resource.SLOTS.ordinal() : Resource.DEADLINE.ordinal()] +=
                            failures - rejected;
                    failedSum[i] += failures - failedInWindow[i][windowSlot];
                    arrivedSum[i] += arrived - arrivedInWindow[i][windowSlot];
                    failedInWindow[i][windowSlot] = failures;
                    arrivedInWindow[i][windowSlot] = arrived;
                    double slotUse = (inService[i] + inDownstreamCall[i]) / Math.max(1, slots);
                    double connectionUse = (waiting[i] + inService[i] + inDownstreamCall[i]) / maxOpen;
                    if (timeMs >= 0) {
                        if (Double.isNaN(trajectory.saturationMs[i])
                                && timeStep >= windowSteps
                                && arrivedSum[i] > 1e-6
                                && failedSum[i] / arrivedSum[i] >= settings.saturationFailureRatio()) {
                            trajectory.saturationMs[i] = timeMs;
                            trajectory.exhaustedResource[i] = dominantCause(failureCauses[i]);
                        }
                        // Sampled in the second half of a step, when the step's load has arrived.
                        if (timeMs
                                >= stepEndsMs[planStep]
                                        - plan.steps().get(planStep).pauseMs() / 2) {
                            int samples = sampleCounts[planStep];
                            trajectory.attemptRate[planStep][i] +=
                                    (attemptRate - trajectory.attemptRate[planStep][i]) / (samples + 1);
                            trajectory.firstAttemptRate[planStep][i] +=
                                    (firstAttemptRate[i] - trajectory.firstAttemptRate[planStep][i]) / (samples + 1);
                            trajectory.slotUse[planStep][i] = Math.max(trajectory.slotUse[planStep][i], slotUse);
                            trajectory.connectionUse[planStep][i] =
                                    Math.max(trajectory.connectionUse[planStep][i], connectionUse);
                            trajectory.responseMs[planStep][i] +=
                                    (responseMs[i] - trajectory.responseMs[planStep][i]) / (samples + 1);
                            trajectory.failureRatio[planStep][i] +=
                                    (stepFailureRatio - trajectory.failureRatio[planStep][i]) / (samples + 1);
                            trajectory.utilisation[planStep][i] += (Math.min(1, attemptRate / Math.max(1e-9, capacity))
                                            - trajectory.utilisation[planStep][i])
                                    / (samples + 1);
                        }
                    }
                }
                rateByZone = nextRateByZone;
            }
            if (timeMs >= 0
                    && timeMs
                            >= stepEndsMs[planStep] - plan.steps().get(planStep).pauseMs() / 2) {
                sampleCounts[planStep]++;
            }
        }
        System.arraycopy(failureRatio, 0, trajectory.finalFailureRatio, 0, poolCount);
        return trajectory;
    }

    private static Resource dominantCause(double[] causes) {
        Resource dominant = Resource.DEADLINE;
        for (Resource resource : Resource.values()) {
            if (causes[resource.ordinal()] > causes[dominant.ordinal()]) {
                dominant = resource;
            }
        }
        return dominant;
    }

    /** Routes first attempts as usual; what the evacuated zone gives up goes to the others in proportion to slots. */
    private void distributeFirstAttempts(
            int tier, double[] rateByZone, double retained, ParameterSample sample, double[] firstAttemptRate) {
        double[] weightByZone = new double[zones.size()];
        double totalWeight = 0;
        for (int i : poolsByTier.get(tier)) {
            if (zoneOfPool[i] != evacuatedZone) {
                double weight = totalSlots(i) * pools.get(i).correction() * sample.correctionFactors[i];
                weightByZone[zoneOfPool[i]] += weight;
                totalWeight += weight;
            }
        }
        double[] rateToZone = new double[zones.size()];
        for (int origin = 0; origin < zones.size(); origin++) {
            double movedRate = evacuatedZone < 0
                    ? 0
                    : rateByZone[origin] * usualRouting[tier][origin][evacuatedZone] * (1 - retained);
            for (int zone = 0; zone < zones.size(); zone++) {
                rateToZone[zone] +=
                        rateByZone[origin] * usualRouting[tier][origin][zone] * (zone == evacuatedZone ? retained : 1);
                rateToZone[zone] += totalWeight > 0 ? movedRate * weightByZone[zone] / totalWeight : 0;
            }
        }
        for (int i : poolsByTier.get(tier)) {
            firstAttemptRate[i] += rateToZone[zoneOfPool[i]] * shareInZone[i];
        }
    }

    private double effectiveServers(Pool pool, double timeMs) {
        double servers = pool.servers();
        for (EvacuationPlan.AddedServers added : plan.addedServers()) {
            if (added.pool().equals(pool.name()) && timeMs >= added.afterMs()) {
                double warmFraction = pool.warmUpMs() <= 0
                        ? 1
                        : Math.min(
                                1,
                                pool.coldCapacityRatio()
                                        + (1 - pool.coldCapacityRatio())
                                                * (timeMs - added.afterMs())
                                                / pool.warmUpMs());
                servers += added.servers() * warmFraction;
            }
        }
        return servers;
    }

    /** Attempts per first attempt: nodes retry within their attempts and budget, clients within their own limit. */
    private double attemptsPerFirstAttempt(int pool, int tier, double failureRatio, double rejectionRatio) {
        double nodeRetries = 0;
        double retryProbability = rejectionRatio;
        for (int attempt = 1; attempt < settings.maxAttempts(); attempt++) {
            nodeRetries += retryProbability;
            retryProbability *= rejectionRatio;
        }
        nodeRetries = Math.min(nodeRetries, settings.retryBudget());
        double clientRetries = 0;
        if (tier == 0) {
            double idempotentShare = 0;
            double totalShare = 0;
            for (Map.Entry<String, Double> entry : pools.get(pool).classMix().entrySet()) {
                totalShare += entry.getValue();
                idempotentShare += settings.isIdempotent(entry.getKey()) ? entry.getValue() : 0;
            }
            double rejectedAfterRetries = nodeRetries >= settings.retryBudget()
                    ? rejectionRatio
                    : Math.pow(rejectionRatio, settings.maxAttempts());
            // Rejected requests have not run and may all be retried; late ones end with their client's deadline.
            double clientRetryProbability = Math.min(
                    0.95,
                    rejectedAfterRetries
                            + (totalShare > 0 ? idempotentShare / totalShare : 1)
                                    * Math.max(0, failureRatio - rejectionRatio)
                                    / 2);
            double probability = clientRetryProbability;
            for (int attempt = 1; attempt < settings.maxClientAttempts(); attempt++) {
                clientRetries += probability;
                probability *= clientRetryProbability;
            }
        }
        return (1 + nodeRetries) * (1 + clientRetries);
    }

    /** The mean time of a call to the next tier, weighted by where the pool's zone sends its calls. */
    private double downstreamCallMs(int tier, int caller, double retained, double[] responseMs, double[] failureRatio) {
        if (tier + 1 >= poolsByTier.size()) {
            return 0;
        }
        double sum = 0;
        double totalWeight = 0;
        for (int callee : poolsByTier.get(tier + 1)) {
            double weight = usualRouting[tier + 1][zoneOfPool[caller]][zoneOfPool[callee]] * shareInZone[callee];
            if (zoneOfPool[callee] == evacuatedZone) {
                weight *= retained;
            } else if (evacuatedZone >= 0) {
                weight += usualRouting[tier + 1][zoneOfPool[caller]][evacuatedZone]
                        * (1 - retained)
                        * totalSlots(callee)
                        / Math.max(1, slotsOutsideEvacuatedZone(tier + 1));
            }
            // A rejected call returns at once.
            sum += weight * responseMs[callee] * (1 - Math.min(1, failureRatio[callee]) / 2);
            totalWeight += weight;
        }
        return totalWeight > 0 ? sum / totalWeight : 0;
    }

    private double slotsOutsideEvacuatedZone(int tier) {
        double total = 0;
        for (int pool : poolsByTier.get(tier)) {
            total += zoneOfPool[pool] == evacuatedZone ? 0 : totalSlots(pool);
        }
        return total;
    }

    /** The fraction of attempts that exceed the deadline of their class, with lognormal work. */
    private double lateFraction(Pool pool, double queueMs, double ownMs, double downstreamMs) {
        double stretch = Math.max(1, ownMs / Math.max(1e-6, pool.ownWorkMs()));
        double sigma2 = Math.log1p(Math.max(0.01, pool.squaredVariation()));
        double mu = Math.log(Math.max(1e-6, pool.ownWorkMs())) - sigma2 / 2;
        double weightedLate = 0;
        double totalShare = 0;
        for (Map.Entry<String, Double> entry : pool.classMix().entrySet()) {
            double remainingMs = (settings.deadlineMs(entry.getKey()) - queueMs - downstreamMs) / stretch;
            double lateProbability =
                    remainingMs <= 0 ? 1 : 0.5 * Erf.erfc((Math.log(remainingMs) - mu) / Math.sqrt(2 * sigma2));
            weightedLate += entry.getValue() * lateProbability;
            totalShare += entry.getValue();
        }
        return totalShare > 0 ? weightedLate / totalShare : 0;
    }

    /** Drops attempts beyond those that arrive within the longest deadline: none stays longer than that. */
    private void dropExpired(
            int i, Pool pool, double attemptRate, double[] waiting, double[] inService, double[] inDownstreamCall) {
        double maxSeconds = pool.classMix().keySet().stream()
                        .mapToDouble(settings::deadlineMs)
                        .max()
                        .orElse(10_000)
                / 1000;
        double excess = waiting[i] + inService[i] + inDownstreamCall[i] - Math.max(1, attemptRate * maxSeconds);
        if (excess > 0) {
            double dropped = Math.min(excess, waiting[i]);
            waiting[i] -= dropped;
            double droppedInService = Math.min(excess - dropped, inService[i]);
            inService[i] -= droppedInService;
            inDownstreamCall[i] = Math.max(0, inDownstreamCall[i] - (excess - dropped - droppedInService));
        }
    }

    private static void updateDegradation(
            int i,
            Pool pool,
            double timeMs,
            double openPerServer,
            boolean[] degraded,
            double[] overloadedSinceMs,
            double[] recoveringSinceMs) {
        if (pool.degradedAtCalls() <= 0 || pool.degradedCapacityRatio() >= 1) {
            return;
        }
        if (!degraded[i]) {
            if (openPerServer < pool.degradedAtCalls()) {
                overloadedSinceMs[i] = Double.NaN;
            } else if (Double.isNaN(overloadedSinceMs[i])) {
                overloadedSinceMs[i] = timeMs;
            } else if (timeMs - overloadedSinceMs[i] >= DEGRADES_AFTER_MS) {
                degraded[i] = true;
                recoveringSinceMs[i] = Double.NaN;
            }
        } else if (openPerServer > pool.degradedAtCalls() / 4) {
            recoveringSinceMs[i] = Double.NaN;
        } else if (Double.isNaN(recoveringSinceMs[i])) {
            recoveringSinceMs[i] = timeMs;
        } else if (timeMs - recoveringSinceMs[i] >= RECOVERS_AFTER_MS) {
            degraded[i] = false;
            overloadedSinceMs[i] = Double.NaN;
        }
    }
}
