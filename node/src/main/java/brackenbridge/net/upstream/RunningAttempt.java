package brackenbridge.net.upstream;

import brackenbridge.core.Effect;
import brackenbridge.core.connection.EndpointIdentity;
import brackenbridge.net.channel.StreamedRequest;

/** An attempt, from the effect that starts it until its outcome is reported. */
final class RunningAttempt {
    /** Waiter number of an attempt that has not requested a connection from the pool yet. */
    private static final long NO_WAITER = -1;

    private final Effect.StartAttempt effect;
    private UpstreamConnection connection;
    private boolean written;
    private long waiter = NO_WAITER;

    RunningAttempt(Effect.StartAttempt effect) {
        this.effect = effect;
    }

    long requestId() {
        return effect.requestId();
    }

    int attempt() {
        return effect.attempt();
    }

    /** Until when its client waits, as far as was known at its start. */
    double clientDeadlineMs() {
        return effect.clientDeadlineMs();
    }

    /** The id that the client gave the request. */
    String correlationId() {
        return StreamedRequest.correlationId(message());
    }

    Object message() {
        return effect.message();
    }

    EndpointIdentity endpoint() {
        return new EndpointIdentity(effect.host(), effect.address());
    }

    /** The connection on which the attempt is sent; null before its first byte. */
    UpstreamConnection connection() {
        return connection;
    }

    void setConnection(UpstreamConnection carrier) {
        connection = carrier;
    }

    /** Whether the last byte of the request has been written: from then on the server may have executed it. */
    boolean isWritten() {
        return written;
    }

    void markWritten() {
        written = true;
    }

    /** The attempt's waiter number in the connection pool. */
    long waiter() {
        return waiter;
    }

    void setWaiter(long number) {
        waiter = number;
    }
}
