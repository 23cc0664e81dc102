package brackenbridge.core;

import brackenbridge.core.balancing.AttemptOutcome;
import brackenbridge.core.balancing.BalancerApi;
import brackenbridge.core.balancing.LoadReport;
import java.util.HashMap;
import java.util.Map;

/** Reports the end of each health check to the balancer, at the latest by its timeout. */
final class HealthChecks implements Event.HealthCheckEvent.Handler<ReducerContext> {
    static final double HEALTH_CHECK_TIMEOUT_MS = 1000;

    private record PendingHealthCheck(long endpointId, double startedMs) {}

    /** The health checks that have not ended. */
    static final class Pending {
        private final Map<Long, PendingHealthCheck> checks = new HashMap<>();
        private long startedCount;

        /** Starts a health check of this endpoint. */
        void start(ReducerContext context, long endpointId, ServerEndpoint endpoint) {
            long id = startedCount++;
            checks.put(id, new PendingHealthCheck(endpointId, context.nowMs()));
            context.addEffect(new Effect.StartHealthCheck(id, endpoint.address()));
            context.setTimer(context.nowMs() + HEALTH_CHECK_TIMEOUT_MS, new TimerKey.HealthCheckTimeout(id));
        }
    }

    private final Pending pending;
    private final BalancerApi balancer;

    HealthChecks(Pending pending, BalancerApi balancer) {
        this.pending = pending;
        this.balancer = balancer;
    }

    @Override
    public void onHealthCheckEnded(ReducerContext context, Event.HealthCheckEnded event) {
        AttemptOutcome failure = event.responded() ? AttemptOutcome.ERROR : AttemptOutcome.CONNECT_FAILED;
        AttemptOutcome outcome = event.passed() ? AttemptOutcome.OK : failure;
        end(context, event.healthCheckId(), outcome, event.report());
    }

    void onTimeout(ReducerContext context, TimerKey.HealthCheckTimeout timer) {
        if (pending.checks.containsKey(timer.healthCheckId())) {
            context.addEffect(new Effect.CancelHealthCheck(timer.healthCheckId()));
            end(context, timer.healthCheckId(), AttemptOutcome.TIMEOUT, null);
        }
    }

    private void end(ReducerContext context, long id, AttemptOutcome outcome, LoadReport report) {
        PendingHealthCheck check = pending.checks.remove(id);
        if (check != null) {
            long latency = Microseconds.ofMs(context.nowMs() - check.startedMs());
            balancer.onHealthCheckEnded(context.nowMicros(), check.endpointId(), outcome, latency, report);
        }
    }
}
