package brackenbridge.core;

import brackenbridge.core.Event.ResponseKind;
import brackenbridge.core.balancing.AttemptOutcome;
import brackenbridge.core.balancing.BalancerApi;
import brackenbridge.core.balancing.LoadReport;
import brackenbridge.counters.Counter;
import brackenbridge.counters.Counters;

/** Tracks each attempt from its start to its outcome, which is reported to the balancer exactly once. */
final class AttemptLifecycle implements Event.AttemptEvent.Handler<ReducerContext> {
    /** The minimum time left that is sent to a server. */
    private static final double MIN_TIME_LEFT_MS = 1;
    /** A server may be told of this much more time than its client has left. */
    private static final double MAX_TIME_TOLD_EXCESS_MS = 150;

    private final OpenRequests requests;
    private final EndpointTable endpoints;
    private final LocalReplies localReplies;
    private final ResponsesInProgress responses;
    private final TrafficObservation observation;
    private final Counters counters;
    private final BalancerApi balancer;

    AttemptLifecycle(
            OpenRequests requests,
            EndpointTable endpoints,
            LocalReplies localReplies,
            ResponsesInProgress responses,
            TrafficObservation observation,
            Counters counters,
            BalancerApi balancer) {
        this.requests = requests;
        this.endpoints = endpoints;
        this.localReplies = localReplies;
        this.responses = responses;
        this.observation = observation;
        this.counters = counters;
        this.balancer = balancer;
    }

    @Override
    public void onAttemptWritten(ReducerContext context, Event.AttemptWritten event) {
        OpenRequest request = requests.findByCurrentAttempt(event.requestId(), event.attempt());
        if (request == null) {
            return;
        }
        Attempt attempt = request.attempt;
        attempt.written = true;
        if (request.bodyReleased) {
            // A server starts processing at the last byte: the time before that depends on the client, not on the
            // server.
            attempt.latencyStartMs = context.nowMs();
        }
        counters.count(Counter.ATTEMPTS_WRITTEN);
        balancer.onAttemptWritten(context.nowMicros(), event.requestId(), event.attempt());
    }

    /** The response is streamed at the latest when its attempt would time out or its request be answered without it. */
    @Override
    public void onResponseStarted(ReducerContext context, Event.ResponseStarted event) {
        OpenRequest request = requests.findByCurrentAttempt(event.requestId(), event.attempt());
        if (request == null || request.ended) {
            return;
        }
        Attempt attempt = request.attempt;
        attempt.responseStarted = true;
        double deadlineMs = Math.min(attempt.timeoutAtMs, request.deadlineMs);
        double streamingMs =
                ResponseStreamingPolicy.streamingMs(event.knownLong(), context.nowMs(), deadlineMs, request.timeoutMs);
        if (streamingMs < Double.POSITIVE_INFINITY) {
            context.setTimer(streamingMs, new TimerKey.StreamingDue(request.id, attempt.number));
        }
    }

    void onStreamingDue(ReducerContext context, TimerKey.StreamingDue timer) {
        OpenRequest request = requests.findByCurrentAttempt(timer.requestId(), timer.attempt());
        if (request != null && !request.ended) {
            streamResponse(context, request);
        }
    }

    /** Streams the response that is being received for the attempt in flight; returns false if there is none. */
    boolean streamResponse(ReducerContext context, OpenRequest request) {
        Attempt attempt = request.attempt;
        if (attempt == null || !attempt.responseStarted || request.ended) {
            return false;
        }
        context.addEffect(new Effect.StreamResponse(request.id, attempt.number));
        return true;
    }

    /** Before the deadline the response may still become long; at the deadline it is too late for it. */
    @Override
    public void onResponseNotStreamable(ReducerContext context, Event.ResponseNotStreamable event) {
        OpenRequest request = requests.findByCurrentAttempt(event.requestId(), event.attempt());
        if (request == null) {
            return;
        }
        if (context.nowMs() >= request.dueMs()) {
            request.attempt.responseStarted = false;
            context.setTimer(context.nowMs(), new TimerKey.RequestDeadline(request.id));
        } else if (context.nowMs() >= request.attempt.timeoutAtMs) {
            cancel(context, request, AttemptOutcome.TIMEOUT);
        }
    }

