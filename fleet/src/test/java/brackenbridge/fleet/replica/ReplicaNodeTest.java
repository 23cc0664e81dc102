package brackenbridge.fleet.replica;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.clock.Clock;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests convergence of nodes with threads and links in memory. */
class ReplicaNodeTest {
    private static final ReplicationLimits FAST =
            new ReplicationLimits(10_000_000, 5, 50, 60, 30, 500, 60_000, 32, 4, 4096);

    @TempDir
    private Path directory;

    private final InMemoryLinks links = new InMemoryLinks("a", "b", "c");
    private final Map<String, ReplicaNode> nodes = new LinkedHashMap<>();
    private final Clock clock = Clock.system();

    @BeforeEach
    void setAwaitilityDefaults() {
        org.awaitility.Awaitility.setDefaultPollInterval(Duration.ofMillis(5));
        org.awaitility.Awaitility.setDefaultTimeout(Duration.ofSeconds(20));
    }

    @AfterEach
    void closeNodes() {
        nodes.values().forEach(ReplicaNode::close);
        links.close();
    }

    private ReplicaNode start(String name, ReplicaDisk disk) throws IOException {
        InMemoryLinks.MemberLinks memberLinks =
                links.connect(name, disk == null ? (long) clock.nowMs() : disk.incarnation());
        ReplicaNode node = new ReplicaNode(memberLinks, disk, clock, FAST);
        node.start();
        memberLinks.start();
        nodes.put(name, node);
        return node;
    }

    private ReplicaDisk openDisk(String name) throws IOException {
        return ReplicaDisk.open(directory.resolve(name), "fleet", name, clock.nowMs());
    }

    private void stop(String name) {
        nodes.remove(name).close();
        links.connect(name, 0).close();
    }

    private static Map<String, String> readValues(ReplicaNode node, RecordSpace space) {
        Map<String, String> values = new TreeMap<>();
        node.readAll(space)
                .forEach(record -> values.put(record.owner() + "/" + record.key(), new String(record.value(), UTF_8)));
        return values;
    }

    private void awaitValues(RecordSpace space, Map<String, String> expected) {
        await().untilAsserted(() -> {
            for (ReplicaNode node : nodes.values()) {
                assertEquals(expected, readValues(node, space));
            }
        });
    }

    @Test
    void writesAndRemovalsConvergeDespiteLostAndDuplicatedMessages() throws IOException {
        links.setFaults(0.3, 0.3);
        ReplicaNode nodeA = start("a", null);
        ReplicaNode nodeB = start("b", null);
        ReplicaNode nodeC = start("c", null);
        for (int i = 0; i < 200; i++) {
            nodeA.put(RecordSpace.SERVERS, "h" + i % 20, ("v" + i).getBytes(UTF_8));
            nodeB.add(RecordSpace.ATTEMPTS, "pool", 2);
            nodeC.add(RecordSpace.ATTEMPTS, "pool", 1);
        }
        for (int i = 2; i < 20; i++) {
            nodeA.remove(RecordSpace.SERVERS, "h" + i);
        }
        awaitValues(RecordSpace.SERVERS, Map.of("a/h0", "v180", "a/h1", "v181"));
        await().untilAsserted(() ->
                nodes.values().forEach(node -> assertEquals(600, node.sum(RecordSpace.ATTEMPTS, "pool"))));
        await().untilAsserted(() ->
                nodes.values().forEach(node -> assertTrue(node.syncState().caughtUp(), node.syncState()::toString)));
        assertEquals(0, nodeA.statistics().differences());
    }

    @Test
    void restartedMemberCatchesUpWithOrWithoutDiskAndCountersSurvive() throws IOException {
        start("a", null);
        start("b", openDisk("b"));
        start("c", null);
        nodes.get("b").add(RecordSpace.USED, "k", 5);
        nodes.get("c").add(RecordSpace.USED, "k", 7);
        nodes.get("a").put(RecordSpace.POOLS, "p", "1".getBytes(UTF_8));
        nodes.get("b").put(RecordSpace.POOLS, "dropped with its incarnation", "1".getBytes(UTF_8));
        await().untilAsserted(() -> nodes.values().forEach(node -> assertEquals(12, node.sum(RecordSpace.USED, "k"))));
        stop("b");
        stop("c");
        nodes.get("a").put(RecordSpace.POOLS, "p", "2".getBytes(UTF_8));
        for (String name : new String[] {"b", "c"}) {
            ReplicaNode restarted = start(name, name.equals("b") ? openDisk("b") : null);
            await().until(() -> restarted.syncState().caughtUp());
            assertEquals(name.equals("b") ? 12 : 13, restarted.sum(RecordSpace.USED, "k"));
            assertEquals("2", readValues(restarted, RecordSpace.POOLS).get("a/p"));
            restarted.add(RecordSpace.USED, "k", 1);
        }
        await().untilAsserted(() -> nodes.values().forEach(node -> assertEquals(14, node.sum(RecordSpace.USED, "k"))));
        awaitValues(RecordSpace.POOLS, Map.of("a/p", "2"));
    }

    @Test
    void writesReachABlockedPeerThroughAnother() throws IOException {
        ReplicaNode nodeA = start("a", null);
        start("b", null);
        ReplicaNode nodeC = start("c", null);
        links.blockLink("a", "c");
        links.blockLink("c", "a");
        Map<String, String> received = new ConcurrentHashMap<>();
        nodeC.addListener((space, owner, key, now) -> received.put(owner + key, new String(now.value(), UTF_8)));
        nodeA.put(RecordSpace.DEMAND, "p/t", "9".getBytes(UTF_8));
        await().until(() -> "9".equals(received.get("ap/t")));
        await().until(() -> nodeC.readAll(RecordSpace.DEMAND).get(0).isFresh(RecordSpace.DEMAND));
    }
}
