package brackenbridge.core.balancing;

import java.util.SplittableRandom;

/**
 * Decides whether a server that is warming up may be sent a request. Such a server fails if all nodes together overload
 * it, and no node knows what the others send, so each stays within its own share; see docs/design/cold.md.
 */
final class SlowStart {
    private static final double MICROSECONDS_PER_SECOND = 1_000_000;

    private BalancerSettings settings;
    private final BalancerActions actions;
    private final SplittableRandom random;
    /** Responses per second per unit of the subset's capacity. */
    private double answeredPerCapacity;
    /** The maximum capacity of the subset since the last tick. */
    private double maxCapacitySinceTick;
    /** The time since which all requests sent are counted in the servers' budgets. */
    private long countedSince;

    SlowStart(BalancerSettings settings, BalancerActions actions, SplittableRandom random) {
        this.settings = settings;
        this.actions = actions;
        this.random = random;
    }

    /** Records the time of the instance's first event, from which requests are counted. */
    void startCounting(long now) {
        countedSince = now;
    }

    /** Applies new settings. */
    void applySettings(long now, BalancerSettings next) {
        if (next.overloadWindow() > settings.overloadWindow()) {
            // Charges were kept only for the previous, shorter window.
            countedSince = Math.max(countedSince, now - settings.overloadWindow());
        }
        settings = next;
    }

    /** The fraction of its full capacity that a server has now. */
    double capacityRatio(long now, ServerState server) {
        if (server.warmingSince <= 0) {
            return 1;
        }
        double age = Math.max(0, now - server.warmingSince) / (double) Math.max(1, settings.warmUpTime());
        return age >= 1 ? 1 : settings.coldCapacityRatio() + (1 - settings.coldCapacityRatio()) * age;
    }

    /** Returns whether slow start doesn't limit the requests to a server. */
    boolean isUnbounded(long now, ServerState server) {
        return settings.overloadWindow() == 0 || capacityRatio(now, server) >= 1;
    }

    /** Returns whether the budget of a server that is warming up allows a request. */
    boolean canAdmit(long now, ServerState server, ServerOrder servers, int subsetSize, double meanTime) {
        long connectedBy = actions.reportsWritten()
                ? server.warmingSince + settings.network().connectTimeout()
                : now;
        double share = shareOfWindow(now, server, servers, subsetSize, meanTime);
        return server.budget.allows(now, share, settings.overloadWindow(), random, connectedBy);
    }

    /**
     * This node's share of the requests that all nodes may send to the server in a window. It follows from the
     * responses that this node receives per unit of the subset's capacity or, if that is more, from its share of one
     * request at a time at each server.
     */
    private double shareOfWindow(long now, ServerState server, ServerOrder servers, int subsetSize, double meanTime) {
        int usedServers = Math.min(subsetSize, servers.size());
        double weights = 0;
        for (int i = 0; i < usedServers; i++) {
            weights += servers.get(i).endpoint.weight();
        }
        double minPerUnit = usedServers / (weights * meanTime * settings.instanceCount());
        double perUnit = Math.max(answeredPerCapacity / MICROSECONDS_PER_SECOND, minPerUnit);
        double share = settings.overloadMultiple()
                * perUnit
                * server.endpoint.weight()
                * capacityRatio(now, server)
                * settings.overloadWindow();
        return share
                * SlowStartLimit.usableFraction(share, settings.instanceCount())
                * (1 - unknownFraction(now, server));
    }

    /**
     * The fraction of the last window, since the server's start, for which this process doesn't know what its node
     * sent, because a previous process was running or settings with a shorter window applied. The share of that time
     * counts as sent.
     */
    private double unknownFraction(long now, ServerState server) {
        long from = Math.max(now - settings.overloadWindow(), server.warmingSince);
        return Math.max(0, countedSince - from) / (double) settings.overloadWindow();
    }

    /** Records the capacity of the subset before its servers change. */
    void recordCapacity(long now, ServerOrder servers, int subsetSize) {
        maxCapacitySinceTick = Math.max(maxCapacitySinceTick, subsetCapacity(now, servers, subsetSize));
    }

    /** Updates the rate of responses. */
    void updateResponseRate(long now, double elapsed, int answered, ServerOrder servers, int subsetSize) {
        double capacity = subsetCapacity(now, servers, subsetSize);
        // Guards the budgets against removed servers: their responses are divided by the capacity that included them.
        double maxCapacity = Math.max(capacity, maxCapacitySinceTick);
        if (maxCapacity > 0) {
            answeredPerCapacity += Math.min(1, elapsed) * (answered / elapsed / maxCapacity - answeredPerCapacity);
        }
        maxCapacitySinceTick = capacity;
    }

    private double subsetCapacity(long now, ServerOrder servers, int subsetSize) {
        double capacity = 0;
        for (int i = 0; i < servers.size() && i < subsetSize; i++) {
            capacity += servers.get(i).endpoint.weight() * capacityRatio(now, servers.get(i));
        }
        return capacity;
    }

    /**
     * Charges an attempt that is being sent. Attempts to warm servers are charged too, since the restart of a server
     * may be reported late.
     */
    void chargeAttempt(long now, Attempt attempt) {
        if (settings.overloadWindow() > 0) {
            attempt.reservedBudget = attempt.server.budget.chargeRequest(now, settings.overloadWindow());
            if (!actions.reportsWritten()) {
                settleCharge(now, attempt);
            }
        }
    }

    /** Settles the reserved charge of an attempt whose request has been written to its server, or never will be. */
    void settleCharge(long now, Attempt attempt) {
        if (attempt.reservedBudget > 0) {
            attempt.server.budget.recordWritten(now, attempt.reservedBudget, Math.max(1, settings.overloadWindow()));
            attempt.reservedBudget = 0;
        }
    }
}
