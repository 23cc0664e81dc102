package brackenbridge.core.balancing;

/**
 * The parameters of a {@link ColdStartSimulation}; times are in microseconds.
 *
 * @param scenario the events at the servers and in the traffic
 * @param fault an additional fault
 * @param nodes the number of nodes
 * @param workers how many requests a server processes at once; together with its capacity ratio this determines its
 *     capacity
 * @param load the traffic as a fraction of the warm servers' capacity
 * @param multiple the settings' overload multiple
 * @param overloadWindow the settings' overload window
 * @param seed the seed of all random draws
 */
record ColdStartParameters(
        Scenario scenario,
        Fault fault,
        int nodes,
        int workers,
        double load,
        double multiple,
        long overloadWindow,
        long seed) {
    /** The events at the servers and in the traffic. */
    enum Scenario {
        /** Six of ten servers are replaced within 7 s. */
        REPLACED,
        /** Half of the servers are down for 5 s and return cold at the same time. */
        ZONE_RETURN,
        /** Three of ten servers restart, and from their return on the traffic is 2.5 times as high for 3 s. */
        BURST,
        /** All servers and nodes have just started. */
        ALL_START
    }

    /** An additional fault. */
    enum Fault {
        NONE,
        /** Clients send a hedged copy of every fifth request to another node, 30 ms after the first. */
        HEDGED_BY_CLIENTS,
        /** Every third connection to a server is opened late, by up to a second. */
        LATE_CONNECTIONS,
        /**
         * No request reaches a server in the first second after its start; then all that are waiting arrive together.
         */
        LATE_ACCEPT,
        /** Servers restart without downtime, and the nodes are notified 0.3 s to 1.5 s later. */
        LATE_NOTICE,
        /** All nodes apply settings with twice the overload window 1 s after the servers' start. */
        LONGER_OVERLOAD_WINDOW,
        /** Half of the nodes are replaced by new processes half a second after the servers' start. */
        RESTARTED_NODES,
        /** Each node gets a successor half a second after the servers' start, and ends 2 s later. */
        SUCCESSORS
    }
}
