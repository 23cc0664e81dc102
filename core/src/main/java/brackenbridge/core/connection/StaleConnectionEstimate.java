package brackenbridge.core.connection;

/**
 * Estimates how long an idle connection stays usable. Servers and network devices may close idle connections earlier
 * than announced, or without notice. Reused connections that break right after an assignment therefore lower the limit,
 * but only while they break more often than new ones; otherwise their idle time is not the cause.
 */
final class StaleConnectionEstimate {
    /** All counts are multiplied by this at each assignment, so that old events lose their weight. */
    private static final double DECAY_PER_ASSIGNMENT = 0.995;
    /** Reused connections are suspected when they break this many times as often as new ones. */
    private static final double SUSPICION_RATIO = 2;
    /** A broken connection lowers the limit to its idle time divided by this. */
    private static final double LIMIT_DIVISOR_AFTER_BREAK = 4;
    /** The limit grows by this factor and by LIMIT_GROWTH_MS at each sweep of idle connections. */
    private static final double LIMIT_GROWTH_FACTOR = 1.01;

    private static final double LIMIT_GROWTH_MS = 0.1;

    private double limitMs = Double.POSITIVE_INFINITY;
    private double reusedAssigned;
    private double reusedBroken;
    private double newAssigned;
    private double newBroken;

    void onAssigned(boolean reused) {
        reusedAssigned *= DECAY_PER_ASSIGNMENT;
        reusedBroken *= DECAY_PER_ASSIGNMENT;
        newAssigned *= DECAY_PER_ASSIGNMENT;
        newBroken *= DECAY_PER_ASSIGNMENT;
        if (reused) {
            reusedAssigned++;
        } else {
            newAssigned++;
        }
    }

    void onNewBroken() {
        newBroken++;
    }

    /** Records a broken reused connection; returns whether its idle time is assumed to be the cause. */
    boolean onReusedBroken(double idleBeforeAssignMs) {
        reusedBroken++;
        if (!reusedSuspected()) {
            return false;
        }
        limitMs = Math.min(limitMs, idleBeforeAssignMs / LIMIT_DIVISOR_AFTER_BREAK);
        return true;
    }

    /** Raises the limit a little, up to the idle time-out. */
    void raiseLimit(double idleTimeoutMs) {
        limitMs = limitMs < idleTimeoutMs ? limitMs * LIMIT_GROWTH_FACTOR + LIMIT_GROWTH_MS : Double.POSITIVE_INFINITY;
    }

    /** Connections that have been idle for less than this are assumed to be usable. */
    double maxTrustedIdleMs(double idleTimeoutMs) {
        return reusedSuspected() ? Math.min(limitMs, idleTimeoutMs) : idleTimeoutMs;
    }

    private boolean reusedSuspected() {
        return reusedBroken * Math.max(1, newAssigned) > SUSPICION_RATIO * reusedAssigned * newBroken;
    }
}
