package brackenbridge.core;

/** What the reducer wants done; whoever runs it reports back by events. */
public sealed interface Effect {
    /** Start an attempt; it is given up at {@code giveUpMs}. */
    record StartAttempt(long requestId, int attempt, String host, String address, double deadlineMs, Object message)
            implements Effect {}

    /** Cancel an attempt: close its connection, or discard it if it has none yet. */
    record CancelAttempt(long requestId, int attempt) implements Effect {}

    /** Send a server's response to the request's client. */
    record SendResponse(long requestId, Object message) implements Effect {}

    /** The node's own answers. */
    enum LocalReply {
        /** A rejection: the request has not run, so a retry is harmless. */
        REJECTED,
        /** A failure: the request may have run. */
        FAILED,
        /** A failure because no response came in time. */
        TIMED_OUT,
        /** A server says that the request itself is invalid. */
        INVALID_REQUEST
    }

    /** Answer a request with a reply of the node's own; with {@code retryAfterMs} 0 it has no Retry-After. */
    record SendLocalReply(long requestId, LocalReply reply, double retryAfterMs) implements Effect {}

    /** Fire this timer at this time or soon after. */
    record SetTimer(double atMs, TimerKey key) implements Effect {}

    /** Cancel this timer; it may still fire. */
    record CancelTimer(TimerKey key) implements Effect {}

    /** Open a watch at discovery for all changes after this version. */
    record WatchDiscovery(long call, long afterVersion) implements Effect {}

    /** Cancel a call to discovery. */
    record CancelDiscoveryCall(long call) implements Effect {}

    /** Start a health check of a server. */
    record StartHealthCheck(long healthCheckId, String address) implements Effect {}

    /** Cancel a health check. */
    record CancelHealthCheck(long healthCheckId) implements Effect {}

    /** Close the idle connections to this host at this address. */
    record CloseIdleConnections(String host, String address) implements Effect {}

    /** Announce to each client with its next response that its connection closes, or stop doing so. */
    record AnnounceClose(boolean enabled) implements Effect {}

    /** Another process of the node serves: leave new connections to it, and accept those whose handshake has begun. */
    record LeaveNewConnectionsToSuccessor() implements Effect {}

    /** Accept no more connections. */
    record StopAccepting() implements Effect {}

    /** Close the idle client connections. */
    record CloseIdleClients() implements Effect {}

    /** From now on, close each client connection as soon as it is idle; or stop doing so. */
    record CloseClientsWhenIdle(boolean enabled) implements Effect {}

    /** Close the client connections whose request is not complete yet. */
    record RejectIncompleteRequests() implements Effect {}

    /** Report a fault in the program to the operators. */
    record ReportFault(RuntimeException cause) implements Effect {}

    /** All requests are answered, or time is up: exit once the last responses are sent. */
    record Exit(boolean immediately) implements Effect {}
}
