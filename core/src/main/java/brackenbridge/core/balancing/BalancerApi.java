package brackenbridge.core.balancing;

import java.util.List;

/**
 * The interface of {@link Balancer}: the events that an instance receives, each with the time at which it is received.
 * Its actions are {@link BalancerActions}. Times and durations are whole microseconds of a monotonic clock with an
 * arbitrary origin. Ids are opaque numbers.
 */
public interface BalancerApi {
    /**
     * Applies new settings to requests that arrive from now on; open requests keep the rules under which they arrived.
     */
    default void onSettings(long now, BalancerSettings settings) {
        throw new UnsupportedOperationException("changing the settings of a running instance");
    }

    /** An endpoint list was received. This is always the first event. */
    void onEndpointList(long now, EndpointListKind kind, List<Endpoint> entries);

    /** A request has arrived; the instance ends it with exactly one final result. */
    void onRequest(long now, BalancerRequest request);

    /**
     * A long request has begun to arrive. It may be sent at once, but a server starts to process it only after its last
     * byte, so it occupies no server until {@link #onRequestCompleted}.
     */
    default void onStreamedRequest(long now, BalancerRequest request) {
        onRequest(now, request);
    }

    /** The last byte of a long request has arrived. */
    default void onRequestCompleted(long now, long request) {}

    /** The last byte of an attempt's request has been written to its endpoint. */
    default void onAttemptWritten(long now, long request, int attempt) {}

    /** The response of a streamed request has started to reach the client; no other attempt may follow. */
    void onResponseStarted(long now, long request, int attempt);

    /**
     * An attempt has ended; called exactly once for each attempt that was started.
     *
     * @param ended whether the request has ended, by this outcome or before it
     * @param latency the time since the attempt was started
     * @param report the endpoint's load report, null if none was received
     */
    void onAttemptEnded(
            long now,
            long request,
            int attempt,
            boolean ended,
            AttemptOutcome outcome,
            long latency,
            LoadReport report);

    /** The client has disconnected; no answer is expected. */
    void onClientDisconnected(long now, long request);

    /** A timer set before has expired. */
    void onTimer(long now, String token);

    /** The number of listed endpoints that are ejected now, for the operators' metrics. */
    default int ejectedEndpoints() {
        return 0;
    }

    /** The Retry-After value for a client that is rejected now; 0 gives no guidance. */
    default long suggestedRetryAfter() {
        return 0;
    }

    /**
     * A health check has ended; the report is null if none was received. Ignored by an instance that starts no health
     * checks.
     */
    default void onHealthCheckEnded(long now, long endpoint, AttemptOutcome outcome, long latency, LoadReport report) {}
}
