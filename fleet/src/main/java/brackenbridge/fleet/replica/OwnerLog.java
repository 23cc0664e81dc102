package brackenbridge.fleet.replica;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * A copy of the compacted log of one incarnation of an owner: the last write of each key, in the order of sequence
 * numbers. A peer at any position lacks the tail of the log after it. Tombstones are kept for a bounded time; up to
 * {@link #tombstoneFloor} they are forgotten, and a peer below it receives a snapshot. Mutable; guarded by the lock
 * that guards the {@link RecordStore}.
 */
final class OwnerLog {
    /** The maximum number of kept tombstones. */
    static final int MAX_TOMBSTONES = 1024;

    private record Tombstone(long sequence, double atMs) {}

    final String owner;
    final long incarnation;
    /** All writes up to this one are applied, or were overwritten by a later one. */
    long appliedSequence;
    /** Tombstones up to this write may be forgotten. */
    long tombstoneFloor;
    /** The position at which a snapshot in progress ends; 0 if there is none. */
    long snapshotEnd;
    /** The position up to which that snapshot is applied. */
    long snapshotCursor;

    private final TreeMap<Long, ReplicatedRecord> bySequence = new TreeMap<>();
    private final Map<RecordKey, ReplicatedRecord> byKey = new HashMap<>();
    private final ArrayDeque<Tombstone> tombstones = new ArrayDeque<>();

    OwnerLog(String owner, long incarnation) {
        this.owner = owner;
        this.incarnation = incarnation;
    }

    OwnerLog copy() {
        OwnerLog copy = new OwnerLog(owner, incarnation);
        copy.appliedSequence = appliedSequence;
        copy.tombstoneFloor = tombstoneFloor;
        copy.snapshotEnd = snapshotEnd;
        copy.snapshotCursor = snapshotCursor;
        copy.bySequence.putAll(bySequence);
        copy.byKey.putAll(byKey);
        copy.tombstones.addAll(tombstones);
        return copy;
    }

    ReplicatedRecord get(RecordKey key) {
        return byKey.get(key);
    }

    ReplicatedRecord getBySequence(long sequence) {
        return bySequence.get(sequence);
    }

    /** All records, in the order of writes. */
    List<ReplicatedRecord> records() {
        return List.copyOf(bySequence.values());
    }

    int size() {
        return bySequence.size();
    }

    /** Applies a write if it is later than the present record of its key. */
    boolean apply(ReplicatedRecord record, double nowMs) {
        ReplicatedRecord present = byKey.get(record.recordKey());
        if (present != null && present.version().sequence() >= record.version().sequence()) {
            return false;
        }
        replace(record, nowMs);
        return true;
    }

    /** Replaces the present record of this key, if any. */
    void replace(ReplicatedRecord record, double nowMs) {
        ReplicatedRecord previous = byKey.put(record.recordKey(), record);
        if (previous != null) {
            bySequence.remove(previous.version().sequence());
        }
        ReplicatedRecord replaced = bySequence.put(record.version().sequence(), record);
        if (replaced != null && !replaced.recordKey().equals(record.recordKey())) {
            byKey.remove(replaced.recordKey());
        }
        if (record.removed()) {
            tombstones.add(new Tombstone(record.version().sequence(), nowMs));
        }
    }

    void drop(RecordKey key) {
        ReplicatedRecord record = byKey.remove(key);
        if (record != null) {
            bySequence.remove(record.version().sequence());
        }
    }

    /** Drops registers between these positions that are not listed. */
    List<RecordKey> dropUnlisted(long afterSequence, long upToSequence, List<ReplicatedRecord> listed) {
        Set<Long> listedSequences = new HashSet<>();
        listed.forEach(record -> listedSequences.add(record.version().sequence()));
        List<RecordKey> dropped = new ArrayList<>();
        for (ReplicatedRecord record : List.copyOf(
                bySequence.subMap(afterSequence, false, upToSequence, true).values())) {
            // Guards a counter that only this copy has: a later value may never arrive.
            if (record.space().kind() == RecordSpace.Kind.REGISTER
                    && !listedSequences.contains(record.version().sequence())) {
                drop(record.recordKey());
                dropped.add(record.recordKey());
            }
        }
        return dropped;
    }

    /** Ends the incarnation, of which only counters are kept. Returns the keys of the dropped registers. */
    List<RecordKey> endIncarnation() {
        List<RecordKey> dropped = new ArrayList<>();
        for (ReplicatedRecord record : List.copyOf(bySequence.values())) {
            if (record.space().kind() == RecordSpace.Kind.REGISTER) {
                drop(record.recordKey());
                dropped.add(record.recordKey());
            }
        }
        tombstones.clear();
        // Counters are never removed, so a partial snapshot is equivalent to the log up to its cursor.
        appliedSequence = Math.max(appliedSequence, snapshotCursor);
        clearSnapshot();
        return dropped;
    }

    /** Ends a snapshot in progress. */
    void clearSnapshot() {
        snapshotEnd = 0;
        snapshotCursor = 0;
    }

    /**
     * Forgets tombstones that are older than the retention, and the oldest ones above the maximum number. A peer that
     * lacks one of them is below the floor from then on and receives a snapshot, which removes the records that it does
     * not list.
     */
    List<RecordKey> forgetTombstones(double nowMs, double retentionMs) {
        List<RecordKey> forgotten = new ArrayList<>();
        while (!tombstones.isEmpty()
                && (tombstones.size() > MAX_TOMBSTONES || tombstones.peek().atMs() <= nowMs - retentionMs)
                && tombstones.peek().sequence() <= appliedSequence) {
            Tombstone oldest = tombstones.poll();
            ReplicatedRecord record = bySequence.get(oldest.sequence());
            if (record != null && record.removed()) {
                drop(record.recordKey());
                forgotten.add(record.recordKey());
            }
            tombstoneFloor = Math.max(tombstoneFloor, oldest.sequence());
        }
        return forgotten;
    }

    /**
     * Reads a chunk of the log or of a snapshot.
     *
     * @param afterSequence the exclusive lower bound
     * @param lastSequence the inclusive upper bound
     * @param chunkSnapshotEnd the position at which the snapshot ends; 0 for a chunk of the log
     * @param newestIncarnation the newest known incarnation of the owner
     * @param maxBytes the approximate maximum size
     */
    ReplicationMessage.LogChunk readChunk(
            long afterSequence, long lastSequence, long chunkSnapshotEnd, long newestIncarnation, int maxBytes) {
        List<ReplicatedRecord> chunkRecords = new ArrayList<>();
        int bytes = 0;
        long upToSequence = lastSequence;
        for (ReplicatedRecord record : bySequence
                .subMap(afterSequence, false, Math.max(afterSequence, lastSequence), true)
                .values()) {
            if (!chunkRecords.isEmpty()
                    && (bytes + record.estimatedBytes() > maxBytes
                            || chunkRecords.size() == ReplicationMessage.MAX_LIST_SIZE)) {
                upToSequence =
                        chunkRecords.get(chunkRecords.size() - 1).version().sequence();
                break;
            }
            chunkRecords.add(record);
            bytes += record.estimatedBytes();
        }
        return new ReplicationMessage.LogChunk(
                owner,
                incarnation,
                newestIncarnation,
                afterSequence,
                Math.max(afterSequence, upToSequence),
                chunkSnapshotEnd,
                tombstoneFloor,
                chunkRecords);
    }

    /** Digests by range of keys, computed from the present content and not cached, so that corruption is detected. */
    long[] digests() {
        long[] digests = new long[RecordKey.RANGE_COUNT];
        for (ReplicatedRecord record : bySequence.values()) {
            if (!record.removed()) {
                digests[record.recordKey().rangeIndex()] += mixBits(record.computeChecksum(owner));
            }
        }
        return digests;
    }

    /** Combines the digests of all ranges. */
    static long combineDigests(long[] ranges) {
        long combined = 0;
        for (long range : ranges) {
            combined = mixBits(combined + range);
        }
        return combined;
    }

    /** The finalizer of SplitMix64, so that sums of similar checksums don't cancel out. */
    private static long mixBits(long value) {
        long first = (value ^ value >>> 30) * 0xbf58476d1ce4e5b9L;
        long second = (first ^ first >>> 27) * 0x94d049bb133111ebL;
        return second ^ second >>> 31;
    }

    @Override
    public String toString() {
        return incarnation + ":" + appliedSequence + "," + tombstoneFloor + "," + snapshotEnd + "," + snapshotCursor
                + bySequence.values();
    }
}
