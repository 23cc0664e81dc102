package brackenbridge.core.balancing;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The servers that are up, in the order in which one node prefers them: those of its own zone first, then those of
 * the other zones, alternating. Each zone is a ring on which every node starts at a point of its own.
 *
 * <p>A change of one server costs a search in its zone's ring, whatever the number of servers. The order beyond the own
 * zone is laid out only when somebody asks for it.
 *
 * <p>The starting point of a node is exact to a part of the ring: in a large zone it stays where it is until the
 * changes of others have moved it by more. Guards warm connections: each step would bring a server into reach that has
 * none.
 */
final class ServerOrder {
    private static final Comparator<ServerState> BY_RING_POSITION =
            Comparator.<ServerState>comparingDouble(s -> s.ringPosition).thenComparingLong(s -> s.id);

    /** The part of a ring to which a starting point is exact; a ring with fewer servers is exact to one. */
    private static final int RING_GRANULARITY = 256;

    /** The servers of one zone, sorted by their places. */
    private static final class Ring {
        final List<ServerState> servers = new ArrayList<>();
        /** The server at which the node started when the order was last laid out; null before. */
        private ServerState startServer;

        private int startIndex;

        int findIndex(ServerState server) {
            return Collections.binarySearch(servers, server, BY_RING_POSITION);
        }

        /** Begins at this part of the ring, or stays near it. */
        void moveStart(double start) {
            int exact = (int) (start * servers.size());
            int at = startServer == null ? exact : indexAtOrAfter(startServer);
            startIndex = distance(at, exact) <= servers.size() / RING_GRANULARITY ? at : exact;
            startServer = servers.get(startIndex);
        }

        /** The place of a server, or of the one that follows if it has left. */
        private int indexAtOrAfter(ServerState server) {
            int at = findIndex(server);
            return (at >= 0 ? at : -at - 1) % servers.size();
        }

        private int distance(int place, int otherPlace) {
            int apart = Math.abs(place - otherPlace);
            return Math.min(apart, servers.size() - apart);
        }

        ServerState get(int place) {
            return servers.get((startIndex + place) % servers.size());
        }
    }

    private static final Ring EMPTY_RING = new Ring();

    /** No zone is empty. */
    private final Map<String, Ring> zones = new HashMap<>();

    private int size;
    private String ownZone;
    private Ring ownRing = EMPTY_RING;
    /** The servers after the own zone; null until they are needed. */
    private List<ServerState> otherZoneServers;

    /** Adds a server under the zone that its endpoint names now. */
    void add(ServerState server) {
        Ring ring = zones.computeIfAbsent(server.endpoint.zone(), z -> new Ring());
        int at = ring.findIndex(server);
        if (at < 0) {
            ring.servers.add(-at - 1, server);
            size++;
        }
    }

    /** Removes a server from the zone that it was added under. */
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

    /** Lays the order out as it is now, for a node in this zone that starts at this part of each ring. */
    void rebuild(String zone, double start) {
        ownZone = zone;
        zones.values().forEach(ring -> ring.moveStart(start));
        ownRing = zones.getOrDefault(zone, EMPTY_RING);
        otherZoneServers = null;
    }

    /** How many servers are up. */
    int size() {
        return size;
    }

    /** How many of them are in the own zone. */
    int ownZoneSize() {
        return ownRing.servers.size();
    }

    /** The server at this place of the order, from 0. */
    ServerState get(int place) {
        if (place < ownZoneSize()) {
            return ownRing.get(place);
        }
        if (otherZoneServers == null) {
            otherZoneServers = interleaveOtherZones();
        }
        return otherZoneServers.get(place - ownZoneSize());
    }

    /** One server of each other zone by turns, the zone whose first has the lowest number before the others. */
    private List<ServerState> interleaveOtherZones() {
        List<Ring> rings = new ArrayList<>();
        zones.forEach((zone, ring) -> {
            if (!zone.equals(ownZone)) {
                rings.add(ring);
            }
        });
        rings.sort(Comparator.comparingLong(ring -> ring.get(0).id));
        int beyond = size - ownZoneSize();
        List<ServerState> order = new ArrayList<>(beyond);
        for (int i = 0; order.size() < beyond; i++) {
            for (Ring ring : rings) {
                if (i < ring.servers.size()) {
                    order.add(ring.get(i));
                }
            }
        }
        return order;
    }
}
