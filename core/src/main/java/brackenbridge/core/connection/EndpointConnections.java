package brackenbridge.core.connection;

import java.util.ArrayDeque;

/** The unassigned connections to one endpoint, and the attempts that are waiting for one. */
final class EndpointConnections {
    final ArrayDeque<PooledConnection> opening = new ArrayDeque<>();
    /** Sorted by the time at which they became idle, the earliest first. */
    final ArrayDeque<PooledConnection> idle = new ArrayDeque<>();
    /** Sorted by arrival, the oldest first. */
    final ArrayDeque<ConnectionWaiter> waiters = new ArrayDeque<>();

    boolean isEmpty() {
        return opening.isEmpty() && idle.isEmpty() && waiters.isEmpty();
    }

    /** Returns whether more attempts are waiting than connections are opening that are not late yet. */
    boolean needsOpening(double nowMs, double lateAfterMs) {
        int expectedSoon = 0;
        for (PooledConnection connection : opening) {
            expectedSoon += connection.timeInStateMs(nowMs) < lateAfterMs ? 1 : 0;
        }
        return expectedSoon < waiters.size();
    }

    /** How many more attempts are waiting than connections are opening. */
    int waitersWithoutOpening() {
        return waiters.size() - opening.size();
    }
}
