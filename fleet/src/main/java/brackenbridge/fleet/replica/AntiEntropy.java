package brackenbridge.fleet.replica;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Anti-entropy by content: finds copies that differ at rest, without a reader: digests of logs, then of ranges of
 * keys, then the records of a range; and makes them one by a rule that is the same at every member:
 * <ol>
 * <li>the owner's copy of its present incarnation decides, what it lacks is gone;
 * <li>a record that is no longer what its owner wrote (its checksum) yields to one that is;
 * <li>the later write wins; a record that only one has stays;
 * <li>two contents of one write are two writers: both are quarantined; of sums, the greater count stays.
 * </ol>
 */
public final class AntiEntropy {
    /** Comparisons with the owner that still find a difference after repair, until the copy is discarded. */
    static final int MAX_MISMATCHES = 3;

    /** Differences and alarms that are kept, at the most. */
    private static final int MAX_KEPT = 256;

    private static final int MAX_LOGS_PER_MESSAGE = 256;
    private static final int MAX_PIECE_BYTES = 64 << 10;

    /** What became of a difference. */
    public enum Verdict {
        /** The peer's record was taken, or its word that there is none. */
        TOOK_THEIRS,
        /** The record here stands. */
        KEPT_MINE,
        /** Two writers. */
        TWO_WRITERS
    }

    /**
     * Two copies of a record that differed.
     *
     * @param atMs when it was found
     * @param owner whose record
     * @param life of which incarnation
     * @param space its space
     * @param key its key
     * @param peer who holds the other copy
     * @param mine the copy here, as text
     * @param theirs the other, as text
     * @param verdict what became of it
     */
    public record Difference(
            double atMs,
            String owner,
            long life,
            RecordSpace space,
            String key,
            String peer,
            String mine,
            String theirs,
            Verdict verdict) {}

    private final RecordStore store;
    private final ArrayDeque<Difference> differences = new ArrayDeque<>();
    private final Map<CatchUp.LogId, Integer> mismatches = new HashMap<>();
    private final Set<CatchUp.LogId> open = new TreeSet<>();
    private final Set<CatchUp.LogId> discarded = new TreeSet<>();
    private final List<String> alarms = new ArrayList<>();
    private CatchUp.LogId next = new CatchUp.LogId("", 0);
    private long total;

    /** Of this copy. */
    public AntiEntropy(RecordStore store) {
        this.store = store;
    }

    /** The digests of the next logs to compare with this peer; all come in turn, the peer's own one each time. */
    public ReplicationMessage.LogDigests nextDigests(String peer) {
        Set<CatchUp.LogId> of = new LinkedHashSet<>();
        of.add(new CatchUp.LogId(peer, store.newestIncarnation(peer)));
        of.add(new CatchUp.LogId(store.localMember(), store.incarnation()));
        List<CatchUp.LogId> all = new ArrayList<>();
        store.owners().forEach(o -> store.incarnations(o).forEach(l -> all.add(new CatchUp.LogId(o, l))));
        int from = 0;
        while (from < all.size() && all.get(from).compareTo(next) < 0) {
            from++;
        }
        for (int i = 0; i < all.size() && of.size() < MAX_LOGS_PER_MESSAGE; i++) {
            of.add(all.get((from + i) % all.size()));
        }
        next = all.isEmpty() ? next : all.get((from + Math.min(all.size(), MAX_LOGS_PER_MESSAGE - 2)) % all.size());
        List<ReplicationMessage.LogDigest> digests = new ArrayList<>();
        for (CatchUp.LogId o : of) {
            long[] d = store.digests(o.owner(), o.incarnation());
            if (d != null) {
                digests.add(new ReplicationMessage.LogDigest(
                        o.owner(),
                        o.incarnation(),
                        store.appliedSequence(o.owner(), o.incarnation()).orElse(0),
                        OwnerLog.digest(d)));
            }
        }
        return new ReplicationMessage.LogDigests(digests);
    }

    /** Takes a peer's digests; answers with ranges where they differ. */
    public List<ReplicationMessage> onDigests(String peer, ReplicationMessage.LogDigests m) {
        List<ReplicationMessage> answers = new ArrayList<>();
        for (ReplicationMessage.LogDigest d : m.digests()) {
            long[] mine = digestsAt(d.owner(), d.incarnation(), d.appliedSequence());
            if (mine == null) {
                continue;
            }
            if (OwnerLog.digest(mine) == d.digest()) {
                onEqual(peer, d.owner(), d.incarnation());
            } else {
                answers.add(ranges(d.owner(), d.incarnation(), d.appliedSequence(), mine));
            }
        }
        return answers;
    }

