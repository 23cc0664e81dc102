package brackenbridge.net.client;

/**
 * What a client connection does at the moment.
 *
 * <pre>
 *      READING --request complete--&gt; AWAITING_RESPONSE --response begins--&gt; RESPONDING
 *       |  ^                                                                  |  |
 *       |  +------------------ response written, kept alive ------------------+  |
 *       |                                                                        |
 *       +--idle for too long--&gt; LINGERING &lt;--response written, not kept alive----+
 * </pre>
 *
 * A request that is rejected, or answered by the node itself, goes from READING to RESPONDING. Every state goes to
 * CLOSED when the connection ends.
 */
enum ConnectionState {
    /** Waits for a request, or has a part of one. */
    READING,
    /** A request is open and has no response yet. */
    AWAITING_RESPONSE,
    /** A response is being written. */
    RESPONDING,
    /** The output is shut down; what the client still sends is read and discarded. */
    LINGERING,
    /** The connection has ended. */
    CLOSED
}
