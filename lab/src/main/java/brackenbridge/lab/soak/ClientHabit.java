package brackenbridge.lab.soak;

/** How a client behaves. */
public enum ClientHabit {
    /** One request after the other on one connection. */
    STEADY,
    /** Several requests in one write. */
    PIPELINING,
    /** A request in two pieces, with a pause between them. */
    IN_PIECES,
    /** Requests with bodies, chunked or not, in pieces. */
    WITH_BODY,
    /** Leaves now and then before its answer has come. */
    LEAVING,
    /** Sends half a request and stays. */
    STALLING,
    /** Rests for seconds between two requests. */
    RESTING,
    /** Opens a connection for each request. */
    RECONNECTING
}
