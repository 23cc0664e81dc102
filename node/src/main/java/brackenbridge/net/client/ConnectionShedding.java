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

    /** Closes all connections that can be shed: those that never sent a request before the others. */
    void shedAll() {
        boolean closed = true;
        while (closed) {
            closed = shedOne(false) || shedOne(true);
        }
    }

    /**
     * Closes the longest idle of the connections that have sent a request, or of those that never have or are
     * lingering.
     */
    boolean shedOne(boolean havingSentRequest) {
        double now = clock.nowMs();
        ClientConnection candidate = longestIdle(havingSentRequest, now);
        while (candidate != null) {
            // A request that has come already makes it busy; what is still unread at a close would reset it.
            candidate.readAvailable();
            if (!candidate.isActive()) {
                return true;
            }
            if (candidate.canBeShed(havingSentRequest, now)) {
                counters.count(Counter.CONNECTIONS_SHED);
                // Its descriptor is needed now. A request that crosses the close is sent again by its client.
                candidate.close();
                return true;
            }
            candidate = longestIdle(havingSentRequest, now);
        }
        return false;
    }

    private ClientConnection longestIdle(boolean havingSentRequest, double now) {
        ClientConnection oldest = null;
        for (ClientConnection connection : registry.connections()) {
            boolean older = oldest == null || connection.stateSinceMs() < oldest.stateSinceMs();
            if (older && connection.canBeShed(havingSentRequest, now)) {
                oldest = connection;
            }
        }
        return oldest;
    }
}
