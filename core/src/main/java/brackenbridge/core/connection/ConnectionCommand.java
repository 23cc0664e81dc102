package brackenbridge.core.connection;

/** A command of {@link ConnectionPool}, to be run by its caller. */
public sealed interface ConnectionCommand {
    /** Open a connection under this id, an additional one if beside a late one; it must be up within this time. */
    record Open(long connection, EndpointIdentity endpoint, double timeoutMs, boolean additional)
            implements ConnectionCommand {}

    /** The wait has ended: its attempt is sent on this connection, alone. */
    record Assign(long connection, long waiter) implements ConnectionCommand {}

    /** Close this connection, which is idle. */
    record Close(long connection) implements ConnectionCommand {}

    /** The wait has ended without a connection, and nothing was sent. */
    record GiveUp(long waiter, FailureReason reason) implements ConnectionCommand {}

    /** Call {@link ConnectionPool#onWake} for this waiter at this time or soon after, in milliseconds. */
    record Wake(double atMs, long waiter) implements ConnectionCommand {}

    /** Why a wait got no connection. */
    enum FailureReason {
        /** No connection came up: the server refused it, or did not answer within the connect time-out. */
        CONNECT_FAILED,
        /** The node has no descriptor left for another. */
        NO_DESCRIPTOR,
        /** A system call failed on this machine, also after a retry: nothing is known of the server. */
        FAILED_LOCALLY
    }
}
