package brackenbridge.core.balancing;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * Capacity-weighted round robin in virtual time, as stride scheduling does it (Waldspurger and Weihl, 1995): the server
 * with the earliest turn is next, and its following turn comes a stride later, the inverse of its capacity.
 */
final class WeightedRoundRobin {
    /** Relative response time above which a server counts as slow and its turns become rarer in proportion. */
    private static final double SLOW_RELATIVE_TIME = 1.5;
    /** The relative response time at which this effect is capped. */
    private static final double MAX_RELATIVE_TIME = 10;

    private final PriorityQueue<ServerState> rotation = new PriorityQueue<>(
            Comparator.<ServerState>comparingDouble(server -> server.nextTurn).thenComparingLong(server -> server.id));
    private final SlowStart slowStart;
    private final SplittableRandom random;
    private double virtualTime;

    WeightedRoundRobin(SlowStart slowStart, SplittableRandom random) {
        this.slowStart = slowStart;
        this.random = random;
    }

    /** Adds a server; its first turn is at a random time within its stride. */
    void add(long now, ServerState server) {
        server.inRotation = true;
        server.nextTurn = virtualTime + random.nextDouble() * stride(now, server);
        rotation.add(server);
    }

    /** Removes a server if it is in the rotation. */
    void remove(ServerState server) {
        if (server.inRotation) {
            server.inRotation = false;
            rotation.remove(server);
        }
    }

    /**
     * Returns the server whose turn it is and schedules its next turn a stride later. The rotation must not be empty.
     */
    ServerState next(long now) {
        ServerState server = rotation.poll();
        virtualTime = Math.max(virtualTime, server.nextTurn);
        server.nextTurn += stride(now, server);
        rotation.add(server);
        return server;
    }

    boolean isEmpty() {
        return rotation.isEmpty();
    }

    int size() {
        return rotation.size();
    }

    /**
     * The virtual time between two turns: the inverse of the weight, which is reduced while the server warms up or is
     * slow.
     */
    private double stride(long now, ServerState server) {
        double slowness =
                server.relativeTime > SLOW_RELATIVE_TIME ? Math.min(server.relativeTime, MAX_RELATIVE_TIME) : 1;
        return slowness / (server.endpoint.weight() * slowStart.capacityRatio(now, server));
    }
}
