package brackenbridge.core.share;

import java.util.List;

/**
 * The scheduler's decisions after an event.
 *
 * @param admitted waiting requests that start now, in this order
 * @param rejected waiting requests that can't be served in time any more
 */
public record SchedulingResult(List<Long> admitted, List<Rejection> rejected) {
    /** No request is admitted or rejected. */
    public static final SchedulingResult NONE = new SchedulingResult(List.of(), List.of());

    /**
     * A waiting request that is rejected.
     *
     * @param requestId its id
     * @param retryAfterMs when its client may retry, in milliseconds from now
     */
    public record Rejection(long requestId, double retryAfterMs) {}
}
