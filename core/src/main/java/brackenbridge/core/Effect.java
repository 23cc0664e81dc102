package brackenbridge.core;

/** What the reducer wants done; whoever runs it reports back by events. */
public sealed interface Effect {
    /** Begin a forward. */
    record Forward(long flow, int forward, String host, String dial, double giveUpMs, Object message)
            implements Effect {}

    /** Give a forward up: close its connection, or forget it if it has none yet. */
    record CancelForward(long flow, int forward) implements Effect {}

    /** Answer a flow with what a server made for it. */
    record Respond(long flow, Object message) implements Effect {}

    /** The node's own answers. */
    enum Fixed {
        /** A refusal: trying again is harmless. */
        REFUSED,
        /** A failure, with no promise about its effect. */
        FAILED,
        /** A failure because no answer came in time. */
        TIMED_OUT,
        /** A server says that the request itself is at fault. */
        REJECTED
    }

    /** Answer a flow with a fixed response; retryAfterMs 0 gives no guidance. */
    record FixedResponse(long flow, Fixed kind, double retryAfterMs) implements Effect {}

    /** Fire this timer at this time or soon after. */
    record SetTimer(double atMs, TimerKey key) implements Effect {}

    /** This timer need not fire any more; it may all the same. */
    record UnsetTimer(TimerKey key) implements Effect {}

    /** Ask discovery for all changes after this version, as they come. */
    record Watch(long call, long afterSeq) implements Effect {}

    /** Give a call to discovery up. */
    record EndDiscovery(long call) implements Effect {}

    /** Examine a server. */
    record Probe(long probe, String dial) implements Effect {}

    /** Give a probe up. */
    record EndProbe(long probe) implements Effect {}

    /** Close the connections to this host at this address that carry nothing. */
    record CloseIdle(String host, String dial) implements Effect {}

    /** Say to each client with its next answer that its connection ends, or no longer. */
    record SayClose(boolean on) implements Effect {}

    /** Accept no more connections. */
    record StopAccepting() implements Effect {}

    /** Close the client connections that carry nothing. */
    record CloseIdleClients() implements Effect {}

    /** From now on, close each client connection that carries nothing for a moment; or no longer. */
    record KeepNoClients(boolean on) implements Effect {}

    /** Close the client connections whose request is not whole yet. */
    record EndUnfinished() implements Effect {}

    /** Tell the operators of a fault in the program. */
    record Fault(RuntimeException cause) implements Effect {}

    /** All is answered, or time is up: end the process once the last answers are out. */
    record Exit(boolean atOnce) implements Effect {}
}
