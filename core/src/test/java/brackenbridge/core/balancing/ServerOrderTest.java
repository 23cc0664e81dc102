package brackenbridge.core.balancing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Compares the incrementally updated order with one that is built from all servers. */
class ServerOrderTest {
    private static final String[] ZONES = {"a", "b", "c"};
    private static final int CHANGE_COUNT = 2000;
    private static final int MAX_SERVERS = 60;

    private final SplittableRandom random = new SplittableRandom(11);
    private final ServerOrder order = new ServerOrder();
    private final List<ServerState> serversUp = new ArrayList<>();

    private ServerState serverInRandomZone(long id) {
        Endpoint endpoint = new Endpoint(id, -1, ZONES[random.nextInt(ZONES.length)], 1, 0, EndpointState.UP);
        return new ServerState(endpoint, id, 1, 0);
    }

    @Test
    void incrementalChangesGiveTheOrderOfACompleteRebuild() {
        for (int change = 0; change < CHANGE_COUNT; change++) {
            if (serversUp.size() < MAX_SERVERS && random.nextInt(serversUp.size() + 1) < MAX_SERVERS / 2) {
                ServerState added = serverInRandomZone(change);
                serversUp.add(added);
                order.add(added);
                order.add(added);
            } else {
                ServerState removed = serversUp.remove(random.nextInt(serversUp.size()));
                order.remove(removed, removed.endpoint.zone());
                order.remove(removed, removed.endpoint.zone());
            }
            String zone = random.nextInt(10) == 0 ? "nowhere" : ZONES[random.nextInt(ZONES.length)];
            double start = random.nextDouble();
            order.rebuild(zone, start);
            assertEquals(expectedOrder(zone, start), actualOrder());
        }
    }

    private List<Long> actualOrder() {
        List<Long> ids = new ArrayList<>();
        for (int i = 0; i < order.size(); i++) {
            ids.add(order.get(i).id);
        }
        return ids;
    }

    private List<Long> expectedOrder(String zone, double start) {
        TreeMap<String, List<ServerState>> zones = new TreeMap<>();
        for (ServerState server : serversUp) {
            zones.computeIfAbsent(server.endpoint.zone(), z -> new ArrayList<>())
                    .add(server);
        }
        zones.replaceAll((name, servers) -> rotated(servers, start));
        List<ServerState> own = zones.getOrDefault(zone, List.of());
        assertEquals(own.size(), order.ownZoneSize());
        List<Long> all = new ArrayList<>();
        own.forEach(server -> all.add(server.id));
        zones.remove(zone);
        List<List<ServerState>> others = new ArrayList<>(zones.values());
        others.sort(Comparator.comparingLong(servers -> servers.get(0).id));
        for (int i = 0; all.size() < serversUp.size(); i++) {
            for (List<ServerState> servers : others) {
                if (i < servers.size()) {
                    all.add(servers.get(i).id);
                }
            }
        }
        return all;
    }

    private static List<ServerState> rotated(List<ServerState> zone, double start) {
        List<ServerState> sorted = new ArrayList<>(zone);
        sorted.sort(Comparator.<ServerState>comparingDouble(s -> s.ringPosition).thenComparingLong(s -> s.id));
        int startIndex = (int) (start * sorted.size());
        List<ServerState> rotated = new ArrayList<>(sorted.subList(startIndex, sorted.size()));
        rotated.addAll(sorted.subList(0, startIndex));
        return rotated;
    }

    @Test
    void startInLargeZoneIsStableUnderOtherChanges() {
        int servers = 3200;
        int prefixLength = 16;
        int tolerance = servers / 256;
        double start = 0.56;
        for (int id = 0; id < servers; id++) {
            ServerState added = serverInZone("a", id);
            serversUp.add(added);
            order.add(added);
        }
        order.rebuild("a", start);
        Set<Long> first = new HashSet<>(actualOrder().subList(0, prefixLength));
        int entered = 0;
        for (int change = 0; change < 2 * servers; change++) {
            if (serversUp.size() < servers) {
                ServerState added = serverInZone("a", servers + change);
                serversUp.add(added);
                order.add(added);
            } else {
                ServerState removed = serversUp.remove(random.nextInt(serversUp.size()));
                order.remove(removed, "a");
            }
            order.rebuild("a", start);
            if (change % 64 == 0) {
                assertTrue(distanceFromExactStart("a", start) <= tolerance, "the start stays near its exact position");
            }
            Set<Long> now = new HashSet<>(prefix(prefixLength));
            entered += prefixLength;
            first.retainAll(now);
            entered -= first.size();
            first = now;
        }
        // Only changes among the first servers alter the prefix: of 3,200 removals about 16 hit it, and as many servers
        // join it.
        assertTrue(entered < 10 * prefixLength, "servers that entered the prefix: " + entered);
    }

    private ServerState serverInZone(String zone, long id) {
        return new ServerState(new Endpoint(id, -1, zone, 1, 0, EndpointState.UP), id, 1, 0);
    }

    private List<Long> prefix(int length) {
        List<Long> ids = new ArrayList<>();
        for (int i = 0; i < length; i++) {
            ids.add(order.get(i).id);
        }
        return ids;
    }

    /** The number of servers between the exact starting point and the actual one. */
    private int distanceFromExactStart(String zone, double start) {
        int distance = expectedOrder(zone, start).indexOf(order.get(0).id);
        return Math.min(distance, serversUp.size() - distance);
    }
}
