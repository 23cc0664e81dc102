package brackenbridge.core.balancing;

/**
 * What a simulated {@link ColdStartSimulation} has shown.
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
record ColdStartResult(
        double worstRatio,
        double worstRatioToLimit,
        double minAllowed,
        double maxAllowed,
        int failedIncarnations,
        int incarnations,
        int requests,
        int served,
        int coldServed,
        int maxConcurrentAttempts,
        int retries) {}
