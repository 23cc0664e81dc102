package brackenbridge.core.connection;

/** A command of {@link ConnectionPool}, to be carried out by its caller. */
public sealed interface ConnectionCommand {
    /**
     * Open a connection under this id within this time; {@code additional} if it is opened in addition to a late one.
     */
    record Open(long connection, EndpointIdentity endpoint, double timeoutMs, boolean additional)
            implements ConnectionCommand {}

    /** End the wait: the attempt has the exclusive use of this connection. */
    record Assign(long connection, long waiter) implements ConnectionCommand {}

    /** Close this idle connection. */
    record Close(long connection) implements ConnectionCommand {}

    /** End the wait without a connection; nothing was sent. */
    record GiveUp(long waiter, FailureReason reason) implements ConnectionCommand {}

    /** Call {@link ConnectionPool#onWake} for this waiter at this time or soon after, in milliseconds. */
    record Wake(double atMs, long waiter) implements ConnectionCommand {}

    /** Why a wait ended without a connection. */
    enum FailureReason {
        /** No connection was established: the server refused it or didn't respond within the connect time-out. */
        CONNECT_FAILED,
        /** The node has no file descriptor left. */
        NO_DESCRIPTOR,
        /** A system call failed on this machine, also after a retry; this says nothing about the server. */
        FAILED_LOCALLY
    }
}
