package brackenbridge.core.balancing;

/**
 * What {@link ColdStartSimulation} simulates; times are in microseconds.
 *
 * @param scenario what happens to the servers and the traffic
 * @param fault what else goes wrong
 * @param nodes how many nodes there are
 * @param workers how many requests a server processes at once; with its warmth, this determines its capacity
 * @param load the traffic as a part of the warm servers' capacity
 * @param multiple the settings' multiple of a cold server's capacity
 * @param overloadWindow the settings' time
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
    /** What happens to the servers and the traffic. */
    enum Scenario {
        /** Six in ten servers are replaced within 7 s. */
        REPLACED,
        /** Half of the servers are lost for 5 s and return together, cold. */
        ZONE_RETURN,
        /** Three in ten restart, and from their return on the traffic is two and a half times as much for 3 s. */
        BURST,
        /** All servers and nodes have just started. */
        ALL_START
    }

    /** What else goes wrong. */
    enum Fault {
        NONE,
        /** Clients send a second copy of every fifth request, by another node, 30 ms after the first. */
        HEDGED_BY_CLIENTS,
        /** Every third connection to a server comes up late, by up to a second. */
        LATE_CONNECTIONS,
        /** No request reaches a server in the first second after its start; then all that wait arrive together. */
        LATE_ACCEPT,
        /** Servers restart in an instant, and the notice of it arrives 0.3 s to 1.5 s later. */
        LATE_NOTICE,
        /** The settings name twice the time from 1 s after the servers' start on, as all nodes read in an instant. */
        LONGER_OVERLOAD_WINDOW,
        /** Half of the nodes are replaced by new processes half a second after the servers' start. */
        RESTARTED_NODES,
        /** Each node gets a successor beside it half a second after the servers' start, and ends 2 s later. */
        SUCCESSORS
    }
}
