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

/** The order that is kept from change to change against one that is laid out anew from all servers. */
class ServerOrderTest {
    private static final String[] ZONES = {"a", "b", "c"};
    private static final int CHANGE_COUNT = 2000;
    private static final int MAX_SERVERS = 60;

    private final SplittableRandom random = new SplittableRandom(11);
    private final ServerOrder order = new ServerOrder();
    private final List<ServerState> up = new ArrayList<>();

    private ServerState server(long id) {
        Endpoint endpoint = new Endpoint(id, -1, ZONES[random.nextInt(ZONES.length)], 1, 0, EndpointState.UP);
        return new ServerState(endpoint, id, 1, 0);
    }

    @Test
    void incrementalChangesGiveTheOrderOfACompleteRebuild() {
        for (int change = 0; change < CHANGE_COUNT; change++) {
            if (up.size() < MAX_SERVERS && random.nextInt(up.size() + 1) < MAX_SERVERS / 2) {
                ServerState joins = server(change);
                up.add(joins);
                order.add(joins);
                order.add(joins);
            } else {
                ServerState leaves = up.remove(random.nextInt(up.size()));
                order.remove(leaves, leaves.endpoint.zone());
                order.remove(leaves, leaves.endpoint.zone());
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
        for (ServerState server : up) {
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
        for (int i = 0; all.size() < up.size(); i++) {
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
        int from = (int) (start * sorted.size());
        List<ServerState> arc = new ArrayList<>(sorted.subList(from, sorted.size()));
        arc.addAll(sorted.subList(0, from));
        return arc;
    }

    @Test
    void startInLargeZoneIsStableUnderOtherChanges() {
        int servers = 3200;
        int reach = 16;
        int grain = servers / 256;
        double start = 0.56;
        for (int id = 0; id < servers; id++) {
            ServerState joins = serverIn("a", id);
            up.add(joins);
            order.add(joins);
        }
        order.rebuild("a", start);
        Set<Long> first = new HashSet<>(actualOrder().subList(0, reach));
        int entered = 0;
        for (int change = 0; change < 2 * servers; change++) {
            if (up.size() < servers) {
                ServerState joins = serverIn("a", servers + change);
                up.add(joins);
                order.add(joins);
            } else {
                ServerState leaves = up.remove(random.nextInt(up.size()));
                order.remove(leaves, "a");
            }
            order.rebuild("a", start);
            if (change % 64 == 0) {
                assertTrue(
                        distanceFromExactStart("a", start) <= grain,
                        "it stays near the part of the ring that is its own");
            }
            Set<Long> now = new HashSet<>(prefix(reach));
            entered += reach;
            first.retainAll(now);
            entered -= first.size();
            first = now;
        }
        // Those that leave among the first have to be replaced: 16 of 3,200 leaves in 3,200, and as many join there.
        assertTrue(entered < 10 * reach, "servers that came into reach: " + entered);
    }

    private ServerState serverIn(String zone, long id) {
        return new ServerState(new Endpoint(id, -1, zone, 1, 0, EndpointState.UP), id, 1, 0);
    }

    private List<Long> prefix(int length) {
        List<Long> ids = new ArrayList<>();
        for (int i = 0; i < length; i++) {
            ids.add(order.get(i).id);
        }
        return ids;
    }

    /** How many servers lie between the exact beginning and the one that is kept. */
    private int distanceFromExactStart(String zone, double start) {
        int place = expectedOrder(zone, start).indexOf(order.get(0).id);
        return Math.min(place, up.size() - place);
    }
}
