package brackenbridge.lab.policy;

import brackenbridge.core.balancing.EndpointState;

/** A server as a compared policy sees it. */
final class Peer {
    final long id;
    double weight;
    EndpointState state;
    /** Attempts that are out from this node. */
    int out;
    /** Peak EWMA of the response time in microseconds. */
    double cost;

    long costAt;

    Peer(long id, double weight, EndpointState state) {
        this.id = id;
        this.weight = weight;
        this.state = state;
    }
}
