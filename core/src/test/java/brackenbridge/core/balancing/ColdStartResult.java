package brackenbridge.core.balancing;

/**
 * The result of a {@link ColdStartSimulation}.
 *
 * @param worstRatio the maximum ratio of the requests that a cold server received in any window to N + 2 sqrt(N) + 2
 * @param worstRatioToLimit the maximum ratio to the limit in force, which is N + 3 sqrt(N) + 3 for N below 30; only
 *     windows count in which more than two thirds of the requests came from nodes that knew of the server's start
 * @param minAllowed the smallest N of any window
 * @param maxAllowed the largest N of any window
 * @param failedIncarnations the cold incarnations of servers that would have failed under overload
 * @param incarnations the cold incarnations of servers
 * @param requests all requests
 * @param served requests that were served
 * @param coldServed requests that were served by cold servers
 * @param maxConcurrentAttempts the maximum number of attempts in flight for one request
 * @param retries attempts after the first one of a request
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
