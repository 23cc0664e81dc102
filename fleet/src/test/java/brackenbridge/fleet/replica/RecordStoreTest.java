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

class RecordStoreTest {
    private static final RecordKey ITEM = new RecordKey(RecordSpace.SERVERS, "h");

    private static RecordStore store(String me, long life) {
        return new RecordStore(me, life, life + 1, false);
    }

    private static void pull(RecordStore to, RecordStore from) {
        from.summaries(from.owners(), 0).forEach(m -> to.merge(m, 0));
        for (String o : from.owners()) {
            for (long l : from.incarnations(o)) {
                ReplicationMessage.LogChunk c = from.answer(to.createRequest(o, l), 1 << 20);
                if (c != null) {
                    to.merge(c, 0);
                }
            }
        }
    }

    @Test
    void twoWritersOfOneLifeArePutAsideByAllUntilALaterLife() {
        RecordStore one = new RecordStore("a", 5, 101, false);
        RecordStore two = new RecordStore("a", 5, 202, false);
        RecordStore b = store("b", 1);
        RecordStore c = store("c", 1);
        one.put(RecordSpace.SERVERS, "h", "1".getBytes(UTF_8), 0);
        two.put(RecordSpace.SERVERS, "h", "2".getBytes(UTF_8), 0);
        pull(b, one);
        pull(c, two);
        assertEquals(1, b.readAll(RecordSpace.SERVERS, 0).size());
        pull(b, c);
        assertTrue(b.readAll(RecordSpace.SERVERS, 0).isEmpty());
        assertTrue(b.drainAlarms().toString().contains("65 and ca"), "both processes are named");
        // Whoever hears of it from b puts it aside as well, the writers themselves included.
        pull(c, b);
        pull(one, b);
        assertTrue(c.readAll(RecordSpace.SERVERS, 0).isEmpty());
        assertNotNull(one.quarantineReason("a"));
        assertFalse(one.put(RecordSpace.SERVERS, "h", "3".getBytes(UTF_8), 0));
        RecordStore later = new RecordStore("a", 6, 303, false);
        later.put(RecordSpace.SERVERS, "h", "4".getBytes(UTF_8), 0);
        pull(b, later);
        assertNull(b.quarantineReason("a"));
        assertEquals("4", new String(b.readAll(RecordSpace.SERVERS, 0).get(0).value(), UTF_8));
    }

    @Test
    void oneWriteWithTwoContentsIsFoundThoughBothGiveOneNonce() {
        RecordStore one = new RecordStore("a", 5, 101, false);
        RecordStore two = new RecordStore("a", 5, 101, false);
        RecordStore b = store("b", 1);
        one.put(RecordSpace.SERVERS, "h", "1".getBytes(UTF_8), 0);
        two.put(RecordSpace.SERVERS, "h", "2".getBytes(UTF_8), 0);
        pull(b, one);
        b.merge(two.answer(new ReplicationMessage.LogRequest("a", 5, 0, 0, 0), 1000), 0);
        assertNotNull(b.quarantineReason("a"));
        String alarm = b.drainAlarms().toString();
        assertTrue(alarm.contains("=1") && alarm.contains("=2"), alarm);
    }

    @Test
    void whoHearsOfALaterLifeOfItsOwnTakesTheNextBeforeItWritesAndStandsAsideAfter() {
        RecordStore peer = store("b", 1);
        RecordStore before = store("a", 9);
        before.add(RecordSpace.USED, "k", 3, 0);
        pull(peer, before);
        RecordStore old = store("a", 4);
        pull(old, peer);
        assertEquals(10, old.incarnation());
        assertTrue(old.add(RecordSpace.USED, "k", 1, 0));
        assertEquals(4, old.sum(RecordSpace.USED, "k"));
        pull(peer, old);
        pull(before, peer);
        assertNotNull(before.quarantineReason("a"), "the process that still runs under that name stands aside");
    }

    private static ReplicationMessage.OwnerSummary markOfA(long life, long ageMs) {
        return new ReplicationMessage.OwnerSummary("a", life, 77, 3, 5, 5, ageMs, false);
    }

