package brackenbridge.core.connection;

import java.util.ArrayDeque;

/** The connections to one endpoint that are not assigned, and the attempts that wait for one. */
final class EndpointConnections {
    final ArrayDeque<PooledConnection> opening = new ArrayDeque<>();
    /** The one that became idle first is first. */
    final ArrayDeque<PooledConnection> idle = new ArrayDeque<>();
    /** The one that has waited longest is first. */
    final ArrayDeque<ConnectionWaiter> waiters = new ArrayDeque<>();

    boolean isEmpty() {
        return opening.isEmpty() && idle.isEmpty() && waiters.isEmpty();
    }

    /** Whether more attempts wait than connections are opening that are not late yet. */
    boolean needsOpening(double nowMs, double lateAfterMs) {
        int expectedSoon = 0;
        for (PooledConnection connection : opening) {
            expectedSoon += connection.timeInStateMs(nowMs) < lateAfterMs ? 1 : 0;
        }
        return expectedSoon < waiters.size();
    }

    /** How many attempts wait beyond the connections that are opening. */
    int waitersWithoutOpening() {
        return waiters.size() - opening.size();
    }
}
