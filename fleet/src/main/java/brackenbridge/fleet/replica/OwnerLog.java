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
 * A copy of what one life of one owner wrote: of each key the last write, in the order of writes. The order is the log:
 * what is missing after any write is its tail. Removals stand in it for a bounded time; below {@link #floor} they are
 * forgotten, and who needs that far back gets a snapshot.
 */
final class OwnerLog {
    /** Removals that are remembered, at the most. */
    static final int MOST_REMOVALS = 1024;

    private record Removal(long sequence, double atMs) {}

    final String owner;
    final long life;
    /** All up to this write is here, or was written over by a later one. */
    long have;
    /** Removals up to this write may be forgotten. */
    long floor;
    /** A snapshot that is under way ends at this write; 0 if none is. */
    long base;
    /** The snapshot is taken up to this write. */
    long cursor;

    private final TreeMap<Long, ReplicatedRecord> bySequence = new TreeMap<>();
    private final Map<RecordKey, ReplicatedRecord> byItem = new HashMap<>();
    private final ArrayDeque<Removal> removals = new ArrayDeque<>();

    OwnerLog(String owner, long life) {
        this.owner = owner;
        this.life = life;
    }

    OwnerLog copy() {
        OwnerLog p = new OwnerLog(owner, life);
        p.have = have;
        p.floor = floor;
        p.base = base;
        p.cursor = cursor;
        p.bySequence.putAll(bySequence);
        p.byItem.putAll(byItem);
        p.removals.addAll(removals);
        return p;
    }

    ReplicatedRecord get(RecordKey item) {
        return byItem.get(item);
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
        ReplicatedRecord now = byItem.get(e.item());
        if (now != null && now.version().sequence() >= e.version().sequence()) {
            return false;
        }
        replace(e, nowMs);
        return true;
    }

    /** Puts this one in the place of whatever is here of its key. */
    void replace(ReplicatedRecord e, double nowMs) {
        ReplicatedRecord before = byItem.put(e.item(), e);
        if (before != null) {
            bySequence.remove(before.version().sequence());
        }
        ReplicatedRecord other = bySequence.put(e.version().sequence(), e);
        if (other != null && !other.item().equals(e.item())) {
            byItem.remove(other.item());
        }
        if (e.gone()) {
            removals.add(new Removal(e.version().sequence(), nowMs));
        }
    }

    void drop(RecordKey item) {
        ReplicatedRecord e = byItem.remove(item);
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
            if (e.space().kind() == RecordSpace.Kind.OWN
                    && !keep.contains(e.version().sequence())) {
                drop(e.item());
                dropped.add(e.item());
            }
        }
        return dropped;
    }

    /** Its life has ended: only parts of sums are kept. */
    List<RecordKey> end() {
        List<RecordKey> dropped = new ArrayList<>();
        for (ReplicatedRecord e : List.copyOf(bySequence.values())) {
            if (e.space().kind() == RecordSpace.Kind.OWN) {
                drop(e.item());
                dropped.add(e.item());
            }
        }
        removals.clear();
        // Counts are never removed, so what a snapshot has brought until now is as good as a log up to there.
        have = Math.max(have, cursor);
        base = 0;
        cursor = 0;
        return dropped;
    }

    /**
     * Forgets removals that are older than this, and the oldest above the bound. Whoever still lacks one of them is
     * below the floor from then on and gets a snapshot, and what that does not name is gone.
     */
    List<RecordKey> forget(double nowMs, double afterMs) {
        List<RecordKey> forgotten = new ArrayList<>();
        while (!removals.isEmpty()
                && (removals.size() > MOST_REMOVALS || removals.peek().atMs() <= nowMs - afterMs)
                && removals.peek().sequence() <= have) {
            Removal r = removals.poll();
            ReplicatedRecord e = bySequence.get(r.sequence());
            if (e != null && e.gone()) {
                drop(e.item());
                forgotten.add(e.item());
            }
            floor = Math.max(floor, r.sequence());
        }
        return forgotten;
    }

    /** What was written last after a write, up to so many bytes; {@code end} is how far it may go. */
    ReplicationMessage.Chunk piece(long from, long end, long snapshot, long newest, int mostBytes) {
        List<ReplicatedRecord> entries = new ArrayList<>();
        int bytes = 0;
        long to = end;
        for (ReplicatedRecord e :
                bySequence.subMap(from, false, Math.max(from, end), true).values()) {
            if (!entries.isEmpty() && (bytes + e.bytes() > mostBytes || entries.size() == ReplicationMessage.MOST)) {
                to = entries.get(entries.size() - 1).version().sequence();
                break;
            }
            entries.add(e);
            bytes += e.bytes();
        }
        return new ReplicationMessage.Chunk(owner, life, newest, from, Math.max(from, to), snapshot, floor, entries);
    }

    /** A digest for each range of keys, over what the copy holds by now: nothing is remembered from when it came. */
    long[] digests() {
        long[] d = new long[RecordKey.RANGES];
        for (ReplicatedRecord e : bySequence.values()) {
            if (!e.gone()) {
                d[e.item().range()] += mix(e.actual(owner));
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
        return life + ":" + have + "," + floor + "," + base + "," + cursor + bySequence.values();
    }
}
