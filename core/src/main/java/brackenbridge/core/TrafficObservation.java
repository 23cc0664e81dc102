package brackenbridge.core;

import brackenbridge.core.balancing.AttemptOutcome;
import brackenbridge.core.observe.TrafficObserver;

/** Counts the traffic to each pool once enabled. Times are in milliseconds. */
final class TrafficObservation {
    /** Null until enabled. */
    private TrafficObserver observer;

    void enable() {
        observer = new TrafficObserver();
    }

    void onAttemptStarted(OpenRequest request, ServerEndpoint endpoint) {
        if (observer != null) {
            Attempt attempt = request.attempt;
            attempt.pool = new TrafficObserver.PoolKey(endpoint.zone(), endpoint.weight(), request.className);
            observer.onAttemptStarted(attempt.pool, attempt.number == 0);
        }
    }

    void onAttemptEnded(Attempt attempt, AttemptOutcome outcome, double nowMs) {
        if (attempt.pool != null) {
            double latencyMs = nowMs - attempt.latencyStartMs;
            observer.onAttemptEnded(attempt.pool, outcome == AttemptOutcome.OK, !outcome.neverRan, latencyMs);
        }
    }

    void onRejected(OpenRequest request) {
        if (observer != null) {
            observer.onRejected(request.className);
        }
    }

    /** The traffic counted so far; empty until enabled. */
    TrafficObserver.TrafficSnapshot snapshot(double nowMs, EndpointTable endpoints) {
        return observer == null
                ? TrafficObserver.TrafficSnapshot.NONE
                : observer.snapshot(nowMs, endpoints.upEndpointsByPool());
    }
}
