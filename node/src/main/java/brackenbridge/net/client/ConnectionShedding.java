package brackenbridge.net.client;

import brackenbridge.clock.Clock;
import brackenbridge.counters.Counter;
import brackenbridge.counters.Counters;

/** Closes idle client connections whose descriptors are needed. */
final class ConnectionShedding {
    private final ConnectionRegistry registry;
    private final Clock clock;
    private final Counters counters;

    ConnectionShedding(ConnectionRegistry registry, Clock clock, Counters counters) {
        this.registry = registry;
        this.clock = clock;
        this.counters = counters;
    }

    /** How long a connection that has never sent a request must have been idle before it is closed. */
    long minUnusedMs() {
        return registry.backlogWaitMs() > ConnectionTimeouts.LONG_BACKLOG_WAIT_MS
                ? ConnectionTimeouts.MIN_UNUSED_BEFORE_CLOSE_MS
                : ConnectionTimeouts.MIN_IDLE_BEFORE_CLOSE_MS;
    }

    /** Closes all connections that can be shed, first those that never sent a request. */
    void shedAll() {
        boolean closed = true;
        while (closed) {
            closed = shedOne(false) || shedOne(true);
        }
    }

    /**
     * Closes the connection that has been idle longest among those that have sent a request, or among those that never
     * have or are lingering; returns whether one was closed.
     */
    boolean shedOne(boolean havingSentRequest) {
        double now = clock.nowMs();
        double minIdleMs = havingSentRequest ? ConnectionTimeouts.MIN_IDLE_BEFORE_CLOSE_MS : minUnusedMs();
        ClientConnection candidate = longestIdle(havingSentRequest, minIdleMs, now);
        while (candidate != null) {
            // A request that has already arrived makes the connection busy; closing with unread bytes would reset it.
            candidate.readAvailable();
            if (!candidate.isActive()) {
                return true;
            }
            if (candidate.canBeShed(havingSentRequest, minIdleMs, now)) {
                counters.count(Counter.CONNECTIONS_SHED);
                // Closes without lingering, as the descriptor is needed now. A client resends a request that crosses
                // the close.
                candidate.close();
                return true;
            }
            candidate = longestIdle(havingSentRequest, minIdleMs, now);
        }
        return false;
    }

    private ClientConnection longestIdle(boolean havingSentRequest, double minIdleMs, double now) {
        ClientConnection oldest = null;
        for (ClientConnection connection : registry.connections()) {
            boolean older = oldest == null || connection.stateSinceMs() < oldest.stateSinceMs();
            if (older && connection.canBeShed(havingSentRequest, minIdleMs, now)) {
                oldest = connection;
            }
        }
        return oldest;
    }
}
