package brackenbridge.fleet.replica;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class StoreTest {
    private static final Item ITEM = new Item(Space.SERVERS, "h");

    private static Store store(String me, long life) {
        return new Store(me, life, life + 1, false);
    }

    private static void pull(Store to, Store from) {
        from.marks(from.owners(), 0).forEach(m -> to.took(m, 0));
        for (String o : from.owners()) {
            for (long l : from.lives(o)) {
                Message.Chunk c = from.since(to.want(o, l), 1 << 20);
                if (c != null) {
                    to.took(c, 0);
                }
            }
        }
    }

    @Test
    void twoWritersOfOneLifeArePutAsideByAllUntilALaterLife() {
        Store one = new Store("a", 5, 101, false);
        Store two = new Store("a", 5, 202, false);
        Store b = store("b", 1);
        Store c = store("c", 1);
        one.put(Space.SERVERS, "h", "1".getBytes(UTF_8), 0);
        two.put(Space.SERVERS, "h", "2".getBytes(UTF_8), 0);
        pull(b, one);
        pull(c, two);
        assertEquals(1, b.seen(Space.SERVERS, 0).size());
        pull(b, c);
        assertTrue(b.seen(Space.SERVERS, 0).isEmpty());
        assertTrue(b.alarms().toString().contains("65 and ca"), "both processes are named");
        // Whoever hears of it from b puts it aside as well, the writers themselves included.
        pull(c, b);
        pull(one, b);
        assertTrue(c.seen(Space.SERVERS, 0).isEmpty());
        assertNotNull(one.aside("a"));
        assertFalse(one.put(Space.SERVERS, "h", "3".getBytes(UTF_8), 0));
        Store later = new Store("a", 6, 303, false);
        later.put(Space.SERVERS, "h", "4".getBytes(UTF_8), 0);
        pull(b, later);
        assertNull(b.aside("a"));
        assertEquals("4", new String(b.seen(Space.SERVERS, 0).get(0).value(), UTF_8));
    }

    @Test
    void oneWriteWithTwoContentsIsFoundThoughBothGiveOneNonce() {
        Store one = new Store("a", 5, 101, false);
        Store two = new Store("a", 5, 101, false);
        Store b = store("b", 1);
        one.put(Space.SERVERS, "h", "1".getBytes(UTF_8), 0);
        two.put(Space.SERVERS, "h", "2".getBytes(UTF_8), 0);
        pull(b, one);
        b.took(two.since(new Message.Want("a", 5, 0, 0, 0), 1000), 0);
        assertNotNull(b.aside("a"));
        String alarm = b.alarms().toString();
        assertTrue(alarm.contains("=1") && alarm.contains("=2"), alarm);
    }

    @Test
    void whoHearsOfALaterLifeOfItsOwnTakesTheNextBeforeItWritesAndStandsAsideAfter() {
        Store peer = store("b", 1);
        Store before = store("a", 9);
        before.add(Space.USED, "k", 3, 0);
        pull(peer, before);
        Store old = store("a", 4);
        pull(old, peer);
        assertEquals(10, old.life());
        assertTrue(old.add(Space.USED, "k", 1, 0));
        assertEquals(4, old.sum(Space.USED, "k"));
        pull(peer, old);
        pull(before, peer);
        assertNotNull(before.aside("a"), "the process that still runs under that name stands aside");
    }

    private static Message.Mark markOfA(long life, long ageMs) {
        return new Message.Mark("a", life, 77, 3, 5, 5, ageMs, false);
    }

    @Test
    void whatWasWrittenBeforeAnybodyWasToldGoesOnInTheLifeAfterItsPast() {
        Store a = store("a", 4);
        a.begins(10_000);
        a.put(Space.SERVERS, "h", "1".getBytes(UTF_8), 10_000);
        a.put(Space.SERVERS, "x", "1".getBytes(UTF_8), 10_000);
        a.remove(Space.SERVERS, "x", 10_000);
        a.add(Space.USED, "k", 3, 10_000);
        assertTrue(a.took(markOfA(9, 500), 11_000));
        assertEquals(10, a.life());
        assertNull(a.aside("a"));
        assertEquals(List.of(10L), a.lives("a"));
        assertEquals(1, a.seen(Space.SERVERS, 11_000).size());
        assertEquals(3, a.sum(Space.USED, "k"));
        assertFalse(a.took(markOfA(9, 500), 12_000), "it is heard of again");
        Store b = store("b", 1);
        pull(b, a);
        assertEquals("1", new String(b.seen(Space.SERVERS, 0).get(0).value(), UTF_8));
        assertEquals(3, b.sum(Space.USED, "k"));
    }

    @Test
    void lifeThatGaveNoSignSinceThisProcessBeganIsItsPastThoughItsWritesAreTold() {
        Store a = store("a", 4);
        Store b = store("b", 1);
        a.begins(10_000);
        a.put(Space.SERVERS, "h", "1".getBytes(UTF_8), 10_000);
        a.add(Space.USED, "k", 3, 10_000);
        a.tells();
        pull(b, a);
        assertTrue(a.took(markOfA(9, 2000), 11_000));
        assertEquals(10, a.life());
        assertTrue(a.add(Space.USED, "k", 1, 11_000));
        assertEquals(4, a.sum(Space.USED, "k"), "the earlier part stays, as one of an ended life");
        pull(b, a);
        assertEquals(4, b.sum(Space.USED, "k"));
        assertEquals(1, b.seen(Space.SERVERS, 0).size());
        // One that gave a sign since is another process: two must not write under one name.
        assertTrue(a.took(markOfA(12, 500), 11_000));
        assertNotNull(a.aside("a"));
        assertEquals(10, a.life());
    }

    @Test
    void ageIsCountedFromTheOwnersSignOverAllWaysAndHoldsOnlyWhatIsHere() {
        Store a = store("a", 1);
        Store b = store("b", 1);
        a.put(Space.SERVERS, "h", "1".getBytes(UTF_8), 0);
        a.beat();
        Message.Mark first = a.marks(List.of("a"), 0).get(0);
        b.took(a.since(b.want("a", 1), 1000), 100);
        b.took(new Message.Mark("a", 1, first.nonce(), first.beat(), 1, 1, 250, false), 1000);
        assertEquals(250, b.seen("a", Space.SERVERS, "h", 1000).heardMs());
        // It has written again, which is not here: the record is as old as the last sign at which it was the last.
        b.took(new Message.Mark("a", 1, first.nonce(), first.beat() + 5, 2, 2, 10, false), 2000);
        assertEquals(10, b.heardMs("a", 2000));
        assertEquals(1250, b.seen("a", Space.SERVERS, "h", 2000).heardMs());
        assertFalse(b.seen("a", Space.SERVERS, "h", 20_000).fresh(Space.SERVERS));
    }

    @Test
    void removalsAreForgottenWithinBoundsAndNothingComesBack() {
        Store a = store("a", 1);
        Store late = store("b", 1);
        Store other = store("c", 1);
        a.put(Space.SERVERS, "h", "1".getBytes(UTF_8), 0);
        pull(late, a);
        for (int i = 0; i < 5000; i++) {
            a.put(Space.SERVERS, "x" + i, "1".getBytes(UTF_8), 0);
            a.remove(Space.SERVERS, "x" + i, 0);
        }
        a.remove(Space.SERVERS, "h", 0);
        a.put(Space.SERVERS, "y", "1".getBytes(UTF_8), 0);
        a.forget(1000, 60_000);
        assertTrue(a.all("a", 1).size() <= Part.MOST_REMOVALS + 1, "bounded by number");
        a.forget(100_000, 60_000);
        assertEquals(1, a.all("a", 1).size());
        pull(other, late);
        pull(late, a);
        pull(other, a);
        for (Store s : List.of(late, other)) {
            assertEquals(
                    a.seen(Space.SERVERS, 0).stream().map(Replica.Seen::key).toList(),
                    s.seen(Space.SERVERS, 0).stream().map(Replica.Seen::key).toList());
        }
    }

    @Test
    void manyLivesAreFoldedAndTheSumStays() {
        List<Store> peers = new ArrayList<>(List.of(store("b", 1), store("c", 1)));
        long sum = 0;
        for (int life = 1; life <= 60; life++) {
            Store a = store("a", life);
            peers.forEach(p -> pull(a, p));
            assertEquals(sum, a.sum(Space.USED, "k"));
            a.add(Space.USED, "k", life, 0);
            sum += life;
            peers.forEach(p -> pull(p, a));
            if (life % 10 == 0) {
                a.fold(life, 0);
                peers.forEach(p -> pull(p, a));
                assertEquals(1, peers.get(0).lives("a").size());
            }
        }
        assertEquals(sum, peers.get(1).sum(Space.USED, "k"));
    }

    /** Three copies, of which one has a byte flipped at random: found by digests alone, made one, with both values. */
    @Test
    void aSilentlyCorruptedCopyIsFoundAndMendedWithoutAReader() {
        SplittableRandom random = new SplittableRandom(3);
        for (int round = 0; round < 20; round++) {
            Store a = store("a", 1);
            Store b = store("b", 1);
            for (int i = 0; i < 50; i++) {
                a.put(Space.SERVERS, "h" + i, ("value " + i).getBytes(UTF_8), 0);
            }
            pull(b, a);
            // Values are shared in memory here: b gets its own, as it would from a wire.
            for (Entry e : b.all("a", 1)) {
                b.mend(
                        "a",
                        1,
                        e.item(),
                        new Entry(e.space(), e.key(), e.version(), e.value().clone(), 0, 0, e.sum()),
                        0);
            }
            Entry hit = b.all("a", 1).get(random.nextInt(50));
            hit.value()[random.nextInt(hit.value().length)] ^= (byte) (1 << random.nextInt(8));
            Differences da = new Differences(a);
            Differences db = new Differences(b);
            compare(da, db);
            assertEquals(1, db.total());
            assertEquals(Differences.Verdict.TOOK_THEIRS, db.found().get(0).verdict());
            assertTrue(db.found().get(0).mine().contains("not what was written"));
            compare(da, db);
            assertEquals(1, db.total());
            assertEquals(0, db.open());
            assertEquals(a.all("a", 1).toString(), b.all("a", 1).toString());
        }
    }

    private static void compare(Differences a, Differences b) {
        for (Message r : b.took("a", a.next("b"))) {
            for (Message c : a.took("b", (Message.Ranges) r)) {
                for (Message back : b.took("a", (Message.Copies) c, 0)) {
                    a.took("b", (Message.Copies) back, 0);
                }
            }
        }
    }

    @Test
    void aCopyThatStillDiffersFromItsOwnersIsOutOfDecisionUntilItCameWhole() {
        Store a = store("a", 1);
        Store b = store("b", 1);
        a.put(Space.SERVERS, "h", "1".getBytes(UTF_8), 0);
        pull(b, a);
        Differences da = new Differences(a);
        Differences db = new Differences(b);
        for (int i = 0; i < Differences.STRIKES; i++) {
            assertFalse(db.outOfDecision());
            // What the rule mends, something breaks again.
            b.mend("a", 1, ITEM, null, 0);
            db.took(
                    "a",
                    da.took("b", db.next("a")).stream()
                            .map(m -> (Message.Ranges) m)
                            .findFirst()
                            .orElseThrow());
        }
        assertTrue(db.outOfDecision());
        assertEquals(0, b.have("a", 1).orElseThrow());
        pull(b, a);
        db.took("a", da.next("b"));
        assertFalse(db.outOfDecision());
    }
}
