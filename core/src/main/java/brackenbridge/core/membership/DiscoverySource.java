package brackenbridge.core.membership;

import java.util.random.RandomGenerator;

/**
 * Who tells the node of its servers, and what asking there costs.
 *
 * @param shared one service for all nodes, which works through their calls one after another; else an agent of the
 *     node's own, which answers at once and at no cost
 * @param maxPollIntervalMs a node that has not asked the service for so long counts as told all the same; milliseconds
 */
public record DiscoverySource(boolean shared, double maxPollIntervalMs) {
    private static final double LONGEST_FIRST_MS = 4000;
    /**
     * What a change that discovery has, and can be asked for, may take until it counts as told is 6 s. Of these a call
     * that hangs takes 3 s, and one that is answered up to 2 s in the service's line: the pauses share what is left,
     * see docs/design/membership.md.
     */
    private static final double SERVICE_PAUSE_MS = 400;

    private static final double LONGEST_SERVICE_PAUSE_MS = 1600;
    private static final int MOST_DOUBLINGS = 8;
    private static final double AGENT_PAUSE_MS = 50;
    /** Short of the grace of a drain: what an agent has counts as told at once, whether or not a watch is open. */
    private static final double LONGEST_AGENT_PAUSE_MS = 100;

    private static final double SILENCE_PAUSE_MS = 250;
    /** A pause is drawn from half of its length to so many times of it. */
    private static final double LONGEST_DRAW = 1.5;

    /** How long a node waits before its first call: guards a service against a fleet that starts in one moment. */
    double firstCallDelayMs(RandomGenerator random) {
        return shared ? random.nextDouble() * Math.min(LONGEST_FIRST_MS, maxPollIntervalMs / 2) : 0;
    }

    /**
     * How long it waits after so many failures in a row, at least one: exponential back-off with jitter, within what
     * lets the node have its answer in time once discovery is back. Guards a service that is short of turns against
     * being asked ever more by those that it refuses, and a node against spinning at its agent.
     */
    double retryDelayMs(int failures, RandomGenerator random) {
        double pause = shared
                ? Math.min(
                        Math.min(
                                SERVICE_PAUSE_MS * (1 << Math.min(failures - 1, MOST_DOUBLINGS)),
                                LONGEST_SERVICE_PAUSE_MS),
                        maxPollIntervalMs / LONGEST_DRAW)
                : failures > 1 ? LONGEST_AGENT_PAUSE_MS : AGENT_PAUSE_MS;
        return pause / 2 + random.nextDouble() * (LONGEST_DRAW - 0.5) * pause;
    }

    /**
     * How long it waits after a call that fell silent, which is noticed after 3 of the 6 s: at a service no more than
     * what keeps a fleet from calling in one moment.
     */
    double delayAfterSilenceMs(RandomGenerator random) {
        return shared ? random.nextDouble() * SILENCE_PAUSE_MS : 0;
    }
}
