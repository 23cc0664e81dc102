package brackenbridge.core.balancing;

import java.util.ArrayDeque;

/**
 * The servers with no request in flight, the longest idle first. Entries that are out of date are removed on the way.
 */
final class IdleServers {
    /** Unsuitable servers passed over before the search is given up. */
    private static final int MAX_PASSED_OVER = 4;

    private final ArrayDeque<ServerState> servers = new ArrayDeque<>();

    /** Adds a server that has become idle. */
    void add(ServerState server) {
        if (!server.isIdle && server.inFlight == 0) {
            server.isIdle = true;
            servers.add(server);
        }
    }

    /** Forgets a server. */
    void remove(ServerState server) {
        servers.remove(server);
    }

    /** Removes and returns an idle server that suits this request; null if none is found. */
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
            if (i < servers.size() - MAX_PASSED_OVER) {
                return null;
            }
        }
        return null;
    }
}
