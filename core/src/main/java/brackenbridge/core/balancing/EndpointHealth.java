package brackenbridge.core.balancing;

/** The recent errors of one server for one request class. */
final class EndpointHealth {
    /** Errors since its last successful response. */
    int consecutiveErrors;
    /** The time, in microseconds, until which requests of the class go to other servers. */
    long avoidedUntil;
}
