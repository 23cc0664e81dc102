package brackenbridge.core;

import brackenbridge.counters.Counter;
import java.util.function.LongSupplier;

/** Ends requests with local replies, and adds a Retry-After to each rejection. */
final class LocalReplies {
    private final OpenRequests requests;
    private final ResponsesInProgress responses;
    private final TrafficObservation observation;
    /** The Retry-After that the balancer suggests, in microseconds. */
    private final LongSupplier suggestedRetryAfter;

    LocalReplies(
            OpenRequests requests,
            ResponsesInProgress responses,
            TrafficObservation observation,
            LongSupplier suggestedRetryAfter) {
        this.requests = requests;
        this.responses = responses;
        this.observation = observation;
        this.suggestedRetryAfter = suggestedRetryAfter;
    }

    /** Ends the request with this reply; a rejection has the balancer's suggested Retry-After. */
    void send(ReducerContext context, OpenRequest request, Effect.LocalReply reply) {
        send(context, request, reply, 0);
    }

    /**
     * Ends the request with this reply; a rejection with {@code retryAfterMs} 0 has the one that the balancer suggests.
     */
    void send(ReducerContext context, OpenRequest request, Effect.LocalReply reply, double retryAfterMs) {
        boolean rejected = reply == Effect.LocalReply.REJECTED;
        if (rejected) {
            observation.onRejected(request);
        }
        responses.add(request, counterOf(reply));
        double sentRetryAfterMs = rejected && retryAfterMs == 0 ? suggestedRetryAfterMs(context) : retryAfterMs;
        context.addEffect(new Effect.SendLocalReply(request.id, reply, sentRetryAfterMs));
        requests.end(context, request);
    }

    private static Counter counterOf(Effect.LocalReply reply) {
        return switch (reply) {
            case REJECTED -> Counter.ANSWERED_REJECTED;
            case INVALID_REQUEST -> Counter.ANSWERED_INVALID_REQUEST;
            case FAILED, TIMED_OUT -> Counter.ANSWERED_FAILED;
        };
    }

    /** The Retry-After that the balancer suggests; 0 if the balancer throws. */
    private double suggestedRetryAfterMs(ReducerContext context) {
        try {
            return Microseconds.toMs(suggestedRetryAfter.getAsLong());
        } catch (RuntimeException fault) {
            context.reportFault(fault);
            return 0;
        }
    }
}