    @Test
    void whatWasWrittenBeforeAnybodyWasToldGoesOnInTheLifeAfterItsPast() {
        RecordStore a = store("a", 4);
        a.startSilently(10_000);
        a.put(RecordSpace.SERVERS, "h", "1".getBytes(UTF_8), 10_000);
        a.put(RecordSpace.SERVERS, "x", "1".getBytes(UTF_8), 10_000);
        a.remove(RecordSpace.SERVERS, "x", 10_000);
        a.add(RecordSpace.USED, "k", 3, 10_000);
        assertTrue(a.merge(markOfA(9, 500), 11_000));
        assertEquals(10, a.incarnation());
        assertNull(a.quarantineReason("a"));
        assertEquals(List.of(10L), a.incarnations("a"));
        assertEquals(1, a.readAll(RecordSpace.SERVERS, 11_000).size());
        assertEquals(3, a.sum(RecordSpace.USED, "k"));
        assertFalse(a.merge(markOfA(9, 500), 12_000), "it is heard of again");
        RecordStore b = store("b", 1);
        pull(b, a);
        assertEquals("1", new String(b.readAll(RecordSpace.SERVERS, 0).get(0).value(), UTF_8));
        assertEquals(3, b.sum(RecordSpace.USED, "k"));
    }

    @Test
    void lifeThatGaveNoSignSinceThisProcessBeganIsItsPastThoughItsWritesAreTold() {
        RecordStore a = store("a", 4);
        RecordStore b = store("b", 1);
        a.startSilently(10_000);
        a.put(RecordSpace.SERVERS, "h", "1".getBytes(UTF_8), 10_000);
        a.add(RecordSpace.USED, "k", 3, 10_000);
        a.startAnnouncing();
        pull(b, a);
        assertTrue(a.merge(markOfA(9, 2000), 11_000));
        assertEquals(10, a.incarnation());
        assertTrue(a.add(RecordSpace.USED, "k", 1, 11_000));
        assertEquals(4, a.sum(RecordSpace.USED, "k"), "the earlier part stays, as one of an ended life");
        pull(b, a);
        assertEquals(4, b.sum(RecordSpace.USED, "k"));
        assertEquals(1, b.readAll(RecordSpace.SERVERS, 0).size());
        // One that gave a sign since is another process: two must not write under one name.
        assertTrue(a.merge(markOfA(12, 500), 11_000));
        assertNotNull(a.quarantineReason("a"));
        assertEquals(10, a.incarnation());
    }

    @Test
    void ageIsCountedFromTheOwnersSignOverAllWaysAndHoldsOnlyWhatIsHere() {
        RecordStore a = store("a", 1);
        RecordStore b = store("b", 1);
        a.put(RecordSpace.SERVERS, "h", "1".getBytes(UTF_8), 0);
        a.incrementHeartbeat();
        ReplicationMessage.OwnerSummary first = a.summaries(List.of("a"), 0).get(0);
        b.merge(a.answer(b.createRequest("a", 1), 1000), 100);
        b.merge(new ReplicationMessage.OwnerSummary("a", 1, first.nonce(), first.heartbeat(), 1, 1, 250, false), 1000);
        assertEquals(250, b.read("a", RecordSpace.SERVERS, "h", 1000).ageMs());
        // It has written again, which is not here: the record is as old as the last sign at which it was the last.
        b.merge(
                new ReplicationMessage.OwnerSummary("a", 1, first.nonce(), first.heartbeat() + 5, 2, 2, 10, false),
                2000);
        assertEquals(10, b.heartbeatAgeMs("a", 2000));
        assertEquals(1250, b.read("a", RecordSpace.SERVERS, "h", 2000).ageMs());
        assertFalse(b.read("a", RecordSpace.SERVERS, "h", 20_000).isFresh(RecordSpace.SERVERS));
    }

    @Test
    void removalsAreForgottenWithinBoundsAndNothingComesBack() {
        RecordStore a = store("a", 1);
        RecordStore late = store("b", 1);
        RecordStore other = store("c", 1);
        a.put(RecordSpace.SERVERS, "h", "1".getBytes(UTF_8), 0);
        pull(late, a);
        for (int i = 0; i < 5000; i++) {
            a.put(RecordSpace.SERVERS, "x" + i, "1".getBytes(UTF_8), 0);
            a.remove(RecordSpace.SERVERS, "x" + i, 0);
        }
        a.remove(RecordSpace.SERVERS, "h", 0);
        a.put(RecordSpace.SERVERS, "y", "1".getBytes(UTF_8), 0);
        a.forgetTombstones(1000, 60_000);
        assertTrue(a.records("a", 1).size() <= OwnerLog.MAX_TOMBSTONES + 1, "bounded by number");
        a.forgetTombstones(100_000, 60_000);
        assertEquals(1, a.records("a", 1).size());
        pull(other, late);
        pull(late, a);
        pull(other, a);
        for (RecordStore s : List.of(late, other)) {
            assertEquals(
                    a.readAll(RecordSpace.SERVERS, 0).stream()
                            .map(Replica.ReadRecord::key)
                            .toList(),
                    s.readAll(RecordSpace.SERVERS, 0).stream()
                            .map(Replica.ReadRecord::key)
                            .toList());
        }
    }

