package brackenbridge.fleet.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.BiPredicate;
import org.junit.jupiter.api.Test;

class FailureDetectorTest {
    private static final PeerLimits LIMITS = PeerLimits.defaults();

    /** Failure detectors that exchange messages over a simulated network; deterministic by seed. */
    private static final class SimulatedCluster {
        final int size;
        final Random random;
        final FailureDetector[] members;
        final long[] incarnations;
        final double[] pausedUntilMs;
        final double[] clockOffsetMs;
        final List<String> names = new ArrayList<>();
        final PriorityQueue<Event> events = new PriorityQueue<>();
        /** All status changes, with the observing member and the observed one. */
        final List<StatusChange> statusChanges = new ArrayList<>();

        double nowMs;
        double lossProbability;
        double delayMs = 1;
        BiPredicate<Integer, Integer> isCut = (from, to) -> false;
        long order;

        record StatusChange(int observer, int subject, MemberStatus status, double atMs) {}

        record Event(double atMs, long order, Runnable action) implements Comparable<Event> {
            @Override
            public int compareTo(Event other) {
                return atMs != other.atMs ? Double.compare(atMs, other.atMs) : Long.compare(order, other.order);
            }
        }

        SimulatedCluster(int size, long seed) {
            this.size = size;
            random = new Random(seed);
            members = new FailureDetector[size];
            incarnations = new long[size];
            pausedUntilMs = new double[size];
            clockOffsetMs = new double[size];
            for (int i = 0; i < size; i++) {
                names.add("n" + i);
            }
            for (int i = 0; i < size; i++) {
                startMember(i, 1);
            }
            for (int i = 0; i < size; i++) {
                for (int j = 0; j < size; j++) {
                    connect(i, j);
                }
            }
        }

        void startMember(int i, long incarnation) {
            incarnations[i] = incarnation;
            clockOffsetMs[i] = random.nextDouble() * 1e6;
            FailureDetector detector =
                    new FailureDetector(names.get(i), incarnation, instance(i, incarnation), LIMITS, random.nextLong());
            detector.update(names);
            members[i] = detector;
            schedule(random.nextDouble() * LIMITS.heartbeatMs(), () -> tick(i, detector));
        }

        static long instance(int i, long incarnation) {
            return 1000L * (i + 1) + incarnation;
        }

        void connect(int i, int j) {
            if (i != j) {
                send(
                        i,
                        members[i].onConnected(
                                localTimeMs(i),
                                localTimeMs(i) - 1,
                                names.get(j),
                                incarnations[j],
                                instance(j, incarnations[j])));
                recordChanges(i);
            }
        }

        double localTimeMs(int i) {
            return nowMs + clockOffsetMs[i];
        }

        void schedule(double ms, Runnable action) {
            events.add(new Event(nowMs + ms, order++, action));
        }

        void tick(int i, FailureDetector detector) {
            if (members[i] != detector) {
                return;
            }
            if (nowMs < pausedUntilMs[i]) {
                schedule(pausedUntilMs[i] - nowMs, () -> tick(i, detector));
                return;
            }
            send(i, detector.tick(localTimeMs(i)));
            recordChanges(i);
            schedule(LIMITS.heartbeatMs(), () -> tick(i, detector));
        }

        void send(int i, List<FailureDetector.OutgoingMessage> messages) {
            for (FailureDetector.OutgoingMessage outgoing : messages) {
                int j = names.indexOf(outgoing.to());
                if (random.nextDouble() >= lossProbability && !isCut.test(i, j)) {
                    byte[] bytes = outgoing.message().encode();
                    long incarnation = incarnations[i];
                    FailureDetector receiver = members[j];
                    schedule(delayMs * (0.5 + random.nextDouble()), () -> receive(j, receiver, i, incarnation, bytes));
                }
            }
        }

        void receive(int j, FailureDetector receiver, int from, long incarnation, byte[] bytes) {
            if (members[j] != receiver) {
                return;
            }
            if (nowMs < pausedUntilMs[j]) {
                schedule(pausedUntilMs[j] - nowMs, () -> receive(j, receiver, from, incarnation, bytes));
                return;
            }
            try {
                send(
                        j,
                        receiver.onMessage(
                                localTimeMs(j),
                                names.get(from),
                                incarnation,
                                instance(from, incarnation),
                                SwimMessage.decode(bytes)));
            } catch (WireException e) {
                throw new AssertionError(e);
            }
            recordChanges(j);
        }

