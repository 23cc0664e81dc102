package brackenbridge.core;

/** What a node is to its clients: it starts, serves, may drain and serve again, and stops for good. */
final class LifeCycle {
    /** Where a node can be. */
    enum Phase {
        STARTING,
        SERVING,
        DRAINING,
        STOPPING
    }

    /** What a drain does one after the other, so many milliseconds after its call. */
    enum Step {
        /** The front has noticed: idle connections are ended. */
        END_IDLE(600),
        /** New flows are turned away, so that none of them is open long after. */
        TURN_AWAY(1800),
        /** Requests that are still not whole are given up. */
        END_UNFINISHED(3300);

        final double afterMs;

        Step(double afterMs) {
            this.afterMs = afterMs;
        }
    }

    private Phase phase = Phase.STARTING;
    private long drains;
    private boolean turnsAway;

    Phase phase() {
        return phase;
    }

    /** The node has its first list; false if it had begun before. */
    boolean started() {
        return turn(Phase.STARTING, Phase.SERVING);
    }

    /** False if it drains already, or stops. */
    boolean drain() {
        if (turn(Phase.SERVING, Phase.DRAINING) || turn(Phase.STARTING, Phase.DRAINING)) {
            drains++;
            return true;
        }
        return false;
    }

    /** False if it does not drain. */
    boolean comeBack() {
        turnsAway &= phase != Phase.DRAINING;
        return turn(Phase.DRAINING, Phase.SERVING);
    }

    /** False if it stops already. */
    boolean stop() {
        boolean first = phase != Phase.STOPPING;
        phase = Phase.STOPPING;
        return first;
    }

    /** Which drain this is: the steps of one that is over do nothing. */
    long drains() {
        return drains;
    }

    boolean isCurrent(long drain) {
        return phase == Phase.DRAINING && drain == drains;
    }

    void turnAway() {
        turnsAway = true;
    }

    /** Whether new flows are refused. */
    boolean turnsAway() {
        return turnsAway;
    }

    private boolean turn(Phase from, Phase to) {
        if (phase != from) {
            return false;
        }
        phase = to;
        return true;
    }
}
