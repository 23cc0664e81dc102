package brackenbridge.core.membership;

import java.util.random.RandomGenerator;

/**
 * Who tells the node of its servers, and what asking there costs.
 *
 * @param shared one service for all nodes, which works through their calls one after another; else an agent of the
 *     node's own, which answers at once and at no cost
 * @param mustAskWithinMs a node that has not asked the service for so long counts as told all the same; milliseconds
 */
public record Source(boolean shared, double mustAskWithinMs) {
    private static final double LONGEST_FIRST_MS = 4000;
    private static final double SERVICE_PAUSE_MS = 1000;
    private static final double AGENT_PAUSE_MS = 50;
    /** Most doublings of a pause: 16 s at a service, 1.6 s at an agent. */
    private static final int SERVICE_DOUBLINGS = 4;
    private static final int AGENT_DOUBLINGS = 5;

    /** How long a node waits before its first call: guards a service against a fleet that starts in one moment. */
    double firstMs(RandomGenerator random) {
        return shared ? random.nextDouble() * Math.min(LONGEST_FIRST_MS, mustAskWithinMs / 2) : 0;
    }

    /**
     * How long it waits after so many failures in a row, at least one: exponential back-off with jitter. Guards a
     * service against being asked ever more by the very callers that it fails, and the node against spinning at an
     * agent that turns it away.
     */
    double againMs(int failures, RandomGenerator random) {
        double pause = shared
                ? Math.min(SERVICE_PAUSE_MS * (1 << Math.min(failures - 1, SERVICE_DOUBLINGS)), mustAskWithinMs)
                : AGENT_PAUSE_MS * (1 << Math.min(failures - 1, AGENT_DOUBLINGS));
        return pause / 2 + random.nextDouble() * pause;
    }
}
