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

/**
 * Guards against a member that peers ignore or quarantine after it restarts with a stepped wall clock, from which its
 * incarnation is derived. Uses links, replica and disk as in a node.
 */
class SteppedClockTest {
    private static final ReplicationLimits FAST =
            new ReplicationLimits(10_000_000, 5, 50, 60, 30, 500, 60_000, 32, 4, 4096);
    private static final PeerLimits PEER_LIMITS =
            new PeerLimits(64 << 10, 256 << 10, 64, 20, 300, 1500, 1000, 10, 100, 4, 3);
    private static final long HOUR_MS = 3_600_000;

    @TempDir
    private Path directory;

    private final AtomicLong clockOffsetMs = new AtomicLong();
    private final List<Process> processes = new ArrayList<>();

    /** The links and the replica of one process of a member. */
    private record Process(TcpPeerLinks links, ReplicaNode replica) {
        void close() {
            links.close();
            replica.close();
        }

        void put(String value) {
            replica.put(RecordSpace.NODES, "state", value.getBytes(UTF_8));
        }

        /** A member's value in this process's copy; empty if there is none. */
        String readValue(String owner) {
            return replica.readAll(RecordSpace.NODES).stream()
                    .filter(record -> record.owner().equals(owner))
                    .map(record -> new String(record.value(), UTF_8))
                    .findFirst()
                    .orElse("");
        }
    }

    @AfterEach
    void closeProcesses() {
        processes.forEach(Process::close);
    }

    /** Starts a process whose clock begins now. It writes before it connects to any peer, as a node does. */
    private Process start(String name, boolean withDisk, String value) throws IOException {
        Clock clock = Clock.from(() -> System.currentTimeMillis() + clockOffsetMs.get(), System::nanoTime);
        ReplicaDisk disk = withDisk ? ReplicaDisk.open(directory.resolve(name), "f", name, clock.nowMs()) : null;
        long incarnation = disk == null ? ReplicaDisk.incarnationWithoutDisk(clock.nowMs()) : disk.incarnation();
        TcpPeerLinks links =
                new TcpPeerLinks(new Member(name, "127.0.0.1:0", "z"), incarnation, "f", List.of(), clock, PEER_LIMITS);
        Process process = new Process(links, new ReplicaNode(links, disk, clock, FAST));
        processes.add(process);
        process.put(value);
        process.replica().add(RecordSpace.USED, "k", 1);
        process.replica().start();
        links.start();
        return process;
    }

    private Process restart(Process previous, String name, boolean withDisk, String value) throws IOException {
        previous.close();
        processes.remove(previous);
        return start(name, withDisk, value);
    }

    private static void connect(Process... processesToConnect) {
        List<Member> members = new ArrayList<>();
        for (Process process : processesToConnect) {
            members.add(process.links().self());
        }
        for (Process process : processesToConnect) {
            process.links().update(members);
        }
    }

    private static void awaitValue(Process reader, String name, String value) {
        await().atMost(Duration.ofSeconds(20))
                .pollInterval(Duration.ofMillis(5))
                .untilAsserted(() -> {
                    assertEquals(value, reader.readValue(name));
                    assertEquals(MemberStatus.ALIVE, reader.links().status(name));
                });
    }

    private void restartAfterClockSteps(boolean withDisk) throws IOException {
        Process processA = start("a", false, "a");
        Process processB = start("b", withDisk, "0");
        connect(processA, processB);
        awaitValue(processA, "b", "0");
        long[] steps = {-HOUR_MS, HOUR_MS, -3000, 3 * HOUR_MS, -5 * HOUR_MS};
        for (int i = 0; i < steps.length; i++) {
            clockOffsetMs.addAndGet(steps[i]);
            processB = restart(processB, "b", withDisk, "after " + steps[i]);
            connect(processA, processB);
            awaitValue(processA, "b", "after " + steps[i]);
            Process restarted = processB;
            long expectedSum = 3 + i;
            await().atMost(Duration.ofSeconds(20))
                    .pollInterval(Duration.ofMillis(5))
                    .untilAsserted(() -> {
                        assertTrue(restarted.replica().syncState().caughtUp());
                        assertEquals(expectedSum, restarted.replica().sum(RecordSpace.USED, "k"));
                        assertEquals(expectedSum, processA.replica().sum(RecordSpace.USED, "k"));
                    });
            assertNull(processB.replica().status().stream()
                    .filter(status -> status.member().equals("b"))
                    .findFirst()
                    .orElseThrow()
                    .quarantineReason());
        }
    }

    @Test
    void restartWithoutDiskIsVisibleAndKeepsCounters() throws IOException {
        restartAfterClockSteps(false);
    }

    @Test
    void restartWithDiskIsVisibleAndKeepsCounters() throws IOException {
        restartAfterClockSteps(true);
    }

    @Test
    void restartWithLostDiskIsVisible() throws IOException {
        Process processA = start("a", false, "a");
        Process processB = start("b", true, "first");
        connect(processA, processB);
        awaitValue(processA, "b", "first");
        clockOffsetMs.addAndGet(-HOUR_MS);
        Process restarted = restart(processB, "b", false, "second");
        connect(processA, restarted);
        awaitValue(processA, "b", "second");
    }
}