    @Override
    public void onResponseReceived(ReducerContext context, Event.ResponseReceived event) {
        OpenRequest request = requests.findByCurrentAttempt(event.requestId(), event.attempt());
        if (request == null) {
            return;
        }
        if (event.kind() == ResponseKind.INVALID_REQUEST) {
            endInvalidRequest(context, request, event.report());
            return;
        }
        AttemptOutcome outcome = switch (event.kind()) {
            case SERVED -> AttemptOutcome.OK;
            case ERROR -> AttemptOutcome.ERROR;
            default -> AttemptOutcome.FULL;
        };
        if (outcome == AttemptOutcome.OK && !request.ended) {
            responses.add(request, Counter.ANSWERED_SERVED);
            context.addEffect(new Effect.SendResponse(request.id, event.message()));
            requests.end(context, request);
        }
        endAttempt(context, request, outcome, event.report());
    }

    /**
     * Guards the servers' health against clients that send invalid requests: the request itself caused this response,
     * so it is final, is not retried and does not count against the server.
     */
    private void endInvalidRequest(ReducerContext context, OpenRequest request, LoadReport report) {
        if (!request.ended) {
            localReplies.send(context, request, Effect.LocalReply.INVALID_REQUEST);
        }
        counters.count(Counter.ATTEMPTS_INVALID_REQUEST);
        completeAttempt(context, request, AttemptOutcome.CANCELLED, report);
    }

    @Override
    public void onAttemptConnectionLost(ReducerContext context, Event.AttemptConnectionLost event) {
        OpenRequest request = requests.findByCurrentAttempt(event.requestId(), event.attempt());
        if (request != null) {
            boolean written = request.attempt.written;
            endAttempt(context, request, written ? AttemptOutcome.RESET : AttemptOutcome.CONNECT_FAILED, null);
        }
    }

    @Override
    public void onAttemptNotStarted(ReducerContext context, Event.AttemptNotStarted event) {
        OpenRequest request = requests.findByCurrentAttempt(event.requestId(), event.attempt());
        if (request != null) {
            // The same outcome as at the cut-off itself, so that another host may serve the request.
            boolean cutOff = endpoints.isCutOff(request.attempt.host, context.nowMs());
            endAttempt(context, request, cutOff ? AttemptOutcome.CONNECT_FAILED : AttemptOutcome.NEVER_STARTED, null);
        }
    }

    @Override
    public void onAttemptFailedLocally(ReducerContext context, Event.AttemptFailedLocally event) {
        OpenRequest request = requests.findByCurrentAttempt(event.requestId(), event.attempt());
        if (request != null) {
            endAttempt(context, request, AttemptOutcome.FAILED_LOCALLY, null);
        }
    }

    /** The balancer's timeout for the attempt has expired. */
    void onTimeout(ReducerContext context, TimerKey.AttemptTimeout timer) {
        OpenRequest request = requests.findByCurrentAttempt(timer.requestId(), timer.attempt());
        if (request != null && !streamResponse(context, request)) {
            cancel(context, request, AttemptOutcome.TIMEOUT);
        }
    }

    /** Cancels the attempt in flight; one that was not written completely has never run. */
    void cancel(ReducerContext context, OpenRequest request, AttemptOutcome outcomeIfWritten) {
        Attempt attempt = request.attempt;
        context.addEffect(new Effect.CancelAttempt(request.id, attempt.number));
        endAttempt(context, request, attempt.written ? outcomeIfWritten : AttemptOutcome.NEVER_STARTED, null);
    }

    /** Cancels attempts that are not completely written to a draining host once its cut-off has passed. */
    void stopSendingTo(ReducerContext context, String host) {
        if (!endpoints.isCutOff(host, context.nowMs())) {
            return;
        }
        for (OpenRequest request : requests.copyOfAll()) {
            Attempt attempt = request.attempt;
            if (attempt != null && attempt.host.equals(host) && !attempt.written) {
                context.addEffect(new Effect.CancelAttempt(request.id, attempt.number));
                endAttempt(context, request, AttemptOutcome.CONNECT_FAILED, null);
            }
        }
    }

