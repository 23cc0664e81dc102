package brackenbridge.core;

/** The state machine of a node: it starts, serves, may drain and serve again, and stops for good. */
final class LifeCycle {
    /** The phases of a node. */
    enum LifeCyclePhase {
        STARTING,
        SERVING,
        DRAINING,
        STOPPING
    }

    /** The steps of a drain, each with its delay after the drain was requested, in milliseconds. */
    enum DrainStep {
        /** Idle connections are closed, once the front end has noticed the drain. */
        CLOSE_IDLE_CLIENTS(600),
        /** New requests are rejected, so that none stays open much longer. */
        REJECT_NEW_REQUESTS(1800),
        /** Requests that are still incomplete are rejected. */
        REJECT_INCOMPLETE_REQUESTS(3300);

        final double delayMs;

        DrainStep(double afterMs) {
            this.delayMs = afterMs;
        }
    }

    private LifeCyclePhase phase = LifeCyclePhase.STARTING;
    private long drainCount;
    private boolean rejecting;

    LifeCyclePhase phase() {
        return phase;
    }

    /** Starts serving with the first endpoint list; false if the node had started before. */
    boolean start() {
        return transition(LifeCyclePhase.STARTING, LifeCyclePhase.SERVING);
    }

    /** Starts a drain; false if the node is draining already, or stopping. */
    boolean drain() {
        if (transition(LifeCyclePhase.SERVING, LifeCyclePhase.DRAINING)
                || transition(LifeCyclePhase.STARTING, LifeCyclePhase.DRAINING)) {
            drainCount++;
            return true;
        }
        return false;
    }

    /** Cancels the drain; false if the node is not draining. */
    boolean cancelDrain() {
        rejecting &= phase != LifeCyclePhase.DRAINING;
        return transition(LifeCyclePhase.DRAINING, LifeCyclePhase.SERVING);
    }

    /** Starts the shutdown; false if the node is stopping already. */
    boolean stop() {
        boolean first = phase != LifeCyclePhase.STOPPING;
        phase = LifeCyclePhase.STOPPING;
        return first;
    }

    /** The number of the latest drain; steps of earlier drains are ignored. */
    long drainCount() {
        return drainCount;
    }

    /** Whether this drain is in progress. */
    boolean isCurrent(long drain) {
        return phase == LifeCyclePhase.DRAINING && drain == drainCount;
    }

    void startRejecting() {
        rejecting = true;
    }

    boolean isRejecting() {
        return rejecting;
    }

    /** Changes the phase if the current one is {@code from}; otherwise returns false. */
    private boolean transition(LifeCyclePhase from, LifeCyclePhase to) {
        if (phase != from) {
            return false;
        }
        phase = to;
        return true;
    }
}
