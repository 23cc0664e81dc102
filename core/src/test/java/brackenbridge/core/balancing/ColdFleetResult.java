package brackenbridge.core.balancing;

/**
 * What a simulated {@link ColdFleet} has shown.
 *
 * @param worst the most that a cold server received in any window, over N + 2 sqrt(N) + 2
 * @param worstOfLimit the most over the limit in force, with N + 3 sqrt(N) + 3 for N below 30; windows count of
 *     which over two thirds came from nodes that knew of the server's start
 * @param leastN the smallest N of any such window
 * @param mostN the largest
 * @param fallen incarnations of servers in which they would have failed
 * @param lives cold incarnations of servers
 * @param asked requests
 * @param served those answered
 * @param coldServed those answered by cold servers
 * @param mostAtOnce the most attempts in flight for one request
 * @param retries attempts after the first
 */
record ColdFleetResult(
        double worst,
        double worstOfLimit,
        double leastN,
        double mostN,
        int fallen,
        int lives,
        int asked,
        int served,
        int coldServed,
        int mostAtOnce,
        int retries) {}
