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

/** Tests merging, folding, ages, tombstones and repair of the store without a network. */
class RecordStoreTest {
    private static final RecordKey KEY = new RecordKey(RecordSpace.SERVERS, "h");

    private static RecordStore store(String member, long incarnation) {
        return new RecordStore(member, incarnation, incarnation + 1, false);
    }

    private static void replicate(RecordStore target, RecordStore source) {
        source.summaries(source.owners(), 0).forEach(summary -> target.merge(summary, 0));
        for (String owner : source.owners()) {
            for (long incarnation : source.incarnations(owner)) {
                ReplicationMessage.LogChunk chunk = source.answer(target.createRequest(owner, incarnation), 1 << 20);
                if (chunk != null) {
                    target.merge(chunk, 0);
                }
            }
        }
    }

    @Test
    void twoWritersOfOneIncarnationAreQuarantinedUntilALaterOne() {
        RecordStore first = new RecordStore("a", 5, 101, false);
        RecordStore second = new RecordStore("a", 5, 202, false);
        RecordStore storeB = store("b", 1);
        RecordStore storeC = store("c", 1);
        first.put(RecordSpace.SERVERS, "h", "1".getBytes(UTF_8), 0);
        second.put(RecordSpace.SERVERS, "h", "2".getBytes(UTF_8), 0);
        replicate(storeB, first);
        replicate(storeC, second);
        assertEquals(1, storeB.readAll(RecordSpace.SERVERS, 0).size());
        replicate(storeB, storeC);
        assertTrue(storeB.readAll(RecordSpace.SERVERS, 0).isEmpty());
        assertTrue(
                storeB.drainAlarms().toString().contains("65 and ca"),
                "the alarm contains the nonces of both processes");
        // Whoever receives the summary from b quarantines the incarnation as well, including the writers themselves.
        replicate(storeC, storeB);
        replicate(first, storeB);
        assertTrue(storeC.readAll(RecordSpace.SERVERS, 0).isEmpty());
        assertNotNull(first.quarantineReason("a"));
        assertFalse(first.put(RecordSpace.SERVERS, "h", "3".getBytes(UTF_8), 0));
        RecordStore later = new RecordStore("a", 6, 303, false);
        later.put(RecordSpace.SERVERS, "h", "4".getBytes(UTF_8), 0);
        replicate(storeB, later);
        assertNull(storeB.quarantineReason("a"));
        assertEquals(
                "4", new String(storeB.readAll(RecordSpace.SERVERS, 0).get(0).value(), UTF_8));
    }

    @Test
    void conflictingContentsAreDetectedDespiteEqualNonces() {
        RecordStore first = new RecordStore("a", 5, 101, false);
        RecordStore second = new RecordStore("a", 5, 101, false);
        RecordStore storeB = store("b", 1);
        first.put(RecordSpace.SERVERS, "h", "1".getBytes(UTF_8), 0);
        second.put(RecordSpace.SERVERS, "h", "2".getBytes(UTF_8), 0);
        replicate(storeB, first);
        storeB.merge(second.answer(new ReplicationMessage.LogRequest("a", 5, 0, 0, 0), 1000), 0);
        assertNotNull(storeB.quarantineReason("a"));
        String alarm = storeB.drainAlarms().toString();
        assertTrue(alarm.contains("=1") && alarm.contains("=2"), alarm);
    }

    @Test
    void laterOwnIncarnationIsSurpassedBeforeWritingAndQuarantinedAfter() {
        RecordStore peer = store("b", 1);
        RecordStore running = store("a", 9);
        running.add(RecordSpace.USED, "k", 3, 0);
        replicate(peer, running);
        RecordStore restarted = store("a", 4);
        replicate(restarted, peer);
        assertEquals(10, restarted.incarnation());
        assertTrue(restarted.add(RecordSpace.USED, "k", 1, 0));
        assertEquals(4, restarted.sum(RecordSpace.USED, "k"));
        replicate(peer, restarted);
        replicate(running, peer);
        assertNotNull(running.quarantineReason("a"), "the process that still runs under this name is quarantined");
    }

    private static ReplicationMessage.OwnerSummary summaryOfA(long incarnation, long ageMs) {
        return new ReplicationMessage.OwnerSummary("a", incarnation, 77, 3, 5, 5, ageMs, false);
    }

