package brackenbridge.fleet.peer;

/** Whose message a frame carries; each has a bounded queue of its own at a link, so that none starves another. */
public enum MessageStream {
    /** Liveness: beats, suspicion, refutation. */
    LIVENESS,
    /** Agreement: the Raft library's messages. */
    AGREED,
    /** Own and counted records, digests, catch-up. */
    REPLICA,
    /** Questions and answers about leases of connections. */
    SHARE,
    /** Orders and reports of an evacuation. */
    EVACUATION,
    /** What control machines tell each other of the nodes that they serve. */
    CONTROL
}