        void recordChanges(int i) {
            for (FailureDetector.Change change : members[i].drainChanges()) {
                statusChanges.add(new StatusChange(i, names.indexOf(change.peer()), change.status(), nowMs));
            }
        }

        void killMember(int i) {
            members[i] = null;
            for (int j = 0; j < size; j++) {
                if (members[j] != null) {
                    members[j].onDisconnected(names.get(i));
                }
            }
        }

        void runFor(double ms) {
            double until = nowMs + ms;
            while (!events.isEmpty() && events.peek().atMs() <= until) {
                Event event = events.poll();
                nowMs = event.atMs();
                event.action().run();
            }
            nowMs = until;
        }

        long count(MemberStatus status) {
            return statusChanges.stream()
                    .filter(change -> change.status() == status)
                    .count();
        }

        void assertStatusEverywhere(int of, MemberStatus status) {
            for (int i = 0; i < size; i++) {
                if (i != of && members[i] != null) {
                    assertEquals(status, members[i].status(names.get(of)), names.get(i) + " of " + names.get(of));
                }
            }
        }
    }

    @Test
    void everyMemberDeclaresAKilledMemberDeadWithinTheBoundAndNoOther() {
        List<Double> delaysMs = new ArrayList<>();
        long falseSuspicions = 0;
        for (long seed = 0; seed < 300; seed++) {
            SimulatedCluster cluster = new SimulatedCluster(2 + (int) (seed % 11), seed);
            cluster.lossProbability = seed % 3 * 0.15;
            cluster.runFor(5000 + seed);
            double killedAtMs = cluster.nowMs;
            cluster.killMember(0);
            cluster.runFor(2 * LIMITS.deadAfterMs() + 3 * LIMITS.heartbeatMs());
            cluster.assertStatusEverywhere(0, MemberStatus.DEAD);
            for (SimulatedCluster.StatusChange change : cluster.statusChanges) {
                if (change.status() == MemberStatus.DEAD) {
                    assertEquals(0, change.subject(), "a running member was declared dead, seed " + seed);
                    delaysMs.add(change.atMs() - killedAtMs);
                } else if (change.status() == MemberStatus.SUSPECT && change.subject() != 0) {
                    falseSuspicions++;
                }
            }
        }
        double[] sorted = delaysMs.stream().mapToDouble(delay -> delay).sorted().toArray();
        System.out.printf(
                "dead: %d detections, p50 %.0f, p99 %.0f, max %.0f ms; false suspicions %d%n",
                sorted.length,
                sorted[sorted.length / 2],
                sorted[sorted.length * 99 / 100],
                sorted[sorted.length - 1],
                falseSuspicions);
        assertTrue(sorted[0] > LIMITS.deadAfterMs() - 4 * LIMITS.heartbeatMs(), "declared dead too soon: " + sorted[0]);
        assertTrue(
                sorted[sorted.length / 2] < LIMITS.deadAfterMs() + 2 * LIMITS.heartbeatMs(), "p50 of " + sorted.length);
        assertEquals(0, falseSuspicions);
    }

    @Test
    void memberThatOnePeerHearsIsNotDeclaredDead() {
        for (long seed = 0; seed < 100; seed++) {
            SimulatedCluster cluster = new SimulatedCluster(3 + (int) (seed % 12), seed);
            cluster.runFor(3000);
            int onlyPeer = 1 + (int) (seed % (cluster.size - 1));
            cluster.isCut = (from, to) -> from == 0 && to != onlyPeer || to == 0 && from != onlyPeer;
            cluster.runFor(20_000);
            cluster.assertStatusEverywhere(0, MemberStatus.ALIVE);
            assertEquals(0, cluster.count(MemberStatus.DEAD), "seed " + seed);
        }
    }

