package brackenbridge.core.connection;

/** What {@link ConnectionPool} wants done. */
public sealed interface ConnectionCommand {
    /** Open a connection under this number, or a further one beside a late one; it must be up within this time. */
    record Open(long connection, EndpointIdentity endpoint, double timeoutMs, boolean additional)
            implements ConnectionCommand {}

    /** The wait is over: its forward goes out on this connection, alone. */
    record Assign(long connection, long waiter) implements ConnectionCommand {}

    /** Close this connection, which carries nothing. */
    record Close(long connection) implements ConnectionCommand {}

    /** The wait is over without a connection, and nothing was sent. */
    record GiveUp(long waiter, FailureReason reason) implements ConnectionCommand {}

    /** Call {@link ConnectionPool#onWake} for this wait at this time or soon after, in milliseconds. */
    record Wake(double atMs, long waiter) implements ConnectionCommand {}

    /** Why a wait got no connection. */
    enum FailureReason {
        /** None came up: the server refused it, or was silent for all the time that a connection may take. */
        UNCONNECTED,
        /** The node itself has no room for another. */
        NO_ROOM,
        /** The node itself failed to connect, twice with a pause between: nothing is known of the server. */
        FAILED_LOCALLY
    }
}
