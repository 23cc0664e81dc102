package brackenbridge.core.balancing;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The servers that are up, in the order in which one node prefers them: those of its own zone first, then those of the
 * other zones, interleaved. Each zone is a ring on which every node has its own starting point.
 *
 * <p>A change of one server costs one search in its zone's ring, however many servers there are. The order beyond the
 * own zone is built only when it is needed.
 *
 * <p>The starting point of a node is kept until changes of other servers have moved its exact position by more than a
 * fraction of the ring. Guards warm connections: each move would add a server to the subset to which the node has no
 * connection.
 */
final class ServerOrder {
    private static final Comparator<ServerState> BY_RING_POSITION =
            Comparator.<ServerState>comparingDouble(s -> s.ringPosition).thenComparingLong(s -> s.id);

    /** A starting point may be off by one server per this many servers in the ring; in a smaller ring it is exact. */
    private static final int RING_GRANULARITY = 256;

    /** The servers of one zone, sorted by ring position. */
    private static final class Ring {
        final List<ServerState> servers = new ArrayList<>();
        /** The server at the starting point when the order was last rebuilt; null before. */
        private ServerState startServer;

        private int startIndex;

        int findIndex(ServerState server) {
            return Collections.binarySearch(servers, server, BY_RING_POSITION);
        }

        /** Moves the starting point to this fraction of the ring, unless the current one is close enough. */
        void moveStart(double start) {
            int exact = (int) (start * servers.size());
            int at = startServer == null ? exact : indexAtOrAfter(startServer);
            startIndex = distance(at, exact) <= servers.size() / RING_GRANULARITY ? at : exact;
            startServer = servers.get(startIndex);
        }

        /** The index of a server, or of the next one if it has been removed. */
        private int indexAtOrAfter(ServerState server) {
            int at = findIndex(server);
            return (at >= 0 ? at : -at - 1) % servers.size();
        }

        private int distance(int index, int otherIndex) {
            int apart = Math.abs(index - otherIndex);
            return Math.min(apart, servers.size() - apart);
        }

        ServerState get(int index) {
            return servers.get((startIndex + index) % servers.size());
        }
    }

    private static final Ring EMPTY_RING = new Ring();

    /** The rings by zone; none is empty. */
    private final Map<String, Ring> zones = new HashMap<>();

    private int size;
    private String ownZone;
    private Ring ownRing = EMPTY_RING;
    /** The servers of the other zones in order; null until they are needed. */
    private List<ServerState> otherZoneServers;

    /** Adds a server to the current zone of its endpoint. */
    void add(ServerState server) {
        Ring ring = zones.computeIfAbsent(server.endpoint.zone(), z -> new Ring());
        int at = ring.findIndex(server);
        if (at < 0) {
            ring.servers.add(-at - 1, server);
            size++;
        }
    }

    /** Removes a server from the zone to which it was added. */
    void remove(ServerState server, String zone) {
        Ring ring = zones.getOrDefault(zone, EMPTY_RING);
        int at = ring.findIndex(server);
        if (at >= 0) {
            ring.servers.remove(at);
            size--;
            if (ring.servers.isEmpty()) {
                zones.remove(zone);
            }
        }
    }

    /** Rebuilds the order for a node in this zone that starts at this fraction of each ring. */
    void rebuild(String zone, double start) {
        ownZone = zone;
        zones.values().forEach(ring -> ring.moveStart(start));
        ownRing = zones.getOrDefault(zone, EMPTY_RING);
        otherZoneServers = null;
    }

    /** The number of servers that are up. */
    int size() {
        return size;
    }

    /** The number of servers that are up in the own zone. */
    int ownZoneSize() {
        return ownRing.servers.size();
    }

    /** The server at this index of the order. */
    ServerState get(int index) {
        if (index < ownZoneSize()) {
            return ownRing.get(index);
        }
        if (otherZoneServers == null) {
            otherZoneServers = interleaveOtherZones();
        }
        return otherZoneServers.get(index - ownZoneSize());
    }

    /** Takes one server of each other zone in turn; the zones are sorted by the id of their first server. */
    private List<ServerState> interleaveOtherZones() {
        List<Ring> rings = new ArrayList<>();
        zones.forEach((zone, ring) -> {
            if (!zone.equals(ownZone)) {
                rings.add(ring);
            }
        });
        rings.sort(Comparator.comparingLong(ring -> ring.get(0).id));
        int otherZonesSize = size - ownZoneSize();
        List<ServerState> order = new ArrayList<>(otherZonesSize);
        for (int i = 0; order.size() < otherZonesSize; i++) {
            for (Ring ring : rings) {
                if (i < ring.servers.size()) {
                    order.add(ring.get(i));
                }
            }
        }
        return order;
    }
}
