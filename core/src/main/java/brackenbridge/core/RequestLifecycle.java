package brackenbridge.core;

import brackenbridge.core.balancing.AttemptOutcome;
import brackenbridge.core.balancing.BalancerApi;
import brackenbridge.core.balancing.Idempotence;
import brackenbridge.core.balancing.RequestClass;
import brackenbridge.counters.Counter;
import brackenbridge.counters.Counters;

/** Tracks each request from its receipt to its one final response, which is sent by its deadline at the latest. */
final class RequestLifecycle implements Event.RequestEvent.Handler<ReducerContext> {
    /** A request ends this long before its client's timeout, so that the response still arrives in time. */
    static final double DEADLINE_MARGIN_MS = 5;
    /** The margin grows by the node's recent timer lateness, up to this fraction of the client's timeout. */
    static final double LATENESS_MARGIN_RATIO = 0.25;
    /**
     * Upper bound of that growth: with half a core, 97 of 100 deadline timers fire within 19 ms. Longer delays come
     * from a cold start: no margin covers them, and a larger one would only shorten the time of requests.
     */
    static final double MAX_LATENESS_MARGIN_MS = 20;

    private final CurrentSettings settings;
    private final OpenRequests requests;
    private final AttemptLifecycle attempts;
    private final TenantAdmission admission;
    private final LocalReplies localReplies;
    private final ResponsesInProgress responses;
    private final LifeCycle lifeCycle;
    private final Counters counters;
    private final BalancerApi balancer;
    private final TimerLateness lateness = new TimerLateness();

    RequestLifecycle(
            CurrentSettings settings,
            OpenRequests requests,
            AttemptLifecycle attempts,
            TenantAdmission admission,
            LocalReplies localReplies,
            ResponsesInProgress responses,
            LifeCycle lifeCycle,
            Counters counters,
            BalancerApi balancer) {
        this.settings = settings;
        this.requests = requests;
        this.attempts = attempts;
        this.admission = admission;
        this.localReplies = localReplies;
        this.responses = responses;
        this.lifeCycle = lifeCycle;
        this.counters = counters;
        this.balancer = balancer;
    }

    @Override
    public void onRequestReceived(ReducerContext context, Event.RequestReceived event) {
        ClientRequest received = event.request();
        counters.count(Counter.REQUESTS_RECEIVED, received.className());
        if (received.clientRetry()) {
            counters.count(Counter.REQUESTS_RETRIED_BY_CLIENT);
        }
        OpenRequest request = open(context, event.requestId(), received);
        if (lifeCycle.isRejecting()) {
            // Guards the operators' expectation that a drained node becomes empty: requests received after the front
            // end has moved its traffic elsewhere have never run and are not started.
            localReplies.send(context, request, Effect.LocalReply.REJECTED);
            return;
        }
        context.setTimer(context.nowMs() + request.timeoutMs, new TimerKey.RequestDeadline(request.id));
        admission.onRequest(context, request);
    }

    private OpenRequest open(ReducerContext context, long requestId, ClientRequest received) {
        double nowMs = context.nowMs();
        RequestClass requestClass = settings.requestClass(received.className());
        double clientTimeoutMs =
                received.timeLeftMs() >= 0 ? received.timeLeftMs() : Microseconds.toMs(requestClass.deadline());
        double timeoutMs = Math.max(0, clientTimeoutMs - DEADLINE_MARGIN_MS - latenessMarginMs(nowMs, clientTimeoutMs));
        int maxAttempts = settings.get().maxAttempts();
        OpenRequest request = new OpenRequest(requestId, received, requestClass, maxAttempts, timeoutMs, nowMs);
        requests.add(request);
        return request;
    }

    private double latenessMarginMs(double nowMs, double clientTimeoutMs) {
        double maxMarginMs = Math.min(MAX_LATENESS_MARGIN_MS, clientTimeoutMs * LATENESS_MARGIN_RATIO);
        return Math.min(lateness.expectedMs(nowMs), maxMarginMs);
    }

    /** The client's timeout starts when it sends its last byte, which the node may read much later. */
    @Override
    public void onLastByteBound(ReducerContext context, Event.LastByteBound event) {
        OpenRequest request = requests.find(event.requestId());
        if (request == null || request.isComplete()) {
            return;
        }
        request.setLastByteBound(event.earliestMs());
        setDeadlineTimer(context, request);
    }

    private static void setDeadlineTimer(ReducerContext context, OpenRequest request) {
        double dueMs = request.dueMs();
        if (dueMs < Double.POSITIVE_INFINITY) {
            context.setTimer(dueMs, new TimerKey.RequestDeadline(request.id));
        }
    }

