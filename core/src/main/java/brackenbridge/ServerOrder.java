package brackenbridge;

import brackenbridge.State.Server;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The servers that are up, in the order in which one caller turns to them: those of its own zone first, then those of
 * the other zones by turns. Each zone is a ring on which every caller begins at a point of its own.
 *
 * <p>A change of one server costs a search in its zone's ring, whatever the number of servers. The order beyond the own
 * zone is laid out only when somebody asks for it.
 */
final class ServerOrder {
    private static final Comparator<Server> BY_PLACE =
            Comparator.<Server>comparingDouble(s -> s.place).thenComparingLong(s -> s.id);

    /** The servers of each zone, sorted by their places; no zone is empty. */
    private final Map<String, List<Server>> zones = new HashMap<>();

    private int size;
    private double start;
    private String ownZone;
    private List<Server> own = List.of();
    private int ownFrom;
    /** What follows the own zone; null until it is asked for. */
    private List<Server> others;

    /** Adds a server under the zone that its endpoint names now. */
    void add(Server s) {
        List<Server> ring = zones.computeIfAbsent(s.is.zone(), z -> new ArrayList<>());
        int at = Collections.binarySearch(ring, s, BY_PLACE);
        if (at < 0) {
            ring.add(-at - 1, s);
            size++;
        }
    }

    /** Removes a server from the zone that it was added under. */
    void remove(Server s, String zone) {
        List<Server> ring = zones.get(zone);
        int at = ring == null ? -1 : Collections.binarySearch(ring, s, BY_PLACE);
        if (at >= 0) {
            ring.remove(at);
            size--;
        }
        if (ring != null && ring.isEmpty()) {
            zones.remove(zone);
        }
    }

    /** Lays the order out as it is now, for a caller in this zone that begins at this part of each ring. */
    void turn(String zone, double from) {
        ownZone = zone;
        start = from;
        own = zones.getOrDefault(zone, List.of());
        ownFrom = first(own);
        others = null;
    }

    /** How many servers are up. */
    int size() {
        return size;
    }

    /** How many of them are in the own zone. */
    int inOwnZone() {
        return own.size();
    }

    /** The server at this place of the order, from 0. */
    Server get(int place) {
        if (place < own.size()) {
            return turned(own, ownFrom, place);
        }
        if (others == null) {
            others = layOutOthers();
        }
        return others.get(place - own.size());
    }

    private int first(List<Server> ring) {
        return (int) (start * ring.size());
    }

    private static Server turned(List<Server> ring, int from, int place) {
        return ring.get((from + place) % ring.size());
    }

    /** One server of each other zone by turns, the zone whose first has the lowest number before the others. */
    private List<Server> layOutOthers() {
        List<List<Server>> rings = new ArrayList<>();
        zones.forEach((zone, ring) -> {
            if (!zone.equals(ownZone)) {
                rings.add(ring);
            }
        });
        rings.sort(Comparator.comparingLong(ring -> turned(ring, first(ring), 0).id));
        List<Server> order = new ArrayList<>(size - own.size());
        for (int i = 0; order.size() < size - own.size(); i++) {
            for (List<Server> ring : rings) {
                if (i < ring.size()) {
                    order.add(turned(ring, first(ring), i));
                }
            }
        }
        return order;
    }
}
