package brackenbridge.core.connection;

/** A connection of the pool, from the time at which it begins to open. */
final class PooledConnection {
    /** The state of a connection. */
    enum State {
        OPENING,
        IDLE,
        ASSIGNED
    }

    private static final double NEVER_IDLE = -1;

    final long id;
    final EndpointIdentity endpoint;
    State state = State.OPENING;
    /** When it entered its state. */
    double stateSinceMs;
    /** How long it had been idle before its last assignment; negative if it was new. */
    private double idleBeforeAssignMs = NEVER_IDLE;

    PooledConnection(long id, EndpointIdentity endpoint, double nowMs) {
        this.id = id;
        this.endpoint = endpoint;
        this.stateSinceMs = nowMs;
    }

    double timeInStateMs(double nowMs) {
        return nowMs - stateSinceMs;
    }

    void enterState(State newState, double nowMs) {
        state = newState;
        stateSinceMs = nowMs;
    }

    void assignFromIdle(double nowMs) {
        idleBeforeAssignMs = timeInStateMs(nowMs);
    }

    /** Records that its next assignment follows without an idle time. */
    void assignWithoutIdling() {
        idleBeforeAssignMs = state == State.OPENING ? NEVER_IDLE : 0;
    }

    /** Whether it was used for an attempt before the current one. */
    boolean isReused() {
        return !(idleBeforeAssignMs < 0);
    }

    double idleBeforeAssignMs() {
        return idleBeforeAssignMs;
    }
}