    @Test
    void manyLivesAreFoldedAndTheSumStays() {
        List<RecordStore> peers = new ArrayList<>(List.of(store("b", 1), store("c", 1)));
        long sum = 0;
        for (int life = 1; life <= 60; life++) {
            RecordStore a = store("a", life);
            peers.forEach(p -> pull(a, p));
            assertEquals(sum, a.sum(RecordSpace.USED, "k"));
            a.add(RecordSpace.USED, "k", life, 0);
            sum += life;
            peers.forEach(p -> pull(p, a));
            if (life % 10 == 0) {
                a.foldCounters(life, 0);
                peers.forEach(p -> pull(p, a));
                assertEquals(1, peers.get(0).incarnations("a").size());
            }
        }
        assertEquals(sum, peers.get(1).sum(RecordSpace.USED, "k"));
    }

    /** Three copies, of which one has a byte flipped at random: found by digests alone, made one, with both values. */
    @Test
    void aSilentlyCorruptedCopyIsFoundAndMendedWithoutAReader() {
        SplittableRandom random = new SplittableRandom(3);
        for (int round = 0; round < 20; round++) {
            RecordStore a = store("a", 1);
            RecordStore b = store("b", 1);
            for (int i = 0; i < 50; i++) {
                a.put(RecordSpace.SERVERS, "h" + i, ("value " + i).getBytes(UTF_8), 0);
            }
            pull(b, a);
            // Values are shared in memory here: b gets its own, as it would from a wire.
            for (ReplicatedRecord e : b.records("a", 1)) {
                b.repair(
                        "a",
                        1,
                        e.recordKey(),
                        new ReplicatedRecord(
                                e.space(), e.key(), e.version(), e.value().clone(), 0, 0, e.checksum()),
                        0);
            }
            ReplicatedRecord hit = b.records("a", 1).get(random.nextInt(50));
            hit.value()[random.nextInt(hit.value().length)] ^= (byte) (1 << random.nextInt(8));
            AntiEntropy da = new AntiEntropy(a);
            AntiEntropy db = new AntiEntropy(b);
            compare(da, db);
            assertEquals(1, db.totalDifferences());
            assertEquals(
                    AntiEntropy.Verdict.TOOK_THEIRS,
                    db.recentDifferences().get(0).verdict());
            assertTrue(db.recentDifferences().get(0).mine().contains("not what was written"));
            compare(da, db);
            assertEquals(1, db.totalDifferences());
            assertEquals(0, db.openLogs());
            assertEquals(a.records("a", 1).toString(), b.records("a", 1).toString());
        }
    }

    private static void compare(AntiEntropy a, AntiEntropy b) {
        for (ReplicationMessage r : b.onDigests("a", a.nextDigests("b"))) {
            for (ReplicationMessage c : a.onRanges("b", (ReplicationMessage.RangeDigests) r)) {
                for (ReplicationMessage back : b.onCopies("a", (ReplicationMessage.RangeRecords) c, 0)) {
                    a.onCopies("b", (ReplicationMessage.RangeRecords) back, 0);
                }
            }
        }
    }

    @Test
    void aCopyThatStillDiffersFromItsOwnersIsOutOfDecisionUntilItCameWhole() {
        RecordStore a = store("a", 1);
        RecordStore b = store("b", 1);
        a.put(RecordSpace.SERVERS, "h", "1".getBytes(UTF_8), 0);
        pull(b, a);
        AntiEntropy da = new AntiEntropy(a);
        AntiEntropy db = new AntiEntropy(b);
        for (int i = 0; i < AntiEntropy.MAX_MISMATCHES; i++) {
            assertFalse(db.outOfDecision());
            // What the rule mends, something breaks again.
            b.repair("a", 1, ITEM, null, 0);
            db.onRanges(
                    "a",
                    da.onDigests("b", db.nextDigests("a")).stream()
                            .map(m -> (ReplicationMessage.RangeDigests) m)
                            .findFirst()
                            .orElseThrow());
        }
        assertTrue(db.outOfDecision());
        assertEquals(0, b.appliedSequence("a", 1).orElseThrow());
        pull(b, a);
        db.onDigests("a", da.nextDigests("b"));
        assertFalse(db.outOfDecision());
    }
}
