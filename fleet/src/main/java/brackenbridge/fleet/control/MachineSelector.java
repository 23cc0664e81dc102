package brackenbridge.fleet.control;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Selects the control machine that a node connects to next, and the delay before. The machines of its own region come
 * first, in a random order per node, so that nodes spread over them without a coordinator; then the others, in a random
 * order per round, so that the nodes of a lost machine spread over all remaining ones. Backoff has full jitter.
 */
final class MachineSelector {
    /** Guards against overflow of the doubled bound, whose limit is reached long before. */
    private static final int MAX_DOUBLINGS = 16;

    /** The next connection attempt: the machine, and the delay before in milliseconds. */
    record Attempt(ControlMachine machine, double delayMs) {}

    private final List<ControlMachine> machines;
    private final String region;
    private final ControlLimits limits;
    private final RandomGenerator random;
    private List<ControlMachine> currentRound = List.of();
    private int position;
    private int failures;
    private int unconfirmedRounds;
    private boolean started;
    private double pendingRetryAfterMs;

    MachineSelector(List<ControlMachine> machines, String region, ControlLimits limits, RandomGenerator random) {
        if (machines.isEmpty()) {
            throw new IllegalArgumentException("no control machine is configured");
        }
        this.machines = List.copyOf(machines);
        this.region = region;
        this.limits = limits;
        this.random = random;
    }

    /** The next attempt. */
    Attempt next() {
        if (!started) {
            started = true;
            startRound();
            return new Attempt(currentRound.get(0), random.nextDouble() * limits.startSpreadMs());
        }
        if (position >= currentRound.size()) {
            startRound();
        }
        double delayMs = pendingRetryAfterMs > 0 ? pendingRetryAfterMs : random.nextDouble() * retryBoundMs();
        pendingRetryAfterMs = 0;
        return new Attempt(currentRound.get(position), delayMs);
    }

    private double retryBoundMs() {
        double boundMs = limits.retryBaseMs() * (1L << Math.min(Math.max(0, failures - 1), MAX_DOUBLINGS));
        return Math.min(limits.retryMaxMs(), boundMs);
    }

    private void startRound() {
        List<ControlMachine> ownRegion = new ArrayList<>();
        List<ControlMachine> otherRegions = new ArrayList<>();
        machines.forEach(machine -> (isHome(machine) ? ownRegion : otherRegions).add(machine));
        shuffle(ownRegion);
        shuffle(otherRegions);
        ownRegion.addAll(otherRegions);
        currentRound = ownRegion;
        position = 0;
    }

    private void shuffle(List<ControlMachine> list) {
        for (int i = list.size() - 1; i > 0; i--) {
            int swapIndex = random.nextInt(i + 1);
            ControlMachine swapped = list.get(i);
            list.set(i, list.get(swapIndex));
            list.set(swapIndex, swapped);
        }
    }

    boolean isHome(ControlMachine machine) {
        return machine.region().equals(region);
    }

    /** The serving machine sent a confirmed heartbeat. */
    void onConfirmed() {
        failures = 0;
        unconfirmedRounds = 0;
    }

    /** The connection failed, was lost or was rejected: moves on to the next machine. */
    void onFailed() {
        failures++;
        position++;
        if (position >= currentRound.size()) {
            unconfirmedRounds++;
        }
    }

    /** The machine sent a Retry-After: the next attempt goes to the same machine after this delay. */
    void onRetryAfter(double retryAfterMs) {
        // Adds jitter: the machine spreads its Retry-After values, but two nodes may still retry in the same
        // millisecond.
        pendingRetryAfterMs = retryAfterMs + random.nextDouble() * limits.heartbeatMs() / 2;
    }

    /** The node returns to its own region. */
    void returnHome() {
        startRound();
    }

    /**
     * How long to stay with a machine whose heartbeats are not confirmed. Doubles with each round without a confirmed
     * machine, so that nodes do not keep moving from machine to machine while no majority can be reached.
     */
    double unconfirmedTimeoutMs() {
        double maxMs = limits.returnHomeMaxMs();
        return Math.min(maxMs, limits.unconfirmedTimeoutMs() * (1L << Math.min(unconfirmedRounds, MAX_DOUBLINGS)));
    }

    /** How long to stay with a machine of another region; drawn at random. */
    double returnHomeDelayMs() {
        return limits.returnHomeMinMs() + random.nextDouble() * (limits.returnHomeMaxMs() - limits.returnHomeMinMs());
    }
}
