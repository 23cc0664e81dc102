package brackenbridge.core.share;

import java.util.List;

/**
 * What follows from something that the scheduler was told.
 *
 * @param begin flows that waited and go now, in this order
 * @param refuse flows that waited and can't be served in time any more
 */
public record Turn(List<Long> begin, List<Refused> refuse) {
    /** Nothing follows. */
    public static final Turn NONE = new Turn(List.of(), List.of());

    /**
     * A flow that is refused.
     *
     * @param flow which
     * @param retryAfterMs when its client may come back, in milliseconds from now
     */
    public record Refused(long flow, double retryAfterMs) {}
}
