package brackenbridge.core.share;

import java.util.List;

/**
 * What follows from something that the scheduler was told.
 *
 * @param admitted flows that waited and go now, in this order
 * @param rejected flows that waited and can't be served in time any more
 */
public record SchedulingResult(List<Long> admitted, List<Rejection> rejected) {
    /** Nothing follows. */
    public static final SchedulingResult NONE = new SchedulingResult(List.of(), List.of());

    /**
     * A flow that is refused.
     *
     * @param requestId which
     * @param retryAfterMs when its client may come back, in milliseconds from now
     */
    public record Rejection(long requestId, double retryAfterMs) {}
}
