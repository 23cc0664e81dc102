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

    /** Members that exchange beats over simulated lines; one seed gives one history. */
    private static final class SimulatedCluster {
        final int size;
        final Random random;
        final FailureDetector[] members;
        final long[] incarnations;
        final double[] pausedUntilMs;
        final double[] clockOffsetMs;
        final List<String> names = new ArrayList<>();
        final PriorityQueue<Event> events = new PriorityQueue<>();
        /** Each change: who holds it, of whom, what, when. */
        final List<StatusChange> statusChanges = new ArrayList<>();

        double nowMs;
        double lossProbability;
        double delayMs = 1;
        BiPredicate<Integer, Integer> isCut = (from, to) -> false;
        long order;

        record StatusChange(int observer, int subject, MemberStatus status, double atMs) {}

        record Event(double atMs, long order, Runnable work) implements Comparable<Event> {
            @Override
            public int compareTo(Event o) {
                return atMs != o.atMs ? Double.compare(atMs, o.atMs) : Long.compare(order, o.order);
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
            FailureDetector d =
                    new FailureDetector(names.get(i), incarnation, instance(i, incarnation), LIMITS, random.nextLong());
            d.update(names);
            members[i] = d;
            schedule(random.nextDouble() * LIMITS.heartbeatMs(), () -> tick(i, d));
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

        void schedule(double ms, Runnable work) {
            events.add(new Event(nowMs + ms, order++, work));
        }

        void tick(int i, FailureDetector d) {
            if (members[i] != d) {
                return;
            }
            if (nowMs < pausedUntilMs[i]) {
                schedule(pausedUntilMs[i] - nowMs, () -> tick(i, d));
                return;
            }
            send(i, d.tick(localTimeMs(i)));
            recordChanges(i);
            schedule(LIMITS.heartbeatMs(), () -> tick(i, d));
        }

        void send(int i, List<FailureDetector.OutgoingMessage> out) {
            for (FailureDetector.OutgoingMessage o : out) {
                int j = names.indexOf(o.to());
                if (random.nextDouble() >= lossProbability && !isCut.test(i, j)) {
                    byte[] wire = o.message().encode();
                    long incarnation = incarnations[i];
                    FailureDetector target = members[j];
                    schedule(delayMs * (0.5 + random.nextDouble()), () -> receive(j, target, i, incarnation, wire));
                }
            }
        }

        void receive(int j, FailureDetector target, int from, long incarnation, byte[] wire) {
            if (members[j] != target) {
                return;
            }
            if (nowMs < pausedUntilMs[j]) {
                schedule(pausedUntilMs[j] - nowMs, () -> receive(j, target, from, incarnation, wire));
                return;
            }
            try {
                send(
                        j,
                        target.onMessage(
                                localTimeMs(j),
                                names.get(from),
                                incarnation,
                                instance(from, incarnation),
                                SwimMessage.decode(wire)));
            } catch (WireException e) {
                throw new AssertionError(e);
            }
            recordChanges(j);
        }

        void recordChanges(int i) {
            for (FailureDetector.Change c : members[i].drainChanges()) {
                statusChanges.add(new StatusChange(i, names.indexOf(c.peer()), c.status(), nowMs));
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
                Event e = events.poll();
                nowMs = e.atMs();
                e.work().run();
            }
            nowMs = until;
        }

        long count(MemberStatus standing) {
            return statusChanges.stream().filter(s -> s.status() == standing).count();
        }

        void assertStatusEverywhere(int of, MemberStatus standing) {
            for (int i = 0; i < size; i++) {
                if (i != of && members[i] != null) {
                    assertEquals(standing, members[i].status(names.get(of)), names.get(i) + " of " + names.get(of));
                }
            }
        }
    }

    @Test
    void everyMemberDeclaresAKilledMemberDeadWithinTheBoundAndNoOther() {
        List<Double> took = new ArrayList<>();
        long wrong = 0;
        for (long seed = 0; seed < 300; seed++) {
            SimulatedCluster w = new SimulatedCluster(2 + (int) (seed % 11), seed);
            w.lossProbability = seed % 3 * 0.15;
            w.runFor(5000 + seed);
            double died = w.nowMs;
            w.killMember(0);
            w.runFor(2 * LIMITS.deadAfterMs() + 3 * LIMITS.heartbeatMs());
            w.assertStatusEverywhere(0, MemberStatus.DEAD);
            for (SimulatedCluster.StatusChange s : w.statusChanges) {
                if (s.status() == MemberStatus.DEAD) {
                    assertEquals(0, s.subject(), "a live one is gone, seed " + seed);
                    took.add(s.atMs() - died);
                } else if (s.status() == MemberStatus.SUSPECT && s.subject() != 0) {
                    wrong++;
                }
            }
        }
        double[] sorted = took.stream().mapToDouble(d -> d).sorted().toArray();
        System.out.printf(
                "dead: %d sightings, p50 %.0f, p99 %.0f, max %.0f ms; suspected wrongly %d%n",
                sorted.length,
                sorted[sorted.length / 2],
                sorted[sorted.length * 99 / 100],
                sorted[sorted.length - 1],
                wrong);
        assertTrue(sorted[0] > LIMITS.deadAfterMs() - 4 * LIMITS.heartbeatMs(), "too soon: " + sorted[0]);
        assertTrue(
                sorted[sorted.length / 2] < LIMITS.deadAfterMs() + 2 * LIMITS.heartbeatMs(), "p50 of " + sorted.length);
        assertEquals(0, wrong);
    }

    @Test
    void memberThatOnePeerHearsIsNotDeclaredDead() {
        for (long seed = 0; seed < 100; seed++) {
            SimulatedCluster w = new SimulatedCluster(3 + (int) (seed % 12), seed);
            w.runFor(3000);
            int friend = 1 + (int) (seed % (w.size - 1));
            w.isCut = (from, to) -> from == 0 && to != friend || to == 0 && from != friend;
            w.runFor(20_000);
            w.assertStatusEverywhere(0, MemberStatus.ALIVE);
            assertEquals(0, w.count(MemberStatus.DEAD), "seed " + seed);
        }
    }

    @Test
    void senderDetectsOneWayLossAndNobodyIsDeclaredDead() {
        for (long seed = 0; seed < 100; seed++) {
            SimulatedCluster w = new SimulatedCluster(3 + (int) (seed % 10), seed);
            w.runFor(3000);
            w.isCut = (from, to) -> from == 0 && to == 1;
            w.runFor(10_000);
            assertTrue(w.members[0].unacknowledgedForMs("n1") > 9000, "n0 knows that n1 does not hear it");
            assertEquals(1, w.members[0].countOneWay());
            assertEquals(0, w.members[1].unacknowledgedForMs("n0"));
            assertEquals(MemberStatus.ALIVE, w.members[1].status("n0"));
            assertEquals(MemberStatus.ALIVE, w.members[0].status("n1"));
            assertEquals(0, w.count(MemberStatus.DEAD));
            w.isCut = (from, to) -> false;
            w.runFor(1000);
            assertEquals(0, w.members[0].countOneWay());
        }
    }

    @Test
    void slowAndLossyLinksDeclareNobodyDead() {
        for (long seed = 0; seed < 30; seed++) {
            SimulatedCluster w = new SimulatedCluster(4 + (int) (seed % 9), seed);
            w.delayMs = 250;
            w.lossProbability = 0.3;
            w.runFor(60_000);
            assertEquals(0, w.count(MemberStatus.DEAD), "seed " + seed);
        }
    }

    @Test
    void pausedMemberDeclaresNobodyDeadAndRefutesItsSuspicion() {
        for (long seed = 0; seed < 100; seed++) {
            SimulatedCluster w = new SimulatedCluster(3 + (int) (seed % 10), seed);
            w.runFor(3000);
            w.pausedUntilMs[0] = w.nowMs + 10_000 + seed * 50;
            w.runFor(9_900);
            w.assertStatusEverywhere(0, MemberStatus.DEAD);
            w.runFor(8_000);
            for (SimulatedCluster.StatusChange s : w.statusChanges) {
                assertTrue(s.observer() != 0 || s.status() == MemberStatus.ALIVE, "it doubts others: " + s);
            }
            w.assertStatusEverywhere(0, MemberStatus.ALIVE);
            assertTrue(w.members[0].refutations() > 0);
            assertTrue(w.members[0].pauses() > 0);
        }
    }

    @Test
    void delayedHeartbeatsDoNotKeepADeadMemberAlive() {
        SimulatedCluster w = new SimulatedCluster(2, 5);
        w.runFor(3000);
        w.delayMs = 2600;
        w.runFor(500);
        // The beats of this half second arrive from 1.3 to 3.9 s after their sending, when their sender has ended.
        double died = w.nowMs;
        w.killMember(0);
        w.runFor(LIMITS.deadAfterMs() + 3 * LIMITS.heartbeatMs());
        assertEquals(MemberStatus.DEAD, w.members[1].status("n0"), "by " + (w.nowMs - died));
        w.runFor(10_000);
        assertEquals(MemberStatus.DEAD, w.members[1].status("n0"));
    }

    @Test
    void restartedMemberAndPartitionedHalvesRejoin() {
        for (long seed = 0; seed < 50; seed++) {
            SimulatedCluster w = new SimulatedCluster(6, seed);
            w.runFor(2000);
            w.isCut = (from, to) -> from < 3 != to < 3;
            w.runFor(12_000);
            assertEquals(3, w.members[0].count(MemberStatus.DEAD));
            w.isCut = (from, to) -> false;
            w.runFor(2000);
            assertEquals(5, w.members[0].count(MemberStatus.ALIVE));
            w.killMember(2);
            w.runFor(10_000);
            w.startMember(2, 2);
            // Only one other has a link with the new life: the rest hear of it.
            w.connect(2, 4);
            w.connect(4, 2);
            w.runFor(2000);
            w.assertStatusEverywhere(2, MemberStatus.ALIVE);
            assertEquals(2, w.members[0].incarnationOf("n2"));
        }
    }

    @Test
    void twoProcessesOfOneNameAreDetectedWithoutACommonPeer() {
        SimulatedCluster w = new SimulatedCluster(4, 1);
        w.runFor(2000);
        // n3 lives on at n0 and n1; a copy of it, of the same life, has linked with n2 only.
        w.members[2] = new FailureDetector("n2", 2, SimulatedCluster.instance(2, 2), LIMITS, 9);
        w.members[2].update(w.names);
        w.incarnations[2] = 2;
        FailureDetector d = w.members[2];
        w.schedule(1, () -> w.tick(2, d));
        for (int i = 0; i < 2; i++) {
            w.connect(2, i);
            w.connect(i, 2);
        }
        d.onConnected(w.localTimeMs(2), w.localTimeMs(2), "n3", 1, 4711);
        w.runFor(2000);
        List<FailureDetector.Conflict> told = w.members[0].drainConflicts();
        assertEquals(1, told.size(), "once: " + told);
        assertEquals("n3", told.get(0).name());
        assertEquals("n3", w.members[3].drainConflicts().get(0).name(), "the first process is told itself");
    }

    /** What a peer tells of this member itself, to one that has run for a second. */
    private static FailureDetector detectorToldOfItself(long incarnation, MemberStatus standing, double ageMs) {
        FailureDetector d = new FailureDetector("a", 5, 1, LIMITS, 1);
        d.update(List.of("b"));
        d.onConnected(0, 0, "b", 1, 2);
        d.tick(1000);
        SwimMessage.Entry e = new SwimMessage.Entry("a", incarnation, 77, 0, standing, false, ageMs);
        d.onMessage(1000, "b", 1, 2, new SwimMessage(0, 1, 0, 990, 0, List.of(e), List.of()));
        return d;
    }

    @Test
    void laterIncarnationOfItselfIsAnEndedOneIfItWasLastAliveBeforeTheStart() {
        assertEquals(9, detectorToldOfItself(9, MemberStatus.DEAD, -1).endedIncarnation());
        assertEquals(9, detectorToldOfItself(9, MemberStatus.SUSPECT, 2000).endedIncarnation());
        assertEquals(5, detectorToldOfItself(5, MemberStatus.ALIVE, 2000).endedIncarnation());
        assertEquals(
                Long.MIN_VALUE, detectorToldOfItself(4, MemberStatus.DEAD, 2000).endedIncarnation());
        for (double ageMs : new double[] {-1, 500}) {
            FailureDetector second = detectorToldOfItself(9, MemberStatus.ALIVE, ageMs);
            assertEquals(Long.MIN_VALUE, second.endedIncarnation(), "it lives beside this one, age " + ageMs);
            assertEquals(1, second.drainConflicts().size());
        }
        FailureDetector renewed = detectorToldOfItself(9, MemberStatus.DEAD, -1);
        renewed.beginIncarnation(10);
        assertEquals(Long.MIN_VALUE, renewed.endedIncarnation());
        assertTrue(renewed.drainConflicts().isEmpty());
    }

    @Test
    void onlyAGreaterRefutationNumberRevivesADeadMember() {
        FailureDetector d = new FailureDetector("a", 1, 1, LIMITS, 1);
        d.update(List.of("b"));
        d.onConnected(0, 0, "b", 1, 2);
        int sent = 0;
        double now = 0;
        while (d.status("b") != MemberStatus.DEAD) {
            now += LIMITS.heartbeatMs();
            sent = d.tick(now).get(0).message().sequence();
        }
        assertEquals(LIMITS.deadAfterMs(), now, LIMITS.heartbeatMs());
        d.onMessage(now + 10, "b", 1, 2, new SwimMessage(0, 1, sent, 5, 0, List.of(), List.of()));
        assertEquals(MemberStatus.DEAD, d.status("b"), "it does not know yet that it was held gone");
        d.onMessage(now + 20, "b", 1, 2, new SwimMessage(0, 2, sent, 15, 1, List.of(), List.of()));
        assertEquals(MemberStatus.ALIVE, d.status("b"));
    }
}
