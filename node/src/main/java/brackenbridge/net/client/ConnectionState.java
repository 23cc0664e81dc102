package brackenbridge.net.client;

/**
 * State of a client connection.
 *
 * <pre>
 *      READING --request complete--&gt; AWAITING_RESPONSE --response begins--&gt; RESPONDING
 *       |  ^                                                                  |  |
 *       |  +------------------ response written, kept alive ------------------+  |
 *       |                                                                        |
 *       +--idle for too long--&gt; LINGERING &lt;--response written, not kept alive----+
 * </pre>
 *
 * A request that is rejected, or served by the node itself, leads from READING to RESPONDING. Every state leads to
 * CLOSED when the connection ends.
 */
enum ConnectionState {
    /** No request, or an incomplete one. */
    READING,
    /** A request is open and its response has not begun. */
    AWAITING_RESPONSE,
    /** A response is being written. */
    RESPONDING,
    /** The output is shut down; further input is read and discarded. */
    LINGERING,
    /** The connection is closed. */
    CLOSED
}
