package brackenbridge.core.membership;

import java.util.random.RandomGenerator;

/**
 * Where the node receives its endpoint list from, which determines how often it may call.
 *
 * @param shared whether it is one service shared by all nodes, which handles their calls one after another; else a
 *     local agent of the node, which responds at once
 * @param maxPollIntervalMs a node that hasn't called the service for this long counts as notified; milliseconds
 */
public record DiscoverySource(boolean shared, double maxPollIntervalMs) {
    private static final double MAX_FIRST_CALL_DELAY_MS = 4000;
    /**
     * A node counts as notified of a change 6 s after discovery has it and can be reached. A call that hangs takes 3 s
     * of these, and a call that is answered takes up to 2 s in the service's queue; the delays share the rest, see
     * docs/design/membership.md.
     */
    private static final double SERVICE_RETRY_DELAY_MS = 400;

    private static final double MAX_SERVICE_RETRY_DELAY_MS = 1600;
    private static final int MAX_BACKOFF_DOUBLINGS = 8;
    private static final double AGENT_RETRY_DELAY_MS = 50;
    /**
     * Shorter than the drain grace, since a node counts as notified at once of what its agent has, even without an open
     * watch.
     */
    private static final double MAX_AGENT_RETRY_DELAY_MS = 100;

    private static final double MAX_DELAY_AFTER_SILENCE_MS = 250;
    /** A delay is drawn at random from 0.5 to this many times its nominal length. */
    private static final double MAX_JITTER_FACTOR = 1.5;

    /** The delay before the first call. Guards a service against simultaneous calls of a fleet that starts. */
    double firstCallDelayMs(RandomGenerator random) {
        return shared ? random.nextDouble() * Math.min(MAX_FIRST_CALL_DELAY_MS, maxPollIntervalMs / 2) : 0;
    }

    /**
     * The delay after this many consecutive failures, at least one: exponential back-off with jitter, short enough that
     * the node gets a response in time once discovery has recovered. Guards an overloaded service against retries of
     * the nodes that it rejects, and a node against a busy loop at its agent.
     */
    double retryDelayMs(int failures, RandomGenerator random) {
        double delayMs = shared
                ? Math.min(
                        Math.min(
                                SERVICE_RETRY_DELAY_MS * (1 << Math.min(failures - 1, MAX_BACKOFF_DOUBLINGS)),
                                MAX_SERVICE_RETRY_DELAY_MS),
                        maxPollIntervalMs / MAX_JITTER_FACTOR)
                : failures > 1 ? MAX_AGENT_RETRY_DELAY_MS : AGENT_RETRY_DELAY_MS;
        return delayMs / 2 + random.nextDouble() * (MAX_JITTER_FACTOR - 0.5) * delayMs;
    }

    /**
     * The delay after a silent call, which is detected after 3 of the 6 s: at a service only long enough to prevent
     * simultaneous calls of a fleet.
     */
    double delayAfterSilenceMs(RandomGenerator random) {
        return shared ? random.nextDouble() * MAX_DELAY_AFTER_SILENCE_MS : 0;
    }
}
