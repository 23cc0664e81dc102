package brackenbridge.core.share;

import java.util.List;

/**
 * What follows from something that the scheduler was told.
 *
 * @param begin flows that waited and go now, in this order
 * @param refuse flows that waited and can't be served in time any more
 */
public record SchedulingResult(List<Long> begin, List<Refused> refuse) {
    /** Nothing follows. */
    public static final SchedulingResult NONE = new SchedulingResult(List.of(), List.of());

    /**
     * A flow that is refused.
     *
     * @param flow which
     * @param retryAfterMs when its client may come back, in milliseconds from now
     */
    public record Refused(long flow, double retryAfterMs) {}
}