    /** Delivers the outcomes of attempts that could not be started, once the balancer has finished its own event. */
    void deliverPendingOutcomes(ReducerContext context) {
        for (PendingOutcome pending = context.pollPendingOutcome();
                pending != null;
                pending = context.pollPendingOutcome()) {
            OpenRequest request = requests.find(pending.requestId());
            boolean ended = request == null || request.ended;
            AttemptOutcome outcome = pending.outcome();
            counters.count(counterOf(outcome));
            balancer.onAttemptEnded(
                    context.nowMicros(), pending.requestId(), pending.attempt(), ended, outcome, 0, null);
        }
    }

    private void endAttempt(ReducerContext context, OpenRequest request, AttemptOutcome outcome, LoadReport report) {
        counters.count(counterOf(outcome));
        completeAttempt(context, request, outcome, report);
    }

    private void completeAttempt(
            ReducerContext context, OpenRequest request, AttemptOutcome outcome, LoadReport report) {
        Attempt attempt = request.attempt;
        request.attempt = null;
        if (!outcome.neverRan && !request.mayHaveRun) {
            request.mayHaveRun = true;
            request.firstRunMs = attempt.sentMs;
        }
        observation.onAttemptEnded(attempt, outcome, context.nowMs());
        request.timedOut = outcome == AttemptOutcome.TIMEOUT;
        if (request.bodyReleased && !request.ended) {
            // The body is not buffered any more, so no retry is possible: the request ends without the balancer's
            // decision.
            Effect.LocalReply reply =
                    request.timedOut ? Effect.LocalReply.TIMED_OUT : request.failureReply(Effect.LocalReply.FAILED);
            localReplies.send(context, request, reply);
        }
        if (request.ended) {
            requests.remove(context, request);
        }
        long latency = Microseconds.ofMs(context.nowMs() - attempt.latencyStartMs);
        balancer.onAttemptEnded(
                context.nowMicros(), request.id, attempt.number, request.ended, outcome, latency, report);
    }

    /**
     * The client's remaining time to send to the attempt's server, in milliseconds; 0 if the attempt must not start any
     * more. Call this just before its first byte is written: it may have waited long for its connection.
     */
    double timeLeftMs(double nowMs, long requestId, int number) {
        OpenRequest request = requests.findByCurrentAttempt(requestId, number);
        if (request == null
                || request.ended
                || endpoints.isCutOff(request.attempt.host, nowMs)
                || request.isIdempotencyKeyExpired(nowMs)) {
            return 0;
        }
        Attempt attempt = request.attempt;
        if (nowMs >= Math.min(request.attemptDeadlineMs(number), attempt.timeoutAtMs)) {
            return 0;
        }
        // If the request was incomplete when the attempt started, its last byte may have waited long before it was
        // read, so that its deadline may be too late: the announced deadline bounds the time left as well.
        double certainDeadlineMs = request.expectedDeadlineMs(nowMs) - request.maxBacklogWaitMs;
        if (nowMs - certainDeadlineMs > MAX_TIME_TOLD_EXCESS_MS) {
            return 0;
        }
        return Math.max(MIN_TIME_LEFT_MS, Math.min(certainDeadlineMs, attempt.announcedDeadlineMs) - nowMs);
    }

    private static Counter counterOf(AttemptOutcome outcome) {
        return switch (outcome) {
            case OK -> Counter.ATTEMPTS_SERVED;
            case ERROR -> Counter.ATTEMPTS_FAILED;
            case FULL -> Counter.ATTEMPTS_SERVER_FULL;
            case TIMEOUT -> Counter.ATTEMPTS_TIMED_OUT;
            case CONNECT_FAILED, FAILED_LOCALLY -> Counter.ATTEMPTS_CONNECT_FAILED;
            case RESET -> Counter.ATTEMPTS_RESET;
            case CANCELLED -> Counter.ATTEMPTS_CANCELLED;
            case NEVER_STARTED -> Counter.ATTEMPTS_NEVER_STARTED;
        };
    }
}
