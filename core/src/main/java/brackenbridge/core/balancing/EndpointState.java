package brackenbridge.core.balancing;

/** What discovery says of an endpoint. */
public enum EndpointState {
    /** Its process runs. */
    UP,
    /** It finishes what it has and takes nothing new. */
    DRAINING,
    /** It has been withdrawn. */
    REMOVED
}
