package brackenbridge.core.membership;

import java.util.random.RandomGenerator;

/**
 * Where the node receives its endpoint list from, and how often it may call there.
 *
 * @param shared whether it is one service for all nodes, which handles their calls one after another; else an agent of
 *     the node's own, which responds at once
 * @param maxPollIntervalMs a node that has not called the service for this long counts as notified; milliseconds
 */
public record DiscoverySource(boolean shared, double maxPollIntervalMs) {
    private static final double MAX_FIRST_CALL_DELAY_MS = 4000;
    /**
     * A node counts as notified of a change 6 s after discovery has it and can be called. Of these a call that hangs
     * takes 3 s, and one that is answered up to 2 s in the service's queue: the delays share the rest, see
     * docs/design/membership.md.
     */
    private static final double SERVICE_RETRY_DELAY_MS = 400;

    private static final double MAX_SERVICE_RETRY_DELAY_MS = 1600;
    private static final int MAX_BACKOFF_DOUBLINGS = 8;
    private static final double AGENT_RETRY_DELAY_MS = 50;
    /** Shorter than the drain grace: a node counts as notified of what an agent has at once, watch open or not. */
    private static final double MAX_AGENT_RETRY_DELAY_MS = 100;

    private static final double MAX_DELAY_AFTER_SILENCE_MS = 250;
    /** A delay is drawn from half of its length to this many times its length. */
    private static final double MAX_JITTER_FACTOR = 1.5;

    /** How long a node waits before its first call. Guards a service against a fleet that starts all at once. */
    double firstCallDelayMs(RandomGenerator random) {
        return shared ? random.nextDouble() * Math.min(MAX_FIRST_CALL_DELAY_MS, maxPollIntervalMs / 2) : 0;
    }

    /**
     * How long it waits after this many failures in a row, at least one: exponential back-off with jitter, short enough
     * that the node has a response in time once discovery is back. Guards an overloaded service against being called
     * ever more by nodes that it rejects, and a node against a busy loop at its agent.
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
     * How long it waits after a silent call, which is detected after 3 of the 6 s: at a service only as long as
     * prevents a fleet from calling all at once.
     */
    double delayAfterSilenceMs(RandomGenerator random) {
        return shared ? random.nextDouble() * MAX_DELAY_AFTER_SILENCE_MS : 0;
    }
}