    private static ReplicationMessage.RangeDigests ranges(String owner, long life, long have, long[] digests) {
        List<Long> list = new ArrayList<>();
        for (long d : digests) {
            list.add(d);
        }
        return new ReplicationMessage.RangeDigests(owner, life, have, list);
    }

    /** Only copies that are equally far are compared. */
    private long[] digestsAt(String owner, long life, long have) {
        return store.appliedSequence(owner, life).orElse(0) == have ? store.digests(owner, life) : null;
    }

    private void onEqual(String peer, String owner, long life) {
        CatchUp.LogId of = new CatchUp.LogId(owner, life);
        open.remove(of);
        if (peer.equals(owner) || life < store.newestIncarnation(owner)) {
            mismatches.remove(of);
            discarded.remove(of);
        }
    }

    /** Takes a peer's digests by range; answers with the records of ranges that differ. */
    public List<ReplicationMessage> onRanges(String peer, ReplicationMessage.RangeDigests m) {
        List<ReplicationMessage> answers = new ArrayList<>();
        long[] mine = digestsAt(m.owner(), m.incarnation(), m.appliedSequence());
        if (mine == null) {
            return answers;
        }
        boolean differ = false;
        for (int r = 0; r < mine.length; r++) {
            if (mine[r] != m.digests().get(r)) {
                differ = true;
                answers.addAll(copies(m.owner(), m.incarnation(), m.appliedSequence(), r, true));
            }
        }
        if (differ) {
            onDifferent(peer, m.owner(), m.incarnation());
        } else {
            onEqual(peer, m.owner(), m.incarnation());
        }
        return answers;
    }

    private void onDifferent(String peer, String owner, long life) {
        CatchUp.LogId of = new CatchUp.LogId(owner, life);
        if (owner.equals(store.localMember())) {
            return;
        }
        open.add(of);
        if (peer.equals(owner) && mismatches.merge(of, 1, Integer::sum) >= MAX_MISMATCHES) {
            mismatches.remove(of);
            discarded.add(of);
            addAlarm("the copy of " + owner + " in life " + life + " still differs from its owner's after "
                    + MAX_MISMATCHES + " times: out of decision, fetched whole");
            store.discard(owner, life);
        }
    }

    private List<ReplicationMessage> copies(String owner, long life, long have, int range, boolean ask) {
        List<ReplicationMessage> pieces = new ArrayList<>();
        List<ReplicatedRecord> piece = new ArrayList<>();
        int bytes = 0;
        for (ReplicatedRecord e : store.recordsInRange(owner, life, range)) {
            if (!piece.isEmpty()
                    && (bytes + e.bytes() > MAX_PIECE_BYTES || piece.size() == ReplicationMessage.MAX_LIST_SIZE)) {
                pieces.add(new ReplicationMessage.RangeRecords(
                        owner, life, have, range, pieces.size(), false, ask, piece));
                piece = new ArrayList<>();
                bytes = 0;
            }
            piece.add(e);
            bytes += e.bytes();
        }
        pieces.add(new ReplicationMessage.RangeRecords(owner, life, have, range, pieces.size(), true, ask, piece));
        return pieces;
    }

    /** Takes a peer's records of a range, and applies the rule; answers with those here if asked to. */
    public List<ReplicationMessage> onCopies(String peer, ReplicationMessage.RangeRecords m, double nowMs) {
        if (store.appliedSequence(m.owner(), m.incarnation()).orElse(0) != m.appliedSequence()
                || store.digests(m.owner(), m.incarnation()) == null) {
            return List.of();
        }
        List<ReplicationMessage> answer = m.replyRequested() && m.lastPiece()
                ? copies(m.owner(), m.incarnation(), m.appliedSequence(), m.range(), false)
                : List.of();
        Map<RecordKey, ReplicatedRecord> theirs = new TreeMap<>();
        m.records().forEach(e -> theirs.put(e.recordKey(), e));
        Set<RecordKey> items = new TreeSet<>(theirs.keySet());
        RecordKey first =
                m.piece() == 0 || theirs.isEmpty() ? null : m.records().get(0).recordKey();
        RecordKey last = m.lastPiece()
                ? null
                : m.records().isEmpty()
                        ? first
                        : m.records().get(m.records().size() - 1).recordKey();
        for (ReplicatedRecord e : store.recordsInRange(m.owner(), m.incarnation(), m.range())) {
            if ((first == null || e.recordKey().compareTo(first) >= 0)
                    && (last == null || e.recordKey().compareTo(last) <= 0)) {
                items.add(e.recordKey());
            }
        }
        if (!peer.equals(m.owner()) || !m.replyRequested()) {
            open.add(new CatchUp.LogId(m.owner(), m.incarnation()));
        }
        for (RecordKey i : items) {
            ReplicatedRecord t = theirs.get(i);
            if (t == null
                    || t.recordKey().range() == m.range()
                            && t.version().incarnation() == m.incarnation()
                            && t.version().sequence() <= m.appliedSequence()) {
                applyRule(peer, m.owner(), m.incarnation(), i, t, nowMs);
            }
        }
        if (m.lastPiece() && m.owner().equals(store.localMember())) {
            open.remove(new CatchUp.LogId(m.owner(), m.incarnation()));
        }
        return answer;
    }

