package brackenbridge.core.balancing;

/** How a list of endpoints relates to what the instance holds. */
public enum EndpointListKind {
    /** Changed entries only. */
    CHANGES,
    /** The complete list; absent endpoints are removed. */
    FULL,
    /** The complete list as last held, perhaps out of date. */
    CACHED
}
