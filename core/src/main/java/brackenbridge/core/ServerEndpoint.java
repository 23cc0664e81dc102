package brackenbridge.core;

import brackenbridge.core.balancing.EndpointState;

/**
 * One server of the endpoint list.
 *
 * @param host its name, the same at every node
 * @param address where this node reaches it, as {@code address:port}
 * @param zone the zone it is in
 * @param cell the cell it is in, -1 if not given
 * @param weight its capacity relative to the others'
 * @param startedAtMs when it last started, in Unix milliseconds; 0 for long ago
 * @param state its state in the endpoint list
 */
public record ServerEndpoint(
        String host, String address, String zone, long cell, double weight, double startedAtMs, EndpointState state) {}
