package brackenbridge.core;

/** What the reducer wants done; whoever runs it reports back by events. */
public sealed interface Effect {
    /** Begin a forward. */
    record StartAttempt(long requestId, int attempt, String host, String address, double giveUpMs, Object message)
            implements Effect {}

    /** Give a forward up: close its connection, or forget it if it has none yet. */
    record CancelAttempt(long requestId, int attempt) implements Effect {}

    /** Answer a flow with what a server made for it. */
    record SendResponse(long requestId, Object message) implements Effect {}

    /** The node's own answers. */
    enum LocalReply {
        /** A refusal: trying again is harmless. */
        REJECTED,
        /** A failure, with no promise about its effect. */
        FAILED,
        /** A failure because no answer came in time. */
        TIMED_OUT,
        /** A server says that the request itself is at fault. */
        INVALID_REQUEST
    }

    /** Answer a flow with a fixed response; retryAfterMs 0 gives no guidance. */
    record SendLocalReply(long requestId, LocalReply reply, double retryAfterMs) implements Effect {}

    /** Fire this timer at this time or soon after. */
    record SetTimer(double atMs, TimerKey key) implements Effect {}

    /** This timer need not fire any more; it may all the same. */
    record CancelTimer(TimerKey key) implements Effect {}

    /** Ask discovery for all changes after this version, as they come. */
    record WatchDiscovery(long call, long afterVersion) implements Effect {}

    /** Give a call to discovery up. */
    record EndDiscoveryCall(long call) implements Effect {}

    /** Examine a server. */
    record StartHealthCheck(long healthCheckId, String address) implements Effect {}

    /** Give a probe up. */
    record CancelHealthCheck(long healthCheckId) implements Effect {}

    /** Close the connections to this host at this address that carry nothing. */
    record CloseIdleConnections(String host, String address) implements Effect {}

    /** Say to each client with its next answer that its connection ends, or no longer. */
    record AnnounceClose(boolean on) implements Effect {}

    /** Accept no more connections. */
    record StopAccepting() implements Effect {}

    /** Close the client connections that carry nothing. */
    record CloseIdleClients() implements Effect {}

    /** From now on, close each client connection that carries nothing for a moment; or no longer. */
    record CloseClientsWhenIdle(boolean on) implements Effect {}

    /** Close the client connections whose request is not whole yet. */
    record RejectIncompleteRequests() implements Effect {}

    /** Tell the operators of a fault in the program. */
    record Fault(RuntimeException cause) implements Effect {}

    /** All is answered, or time is up: end the process once the last answers are out. */
    record Exit(boolean immediately) implements Effect {}
}
