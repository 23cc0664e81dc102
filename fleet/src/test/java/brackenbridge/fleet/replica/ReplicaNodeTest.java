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

class ReplicaNodeTest {
    private static final ReplicationLimits FAST =
            new ReplicationLimits(10_000_000, 5, 50, 60, 30, 500, 60_000, 32, 4, 4096);

    @TempDir
    private Path folder;

    private final Wires wires = new Wires("a", "b", "c");
    private final Map<String, ReplicaNode> nodes = new LinkedHashMap<>();
    private final Clock clock = Clock.system();

    @BeforeEach
    void quick() {
        org.awaitility.Awaitility.setDefaultPollInterval(Duration.ofMillis(5));
        org.awaitility.Awaitility.setDefaultTimeout(Duration.ofSeconds(20));
    }

    @AfterEach
    void end() {
        nodes.values().forEach(ReplicaNode::close);
        wires.close();
    }

    private ReplicaNode start(String name, ReplicaDisk disk) throws IOException {
        Wires.End end = wires.end(name, disk == null ? (long) clock.nowMs() : disk.incarnation());
        ReplicaNode n = new ReplicaNode(end, disk, clock, FAST);
        n.start();
        end.start();
        nodes.put(name, n);
        return n;
    }

    private ReplicaDisk disk(String name) throws IOException {
        return ReplicaDisk.open(folder.resolve(name), "fleet", name, clock.nowMs());
    }

    private void stop(String name) {
        nodes.remove(name).close();
        wires.end(name, 0).close();
    }

    private static Map<String, String> at(ReplicaNode n, RecordSpace space) {
        Map<String, String> all = new TreeMap<>();
        n.readAll(space).forEach(s -> all.put(s.owner() + "/" + s.key(), new String(s.value(), UTF_8)));
        return all;
    }

    private void allHold(RecordSpace space, Map<String, String> want) {
        await().untilAsserted(() -> {
            for (ReplicaNode n : nodes.values()) {
                assertEquals(want, at(n, space));
            }
        });
    }

    @Test
    void whatIsWrittenAndRemovedIsSoEverywhereThoughMessagesAreLostAndRepeated() throws IOException {
        wires.faults(0.3, 0.3);
        ReplicaNode a = start("a", null);
        ReplicaNode b = start("b", null);
        ReplicaNode c = start("c", null);
        for (int i = 0; i < 200; i++) {
            a.put(RecordSpace.SERVERS, "h" + i % 20, ("v" + i).getBytes(UTF_8));
            b.add(RecordSpace.ATTEMPTS, "pool", 2);
            c.add(RecordSpace.ATTEMPTS, "pool", 1);
        }
        for (int i = 2; i < 20; i++) {
            a.remove(RecordSpace.SERVERS, "h" + i);
        }
        allHold(RecordSpace.SERVERS, Map.of("a/h0", "v180", "a/h1", "v181"));
        await().untilAsserted(() ->
                nodes.values().forEach(n -> assertEquals(600, n.sum(RecordSpace.ATTEMPTS, "pool"))));
        await().untilAsserted(() ->
                nodes.values().forEach(n -> assertTrue(n.syncState().caughtUp(), n.syncState()::toString)));
        assertEquals(0, a.statistics().differences());
    }

    @Test
    void oneThatReturnsWithOrWithoutItsDiskHasAllBeforeItIsLevelAndSumsSurvive() throws IOException {
        start("a", null);
        start("b", disk("b"));
        start("c", null);
        nodes.get("b").add(RecordSpace.USED, "k", 5);
        nodes.get("c").add(RecordSpace.USED, "k", 7);
        nodes.get("a").put(RecordSpace.POOLS, "p", "1".getBytes(UTF_8));
        nodes.get("b").put(RecordSpace.POOLS, "gone with its life", "1".getBytes(UTF_8));
        await().untilAsserted(() -> nodes.values().forEach(n -> assertEquals(12, n.sum(RecordSpace.USED, "k"))));
        stop("b");
        stop("c");
        nodes.get("a").put(RecordSpace.POOLS, "p", "2".getBytes(UTF_8));
        for (String n : new String[] {"b", "c"}) {
            ReplicaNode r = start(n, n.equals("b") ? disk("b") : null);
            await().until(() -> r.syncState().caughtUp());
            assertEquals(n.equals("b") ? 12 : 13, r.sum(RecordSpace.USED, "k"));
            assertEquals("2", at(r, RecordSpace.POOLS).get("a/p"));
            r.add(RecordSpace.USED, "k", 1);
        }
        await().untilAsserted(() -> nodes.values().forEach(n -> assertEquals(14, n.sum(RecordSpace.USED, "k"))));
        allHold(RecordSpace.POOLS, Map.of("a/p", "2"));
    }

    @Test
    void anotherPassesOnWhatACutWayHoldsBack() throws IOException {
        ReplicaNode a = start("a", null);
        start("b", null);
        ReplicaNode c = start("c", null);
        wires.cut("a", "c");
        wires.cut("c", "a");
        Map<String, String> heard = new ConcurrentHashMap<>();
        c.addListener((space, owner, key, now) -> heard.put(owner + key, new String(now.value(), UTF_8)));
        a.put(RecordSpace.DEMAND, "p/t", "9".getBytes(UTF_8));
        await().until(() -> "9".equals(heard.get("ap/t")));
        await().until(() -> c.readAll(RecordSpace.DEMAND).get(0).isFresh(RecordSpace.DEMAND));
    }
}
