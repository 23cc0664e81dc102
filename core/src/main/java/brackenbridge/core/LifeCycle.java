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
        /** The front end has noticed: idle connections are closed. */
        CLOSE_IDLE_CLIENTS(600),
        /** New requests are rejected, so that none of them is open long after. */
        REJECT_NEW_REQUESTS(1800),
        /** Requests that are still incomplete are rejected. */
        REJECT_INCOMPLETE_REQUESTS(3300);

        final double afterMs;

        DrainStep(double afterMs) {
            this.afterMs = afterMs;
        }
    }

    private LifeCyclePhase phase = LifeCyclePhase.STARTING;
    private long drainCount;
    private boolean rejecting;

    LifeCyclePhase phase() {
        return phase;
    }

    /** The node has its first endpoint list; false if it had started before. */
    boolean started() {
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

    /** Starts the stop; false if the node is stopping already. */
    boolean stop() {
        boolean first = phase != LifeCyclePhase.STOPPING;
        phase = LifeCyclePhase.STOPPING;
        return first;
    }

    /** The number of the latest drain: the steps of an earlier one do nothing. */
    long drainCount() {
        return drainCount;
    }

    /** Whether this drain is in progress. */
    boolean isCurrent(long drain) {
        return phase == LifeCyclePhase.DRAINING && drain == drainCount;
    }

    /** From now on new requests are rejected. */
    void startRejecting() {
        rejecting = true;
    }

    /** Whether new requests are rejected. */
    boolean isRejecting() {
        return rejecting;
    }

    /** Changes the phase if it is the one expected; false if it is not. */
    private boolean transition(LifeCyclePhase from, LifeCyclePhase to) {
        if (phase != from) {
            return false;
        }
        phase = to;
        return true;
    }
}
