package brackenbridge.core;

import brackenbridge.core.share.SchedulingResult;
import brackenbridge.core.share.TenantQuotas;
import brackenbridge.core.share.TenantScheduler;
import brackenbridge.core.share.TenantUsage;
import brackenbridge.counters.Counter;
import brackenbridge.counters.Counters;
import java.util.ArrayDeque;
import java.util.List;

/** Admits requests by their tenants' quotas; until quotas are received, every request is admitted at once. */
final class TenantAdmission {
    private final OpenRequests requests;
    private final RequestDispatch dispatch;
    private final LocalReplies localReplies;
    private final AttemptLifecycle attempts;
    private final Counters counters;
    /** Null until quotas are received. */
    private TenantScheduler scheduler;
    /** When the pending timer fires; infinite if there is none. */
    private double timerAtMs = Double.POSITIVE_INFINITY;

    TenantAdmission(
            OpenRequests requests,
            RequestDispatch dispatch,
            LocalReplies localReplies,
            AttemptLifecycle attempts,
            Counters counters) {
        this.requests = requests;
        this.dispatch = dispatch;
        this.localReplies = localReplies;
        this.attempts = attempts;
        this.counters = counters;
    }

    /** Admits a new request, queues it for its tenant's quota, or rejects it. */
    void onRequest(ReducerContext context, OpenRequest request) {
        if (scheduler == null) {
            dispatch.dispatch(context, request);
            return;
        }
        double nowMs = context.nowMs();
        TenantScheduler.AdmissionDecision decision =
                scheduler.onRequest(nowMs, request.id, request.tenant, nowMs + request.timeoutMs, 0);
        if (decision.verdict() == TenantScheduler.AdmissionVerdict.ADMIT) {
            dispatch.dispatch(context, request);
        } else if (decision.verdict() == TenantScheduler.AdmissionVerdict.REJECT) {
            reject(context, request, decision.retryAfterMs());
        }
    }

    void applyQuotas(ReducerContext context, TenantQuotas quotas) {
        if (scheduler == null) {
            startScheduler(context);
        }
        apply(context, scheduler.applyQuotas(context.nowMs(), quotas));
    }

    /** Starts the scheduler with the requests that are already open, which count against their tenants' quotas. */
    private void startScheduler(ReducerContext context) {
        scheduler = new TenantScheduler(TenantScheduler.SchedulerLimits.NODE_LIMITS);
        requests.startTrackingRemovals();
        double nowMs = context.nowMs();
        for (OpenRequest request : requests.all()) {
            scheduler.onRequest(nowMs, request.id, request.tenant, request.expectedDeadlineMs(nowMs), 0);
        }
    }

    void onTimer(ReducerContext context) {
        timerAtMs = Double.POSITIVE_INFINITY;
        apply(context, scheduler.onTimer(context.nowMs()));
    }

    /**
     * Releases the quota of removed requests and admits requests that wait for it. Call this only once the balancer has
     * finished handling the event: it must not receive a new request while it handles another event.
     */
    void admitWaitingTenants(ReducerContext context) {
        ArrayDeque<Long> removedIds = requests.removedIds();
        while (!removedIds.isEmpty()) {
            apply(context, scheduler.onRequestEnded(context.nowMs(), removedIds.poll()));
            attempts.deliverPendingOutcomes(context);
        }
        if (scheduler != null && scheduler.nextTimerMs() < timerAtMs) {
            timerAtMs = scheduler.nextTimerMs();
            context.setTimer(timerAtMs, new TimerKey.TenantSchedulerTimer());
        }
    }

    /** The demand and usage of each tenant since the last call; empty without quotas. */
    List<TenantUsage> takeUsage(double nowMs) {
        return scheduler == null ? List.of() : scheduler.takeUsage(nowMs);
    }

    private void apply(ReducerContext context, SchedulingResult result) {
        for (SchedulingResult.Rejection rejection : result.rejected()) {
            OpenRequest request = requests.find(rejection.requestId());
            if (request != null && !request.ended) {
                reject(context, request, rejection.retryAfterMs());
            }
        }
        for (long requestId : result.admitted()) {
            OpenRequest request = requests.find(requestId);
            if (request != null && !request.ended && !request.dispatched) {
                dispatch.dispatch(context, request);
            }
        }
    }

    private void reject(ReducerContext context, OpenRequest request, double retryAfterMs) {
        counters.count(Counter.REQUESTS_OVER_QUOTA);
        localReplies.send(context, request, Effect.LocalReply.REJECTED, retryAfterMs);
    }
}
