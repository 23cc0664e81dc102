package brackenbridge.core;

import brackenbridge.core.balancing.BalancerApi;
import brackenbridge.core.balancing.BalancerRequest;

/** Passes a request to the balancer: at once, or when its tenant's quota admits it. */
final class RequestDispatch {
    /** The balancer's value for an unknown key or cost. */
    private static final long UNKNOWN_KEY_OR_COST = -1;

    private final BalancerApi balancer;

    RequestDispatch(BalancerApi balancer) {
        this.balancer = balancer;
    }

    void dispatch(ReducerContext context, OpenRequest request) {
        request.dispatched = true;
        double timeLeftMs = request.expectedDeadlineMs(context.nowMs()) - context.nowMs();
        BalancerRequest balancerRequest = new BalancerRequest(
                request.id,
                request.className,
                request.tenant,
                UNKNOWN_KEY_OR_COST,
                Microseconds.ofMs(timeLeftMs),
                UNKNOWN_KEY_OR_COST,
                request.clientRetry);
        if (request.isComplete()) {
            balancer.onRequest(context.nowMicros(), balancerRequest);
        } else {
            balancer.onStreamedRequest(context.nowMicros(), balancerRequest);
        }
    }
}
