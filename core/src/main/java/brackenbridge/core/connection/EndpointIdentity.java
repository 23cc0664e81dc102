package brackenbridge.core.connection;

/**
 * Whom a connection leads to. Guards a new host against the connections of one that had its address before,
 * and theirs against word that the old host has left.
 *
 * @param host its name
 * @param address where it is reached, as {@code address:port}
 */
public record EndpointIdentity(String host, String address) {}