    @Override
    public void onRequestCompleted(ReducerContext context, Event.RequestCompleted event) {
        OpenRequest request = requests.find(event.requestId());
        if (request == null || request.isComplete()) {
            return;
        }
        request.complete(context.nowMs());
        setDeadlineTimer(context, request);
        if (request.dispatched) {
            balancer.onRequestCompleted(context.nowMicros(), request.id);
        }
    }

    @Override
    public void onRequestBodyReleased(ReducerContext context, Event.RequestBodyReleased event) {
        OpenRequest request = requests.find(event.requestId());
        if (request != null) {
            request.bodyReleased = true;
        }
    }

    @Override
    public void onResponseFinished(ReducerContext context, Event.ResponseFinished event) {
        responses.finish(event.requestId(), event.end());
    }

    @Override
    public void onClientDisconnected(ReducerContext context, Event.ClientDisconnected event) {
        OpenRequest request = requests.find(event.requestId());
        if (request == null || request.ended) {
            return;
        }
        counters.count(Counter.CLIENTS_DISCONNECTED, request.className);
        requests.end(context, request);
        notifyDisconnected(context, request);
        if (request.requestClass.idempotence() == Idempotence.NOT_IDEMPOTENT && request.mayRunNow()) {
            context.addEffect(new Effect.RefuseRequestId(request.message));
        }
        // An attempt that is not completely written never ran: it is cancelled even if the settings forbid cancelling.
        Attempt attempt = request.attempt;
        if (attempt != null && (settings.get().mayCancel() || !attempt.written)) {
            attempts.cancel(context, request, AttemptOutcome.CANCELLED);
        }
    }

    /** No further attempt may start for this request: unless its attempt has been written, it is answered at once. */
    @Override
    public void onClientPresenceUnknown(ReducerContext context, Event.ClientPresenceUnknown event) {
        OpenRequest request = requests.find(event.requestId());
        if (request == null || request.ended || request.attempt != null && request.attempt.written) {
            return;
        }
        localReplies.send(context, request, request.failureReply(Effect.LocalReply.FAILED));
        notifyDisconnected(context, request);
        if (request.attempt != null) {
            attempts.cancel(context, request, AttemptOutcome.CANCELLED);
        }
    }

    private void notifyDisconnected(ReducerContext context, OpenRequest request) {
        if (request.dispatched) {
            context.runGuarded(() -> balancer.onClientDisconnected(context.nowMicros(), request.id));
        }
    }

    /** The client is about to time out: answers the request in any case, with the response that has begun if any. */
    void onDeadline(ReducerContext context, TimerKey.RequestDeadline timer) {
        OpenRequest request = requests.find(timer.requestId());
        if (request == null) {
            return;
        }
        if (context.nowMs() < request.dueMs()) {
            setDeadlineTimer(context, request);
            return;
        }
        if (request.isComplete() && request.attempt != null) {
            lateness.recordDelay(context.nowMs(), request.deadlineMs);
        }
        if (!attempts.streamResponse(context, request)) {
            answerNow(context, request);
        }
    }

    /** Answers every open request now, because the process exits before some deadlines. */
    void answerAll(ReducerContext context) {
        for (OpenRequest request : requests.copyOfAll()) {
            answerNow(context, request);
        }
    }

    private void answerNow(ReducerContext context, OpenRequest request) {
        if (request.attempt != null) {
            // Guards against a fault of the balancer: no later timer would answer this request.
            context.runGuarded(() -> {
                attempts.cancel(context, request, AttemptOutcome.TIMEOUT);
                attempts.deliverPendingOutcomes(context);
            });
        }
        if (!request.ended) {
            // Guards against a request that the balancer still queues: its client must get a response.
            counters.count(Counter.ANSWERED_AT_DEADLINE);
            localReplies.send(context, request, request.failureReply(Effect.LocalReply.TIMED_OUT));
            notifyDisconnected(context, request);
        }
    }

    /**
     * Rejects requests that wait for their tenant's quota and whose class has changed. Guards against applying a
     * changed class to them: the balancer looks the class up by name when it receives them, and by then it may have
     * been removed, or have become idempotent.
     */
    void rejectWaitingWithChangedClass(ReducerContext context) {
        for (OpenRequest request : requests.copyOfAll()) {
            boolean waiting = !request.dispatched && !request.ended;
            if (waiting && !request.requestClass.equals(settings.requestClass(request.className))) {
                localReplies.send(context, request, Effect.LocalReply.REJECTED);
            }
        }
    }
}
