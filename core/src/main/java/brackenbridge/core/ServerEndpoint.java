package brackenbridge.core;

import brackenbridge.core.balancing.EndpointState;

/**
 * An entry of the endpoint list: one server.
 *
 * @param host its name, the same at every node
 * @param address the address at which this node reaches it, as {@code address:port}
 * @param zone the zone it is in
 * @param cell the cell it is in, -1 if not given
 * @param weight its capacity relative to the others'
 * @param startedAtMs when it last started, in Unix milliseconds; 0 if long ago
 * @param state its state in the endpoint list
 */
public record ServerEndpoint(
        String host, String address, String zone, long cell, double weight, double startedAtMs, EndpointState state) {}
