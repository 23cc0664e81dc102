package brackenbridge.core.connection;

/** An attempt that is waiting for a connection. */
final class ConnectionWaiter {
    final long id;
    final EndpointIdentity endpoint;
    final double deadlineMs;
    double nextWakeMs;
    /** The number of connections opened for it. */
    int openCount;

    int localFailures;

    ConnectionWaiter(long id, EndpointIdentity endpoint, double deadlineMs) {
        this.id = id;
        this.endpoint = endpoint;
        this.deadlineMs = deadlineMs;
    }

    /** Why the wait ended without a connection at its deadline. */
    ConnectionCommand.FailureReason timeoutReason() {
        return openCount == 0 && localFailures > 0
                ? ConnectionCommand.FailureReason.FAILED_LOCALLY
                : ConnectionCommand.FailureReason.CONNECT_FAILED;
    }
}
