package brackenbridge.core.share;

import java.util.List;

/**
 * What the scheduler decided after an event.
 *
 * @param admitted requests that waited and start now, in this order
 * @param rejected requests that waited and can't be served in time any more
 */
public record SchedulingResult(List<Long> admitted, List<Rejection> rejected) {
    /** No request is admitted or rejected. */
    public static final SchedulingResult NONE = new SchedulingResult(List.of(), List.of());

    /**
     * A waiting request that is rejected.
     *
     * @param requestId its id
     * @param retryAfterMs when its client may send it again, in milliseconds from now
     */
    public record Rejection(long requestId, double retryAfterMs) {}
}