    private void applyRule(
            String peer, String owner, long life, RecordKey item, ReplicatedRecord theirs, double nowMs) {
        ReplicatedRecord mine = store.record(owner, life, item);
        boolean goneHere = mine == null || mine.removed();
        boolean goneThere = theirs == null || theirs.removed();
        if (goneHere && goneThere
                || mine != null
                        && theirs != null
                        && mine.checksum() == theirs.checksum()
                        && mine.hasValidChecksum(owner)
                        && theirs.hasValidChecksum(owner)) {
            return;
        }
        boolean own = owner.equals(store.localMember()) && life == store.incarnation();
        boolean present = life == store.newestIncarnation(owner);
        Verdict v;
        if (mine != null && !mine.hasValidChecksum(owner)) {
            v = theirs != null && theirs.hasValidChecksum(owner) || !own ? Verdict.TOOK_THEIRS : Verdict.KEPT_MINE;
        } else if (theirs != null && !theirs.hasValidChecksum(owner) || own) {
            v = Verdict.KEPT_MINE;
        } else if (theirs == null) {
            v = peer.equals(owner) && present ? Verdict.TOOK_THEIRS : Verdict.KEPT_MINE;
        } else if (mine == null) {
            v = Verdict.TOOK_THEIRS;
        } else if (mine.version().equals(theirs.version())) {
            v = Verdict.TWO_WRITERS;
        } else {
            v = theirs.version().compareTo(mine.version()) > 0 ? Verdict.TOOK_THEIRS : Verdict.KEPT_MINE;
        }
        if (own
                && mine != null
                && theirs != null
                && mine.hasValidChecksum(owner)
                && theirs.hasValidChecksum(owner)
                && mine.version().equals(theirs.version())) {
            v = Verdict.TWO_WRITERS;
        }
        addDifference(new Difference(
                nowMs, owner, life, item.space(), item.key(), peer, text(owner, mine), text(owner, theirs), v));
        if (v == Verdict.TOOK_THEIRS) {
            store.repair(owner, life, item, theirs != null && !theirs.hasValidChecksum(owner) ? null : theirs, nowMs);
        } else if (v == Verdict.TWO_WRITERS) {
            store.resolveConflict(owner, life, mine, theirs);
        }
    }

    private static String text(String owner, ReplicatedRecord e) {
        return e == null ? "nothing" : e.hasValidChecksum(owner) ? e.toString() : e + " (not what was written)";
    }

    private void addDifference(Difference d) {
        total++;
        if (differences.size() == MAX_KEPT) {
            differences.removeFirst();
        }
        differences.addLast(d);
        addAlarm("copies differ: " + d.owner() + " life " + d.life() + " " + d.space() + "/" + d.key() + ": here "
                + d.mine() + ", at " + d.peer() + " " + d.theirs() + ": " + d.verdict());
    }

    private void addAlarm(String text) {
        if (alarms.size() < MAX_KEPT) {
            alarms.add(text);
        }
    }

    /** What was found that an operator should know, since the last call. */
    public List<String> drainAlarms() {
        List<String> drained = List.copyOf(alarms);
        alarms.clear();
        return drained;
    }

    /** The last differences that were found, earliest first. */
    public List<Difference> recentDifferences() {
        return List.copyOf(differences);
    }

    /** How many were found since the start. */
    public long totalDifferences() {
        return total;
    }

    /** Logs that were found to differ and were not found equal since. */
    public int openLogs() {
        open.removeIf(o -> o.incarnation() < store.newestIncarnation(o.owner())
                && store.appliedSequence(o.owner(), o.incarnation()).isEmpty());
        return open.size();
    }

    /** Whether a copy here still differs after the rule: nobody acts on this member's copies. */
    public boolean outOfDecision() {
        discarded.removeIf(o -> o.incarnation() < store.newestIncarnation(o.owner()));
        return !discarded.isEmpty();
    }
}
