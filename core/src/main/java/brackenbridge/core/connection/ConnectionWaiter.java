package brackenbridge.core.connection;

/** An attempt that waits for a connection. */
final class ConnectionWaiter {
    final long id;
    final EndpointIdentity endpoint;
    final double deadlineMs;
    double nextWakeMs;
    /** Connections opened for it. */
    int openCount;

    int localFailures;

    ConnectionWaiter(long id, EndpointIdentity endpoint, double deadlineMs) {
        this.id = id;
        this.endpoint = endpoint;
        this.deadlineMs = deadlineMs;
    }

    /** Why it ended without a connection, once its deadline has passed. */
    ConnectionCommand.FailureReason timeoutReason() {
        return openCount == 0 && localFailures > 0
                ? ConnectionCommand.FailureReason.FAILED_LOCALLY
                : ConnectionCommand.FailureReason.CONNECT_FAILED;
    }
}
