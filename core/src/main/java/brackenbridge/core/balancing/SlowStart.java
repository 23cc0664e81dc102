package brackenbridge.core.balancing;

import java.util.SplittableRandom;

/**
 * Decides whether a server that warms up may be sent a request. It falls over if it gets too much from all nodes
 * together, none of which knows what the others send: each keeps to its own share, see docs/design/cold.md.
 */
final class SlowStart {
    private static final double MICROSECONDS_PER_SECOND = 1_000_000;

    private BalancerSettings settings;
    private final BalancerActions actions;
    private final SplittableRandom random;
    /** Answers in a second for each unit of capacity in reach. */
    private double answeredPerCapacity;
    /** The most capacity that was in reach since the last tick. */
    private double capacityOfTick;
    /** From when on all that was sent is in the servers' budgets. */
    private long countedSince;

    SlowStart(BalancerSettings settings, BalancerActions actions, SplittableRandom random) {
        this.settings = settings;
        this.actions = actions;
        this.random = random;
    }

    /** The first event of the instance. */
    void started(long now) {
        countedSince = now;
    }

    /** Other settings hold from now on. */
    void applySettings(long now, BalancerSettings next) {
        if (next.overloadWindow() > settings.overloadWindow()) {
            // Of the longer window only so much was counted.
            countedSince = Math.max(countedSince, now - settings.overloadWindow());
        }
        settings = next;
    }

    /** The part of its capacity that a server has now. */
    double warmth(long now, ServerState server) {
        if (server.warmingSince <= 0) {
            return 1;
        }
        double age = Math.max(0, now - server.warmingSince) / (double) Math.max(1, settings.warmUpTime());
        return age >= 1 ? 1 : settings.coldCapacityRatio() + (1 - settings.coldCapacityRatio()) * age;
    }

    /** Whether a server may be sent any number of requests. */
    boolean isUnbounded(long now, ServerState server) {
        return settings.overloadWindow() == 0 || warmth(now, server) >= 1;
    }

    /** Whether the budget of a server that warms up has room for a request; the first servers are those in reach. */
    boolean canAdmit(long now, ServerState server, ServerOrder servers, int reach, double meanTime) {
        long settled = actions.reportsWritten()
                ? server.warmingSince + settings.network().connectTimeout()
                : now;
        double share = share(now, server, servers, reach, meanTime);
        return server.budget.allows(now, share, settings.overloadWindow(), random, settled);
    }

    /**
     * This node's share of the requests that the server takes in a window from all nodes. It goes by what this node
     * gets answered for each unit of capacity in its reach, or, if that is more, by its share of one request at a
     * time at each server.
     */
    private double share(long now, ServerState server, ServerOrder servers, int reach, double meanTime) {
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
                * warmth(now, server)
                * settings.overloadWindow();
        return share * SlowStartLimit.usable(share, settings.instanceCount()) * (1 - unknownPart(now, server));
    }

    /**
     * The part of the last window, within the server's life, of which this process doesn't know what its node sent.
     * The share of that time counts as sent: by the process before, or under settings that counted a shorter time.
     */
    private double unknownPart(long now, ServerState server) {
        long from = Math.max(now - settings.overloadWindow(), server.warmingSince);
        return Math.max(0, countedSince - from) / (double) settings.overloadWindow();
    }

    /** The servers in reach are about to change. */
    void beforeChange(long now, ServerOrder servers, int reach) {
        capacityOfTick = Math.max(capacityOfTick, capacity(now, servers, reach));
    }

    /** So many answers came in this part of a second. */
    void tick(long now, double elapsed, int answered, ServerOrder servers, int reach) {
        double capacity = capacity(now, servers, reach);
        // Guards the budgets against servers that leave: what they answered goes by the capacity there was with them.
        double most = Math.max(capacity, capacityOfTick);
        if (most > 0) {
            answeredPerCapacity += Math.min(1, elapsed) * (answered / elapsed / most - answeredPerCapacity);
        }
        capacityOfTick = capacity;
    }

    private double capacity(long now, ServerOrder servers, int reach) {
        double capacity = 0;
        for (int i = 0; i < servers.size() && i < reach; i++) {
            capacity += servers.get(i).endpoint.weight() * warmth(now, servers.get(i));
        }
        return capacity;
    }

    /**
     * The attempt is being sent; warm servers' requests count too, since the start of a server may be reported late.
     */
    void sent(long now, Attempt attempt) {
        if (settings.overloadWindow() > 0) {
            attempt.reservedBudget = attempt.server.budget.spend(now, settings.overloadWindow());
            if (!actions.reportsWritten()) {
                written(now, attempt);
            }
        }
    }

    /** The attempt's request has reached its server, or never will. */
    void written(long now, Attempt attempt) {
        if (attempt.reservedBudget > 0) {
            attempt.server.budget.written(now, attempt.reservedBudget, Math.max(1, settings.overloadWindow()));
            attempt.reservedBudget = 0;
        }
    }
}
