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

    ReplicatedRecord get(RecordKey item) {
        return byKey.get(item);
    }

    ReplicatedRecord at(long sequence) {
        return bySequence.get(sequence);
    }

    /** All, in the order of writes. */
    List<ReplicatedRecord> all() {
        return List.copyOf(bySequence.values());
    }

    int size() {
        return bySequence.size();
    }

    /** Takes a write if it is later than what is here of its key. */
    boolean apply(ReplicatedRecord e, double nowMs) {
        ReplicatedRecord now = byKey.get(e.recordKey());
        if (now != null && now.version().sequence() >= e.version().sequence()) {
            return false;
        }
        replace(e, nowMs);
        return true;
    }

    /** Puts this one in the place of whatever is here of its key. */
    void replace(ReplicatedRecord e, double nowMs) {
        ReplicatedRecord before = byKey.put(e.recordKey(), e);
        if (before != null) {
            bySequence.remove(before.version().sequence());
        }
        ReplicatedRecord other = bySequence.put(e.version().sequence(), e);
        if (other != null && !other.recordKey().equals(e.recordKey())) {
            byKey.remove(other.recordKey());
        }
        if (e.removed()) {
            tombstones.add(new Tombstone(e.version().sequence(), nowMs));
        }
    }

    void drop(RecordKey item) {
        ReplicatedRecord e = byKey.remove(item);
        if (e != null) {
            bySequence.remove(e.version().sequence());
        }
    }

    /** Drops what lies between these writes and is none of those kept. */
    List<RecordKey> dropBetween(long from, long to, List<ReplicatedRecord> kept) {
        Set<Long> keep = new HashSet<>();
        kept.forEach(e -> keep.add(e.version().sequence()));
        List<RecordKey> dropped = new ArrayList<>();
        for (ReplicatedRecord e :
                List.copyOf(bySequence.subMap(from, false, to, true).values())) {
            // Guards a count that only this copy has: its later value may never come.
            if (e.space().kind() == RecordSpace.Kind.REGISTER
                    && !keep.contains(e.version().sequence())) {
                drop(e.recordKey());
                dropped.add(e.recordKey());
            }
        }
        return dropped;
    }

    /** Its incarnation has ended: only counters are kept. */
    List<RecordKey> end() {
        List<RecordKey> dropped = new ArrayList<>();
        for (ReplicatedRecord e : List.copyOf(bySequence.values())) {
            if (e.space().kind() == RecordSpace.Kind.REGISTER) {
                drop(e.recordKey());
                dropped.add(e.recordKey());
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
    List<RecordKey> forgetTombstones(double nowMs, double afterMs) {
        List<RecordKey> forgotten = new ArrayList<>();
        while (!tombstones.isEmpty()
                && (tombstones.size() > MAX_TOMBSTONES || tombstones.peek().atMs() <= nowMs - afterMs)
                && tombstones.peek().sequence() <= appliedSequence) {
            Tombstone oldest = tombstones.poll();
            ReplicatedRecord e = bySequence.get(oldest.sequence());
            if (e != null && e.removed()) {
                drop(e.recordKey());
                forgotten.add(e.recordKey());
            }
            tombstoneFloor = Math.max(tombstoneFloor, oldest.sequence());
        }
        return forgotten;
    }

    /** What was written last after a write, up to so many bytes; {@code end} is how far it may go. */
    ReplicationMessage.LogChunk piece(long from, long end, long snapshot, long newest, int mostBytes) {
        List<ReplicatedRecord> entries = new ArrayList<>();
        int bytes = 0;
        long to = end;
        for (ReplicatedRecord e :
                bySequence.subMap(from, false, Math.max(from, end), true).values()) {
            if (!entries.isEmpty()
                    && (bytes + e.bytes() > mostBytes || entries.size() == ReplicationMessage.MAX_LIST_SIZE)) {
                to = entries.get(entries.size() - 1).version().sequence();
                break;
            }
            entries.add(e);
            bytes += e.bytes();
        }
        return new ReplicationMessage.LogChunk(
                owner, incarnation, newest, from, Math.max(from, to), snapshot, tombstoneFloor, entries);
    }

    /** A digest for each range of keys, over what the copy holds by now: nothing is remembered from when it came. */
    long[] digests() {
        long[] d = new long[RecordKey.RANGE_COUNT];
        for (ReplicatedRecord e : bySequence.values()) {
            if (!e.removed()) {
                d[e.recordKey().range()] += mix(e.computeChecksum(owner));
            }
        }
        return d;
    }

    /** A digest over all ranges. */
    static long digest(long[] ranges) {
        long all = 0;
        for (long r : ranges) {
            all = mix(all + r);
        }
        return all;
    }

    /** The finaliser of SplitMix64, so that sums of similar checksums don't cancel out. */
    private static long mix(long z) {
        long a = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
        long b = (a ^ a >>> 27) * 0x94d049bb133111ebL;
        return b ^ b >>> 31;
    }

    @Override
    public String toString() {
        return incarnation + ":" + appliedSequence + "," + tombstoneFloor + "," + snapshotEnd + "," + snapshotCursor
                + bySequence.values();
    }
}
