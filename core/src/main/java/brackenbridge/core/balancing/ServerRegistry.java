package brackenbridge.core.balancing;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The servers that endpoint lists have named; those that are up stand in the {@link ServerOrder} as well. */
final class ServerRegistry {
    private final RequestClasses classes;
    private final ServerOrder order;
    private final OutlierDetection outliers;
    private final IdleServers idleServers;
    private final Map<Long, ServerState> servers = new LinkedHashMap<>();
    /** Servers that have left the list; each is forgotten with its last request. */
    private final Set<ServerState> removed = new LinkedHashSet<>();

    private long serversListed;

    ServerRegistry(RequestClasses classes, ServerOrder order, OutlierDetection outliers, IdleServers idleServers) {
        this.classes = classes;
        this.order = order;
        this.outliers = outliers;
        this.idleServers = idleServers;
    }

    /** Whether this server is known still. */
    boolean contains(ServerState server) {
        return servers.get(server.id) == server;
    }

    /** Lays all queues out by the classes' present priority levels. */
    void rebuildQueues() {
        servers.values().forEach(server -> server.rebuildQueues(classes.levels(), classes.all()));
    }

    /** Takes over an endpoint list; the subset of the servers in use is to be rebuilt afterwards. */
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
                applyEndpoint(now, server, withdrawn(server.endpoint));
            }
        }
    }

    private static Endpoint withdrawn(Endpoint last) {
        return new Endpoint(
                last.id(), last.cell(), last.zone(), last.weight(), last.startedAt(), EndpointState.REMOVED);
    }

    private void onRestarted(long now, ServerState server, long startedAt) {
        // An earlier start than the one before comes from a wall clock that was set back meanwhile, so it does not say
        // how long ago it was.
        server.warmingSince = startedAt > server.endpoint.startedAt() ? Math.min(startedAt, now) : now;
        server.budget.dropChargesBefore(server.warmingSince);
        server.relativeTime = 1;
        server.measuredTime = 0;
        server.errorRatio = 0;
        server.consecutiveEjections = 0;
        outliers.readmit(server);
    }

    /** Takes over what the list says of a server; only its position in the order follows. */
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
     * Forgets the servers that have left the list for longer than the retention and have no request in flight. Guards a
     * server that is named again while it warms up: what it was sent before still counts.
     */
    void forgetRemoved(long now, long retention) {
        for (ServerState server : List.copyOf(removed)) {
            if (server.inFlight == 0 && now - server.removedAt >= retention) {
                // A server that left while ejected would stay in the count of the ejected for good, and after a few
                // such no failing server would ever be ejected again.
                outliers.readmit(server);
                idleServers.remove(server);
                servers.remove(server.id);
                removed.remove(server);
            }
        }
    }
}
