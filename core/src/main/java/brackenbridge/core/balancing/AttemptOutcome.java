package brackenbridge.core.balancing;

/** How an attempt, or a health check, ended. */
public enum AttemptOutcome {
    /** The server responded successfully. */
    OK(false),
    /** The server responded with an error; the request may have run. */
    ERROR(false),
    /** The server rejected it for lack of capacity, without running it. */
    FULL(true),
    /** No response arrived in time; the request may still be running. */
    TIMEOUT(false),
    /** No connection to the server could be opened. */
    CONNECT_FAILED(true),
    /** The connection broke while the attempt was in flight; the request may have run. */
    RESET(false),
    /** The node cancelled it; the request may have run. */
    CANCELLED(false),
    /**
     * Never sent: the request had ended, its time or attempts were used up, or the node lacked the resources for it.
     */
    NEVER_STARTED(true),
    /**
     * Never sent: the node failed to connect for a local reason. This says nothing about the endpoint, so another
     * attempt uses no retry budget.
     */
    FAILED_LOCALLY(true);

    /** Whether this outcome proves that the attempt never ran. */
    public final boolean neverRan;

    AttemptOutcome(boolean neverRan) {
        this.neverRan = neverRan;
    }
}
