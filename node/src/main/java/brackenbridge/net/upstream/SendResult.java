package brackenbridge.net.upstream;

/** The outcome of sending an attempt on a connection. */
enum SendResult {
    /** Its first bytes have been written. */
    STARTED,
    /** It must not start any more; nothing was written. */
    EXPIRED,
    /** Its client may have disconnected: nothing is written until the client is known to be connected. */
    CLIENT_UNCONFIRMED
}
