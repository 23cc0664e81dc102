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
 * A copy of the log of one incarnation of one owner: of each key the last write, in the order of sequence numbers. What
 * is missing after any sequence number is the log's tail. Tombstones stand in it for a bounded time; below
 * {@link #tombstoneFloor} they are forgotten, and who needs that far back gets a snapshot. Mutable; guarded by whoever
 * guards the {@link RecordStore}.
 */
final class OwnerLog {
    /** Tombstones that are remembered, at the most. */
    static final int MAX_TOMBSTONES = 1024;

    private record Tombstone(long sequence, double atMs) {}

    final String owner;
    final long incarnation;
    /** All up to this write is here, or was written over by a later one. */
    long appliedSequence;
    /** Tombstones up to this write may be forgotten. */
    long tombstoneFloor;
    /** A snapshot that is under way ends at this write; 0 if none is. */
    long snapshotEnd;
    /** The snapshot is taken up to this write. */
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

    /** All, in the order of writes. */
    List<ReplicatedRecord> records() {
        return List.copyOf(bySequence.values());
    }

    int size() {
        return bySequence.size();
    }

    /** Takes a write if it is later than what is here of its key. */
    boolean apply(ReplicatedRecord record, double nowMs) {
        ReplicatedRecord present = byKey.get(record.recordKey());
        if (present != null && present.version().sequence() >= record.version().sequence()) {
            return false;
        }
        replace(record, nowMs);
        return true;
    }

    /** Puts this one in the place of whatever is here of its key. */
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

    /** Drops what lies between these writes and is none of those kept. */
    List<RecordKey> dropUnlisted(long afterSequence, long upToSequence, List<ReplicatedRecord> listed) {
        Set<Long> listedSequences = new HashSet<>();
        listed.forEach(record -> listedSequences.add(record.version().sequence()));
        List<RecordKey> dropped = new ArrayList<>();
        for (ReplicatedRecord record : List.copyOf(
                bySequence.subMap(afterSequence, false, upToSequence, true).values())) {
            // Guards a count that only this copy has: its later value may never come.
            if (record.space().kind() == RecordSpace.Kind.REGISTER
                    && !listedSequences.contains(record.version().sequence())) {
                drop(record.recordKey());
                dropped.add(record.recordKey());
            }
        }
        return dropped;
    }

    /** Its incarnation has ended: only counters are kept. */
    List<RecordKey> endIncarnation() {
        List<RecordKey> dropped = new ArrayList<>();
        for (ReplicatedRecord record : List.copyOf(bySequence.values())) {
            if (record.space().kind() == RecordSpace.Kind.REGISTER) {
                drop(record.recordKey());
                dropped.add(record.recordKey());
            }
        }
        tombstones.clear();
        // Counts are never removed, so what a snapshot has brought until now is as good as a log up to there.
        appliedSequence = Math.max(appliedSequence, snapshotCursor);
        clearSnapshot();
        return dropped;
    }

    /** No snapshot is under way any more. */
    void clearSnapshot() {
        snapshotEnd = 0;
        snapshotCursor = 0;
    }

    /**
     * Forgets tombstones that are older than this, and the oldest above the bound. Whoever still lacks one of them is
     * below the floor from then on and gets a snapshot, and what that does not name is gone.
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

    /** What was written last after a write, up to so many bytes; {@code end} is how far it may go. */
    ReplicationMessage.LogChunk readChunk(
            long afterSequence, long lastSequence, long chunkSnapshotEnd, long newestIncarnation, int maxBytes) {
        List<ReplicatedRecord> entries = new ArrayList<>();
        int bytes = 0;
        long upToSequence = lastSequence;
        for (ReplicatedRecord record : bySequence
                .subMap(afterSequence, false, Math.max(afterSequence, lastSequence), true)
                .values()) {
            if (!entries.isEmpty()
                    && (bytes + record.estimatedBytes() > maxBytes
                            || entries.size() == ReplicationMessage.MAX_LIST_SIZE)) {
                upToSequence = entries.get(entries.size() - 1).version().sequence();
                break;
            }
            entries.add(record);
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
                entries);
    }

    /** A digest for each range of keys, over what the copy holds by now: nothing is remembered from when it came. */
    long[] digests() {
        long[] digests = new long[RecordKey.RANGE_COUNT];
        for (ReplicatedRecord record : bySequence.values()) {
            if (!record.removed()) {
                digests[record.recordKey().rangeIndex()] += mixBits(record.computeChecksum(owner));
            }
        }
        return digests;
    }

    /** A digest over all ranges. */
    static long combineDigests(long[] ranges) {
        long combined = 0;
        for (long range : ranges) {
            combined = mixBits(combined + range);
        }
        return combined;
    }

    /** The finaliser of SplitMix64, so that sums of similar checksums don't cancel out. */
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