    @Test
    void unannouncedWritesMoveToTheNextIncarnation() {
        RecordStore storeA = store("a", 4);
        storeA.startSilently(10_000);
        storeA.put(RecordSpace.SERVERS, "h", "1".getBytes(UTF_8), 10_000);
        storeA.put(RecordSpace.SERVERS, "x", "1".getBytes(UTF_8), 10_000);
        storeA.remove(RecordSpace.SERVERS, "x", 10_000);
        storeA.add(RecordSpace.USED, "k", 3, 10_000);
        assertTrue(storeA.merge(summaryOfA(9, 500), 11_000));
        assertEquals(10, storeA.incarnation());
        assertNull(storeA.quarantineReason("a"));
        assertEquals(List.of(10L), storeA.incarnations("a"));
        assertEquals(1, storeA.readAll(RecordSpace.SERVERS, 11_000).size());
        assertEquals(3, storeA.sum(RecordSpace.USED, "k"));
        assertFalse(storeA.merge(summaryOfA(9, 500), 12_000), "a repeated summary changes nothing");
        RecordStore storeB = store("b", 1);
        replicate(storeB, storeA);
        assertEquals(
                "1", new String(storeB.readAll(RecordSpace.SERVERS, 0).get(0).value(), UTF_8));
        assertEquals(3, storeB.sum(RecordSpace.USED, "k"));
    }

    @Test
    void incarnationSilentSinceProcessStartIsTreatedAsOwnPast() {
        RecordStore storeA = store("a", 4);
        RecordStore storeB = store("b", 1);
        storeA.startSilently(10_000);
        storeA.put(RecordSpace.SERVERS, "h", "1".getBytes(UTF_8), 10_000);
        storeA.add(RecordSpace.USED, "k", 3, 10_000);
        storeA.startAnnouncing();
        replicate(storeB, storeA);
        assertTrue(storeA.merge(summaryOfA(9, 2000), 11_000));
        assertEquals(10, storeA.incarnation());
        assertTrue(storeA.add(RecordSpace.USED, "k", 1, 11_000));
        assertEquals(4, storeA.sum(RecordSpace.USED, "k"), "the earlier count is kept as that of an ended incarnation");
        replicate(storeB, storeA);
        assertEquals(4, storeB.sum(RecordSpace.USED, "k"));
        assertEquals(1, storeB.readAll(RecordSpace.SERVERS, 0).size());
        // A heartbeat since then came from another process: two must not write under one name.
        assertTrue(storeA.merge(summaryOfA(12, 500), 11_000));
        assertNotNull(storeA.quarantineReason("a"));
        assertEquals(10, storeA.incarnation());
    }

    @Test
    void ageCountsFromTheOwnersHeartbeatAndOnlyForReceivedWrites() {
        RecordStore storeA = store("a", 1);
        RecordStore storeB = store("b", 1);
        storeA.put(RecordSpace.SERVERS, "h", "1".getBytes(UTF_8), 0);
        storeA.incrementHeartbeat();
        ReplicationMessage.OwnerSummary first =
                storeA.summaries(List.of("a"), 0).get(0);
        storeB.merge(storeA.answer(storeB.createRequest("a", 1), 1000), 100);
        storeB.merge(
                new ReplicationMessage.OwnerSummary("a", 1, first.nonce(), first.heartbeat(), 1, 1, 250, false), 1000);
        assertEquals(250, storeB.read("a", RecordSpace.SERVERS, "h", 1000).ageMs());
        // The owner announced a write that is missing here: the record is as old as the last heartbeat before that
        // write.
        storeB.merge(
                new ReplicationMessage.OwnerSummary("a", 1, first.nonce(), first.heartbeat() + 5, 2, 2, 10, false),
                2000);
        assertEquals(10, storeB.heartbeatAgeMs("a", 2000));
        assertEquals(1250, storeB.read("a", RecordSpace.SERVERS, "h", 2000).ageMs());
        assertFalse(storeB.read("a", RecordSpace.SERVERS, "h", 20_000).isFresh(RecordSpace.SERVERS));
    }

    @Test
    void tombstonesAreBoundedAndRemovedRecordsDoNotReturn() {
        RecordStore storeA = store("a", 1);
        RecordStore stale = store("b", 1);
        RecordStore unaware = store("c", 1);
        storeA.put(RecordSpace.SERVERS, "h", "1".getBytes(UTF_8), 0);
        replicate(stale, storeA);
        for (int i = 0; i < 5000; i++) {
            storeA.put(RecordSpace.SERVERS, "x" + i, "1".getBytes(UTF_8), 0);
            storeA.remove(RecordSpace.SERVERS, "x" + i, 0);
        }
        storeA.remove(RecordSpace.SERVERS, "h", 0);
        storeA.put(RecordSpace.SERVERS, "y", "1".getBytes(UTF_8), 0);
        storeA.forgetTombstones(1000, 60_000);
        assertTrue(storeA.records("a", 1).size() <= OwnerLog.MAX_TOMBSTONES + 1, "bounded by number");
        storeA.forgetTombstones(100_000, 60_000);
        assertEquals(1, storeA.records("a", 1).size());
        replicate(unaware, stale);
        replicate(stale, storeA);
        replicate(unaware, storeA);
        for (RecordStore store : List.of(stale, unaware)) {
            assertEquals(
                    storeA.readAll(RecordSpace.SERVERS, 0).stream()
                            .map(Replica.ReadRecord::key)
                            .toList(),
                    store.readAll(RecordSpace.SERVERS, 0).stream()
                            .map(Replica.ReadRecord::key)
                            .toList());
        }
    }

