package brackenbridge.core.balancing;

/** How a server has fared of late with one request class. */
final class EndpointHealth {
    /** Errors since its last successful response. */
    int consecutiveErrors;
    /** Until when, in microseconds, requests of the class go to other servers. */
    long avoidedUntil;
}
