package brackenbridge.core.balancing;

import java.util.List;

/**
 * The interface of {@link Balancer}: the events that an instance receives, each with the time at which it is received.
 * Its actions are {@link BalancerActions}. Times and durations are integral microseconds; the clock starts anywhere and
 * only advances. Ids are numbers without meaning.
 */
public interface BalancerApi {
    /** New settings apply to requests that arrive from now on; open ones keep the rules that they arrived under. */
    default void onSettings(long now, BalancerSettings settings) {
        throw new UnsupportedOperationException("settings that change while it runs");
    }

    /** A list of endpoints. The first event of all is a list. */
    void onEndpointList(long now, EndpointListKind kind, List<Endpoint> entries);

    /** A request has arrived; the instance owes it one final answer. */
    void onRequest(long now, BalancerRequest request);

    /**
     * A long request has begun to arrive. A server begins to process it with its last byte only, so it occupies none
     * until {@link #onRequestCompleted}; it may be sent before that.
     */
    default void onStreamedRequest(long now, BalancerRequest request) {
        onRequest(now, request);
    }

    /** The last byte of a long request has arrived. */
    default void onRequestCompleted(long now, long request) {}

    /** The last byte of an attempt's request has been written to its endpoint. */
    default void onAttemptWritten(long now, long request, int attempt) {}

    /** The response of a streamed request has started; the attempt is the client's from now on. */
    void onResponseStarted(long now, long request, int attempt);

    /**
     * An attempt has ended; each send gets exactly one.
     *
     * @param ended the request has ended, by this outcome or before it
     * @param latency the time since the send
     * @param report the endpoint's load, null if none came
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

    /** A timer set before has fallen due. */
    void onTimer(long now, String token);

    /** How many listed endpoints are ejected now; for the operators' metrics. */
    default int ejectedEndpoints() {
        return 0;
    }

    /** The Retry-After for a client that is rejected now; 0 gives no guidance. */
    default long suggestedRetryAfter() {
        return 0;
    }

    /** A health check has ended; the report is null if none came. Ignored by an instance that sends none. */
    default void onHealthCheckEnded(long now, long endpoint, AttemptOutcome outcome, long latency, LoadReport report) {}
}