    @Test
    void senderDetectsOneWayLossAndNobodyIsDeclaredDead() {
        for (long seed = 0; seed < 100; seed++) {
            SimulatedCluster cluster = new SimulatedCluster(3 + (int) (seed % 10), seed);
            cluster.runFor(3000);
            cluster.isCut = (from, to) -> from == 0 && to == 1;
            cluster.runFor(10_000);
            assertTrue(
                    cluster.members[0].unacknowledgedForMs("n1") > 9000,
                    "n0 detects that n1 does not receive its messages");
            assertEquals(1, cluster.members[0].countOneWay());
            assertEquals(0, cluster.members[1].unacknowledgedForMs("n0"));
            assertEquals(MemberStatus.ALIVE, cluster.members[1].status("n0"));
            assertEquals(MemberStatus.ALIVE, cluster.members[0].status("n1"));
            assertEquals(0, cluster.count(MemberStatus.DEAD));
            cluster.isCut = (from, to) -> false;
            cluster.runFor(1000);
            assertEquals(0, cluster.members[0].countOneWay());
        }
    }

    @Test
    void slowAndLossyLinksDeclareNobodyDead() {
        for (long seed = 0; seed < 30; seed++) {
            SimulatedCluster cluster = new SimulatedCluster(4 + (int) (seed % 9), seed);
            cluster.delayMs = 250;
            cluster.lossProbability = 0.3;
            cluster.runFor(60_000);
            assertEquals(0, cluster.count(MemberStatus.DEAD), "seed " + seed);
        }
    }

    @Test
    void pausedMemberDeclaresNobodyDeadAndRefutesItsSuspicion() {
        for (long seed = 0; seed < 100; seed++) {
            SimulatedCluster cluster = new SimulatedCluster(3 + (int) (seed % 10), seed);
            cluster.runFor(3000);
            cluster.pausedUntilMs[0] = cluster.nowMs + 10_000 + seed * 50;
            cluster.runFor(9_900);
            cluster.assertStatusEverywhere(0, MemberStatus.DEAD);
            cluster.runFor(8_000);
            for (SimulatedCluster.StatusChange change : cluster.statusChanges) {
                assertTrue(
                        change.observer() != 0 || change.status() == MemberStatus.ALIVE,
                        "the paused member changed the status of another: " + change);
            }
            cluster.assertStatusEverywhere(0, MemberStatus.ALIVE);
            assertTrue(cluster.members[0].refutations() > 0);
            assertTrue(cluster.members[0].pauses() > 0);
        }
    }

    @Test
    void delayedHeartbeatsDoNotKeepADeadMemberAlive() {
        SimulatedCluster cluster = new SimulatedCluster(2, 5);
        cluster.runFor(3000);
        cluster.delayMs = 2600;
        cluster.runFor(500);
        // Heartbeats of this half second arrive 1.3 to 3.9 s after they were sent, when their sender is already dead.
        double killedAtMs = cluster.nowMs;
        cluster.killMember(0);
        cluster.runFor(LIMITS.deadAfterMs() + 3 * LIMITS.heartbeatMs());
        assertEquals(
                MemberStatus.DEAD, cluster.members[1].status("n0"), "after " + (cluster.nowMs - killedAtMs) + " ms");
        cluster.runFor(10_000);
        assertEquals(MemberStatus.DEAD, cluster.members[1].status("n0"));
    }

    @Test
    void restartedMemberAndPartitionedHalvesRejoin() {
        for (long seed = 0; seed < 50; seed++) {
            SimulatedCluster cluster = new SimulatedCluster(6, seed);
            cluster.runFor(2000);
            cluster.isCut = (from, to) -> from < 3 != to < 3;
            cluster.runFor(12_000);
            assertEquals(3, cluster.members[0].count(MemberStatus.DEAD));
            cluster.isCut = (from, to) -> false;
            cluster.runFor(2000);
            assertEquals(5, cluster.members[0].count(MemberStatus.ALIVE));
            cluster.killMember(2);
            cluster.runFor(10_000);
            cluster.startMember(2, 2);
            // Only n4 is connected to the new incarnation: the others learn of it by gossip.
            cluster.connect(2, 4);
            cluster.connect(4, 2);
            cluster.runFor(2000);
            cluster.assertStatusEverywhere(2, MemberStatus.ALIVE);
            assertEquals(2, cluster.members[0].incarnationOf("n2"));
        }
    }

