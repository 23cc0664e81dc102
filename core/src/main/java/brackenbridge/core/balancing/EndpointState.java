package brackenbridge.core.balancing;

/** The state of an endpoint according to discovery. */
public enum EndpointState {
    /** Its process is running. */
    UP,
    /** It finishes its requests in flight and accepts no new ones. */
    DRAINING,
    /** It has been removed from the service. */
    REMOVED
}
