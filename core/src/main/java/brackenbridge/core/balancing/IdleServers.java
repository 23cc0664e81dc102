package brackenbridge.core.balancing;

import java.util.ArrayDeque;

/** The servers with no request in flight, the longest idle first. Stale entries are removed when they are reached. */
final class IdleServers {
    /** How many unsuitable servers are skipped before the search ends. */
    private static final int MAX_SKIPPED = 4;

    private final ArrayDeque<ServerState> servers = new ArrayDeque<>();

    /** Adds a server that has become idle. */
    void add(ServerState server) {
        if (!server.isIdle && server.inFlight == 0) {
            server.isIdle = true;
            servers.add(server);
        }
    }

    /** Removes a server. */
    void remove(ServerState server) {
        servers.remove(server);
    }

    /** Removes and returns an idle server that is suitable for this request; null if none is found. */
    ServerState pollSuitable(long now, QueuedRequest request) {
        for (int i = servers.size(); i > 0; i--) {
            ServerState server = servers.poll();
            server.isIdle = false;
            if (!server.inRotation || server.inFlight > 0) {
                continue;
            }
            if (OutlierDetection.isSuitable(now, request, server) && !request.wasSentTo(server)) {
                return server;
            }
            server.isIdle = true;
            servers.add(server);
            if (i < servers.size() - MAX_SKIPPED) {
                return null;
            }
        }
        return null;
    }
}
