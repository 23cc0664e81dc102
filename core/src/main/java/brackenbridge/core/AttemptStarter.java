package brackenbridge.core;

import brackenbridge.core.balancing.AttemptOutcome;
import brackenbridge.counters.Counter;
import brackenbridge.counters.Counters;

/** Starts the attempts that the balancer requests, unless one of the node's own rules forbids it. */
final class AttemptStarter {
    private final OpenRequests requests;
    private final EndpointTable endpoints;
    private final Counters counters;
    private final TrafficObservation observation;

    AttemptStarter(OpenRequests requests, EndpointTable endpoints, Counters counters, TrafficObservation observation) {
        this.requests = requests;
        this.endpoints = endpoints;
        this.counters = counters;
        this.observation = observation;
    }

    /** Starts the request's next attempt; if it must not start, queues the outcome NEVER_STARTED for the balancer. */
    void start(ReducerContext context, long requestId, long endpointId, double timeoutMs) {
        OpenRequest request = requests.find(requestId);
        if (request == null) {
            return;
        }
        int number = request.attemptCount++;
        ServerEndpoint endpoint = endpoints.find(endpointId);
        if (endpoint == null || !mayStart(context.nowMs(), request, number, endpoint)) {
            context.addPendingOutcome(new PendingOutcome(requestId, number, AttemptOutcome.NEVER_STARTED));
            return;
        }
        request.attempt = new Attempt(number, endpoint.host(), context.nowMs());
        counters.count(Counter.ATTEMPTS_STARTED);
        observation.onAttemptStarted(request, endpoint);
        send(context, request, endpoint, timeoutMs);
    }

    private boolean mayStart(double nowMs, OpenRequest request, int number, ServerEndpoint endpoint) {
        return !request.ended
                && request.attempt == null
                && number < request.maxAttempts
                && nowMs < request.attemptDeadlineMs(number)
                && !endpoints.isCutOff(endpoint.host(), nowMs)
                && !request.isIdempotencyKeyExpired(nowMs);
    }

    private void send(ReducerContext context, OpenRequest request, ServerEndpoint endpoint, double timeoutMs) {
        Attempt attempt = request.attempt;
        double nowMs = context.nowMs();
        double requestDeadlineMs = Math.min(request.attemptDeadlineMs(attempt.number), nowMs + request.timeoutMs);
        boolean limited = timeoutMs > 0 && request.isComplete();
        double attemptDeadlineMs = limited ? Math.min(requestDeadlineMs, nowMs + timeoutMs) : requestDeadlineMs;
        context.addEffect(new Effect.StartAttempt(
                request.id,
                attempt.number,
                endpoint.host(),
                endpoint.address(),
                attemptDeadlineMs,
                request.expectedDeadlineMs(nowMs),
                request.message));
        attempt.announcedDeadlineMs = attemptDeadlineMs;
        if (attemptDeadlineMs < requestDeadlineMs) {
            attempt.timeoutAtMs = attemptDeadlineMs;
            context.setTimer(attemptDeadlineMs, new TimerKey.AttemptTimeout(request.id, attempt.number));
        }
    }
}
