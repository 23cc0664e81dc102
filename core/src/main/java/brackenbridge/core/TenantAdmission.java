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
    /** When the timer that is set fires; infinite if none is set. */
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

    /** Admits a new request, lets it wait for its tenant's quota, or rejects it. */
    void onRequest(ReducerContext context, OpenRequest request) {
        if (scheduler == null) {
            dispatch.start(context, request);
            return;
        }
        double nowMs = context.nowMs();
        TenantScheduler.AdmissionDecision decision =
                scheduler.onRequest(nowMs, request.id, request.tenant, nowMs + request.timeoutMs, 0);
        if (decision.verdict() == TenantScheduler.AdmissionVerdict.ADMIT) {
            dispatch.start(context, request);
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

    /** Requests that are already open count against their tenants' quotas too. */
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
     * Releases the quota of requests that were removed and admits those that wait for it. To be called only once the
     * balancer has finished its own event: it must not receive a new request while it handles another event.
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

    /** What each tenant wanted and used since the last call; nothing without quotas. */
    List<TenantUsage> takeUse(double nowMs) {
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
            if (request != null && !request.ended && !request.started) {
                dispatch.start(context, request);
            }
        }
    }

    private void reject(ReducerContext context, OpenRequest request, double retryAfterMs) {
        counters.count(Counter.REQUESTS_OVER_QUOTA);
        localReplies.send(context, request, Effect.LocalReply.REJECTED, retryAfterMs);
    }
}