    @Test
    void twoProcessesOfOneNameAreDetectedWithoutACommonPeer() {
        SimulatedCluster cluster = new SimulatedCluster(4, 1);
        cluster.runFor(2000);
        // The first n3 stays connected to n0 and n1; a copy of the same incarnation connects to n2 only.
        cluster.members[2] = new FailureDetector("n2", 2, SimulatedCluster.instance(2, 2), LIMITS, 9);
        cluster.members[2].update(cluster.names);
        cluster.incarnations[2] = 2;
        FailureDetector detector = cluster.members[2];
        cluster.schedule(1, () -> cluster.tick(2, detector));
        for (int i = 0; i < 2; i++) {
            cluster.connect(2, i);
            cluster.connect(i, 2);
        }
        detector.onConnected(cluster.localTimeMs(2), cluster.localTimeMs(2), "n3", 1, 4711);
        cluster.runFor(2000);
        List<FailureDetector.Conflict> conflicts = cluster.members[0].drainConflicts();
        assertEquals(1, conflicts.size(), "reported once: " + conflicts);
        assertEquals("n3", conflicts.get(0).name());
        assertEquals("n3", cluster.members[3].drainConflicts().get(0).name(), "the first process is notified as well");
    }

    /** A detector that has run for a second, after a peer's gossip about the member itself. */
    private static FailureDetector detectorToldOfItself(long incarnation, MemberStatus status, double ageMs) {
        FailureDetector detector = new FailureDetector("a", 5, 1, LIMITS, 1);
        detector.update(List.of("b"));
        detector.onConnected(0, 0, "b", 1, 2);
        detector.tick(1000);
        SwimMessage.Entry entry = new SwimMessage.Entry("a", incarnation, 77, 0, status, false, ageMs);
        detector.onMessage(1000, "b", 1, 2, new SwimMessage(0, 1, 0, 990, 0, List.of(entry), List.of()));
        return detector;
    }

    @Test
    void laterIncarnationOfItselfIsAnEndedOneIfItWasLastAliveBeforeTheStart() {
        assertEquals(9, detectorToldOfItself(9, MemberStatus.DEAD, -1).endedIncarnation());
        assertEquals(9, detectorToldOfItself(9, MemberStatus.SUSPECT, 2000).endedIncarnation());
        assertEquals(5, detectorToldOfItself(5, MemberStatus.ALIVE, 2000).endedIncarnation());
        assertEquals(
                Long.MIN_VALUE, detectorToldOfItself(4, MemberStatus.DEAD, 2000).endedIncarnation());
        for (double ageMs : new double[] {-1, 500}) {
            FailureDetector inConflict = detectorToldOfItself(9, MemberStatus.ALIVE, ageMs);
            assertEquals(
                    Long.MIN_VALUE, inConflict.endedIncarnation(), "the other process is still running, age " + ageMs);
            assertEquals(1, inConflict.drainConflicts().size());
        }
        FailureDetector renewed = detectorToldOfItself(9, MemberStatus.DEAD, -1);
        renewed.beginIncarnation(10);
        assertEquals(Long.MIN_VALUE, renewed.endedIncarnation());
        assertTrue(renewed.drainConflicts().isEmpty());
    }

    @Test
    void onlyAGreaterRefutationNumberRevivesADeadMember() {
        FailureDetector detector = new FailureDetector("a", 1, 1, LIMITS, 1);
        detector.update(List.of("b"));
        detector.onConnected(0, 0, "b", 1, 2);
        int sent = 0;
        double now = 0;
        while (detector.status("b") != MemberStatus.DEAD) {
            now += LIMITS.heartbeatMs();
            sent = detector.tick(now).get(0).message().sequence();
        }
        assertEquals(LIMITS.deadAfterMs(), now, LIMITS.heartbeatMs());
        detector.onMessage(now + 10, "b", 1, 2, new SwimMessage(0, 1, sent, 5, 0, List.of(), List.of()));
        assertEquals(MemberStatus.DEAD, detector.status("b"), "the member does not know yet that it was declared dead");
        detector.onMessage(now + 20, "b", 1, 2, new SwimMessage(0, 2, sent, 15, 1, List.of(), List.of()));
        assertEquals(MemberStatus.ALIVE, detector.status("b"));
    }
}
