package brackenbridge.core.connection;

/**
 * The server that a connection leads to. Guards a new host against the connections of one that had its address before,
 * and those connections against notices that the old host was removed.
 *
 * @param host its name
 * @param address where it is reached, as {@code address:port}
 */
public record EndpointIdentity(String host, String address) {}
