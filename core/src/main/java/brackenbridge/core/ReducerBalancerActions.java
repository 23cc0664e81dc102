package brackenbridge.core;

import brackenbridge.core.balancing.BalancerActions;
import brackenbridge.counters.Counter;
import brackenbridge.counters.Counters;

/** Turns the balancer's actions into effects of the event that is being handled. */
final class ReducerBalancerActions implements BalancerActions {
    private final ReducerContext context;
    private final CurrentSettings settings;
    private final OpenRequests requests;
    private final EndpointTable endpoints;
    private final AttemptStarter attempts;
    private final LocalReplies localReplies;
    private final HealthChecks.Pending healthChecks;
    private final Counters counters;

    ReducerBalancerActions(
            ReducerContext context,
            CurrentSettings settings,
            OpenRequests requests,
            EndpointTable endpoints,
            AttemptStarter attempts,
            LocalReplies localReplies,
            HealthChecks.Pending healthChecks,
            Counters counters) {
        this.context = context;
        this.settings = settings;
        this.requests = requests;
        this.endpoints = endpoints;
        this.attempts = attempts;
        this.localReplies = localReplies;
        this.healthChecks = healthChecks;
        this.counters = counters;
    }

    @Override
    public void startAttempt(long requestId, long endpointId, long timeout) {
        attempts.start(context, requestId, endpointId, Microseconds.toMs(timeout));
    }

    @Override
    public boolean reportsWritten() {
        return true;
    }

    @Override
    public void reject(long requestId, long retryAfter) {
        OpenRequest request = requests.find(requestId);
        if (request != null && !request.ended) {
            localReplies.send(context, request, Effect.LocalReply.REJECTED, Microseconds.toMs(retryAfter));
        }
    }

    @Override
    public void fail(long requestId) {
        OpenRequest request = requests.find(requestId);
        if (request != null && !request.ended) {
            localReplies.send(
                    context, request, request.timedOut ? Effect.LocalReply.TIMED_OUT : Effect.LocalReply.FAILED);
        }
    }

    @Override
    public void setTimer(long at, String token) {
        context.setTimer(Microseconds.toMs(at), new TimerKey.BalancerTimer(token));
    }

    @Override
    public void startHealthCheck(long endpointId) {
        ServerEndpoint endpoint = endpoints.find(endpointId);
        if (endpoint != null && settings.get().mayHealthCheck()) {
            counters.count(Counter.HEALTH_CHECKS);
            healthChecks.start(context, endpointId, endpoint);
        }
    }
}
