package brackenbridge.core.connection;

/**
 * The server at the other end of a connection. Guards against confusing two hosts that used the same address one after
 * the other: a new host doesn't inherit connections, and the removal of the old host doesn't affect the new one's.
 *
 * @param host its name
 * @param address where it is reached, as {@code address:port}
 */
public record EndpointIdentity(String host, String address) {}
