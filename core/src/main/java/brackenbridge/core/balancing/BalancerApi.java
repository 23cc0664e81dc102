package brackenbridge.core.balancing;

import java.util.List;

/**
 * The whole interface of the decision module {@link Balancer}: the settings it is given at start, the
 * events it is told of and the actions it takes. Times and durations are whole microseconds; the clock
 * begins anywhere and only advances. Ids are numbers without meaning.
 */
public interface BalancerApi {

    // ---- Events: what an instance is told, each with the time at which it is told ----

    /** Other settings hold for requests that come from now on; those that are open keep the rules they came under. */
    default void onSettings(long now, BalancerSettings settings) {
        throw new UnsupportedOperationException("settings that change while it runs");
    }

    /** A list of endpoints. The first event of all is a list. */
    void onEndpointList(long now, EndpointListKind kind, List<Endpoint> entries);

    /** A request has arrived; the instance owes it one final answer. */
    void onRequest(long now, BalancerRequest request);

    /**
     * A long request has begun to arrive. A server begins it with its last byte only, so until {@link
     * #onRequestCompleted} it
     * holds none; it may be sent before that.
     */
    default void onStreamedRequest(long now, BalancerRequest request) {
        onRequest(now, request);
    }

    /** The last byte of a long request has come. */
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

    /** The request has ended without the instance; nothing is owed. */
    void onClientDisconnected(long now, long request);

    /** A timer set before has fallen due. */
    void onTimer(long now, String token);

    /** How many listed endpoints the instance avoids now; for the operators' figures. */
    default int ejectedEndpoints() {
        return 0;
    }

    /** How long a client that is refused now had better wait before it comes again; 0 gives no guidance. */
    default long suggestedRetryAfter() {
        return 0;
    }

    /** A probe has ended; the report is null if none came. Nothing to an instance that sends none. */
    default void onHealthCheckEnded(long now, long endpoint, AttemptOutcome outcome, long latency, LoadReport report) {}
}
