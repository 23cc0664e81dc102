package brackenbridge.core.balancing;

/** How an endpoint list relates to the endpoints already known. */
public enum EndpointListKind {
    /** Changed entries only. */
    CHANGES,
    /** The complete list; absent endpoints are removed. */
    FULL,
    /** The complete list as last received, possibly out of date. */
    CACHED
}
