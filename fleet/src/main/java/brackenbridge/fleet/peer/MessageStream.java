package brackenbridge.fleet.peer;

/**
 * The stream to which a frame belongs. Each stream has a bounded queue of its own per connection, so that none starves
 * another.
 */
public enum MessageStream {
    /** Failure detection: heartbeats, suspicions, refutations. */
    LIVENESS,
    /** Agreement: messages of the Raft library. */
    AGREED,
    /** Replication: register and counter records, digests, catch-up. */
    REPLICA,
    /** Requests and responses about leases of connections. */
    SHARE,
    /** Commands and reports of an evacuation. */
    EVACUATION,
    /** Reports exchanged by control machines about the nodes that they serve. */
    CONTROL
}
