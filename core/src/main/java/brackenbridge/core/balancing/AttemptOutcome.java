package brackenbridge.core.balancing;

/** How an attempt, or a probe, ended. */
public enum AttemptOutcome {
    /** Served. */
    OK(false),
    /** Answered with an error; it may have run. */
    ERROR(false),
    /** Turned away unseen. */
    FULL(true),
    /** No answer in time; it may run still. */
    TIMEOUT(false),
    /** No connection could be had. */
    CONNECT_FAILED(true),
    /** The connection broke while the attempt was out; it may have run. */
    RESET(false),
    /** Withdrawn; it may have run. */
    CANCELLED(false),
    /** Never sent: the request had ended, its time or attempts were used up, or the node has no room for it. */
    NEVER_STARTED(true),
    /**
     * Never sent: the node failed to connect. It says nothing about the endpoint, and another attempt uses no retry
     * budget.
     */
    FAILED_LOCALLY(true);

    /** Whether this outcome proves that the attempt never ran. */
    public final boolean neverRan;

    AttemptOutcome(boolean neverRan) {
        this.neverRan = neverRan;
    }
}
