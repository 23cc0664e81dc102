package brackenbridge.fleet.replica;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.clock.Clock;
import brackenbridge.fleet.peer.Member;
import brackenbridge.fleet.peer.MemberStatus;
import brackenbridge.fleet.peer.PeerLimits;
import brackenbridge.fleet.peer.TcpPeerLinks;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A member starts again after its wall clock was stepped; links, replica and disk as in a node. */
class SteppedClockTest {
    private static final ReplicationLimits FAST =
            new ReplicationLimits(10_000_000, 5, 50, 60, 30, 500, 60_000, 32, 4, 4096);
    private static final PeerLimits LIMITS =
            new PeerLimits(64 << 10, 256 << 10, 64, 20, 300, 1500, 1000, 10, 100, 4, 3);
    private static final long HOUR_MS = 3_600_000;

    @TempDir
    private Path folder;

    private final AtomicLong stepMs = new AtomicLong();
    private final List<Process> processes = new ArrayList<>();

    /** What one process of a member holds. */
    private record Process(TcpPeerLinks links, ReplicaNode replica) {
        void end() {
            links.close();
            replica.close();
        }

        void put(String value) {
            replica.put(RecordSpace.NODES, "state", value.getBytes(UTF_8));
        }

        /** The value that a member has written, as this one holds it. */
        String sees(String owner) {
            return replica.seen(RecordSpace.NODES).stream()
                    .filter(s -> s.owner().equals(owner))
                    .map(s -> new String(s.value(), UTF_8))
                    .findFirst()
                    .orElse("");
        }
    }

    @AfterEach
    void end() {
        processes.forEach(Process::end);
    }

    /** A process whose clock takes its origin now. It has written before it meets anybody, as a node does. */
    private Process start(String name, boolean withDisk, String value) throws IOException {
        Clock clock = Clock.from(() -> System.currentTimeMillis() + stepMs.get(), System::nanoTime);
        ReplicaDisk disk = withDisk ? ReplicaDisk.open(folder.resolve(name), "f", name, clock.nowMs()) : null;
        long life = disk == null ? ReplicaDisk.lifeWithout(clock.nowMs()) : disk.life();
        TcpPeerLinks links =
                new TcpPeerLinks(new Member(name, "127.0.0.1:0", "z"), life, "f", List.of(), clock, LIMITS);
        Process p = new Process(links, new ReplicaNode(links, disk, clock, FAST));
        processes.add(p);
        p.put(value);
        p.replica().add(RecordSpace.USED, "k", 1);
        p.replica().start();
        links.start();
        return p;
    }

    private Process startAgain(Process before, String name, boolean withDisk, String value) throws IOException {
        before.end();
        processes.remove(before);
        return start(name, withDisk, value);
    }

    private static void meet(Process... all) {
        List<Member> members = new ArrayList<>();
        for (Process p : all) {
            members.add(p.links().self());
        }
        for (Process p : all) {
            p.links().update(members);
        }
    }

    private static void awaitHeard(Process by, String name, String value) {
        await().atMost(Duration.ofSeconds(20))
                .pollInterval(Duration.ofMillis(5))
                .untilAsserted(() -> {
                    assertEquals(value, by.sees(name));
                    assertEquals(MemberStatus.ALIVE, by.links().status(name));
                });
    }

    private void startsAgainAfterSteps(boolean withDisk) throws IOException {
        Process a = start("a", false, "a");
        Process b = start("b", withDisk, "0");
        meet(a, b);
        awaitHeard(a, "b", "0");
        long[] steps = {-HOUR_MS, HOUR_MS, -3000, 3 * HOUR_MS, -5 * HOUR_MS};
        for (int i = 0; i < steps.length; i++) {
            stepMs.addAndGet(steps[i]);
            b = startAgain(b, "b", withDisk, "after " + steps[i]);
            meet(a, b);
            awaitHeard(a, "b", "after " + steps[i]);
            Process again = b;
            long sum = 3 + i;
            await().atMost(Duration.ofSeconds(20))
                    .pollInterval(Duration.ofMillis(5))
                    .untilAsserted(() -> {
                        assertTrue(again.replica().level().level());
                        assertEquals(sum, again.replica().sum(RecordSpace.USED, "k"));
                        assertEquals(sum, a.replica().sum(RecordSpace.USED, "k"));
                    });
            assertNull(b.replica().status().stream()
                    .filter(s -> s.member().equals("b"))
                    .findFirst()
                    .orElseThrow()
                    .aside());
        }
    }

    @Test
    void withoutADiskItIsHeardAtOnceAndItsSumsStay() throws IOException {
        startsAgainAfterSteps(false);
    }

    @Test
    void withItsDiskItIsHeardAtOnceAndItsSumsStay() throws IOException {
        startsAgainAfterSteps(true);
    }

    @Test
    void withItsDiskLostItIsHeardAtOnce() throws IOException {
        Process a = start("a", false, "a");
        Process b = start("b", true, "first");
        meet(a, b);
        awaitHeard(a, "b", "first");
        stepMs.addAndGet(-HOUR_MS);
        Process again = startAgain(b, "b", false, "second");
        meet(a, again);
        awaitHeard(a, "b", "second");
    }
}
