package brackenbridge.fleet.control;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Decides which control machine a node connects to next and when: the machines of its own region first, in an order
 * drawn for this node, so that nodes spread over them without a coordinator; then the others, in an order drawn anew
 * for each round, so that the nodes of a lost machine spread over all that are left. Waits have full jitter.
 */
final class MachineSelector {
    /** Doubling ends here; the wait's bound is reached long before. */
    private static final int MAX_DOUBLINGS = 16;

    /** The next connection: to whom, and after how many milliseconds. */
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
            throw new IllegalArgumentException("no control machine");
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
        double bound = limits.retryBaseMs() * (1L << Math.min(Math.max(0, failures - 1), MAX_DOUBLINGS));
        return Math.min(limits.retryMaxMs(), bound);
    }

    private void startRound() {
        List<ControlMachine> home = new ArrayList<>();
        List<ControlMachine> away = new ArrayList<>();
        machines.forEach(machine -> (isHome(machine) ? home : away).add(machine));
        shuffle(home);
        shuffle(away);
        home.addAll(away);
        currentRound = home;
        position = 0;
    }

    private void shuffle(List<ControlMachine> list) {
        for (int i = list.size() - 1; i > 0; i--) {
            int other = random.nextInt(i + 1);
            ControlMachine moved = list.get(i);
            list.set(i, list.get(other));
            list.set(other, moved);
        }
    }

    boolean isHome(ControlMachine machine) {
        return machine.region().equals(region);
    }

    /** The machine serves this node and its heartbeats are confirmed. */
    void onConfirmed() {
        failures = 0;
        unconfirmedRounds = 0;
    }

    /** The connection failed, was lost or was refused: the next machine's turn. */
    void onFailed() {
        failures++;
        position++;
        if (position >= currentRound.size()) {
            unconfirmedRounds++;
        }
    }

    /** The machine asked the node to come back to it after so many milliseconds. */
    void onRetryAfter(double retryAfterMs) {
        // A little later at random: the machine spreads the times, two clocks may still agree to the millisecond.
        pendingRetryAfterMs = retryAfterMs + random.nextDouble() * limits.heartbeatMs() / 2;
    }

    /** The node returns to its own region. */
    void returnHome() {
        startRound();
    }

    /**
     * How long to stay with a machine whose heartbeats are not confirmed. It doubles with each round in which no
     * machine was: while no majority can be reached, nodes do not wander from machine to machine all the time.
     */
    double unconfirmedTimeoutMs() {
        double longest = limits.returnHomeMaxMs();
        return Math.min(longest, limits.unconfirmedTimeoutMs() * (1L << Math.min(unconfirmedRounds, MAX_DOUBLINGS)));
    }

    /** How long to stay with a machine of another region. */
    double returnHomeDelayMs() {
        return limits.returnHomeMinMs() + random.nextDouble() * (limits.returnHomeMaxMs() - limits.returnHomeMinMs());
    }
}
