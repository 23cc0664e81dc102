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
    private static final class World {
        final int size;
        final Random random;
        final FailureDetector[] members;
        final long[] lives;
        final double[] stoppedUntil;
        final double[] offset;
        final List<String> names = new ArrayList<>();
        final PriorityQueue<Event> events = new PriorityQueue<>();
        /** Each change: who holds it, of whom, what, when. */
        final List<Seen> seen = new ArrayList<>();

        double now;
        double loss;
        double delayMs = 1;
        BiPredicate<Integer, Integer> cut = (from, to) -> false;
        long order;

        record Seen(int by, int of, MemberStatus standing, double at) {}

        record Event(double at, long order, Runnable work) implements Comparable<Event> {
            @Override
            public int compareTo(Event o) {
                return at != o.at ? Double.compare(at, o.at) : Long.compare(order, o.order);
            }
        }

        World(int size, long seed) {
            this.size = size;
            random = new Random(seed);
            members = new FailureDetector[size];
            lives = new long[size];
            stoppedUntil = new double[size];
            offset = new double[size];
            for (int i = 0; i < size; i++) {
                names.add("n" + i);
            }
            for (int i = 0; i < size; i++) {
                begin(i, 1);
            }
            for (int i = 0; i < size; i++) {
                for (int j = 0; j < size; j++) {
                    link(i, j);
                }
            }
        }

        void begin(int i, long life) {
            lives[i] = life;
            offset[i] = random.nextDouble() * 1e6;
            FailureDetector d = new FailureDetector(names.get(i), life, instance(i, life), LIMITS, random.nextLong());
            d.update(names);
            members[i] = d;
            in(random.nextDouble() * LIMITS.heartbeatMs(), () -> tick(i, d));
        }

        static long instance(int i, long life) {
            return 1000L * (i + 1) + life;
        }

        void link(int i, int j) {
            if (i != j) {
                send(i, members[i].onConnected(local(i), local(i) - 1, names.get(j), lives[j], instance(j, lives[j])));
                note(i);
            }
        }

        double local(int i) {
            return now + offset[i];
        }

        void in(double ms, Runnable work) {
            events.add(new Event(now + ms, order++, work));
        }

        void tick(int i, FailureDetector d) {
            if (members[i] != d) {
                return;
            }
            if (now < stoppedUntil[i]) {
                in(stoppedUntil[i] - now, () -> tick(i, d));
                return;
            }
            send(i, d.tick(local(i)));
            note(i);
            in(LIMITS.heartbeatMs(), () -> tick(i, d));
        }

        void send(int i, List<FailureDetector.Outgoing> out) {
            for (FailureDetector.Outgoing o : out) {
                int j = names.indexOf(o.to());
                if (random.nextDouble() >= loss && !cut.test(i, j)) {
                    byte[] wire = o.message().encode();
                    long life = lives[i];
                    FailureDetector target = members[j];
                    in(delayMs * (0.5 + random.nextDouble()), () -> take(j, target, i, life, wire));
                }
            }
        }

        void take(int j, FailureDetector target, int from, long life, byte[] wire) {
            if (members[j] != target) {
                return;
            }
            if (now < stoppedUntil[j]) {
                in(stoppedUntil[j] - now, () -> take(j, target, from, life, wire));
                return;
            }
            try {
                send(
                        j,
                        target.onMessage(
                                local(j), names.get(from), life, instance(from, life), SwimMessage.decode(wire)));
            } catch (WireException e) {
                throw new AssertionError(e);
            }
            note(j);
        }

        void note(int i) {
            for (FailureDetector.Change c : members[i].drainChanges()) {
                seen.add(new Seen(i, names.indexOf(c.peer()), c.status(), now));
            }
        }

        void end(int i) {
            members[i] = null;
            for (int j = 0; j < size; j++) {
                if (members[j] != null) {
                    members[j].onDisconnected(names.get(i));
                }
            }
        }

        void run(double ms) {
            double until = now + ms;
            while (!events.isEmpty() && events.peek().at() <= until) {
                Event e = events.poll();
                now = e.at();
                e.work().run();
            }
            now = until;
        }

        long count(MemberStatus standing) {
            return seen.stream().filter(s -> s.standing() == standing).count();
        }

        void awaitAll(int of, MemberStatus standing) {
            for (int i = 0; i < size; i++) {
                if (i != of && members[i] != null) {
                    assertEquals(standing, members[i].status(names.get(of)), names.get(i) + " of " + names.get(of));
                }
            }
        }
    }

    @Test
    void deadMemberIsGoneForAllWithinItsBoundAndNoOther() {
        List<Double> took = new ArrayList<>();
        long wrong = 0;
        for (long seed = 0; seed < 300; seed++) {
            World w = new World(2 + (int) (seed % 11), seed);
            w.loss = seed % 3 * 0.15;
            w.run(5000 + seed);
            double died = w.now;
            w.end(0);
            w.run(2 * LIMITS.deadAfterMs() + 3 * LIMITS.heartbeatMs());
            w.awaitAll(0, MemberStatus.DEAD);
            for (World.Seen s : w.seen) {
                if (s.standing() == MemberStatus.DEAD) {
                    assertEquals(0, s.of(), "a live one is gone, seed " + seed);
                    took.add(s.at() - died);
                } else if (s.standing() == MemberStatus.SUSPECT && s.of() != 0) {
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
    void memberThatOneOtherHearsIsGoneForNobody() {
        for (long seed = 0; seed < 100; seed++) {
            World w = new World(3 + (int) (seed % 12), seed);
            w.run(3000);
            int friend = 1 + (int) (seed % (w.size - 1));
            w.cut = (from, to) -> from == 0 && to != friend || to == 0 && from != friend;
            w.run(20_000);
            w.awaitAll(0, MemberStatus.ALIVE);
            assertEquals(0, w.count(MemberStatus.DEAD), "seed " + seed);
        }
    }

    @Test
    void oneWayLossIsSeenBySenderAndDoesNotKill() {
        for (long seed = 0; seed < 100; seed++) {
            World w = new World(3 + (int) (seed % 10), seed);
            w.run(3000);
            w.cut = (from, to) -> from == 0 && to == 1;
            w.run(10_000);
            assertTrue(w.members[0].unheardForMs("n1") > 9000, "n0 knows that n1 does not hear it");
            assertEquals(1, w.members[0].countOneWay());
            assertEquals(0, w.members[1].unheardForMs("n0"));
            assertEquals(MemberStatus.ALIVE, w.members[1].status("n0"));
            assertEquals(MemberStatus.ALIVE, w.members[0].status("n1"));
            assertEquals(0, w.count(MemberStatus.DEAD));
            w.cut = (from, to) -> false;
            w.run(1000);
            assertEquals(0, w.members[0].countOneWay());
        }
    }

    @Test
    void slowAndLossyLinesAreNoDeath() {
        for (long seed = 0; seed < 30; seed++) {
            World w = new World(4 + (int) (seed % 9), seed);
            w.delayMs = 250;
            w.loss = 0.3;
            w.run(60_000);
            assertEquals(0, w.count(MemberStatus.DEAD), "seed " + seed);
        }
    }

    @Test
    void memberThatStoodStillTakesNobodyForDeadAndRefutes() {
        for (long seed = 0; seed < 100; seed++) {
            World w = new World(3 + (int) (seed % 10), seed);
            w.run(3000);
            w.stoppedUntil[0] = w.now + 10_000 + seed * 50;
            w.run(9_900);
            w.awaitAll(0, MemberStatus.DEAD);
            w.run(8_000);
            for (World.Seen s : w.seen) {
                assertTrue(s.by() != 0 || s.standing() == MemberStatus.ALIVE, "it doubts others: " + s);
            }
            w.awaitAll(0, MemberStatus.ALIVE);
            assertTrue(w.members[0].refutations() > 0);
            assertTrue(w.members[0].pauses() > 0);
        }
    }

    @Test
    void beatsThatStoodInTheLineDoNotKeepTheDeadAlive() {
        World w = new World(2, 5);
        w.run(3000);
        w.delayMs = 2600;
        w.run(500);
        // The beats of this half second arrive from 1.3 to 3.9 s after their sending, when their sender has ended.
        double died = w.now;
        w.end(0);
        w.run(LIMITS.deadAfterMs() + 3 * LIMITS.heartbeatMs());
        assertEquals(MemberStatus.DEAD, w.members[1].status("n0"), "by " + (w.now - died));
        w.run(10_000);
        assertEquals(MemberStatus.DEAD, w.members[1].status("n0"));
    }

    @Test
    void laterLifeComesBackAndHalvesFindEachOther() {
        for (long seed = 0; seed < 50; seed++) {
            World w = new World(6, seed);
            w.run(2000);
            w.cut = (from, to) -> from < 3 != to < 3;
            w.run(12_000);
            assertEquals(3, w.members[0].count(MemberStatus.DEAD));
            w.cut = (from, to) -> false;
            w.run(2000);
            assertEquals(5, w.members[0].count(MemberStatus.ALIVE));
            w.end(2);
            w.run(10_000);
            w.begin(2, 2);
            // Only one other has a link with the new life: the rest hear of it.
            w.link(2, 4);
            w.link(4, 2);
            w.run(2000);
            w.awaitAll(2, MemberStatus.ALIVE);
            assertEquals(2, w.members[0].lifeOf("n2"));
        }
    }

    @Test
    void twoProcessesOfOneNameAreFoundWithoutMeetingOneMember() {
        World w = new World(4, 1);
        w.run(2000);
        // n3 lives on at n0 and n1; a copy of it, of the same life, has linked with n2 only.
        w.members[2] = new FailureDetector("n2", 2, World.instance(2, 2), LIMITS, 9);
        w.members[2].update(w.names);
        w.lives[2] = 2;
        FailureDetector d = w.members[2];
        w.in(1, () -> w.tick(2, d));
        for (int i = 0; i < 2; i++) {
            w.link(2, i);
            w.link(i, 2);
        }
        d.onConnected(w.local(2), w.local(2), "n3", 1, 4711);
        w.run(2000);
        List<FailureDetector.Conflict> told = w.members[0].drainConflicts();
        assertEquals(1, told.size(), "once: " + told);
        assertEquals("n3", told.get(0).name());
        assertEquals("n3", w.members[3].drainConflicts().get(0).name(), "the first process is told itself");
    }

    /** What a peer tells of this member itself, to one that has run for a second. */
    private static FailureDetector toldOfItself(long life, MemberStatus standing, double ageMs) {
        FailureDetector d = new FailureDetector("a", 5, 1, LIMITS, 1);
        d.update(List.of("b"));
        d.onConnected(0, 0, "b", 1, 2);
        d.tick(1000);
        SwimMessage.Entry e = new SwimMessage.Entry("a", life, 77, 0, standing, false, ageMs);
        d.onMessage(1000, "b", 1, 2, new SwimMessage(0, 1, 0, 990, 0, List.of(e), List.of()));
        return d;
    }

    @Test
    void laterLifeOfItselfIsItsPastIfItEndedBeforeThisProcessBegan() {
        assertEquals(9, toldOfItself(9, MemberStatus.DEAD, -1).endedLife());
        assertEquals(9, toldOfItself(9, MemberStatus.SUSPECT, 2000).endedLife());
        assertEquals(5, toldOfItself(5, MemberStatus.ALIVE, 2000).endedLife());
        assertEquals(Long.MIN_VALUE, toldOfItself(4, MemberStatus.DEAD, 2000).endedLife());
        for (double ageMs : new double[] {-1, 500}) {
            FailureDetector second = toldOfItself(9, MemberStatus.ALIVE, ageMs);
            assertEquals(Long.MIN_VALUE, second.endedLife(), "it lives beside this one, age " + ageMs);
            assertEquals(1, second.drainConflicts().size());
        }
        FailureDetector renewed = toldOfItself(9, MemberStatus.DEAD, -1);
        renewed.beginLife(10);
        assertEquals(Long.MIN_VALUE, renewed.endedLife());
        assertTrue(renewed.drainConflicts().isEmpty());
    }

    @Test
    void goneEndsByAGreaterIncarnationOnly() {
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
