package brackenbridge.core;

/** A side effect that the reducer requests. Its results are reported back as events. */
public sealed interface Effect {
    /**
     * Start an attempt.
     *
     * @param deadlineMs when it is given up
     * @param clientDeadlineMs until when its client waits; for an incomplete request, as if it were complete now
     */
    record StartAttempt(
            long requestId,
            int attempt,
            String host,
            String address,
            double deadlineMs,
            double clientDeadlineMs,
            Object message)
            implements Effect {}

    /** Cancel an attempt: close its connection, or discard it if it has none yet. */
    record CancelAttempt(long requestId, int attempt) implements Effect {}

    /** Stream the response that is being received for an attempt; if that is impossible, an event says so. */
    record StreamResponse(long requestId, int attempt) implements Effect {}

    /** Send a server's response to the request's client. */
    record SendResponse(long requestId, Object message) implements Effect {}

    /** Responses that the node generates itself. */
    enum LocalReply {
        /** Rejected: the request has not run, so a retry is safe. */
        REJECTED,
        /** Failed: the request may have run. */
        FAILED,
        /** Failed because no response was received in time; the request may have run. */
        TIMED_OUT,
        /** A server reported that the request itself is invalid. */
        INVALID_REQUEST
    }

    /** Send a local reply to the request's client; with {@code retryAfterMs} 0 it has no Retry-After. */
    record SendLocalReply(long requestId, LocalReply reply, double retryAfterMs) implements Effect {}

    /** Refuse the id of this request for a while: its client has left, it may have run and must not run twice. */
    record RefuseRequestId(Object message) implements Effect {}

    /** Fire this timer at or soon after this time. */
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

    /** Announce with each response that its connection will close, or stop doing so. */
    record AnnounceClose(boolean enabled) implements Effect {}

    /** Leave new connections to the successor process, but accept those whose handshake has begun. */
    record LeaveNewConnectionsToSuccessor() implements Effect {}

    /** Stop accepting connections. */
    record StopAccepting() implements Effect {}

    /** Close the client connections on which no further request is likely to be on its way. */
    record CloseIdleClients() implements Effect {}

    /** From now on, close each client connection as soon as it is idle; or stop doing so. */
    record CloseClientsWhenIdle(boolean enabled) implements Effect {}

    /** Reject the requests that are not complete yet, and close their connections. */
    record RejectIncompleteRequests() implements Effect {}

    /** Report a programming error to the operators. */
    record ReportFault(RuntimeException cause) implements Effect {}

    /** Exit once the last responses are sent; with {@code immediately}, the remaining time is limited. */
    record Exit(boolean immediately) implements Effect {}
}
