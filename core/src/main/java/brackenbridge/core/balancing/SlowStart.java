package brackenbridge.core.balancing;

import java.util.SplittableRandom;

/**
 * Decides whether a server that warms up may be sent a request. It fails under overload if all nodes together send
 * it too much, and no node knows what the others send: each stays within its own share, see docs/design/cold.md.
 */
final class SlowStart {
    private static final double MICROSECONDS_PER_SECOND = 1_000_000;

    private BalancerSettings settings;
    private final BalancerActions actions;
    private final SplittableRandom random;
    /** Responses per second for each unit of reachable capacity. */
    private double answeredPerCapacity;
    /** The maximum capacity that was reachable since the last tick. */
    private double maxCapacitySinceTick;
    /** The time since which every request sent is counted in the servers' budgets. */
    private long countedSince;

    SlowStart(BalancerSettings settings, BalancerActions actions, SplittableRandom random) {
        this.settings = settings;
        this.actions = actions;
        this.random = random;
    }

    /** Starts to count, at the first event of the instance. */
    void startCounting(long now) {
        countedSince = now;
    }

    /** Applies other settings from now on. */
    void applySettings(long now, BalancerSettings next) {
        if (next.overloadWindow() > settings.overloadWindow()) {
            // Requests were counted only for as long as the earlier, shorter window.
            countedSince = Math.max(countedSince, now - settings.overloadWindow());
        }
        settings = next;
    }

    /** The part of its capacity that a server has now. */
    double capacityRatio(long now, ServerState server) {
        if (server.warmingSince <= 0) {
            return 1;
        }
        double age = Math.max(0, now - server.warmingSince) / (double) Math.max(1, settings.warmUpTime());
        return age >= 1 ? 1 : settings.coldCapacityRatio() + (1 - settings.coldCapacityRatio()) * age;
    }

    /** Whether a server may be sent any number of requests. */
    boolean isUnbounded(long now, ServerState server) {
        return settings.overloadWindow() == 0 || capacityRatio(now, server) >= 1;
    }

    /** Whether the budget of a server that warms up allows a request; the first servers of the order are reachable. */
    boolean canAdmit(long now, ServerState server, ServerOrder servers, int reach, double meanTime) {
        long settled = actions.reportsWritten()
                ? server.warmingSince + settings.network().connectTimeout()
                : now;
        double share = shareOfWindow(now, server, servers, reach, meanTime);
        return server.budget.allows(now, share, settings.overloadWindow(), random, settled);
    }

    /**
     * This node's share of the requests that all nodes may send to the server in a window. It follows from the
     * responses that this node receives for each unit of reachable capacity, or, if that is more, from its share of
     * one request at a time at each server.
     */
    private double shareOfWindow(long now, ServerState server, ServerOrder servers, int reach, double meanTime) {
        int near = Math.min(reach, servers.size());
        double weights = 0;
        for (int i = 0; i < near; i++) {
            weights += servers.get(i).endpoint.weight();
        }
        double least = near / (weights * meanTime * settings.instanceCount());
        double perUnit = Math.max(answeredPerCapacity / MICROSECONDS_PER_SECOND, least);
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
     * The part of the last window, since the server's start, for which this process doesn't know what its node sent.
     * The share of that time counts as sent: by the previous process, or under settings with a shorter window.
     */
    private double unknownFraction(long now, ServerState server) {
        long from = Math.max(now - settings.overloadWindow(), server.warmingSince);
        return Math.max(0, countedSince - from) / (double) settings.overloadWindow();
    }

    /** Records the reachable capacity before the reachable servers change. */
    void recordCapacity(long now, ServerOrder servers, int reach) {
        maxCapacitySinceTick = Math.max(maxCapacitySinceTick, subsetCapacity(now, servers, reach));
    }

    /** Updates the rate of responses by those received in so many seconds. */
    void updateAnswerRate(long now, double elapsed, int answered, ServerOrder servers, int reach) {
        double capacity = subsetCapacity(now, servers, reach);
        // Guards the budgets against servers that leave: their responses are divided by the capacity that included
        // them.
        double most = Math.max(capacity, maxCapacitySinceTick);
        if (most > 0) {
            answeredPerCapacity += Math.min(1, elapsed) * (answered / elapsed / most - answeredPerCapacity);
        }
        maxCapacitySinceTick = capacity;
    }

    private double subsetCapacity(long now, ServerOrder servers, int reach) {
        double capacity = 0;
        for (int i = 0; i < servers.size() && i < reach; i++) {
            capacity += servers.get(i).endpoint.weight() * capacityRatio(now, servers.get(i));
        }
        return capacity;
    }

    /**
     * Charges an attempt that is being sent. Attempts to warm servers count too, since the start of a server may be
     * reported late.
     */
    void chargeAttempt(long now, Attempt attempt) {
        if (settings.overloadWindow() > 0) {
            attempt.reservedBudget = attempt.server.budget.chargeRequest(now, settings.overloadWindow());
            if (!actions.reportsWritten()) {
                settleCharge(now, attempt);
            }
        }
    }

    /** Ends the open charge of an attempt whose request has been written to its server, or never will be. */
    void settleCharge(long now, Attempt attempt) {
        if (attempt.reservedBudget > 0) {
            attempt.server.budget.recordWritten(now, attempt.reservedBudget, Math.max(1, settings.overloadWindow()));
            attempt.reservedBudget = 0;
        }
    }
}
