package brackenbridge.core;

/** What a node is to its clients: it starts, serves, may drain and serve again, and stops for good. */
final class LifeCycle {
    /** Where a node can be. */
    enum LifeCyclePhase {
        STARTING,
        SERVING,
        DRAINING,
        STOPPING
    }

    /** What a drain does one after the other, so many milliseconds after its call. */
    enum DrainStep {
        /** The front has noticed: idle connections are ended. */
        CLOSE_IDLE_CLIENTS(600),
        /** New flows are turned away, so that none of them is open long after. */
        REJECT_NEW_REQUESTS(1800),
        /** Requests that are still not whole are given up. */
        REJECT_INCOMPLETE_REQUESTS(3300);

        final double afterMs;

        DrainStep(double afterMs) {
            this.afterMs = afterMs;
        }
    }

    private LifeCyclePhase phase = LifeCyclePhase.STARTING;
    private long drains;
    private boolean rejecting;

    LifeCyclePhase phase() {
        return phase;
    }

    /** The node has its first list; false if it had begun before. */
    boolean started() {
        return turn(LifeCyclePhase.STARTING, LifeCyclePhase.SERVING);
    }

    /** False if it drains already, or stops. */
    boolean drain() {
        if (turn(LifeCyclePhase.SERVING, LifeCyclePhase.DRAINING)
                || turn(LifeCyclePhase.STARTING, LifeCyclePhase.DRAINING)) {
            drains++;
            return true;
        }
        return false;
    }

    /** False if it does not drain. */
    boolean cancelDrain() {
        rejecting &= phase != LifeCyclePhase.DRAINING;
        return turn(LifeCyclePhase.DRAINING, LifeCyclePhase.SERVING);
    }

    /** False if it stops already. */
    boolean stop() {
        boolean first = phase != LifeCyclePhase.STOPPING;
        phase = LifeCyclePhase.STOPPING;
        return first;
    }

    /** Which drain this is: the steps of one that is over do nothing. */
    long drainCount() {
        return drains;
    }

    boolean isCurrent(long drain) {
        return phase == LifeCyclePhase.DRAINING && drain == drains;
    }

    void startRejecting() {
        rejecting = true;
    }

    /** Whether new flows are refused. */
    boolean isRejecting() {
        return rejecting;
    }

    private boolean turn(LifeCyclePhase from, LifeCyclePhase to) {
        if (phase != from) {
            return false;
        }
        phase = to;
        return true;
    }
}
