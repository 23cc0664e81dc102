package brackenbridge.net.upstream;

/** The outcome of sending an attempt on a connection. */
enum SendResult {
    /** The first bytes have been written. */
    STARTED,
    /** The attempt must not start any more; nothing was written. */
    EXPIRED,
    /** The client may have disconnected: nothing is written until it is known to be connected. */
    CLIENT_UNCONFIRMED
}