    @Test
    void foldingManyIncarnationsKeepsTheSum() {
        List<RecordStore> peers = new ArrayList<>(List.of(store("b", 1), store("c", 1)));
        long sum = 0;
        for (int incarnation = 1; incarnation <= 60; incarnation++) {
            RecordStore storeA = store("a", incarnation);
            peers.forEach(peer -> replicate(storeA, peer));
            assertEquals(sum, storeA.sum(RecordSpace.USED, "k"));
            storeA.add(RecordSpace.USED, "k", incarnation, 0);
            sum += incarnation;
            peers.forEach(peer -> replicate(peer, storeA));
            if (incarnation % 10 == 0) {
                storeA.foldCounters(incarnation, 0);
                peers.forEach(peer -> replicate(peer, storeA));
                assertEquals(1, peers.get(0).incarnations("a").size());
            }
        }
        assertEquals(sum, peers.get(1).sum(RecordSpace.USED, "k"));
    }

    /**
     * Guards against corruption that no read reveals: a random bit of one copy is flipped. Digests must find the
     * record, the owner's copy must replace it, and the difference must report the checksum mismatch.
     */
    @Test
    void silentCorruptionIsDetectedAndRepairedWithoutReads() {
        SplittableRandom random = new SplittableRandom(3);
        for (int round = 0; round < 20; round++) {
            RecordStore storeA = store("a", 1);
            RecordStore storeB = store("b", 1);
            for (int i = 0; i < 50; i++) {
                storeA.put(RecordSpace.SERVERS, "h" + i, ("value " + i).getBytes(UTF_8), 0);
            }
            replicate(storeB, storeA);
            // Both stores share the values in memory: b gets its own copies, as it would over a network.
            for (ReplicatedRecord record : storeB.records("a", 1)) {
                storeB.repair(
                        "a",
                        1,
                        record.recordKey(),
                        new ReplicatedRecord(
                                record.space(),
                                record.key(),
                                record.version(),
                                record.value().clone(),
                                0,
                                0,
                                record.checksum()),
                        0);
            }
            ReplicatedRecord corrupted = storeB.records("a", 1).get(random.nextInt(50));
            corrupted.value()[random.nextInt(corrupted.value().length)] ^= (byte) (1 << random.nextInt(8));
            AntiEntropy ofOwner = new AntiEntropy(storeA);
            AntiEntropy ofCopy = new AntiEntropy(storeB);
            runAntiEntropy(ofOwner, ofCopy);
            assertEquals(1, ofCopy.totalDifferences());
            assertEquals(
                    AntiEntropy.Verdict.TOOK_THEIRS,
                    ofCopy.recentDifferences().get(0).verdict());
            assertTrue(ofCopy.recentDifferences().get(0).mine().contains("checksum mismatch"));
            runAntiEntropy(ofOwner, ofCopy);
            assertEquals(1, ofCopy.totalDifferences());
            assertEquals(0, ofCopy.countDifferingLogs());
            assertEquals(
                    storeA.records("a", 1).toString(), storeB.records("a", 1).toString());
        }
    }

    private static void runAntiEntropy(AntiEntropy ofOwner, AntiEntropy ofCopy) {
        for (ReplicationMessage ranges : ofCopy.onDigests("a", ofOwner.nextDigests("b"))) {
            for (ReplicationMessage records : ofOwner.onRangeDigests("b", (ReplicationMessage.RangeDigests) ranges)) {
                for (ReplicationMessage reply :
                        ofCopy.onRangeRecords("a", (ReplicationMessage.RangeRecords) records, 0)) {
                    ofOwner.onRangeRecords("b", (ReplicationMessage.RangeRecords) reply, 0);
                }
            }
        }
    }

    @Test
    void copyThatStillDiffersIsExcludedUntilFetchedAgain() {
        RecordStore storeA = store("a", 1);
        RecordStore storeB = store("b", 1);
        storeA.put(RecordSpace.SERVERS, "h", "1".getBytes(UTF_8), 0);
        replicate(storeB, storeA);
        AntiEntropy ofOwner = new AntiEntropy(storeA);
        AntiEntropy ofCopy = new AntiEntropy(storeB);
        for (int i = 0; i < AntiEntropy.MAX_MISMATCHES; i++) {
            assertFalse(ofCopy.hasDiscardedLogs());
            // Damages the copy again after each repair.
            storeB.repair("a", 1, KEY, null, 0);
            ofCopy.onRangeDigests(
                    "a",
                    ofOwner.onDigests("b", ofCopy.nextDigests("a")).stream()
                            .map(message -> (ReplicationMessage.RangeDigests) message)
                            .findFirst()
                            .orElseThrow());
        }
        assertTrue(ofCopy.hasDiscardedLogs());
        assertEquals(0, storeB.appliedSequence("a", 1).orElseThrow());
        replicate(storeB, storeA);
        ofCopy.onDigests("a", ofOwner.nextDigests("b"));
        assertFalse(ofCopy.hasDiscardedLogs());
    }
}
