package brackenbridge.core;

import brackenbridge.core.balancing.BalancerApi.EndpointState;

/**
 * One server of a target group.
 *
 * @param host its name, the same at every node
 * @param dial where this node reaches it, as {@code address:port}
 * @param zone the zone it is in
 * @param cell the cell it is in, -1 if not told
 * @param weight its capacity beside the others'
 * @param bornMs when it last started, in Unix milliseconds; 0 for long ago
 * @param state what discovery says of it
 */
public record ServerEndpoint(
        String host, String dial, String zone, long cell, double weight, double bornMs, EndpointState state) {}
