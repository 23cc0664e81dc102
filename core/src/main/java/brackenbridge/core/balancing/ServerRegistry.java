package brackenbridge.core.balancing;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The servers known from endpoint lists; those that are up are in the {@link ServerOrder} as well. */
final class ServerRegistry {
    private final RequestClasses classes;
    private final ServerOrder order;
    private final OutlierDetection outliers;
    private final IdleServers idleServers;
    private final Map<Long, ServerState> servers = new LinkedHashMap<>();
    /** Servers that are no longer listed; each is forgotten after the retention and its last request. */
    private final Set<ServerState> removed = new LinkedHashSet<>();

    private long serversListed;

    ServerRegistry(RequestClasses classes, ServerOrder order, OutlierDetection outliers, IdleServers idleServers) {
        this.classes = classes;
        this.order = order;
        this.outliers = outliers;
        this.idleServers = idleServers;
    }

    /** Returns whether this server is still known. */
    boolean contains(ServerState server) {
        return servers.get(server.id) == server;
    }

    /** Rebuilds all queues for the current priority levels of the classes. */
    void rebuildQueues() {
        servers.values().forEach(server -> server.rebuildQueues(classes.levels(), classes.all()));
    }

    /** Applies an endpoint list; the caller has to rebuild the subset afterwards. */
    void applyList(long now, EndpointListKind kind, List<Endpoint> entries) {
        if (kind != EndpointListKind.CHANGES) {
            removeUnlisted(now, entries);
        }
        for (Endpoint entry : entries) {
            ServerState server = servers.computeIfAbsent(
                    entry.id(), id -> new ServerState(entry, serversListed++, classes.levels(), now));
            if (entry.startedAt() != 0 && entry.startedAt() != server.endpoint.startedAt()) {
                onRestarted(now, server, entry.startedAt());
            }
            applyEndpoint(now, server, entry);
        }
    }

    private void removeUnlisted(long now, List<Endpoint> entries) {
        Set<Long> listed = new HashSet<>();
        entries.forEach(entry -> listed.add(entry.id()));
        for (ServerState server : servers.values()) {
            if (!listed.contains(server.id)) {
                applyEndpoint(now, server, asRemoved(server.endpoint));
            }
        }
    }

    private static Endpoint asRemoved(Endpoint last) {
        return new Endpoint(
                last.id(), last.cell(), last.zone(), last.weight(), last.startedAt(), EndpointState.REMOVED);
    }

    private void onRestarted(long now, ServerState server, long startedAt) {
        // A start time earlier than the previous one comes from a wall clock that was set back, so it doesn't tell how
        // long ago the server started.
        server.warmingSince = startedAt > server.endpoint.startedAt() ? Math.min(startedAt, now) : now;
        server.budget.dropChargesBefore(server.warmingSince);
        server.relativeTime = 1;
        server.measuredTime = 0;
        server.errorRatio = 0;
        server.consecutiveEjections = 0;
        outliers.readmit(server);
    }

    /** Applies a list entry to a server and updates its position in the order. */
    private void applyEndpoint(long now, ServerState server, Endpoint endpoint) {
        order.remove(server, server.endpoint.zone());
        boolean wasRemoved = removed.remove(server);
        server.endpoint = endpoint;
        if (endpoint.state() == EndpointState.UP) {
            order.add(server);
        } else if (endpoint.state() == EndpointState.REMOVED) {
            removed.add(server);
            server.removedAt = wasRemoved ? server.removedAt : now;
        }
    }

    /**
     * Forgets the servers that have been unlisted for at least the retention and have no request in flight. Guards a
     * server that is listed again while it warms up: the requests sent to it before still count.
     */
    void forgetRemoved(long now, long retention) {
        for (ServerState server : List.copyOf(removed)) {
            if (server.inFlight == 0 && now - server.removedAt >= retention) {
                // A server that was removed while ejected would be counted as ejected forever, and after a few of these
                // no failing server could be ejected any more.
                outliers.readmit(server);
                idleServers.remove(server);
                servers.remove(server.id);
                removed.remove(server);
            }
        }
    }
}
