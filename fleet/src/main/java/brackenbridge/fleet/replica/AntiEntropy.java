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
 * Anti-entropy by content: detects copies that differ although their positions are equal, without waiting for a read.
 * It compares digests of logs, then of ranges of keys, then the records of a range, and resolves differences by a rule
 * that is the same at every member:
 * <ol>
 * <li>the owner's copy of its present incarnation is authoritative; a record that it lacks was removed;
 * <li>a record whose checksum does not match its content is replaced by one whose checksum does;
 * <li>the later write wins; a record that only one copy has is kept;
 * <li>two contents of one write mean two writers: the incarnation is quarantined; in an ended incarnation the greater
 *     count is kept.
 * </ol>
 */
public final class AntiEntropy {
    /** The number of comparisons with the owner that find a difference, after which the copy is discarded. */
    static final int MAX_MISMATCHES = 3;

    /** The maximum number of kept differences, and of kept alarms. */
    private static final int MAX_RECENT = 256;

    private static final int MAX_LOGS_PER_MESSAGE = 256;
    private static final int MAX_PIECE_BYTES = 64 << 10;

    /** How a difference was resolved. */
    public enum Verdict {
        /** The peer's copy was taken; the record was dropped if the peer has none. */
        TOOK_THEIRS,
        /** The local record was kept. */
        KEPT_MINE,
        /** Two processes wrote under one name and incarnation. */
        TWO_WRITERS
    }

    /**
     * A difference between two copies of a record. {@code state diff} prints it with the names of its components.
     *
     * @param atMs when it was found, in milliseconds
     * @param owner the owner of the record
     * @param life the owner's incarnation
     * @param space the space of the record
     * @param key the key of the record
     * @param peer the member that has the other copy
     * @param mine the local copy, as text
     * @param theirs the peer's copy, as text
     * @param verdict how the difference was resolved
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
    private final Set<CatchUp.LogId> differingLogs = new TreeSet<>();
    private final Set<CatchUp.LogId> discardedLogs = new TreeSet<>();
    private final List<String> alarms = new ArrayList<>();
    private CatchUp.LogId nextLog = new CatchUp.LogId("", 0);
    private long totalDifferences;

    /** Creates the comparison of this copy with those of peers. */
    public AntiEntropy(RecordStore store) {
        this.store = store;
    }

    /** Digests of the next logs to compare with a peer: all logs in turn, and those of both members each time. */
    public ReplicationMessage.LogDigests nextDigests(String peer) {
        Set<CatchUp.LogId> selected = new LinkedHashSet<>();
        selected.add(new CatchUp.LogId(peer, store.newestIncarnation(peer)));
        selected.add(new CatchUp.LogId(store.localMember(), store.incarnation()));
        List<CatchUp.LogId> known = new ArrayList<>();
        store.owners()
                .forEach(owner -> store.incarnations(owner)
                        .forEach(incarnation -> known.add(new CatchUp.LogId(owner, incarnation))));
        int start = 0;
        while (start < known.size() && known.get(start).compareTo(nextLog) < 0) {
            start++;
        }
        for (int i = 0; i < known.size() && selected.size() < MAX_LOGS_PER_MESSAGE; i++) {
            selected.add(known.get((start + i) % known.size()));
        }
        nextLog = known.isEmpty()
                ? nextLog
                : known.get((start + Math.min(known.size(), MAX_LOGS_PER_MESSAGE - 2)) % known.size());
        List<ReplicationMessage.LogDigest> digests = new ArrayList<>();
        for (CatchUp.LogId log : selected) {
            long[] ranges = store.digests(log.owner(), log.incarnation());
            if (ranges != null) {
                digests.add(new ReplicationMessage.LogDigest(
                        log.owner(),
                        log.incarnation(),
                        store.appliedSequence(log.owner(), log.incarnation()).orElse(0),
                        OwnerLog.combineDigests(ranges)));
            }
        }
        return new ReplicationMessage.LogDigests(digests);
    }

    /** Handles a peer's digests; answers with digests by range for logs that differ. */
    public List<ReplicationMessage> onDigests(String peer, ReplicationMessage.LogDigests message) {
        List<ReplicationMessage> answers = new ArrayList<>();
        for (ReplicationMessage.LogDigest digest : message.digests()) {
            long[] local = digestsIfAppliedTo(digest.owner(), digest.incarnation(), digest.appliedSequence());
            if (local == null) {
                continue;
            }
            if (OwnerLog.combineDigests(local) == digest.digest()) {
                onEqualDigests(peer, digest.owner(), digest.incarnation());
            } else {
                answers.add(rangeDigests(digest.owner(), digest.incarnation(), digest.appliedSequence(), local));
            }
        }
        return answers;
    }

    private static ReplicationMessage.RangeDigests rangeDigests(
            String owner, long incarnation, long appliedSequence, long[] digests) {
        List<Long> list = new ArrayList<>();
        for (long digest : digests) {
            list.add(digest);
        }
        return new ReplicationMessage.RangeDigests(owner, incarnation, appliedSequence, list);
    }

    /** The digests by range if the copy is at this position, else null: only copies at equal positions are compared. */
    private long[] digestsIfAppliedTo(String owner, long incarnation, long appliedSequence) {
        return store.appliedSequence(owner, incarnation).orElse(0) == appliedSequence
                ? store.digests(owner, incarnation)
                : null;
    }

    private void onEqualDigests(String peer, String owner, long incarnation) {
        CatchUp.LogId log = new CatchUp.LogId(owner, incarnation);
        differingLogs.remove(log);
        if (peer.equals(owner) || incarnation < store.newestIncarnation(owner)) {
            mismatches.remove(log);
            discardedLogs.remove(log);
        }
    }

    /** Handles a peer's digests by range; answers with the records of ranges that differ. */
    public List<ReplicationMessage> onRangeDigests(String peer, ReplicationMessage.RangeDigests message) {
        List<ReplicationMessage> answers = new ArrayList<>();
        long[] local = digestsIfAppliedTo(message.owner(), message.incarnation(), message.appliedSequence());
        if (local == null) {
            return answers;
        }
        boolean anyDifferent = false;
        for (int range = 0; range < local.length; range++) {
            if (local[range] != message.digests().get(range)) {
                anyDifferent = true;
                answers.addAll(
                        rangeRecords(message.owner(), message.incarnation(), message.appliedSequence(), range, true));
            }
        }
        if (anyDifferent) {
            onDifferentDigests(peer, message.owner(), message.incarnation());
        } else {
            onEqualDigests(peer, message.owner(), message.incarnation());
        }
        return answers;
    }

    private void onDifferentDigests(String peer, String owner, long incarnation) {
        CatchUp.LogId log = new CatchUp.LogId(owner, incarnation);
        if (owner.equals(store.localMember())) {
            return;
        }
        differingLogs.add(log);
        if (peer.equals(owner) && mismatches.merge(log, 1, Integer::sum) >= MAX_MISMATCHES) {
            mismatches.remove(log);
            discardedLogs.add(log);
            addAlarm("the copy of " + owner + " incarnation " + incarnation + " still differs from the owner's after "
                    + MAX_MISMATCHES + " comparisons: discarded and fetched again, excluded from decisions until then");
            store.discard(owner, incarnation);
        }
    }

    private List<ReplicationMessage> rangeRecords(
            String owner, long incarnation, long appliedSequence, int range, boolean replyRequested) {
        List<ReplicationMessage> pieces = new ArrayList<>();
        List<ReplicatedRecord> piece = new ArrayList<>();
        int bytes = 0;
        for (ReplicatedRecord record : store.recordsInRange(owner, incarnation, range)) {
            if (!piece.isEmpty()
                    && (bytes + record.estimatedBytes() > MAX_PIECE_BYTES
                            || piece.size() == ReplicationMessage.MAX_LIST_SIZE)) {
                pieces.add(new ReplicationMessage.RangeRecords(
                        owner, incarnation, appliedSequence, range, pieces.size(), false, replyRequested, piece));
                piece = new ArrayList<>();
                bytes = 0;
            }
            piece.add(record);
            bytes += record.estimatedBytes();
        }
        pieces.add(new ReplicationMessage.RangeRecords(
                owner, incarnation, appliedSequence, range, pieces.size(), true, replyRequested, piece));
        return pieces;
    }

    /** Handles a peer's records of a range and resolves differences; answers with the local records on request. */
    public List<ReplicationMessage> onRangeRecords(String peer, ReplicationMessage.RangeRecords message, double nowMs) {
        if (store.appliedSequence(message.owner(), message.incarnation()).orElse(0) != message.appliedSequence()
                || store.digests(message.owner(), message.incarnation()) == null) {
            return List.of();
        }
        List<ReplicationMessage> answers = message.replyRequested() && message.lastPiece()
                ? rangeRecords(
                        message.owner(), message.incarnation(), message.appliedSequence(), message.range(), false)
                : List.of();
        Map<RecordKey, ReplicatedRecord> theirs = new TreeMap<>();
        message.records().forEach(record -> theirs.put(record.recordKey(), record));
        Set<RecordKey> keys = new TreeSet<>(theirs.keySet());
        RecordKey first = message.piece() == 0 || theirs.isEmpty()
                ? null
                : message.records().get(0).recordKey();
        RecordKey last = message.lastPiece()
                ? null
                : message.records().isEmpty()
                        ? first
                        : message.records().get(message.records().size() - 1).recordKey();
        for (ReplicatedRecord record : store.recordsInRange(message.owner(), message.incarnation(), message.range())) {
            if ((first == null || record.recordKey().compareTo(first) >= 0)
                    && (last == null || record.recordKey().compareTo(last) <= 0)) {
                keys.add(record.recordKey());
            }
        }
        if (!peer.equals(message.owner()) || !message.replyRequested()) {
            differingLogs.add(new CatchUp.LogId(message.owner(), message.incarnation()));
        }
        for (RecordKey key : keys) {
            ReplicatedRecord theirRecord = theirs.get(key);
            if (theirRecord == null
                    || theirRecord.recordKey().rangeIndex() == message.range()
                            && theirRecord.version().incarnation() == message.incarnation()
                            && theirRecord.version().sequence() <= message.appliedSequence()) {
                resolve(peer, message.owner(), message.incarnation(), key, theirRecord, nowMs);
            }
        }
        if (message.lastPiece() && message.owner().equals(store.localMember())) {
            differingLogs.remove(new CatchUp.LogId(message.owner(), message.incarnation()));
        }
        return answers;
    }

    private void resolve(
            String peer, String owner, long incarnation, RecordKey key, ReplicatedRecord theirs, double nowMs) {
        ReplicatedRecord local = store.record(owner, incarnation, key);
        boolean removedHere = local == null || local.removed();
        boolean removedThere = theirs == null || theirs.removed();
        if (removedHere && removedThere
                || local != null
                        && theirs != null
                        && local.checksum() == theirs.checksum()
                        && local.hasValidChecksum(owner)
                        && theirs.hasValidChecksum(owner)) {
            return;
        }
        Verdict verdict = decide(peer, owner, incarnation, local, theirs);
        addDifference(new Difference(
                nowMs,
                owner,
                incarnation,
                key.space(),
                key.key(),
                peer,
                describe(owner, local),
                describe(owner, theirs),
                verdict));
        if (verdict == Verdict.TOOK_THEIRS) {
            store.repair(
                    owner, incarnation, key, theirs != null && !theirs.hasValidChecksum(owner) ? null : theirs, nowMs);
        } else if (verdict == Verdict.TWO_WRITERS) {
            store.resolveConflict(owner, incarnation, local, theirs);
        }
    }

    /** Decides between two copies that differ. */
    private Verdict decide(
            String peer, String owner, long incarnation, ReplicatedRecord local, ReplicatedRecord theirs) {
        boolean ownLog = owner.equals(store.localMember()) && incarnation == store.incarnation();
        boolean isNewest = incarnation == store.newestIncarnation(owner);
        Verdict verdict;
        if (local != null && !local.hasValidChecksum(owner)) {
            verdict = theirs != null && theirs.hasValidChecksum(owner) || !ownLog
                    ? Verdict.TOOK_THEIRS
                    : Verdict.KEPT_MINE;
        } else if (theirs != null && !theirs.hasValidChecksum(owner) || ownLog) {
            verdict = Verdict.KEPT_MINE;
        } else if (theirs == null) {
            verdict = peer.equals(owner) && isNewest ? Verdict.TOOK_THEIRS : Verdict.KEPT_MINE;
        } else if (local == null) {
            verdict = Verdict.TOOK_THEIRS;
        } else if (local.version().equals(theirs.version())) {
            verdict = Verdict.TWO_WRITERS;
        } else {
            verdict = theirs.version().compareTo(local.version()) > 0 ? Verdict.TOOK_THEIRS : Verdict.KEPT_MINE;
        }
        if (ownLog
                && local != null
                && theirs != null
                && local.hasValidChecksum(owner)
                && theirs.hasValidChecksum(owner)
                && local.version().equals(theirs.version())) {
            verdict = Verdict.TWO_WRITERS;
        }
        return verdict;
    }

    private static String describe(String owner, ReplicatedRecord record) {
        return record == null
                ? "nothing"
                : record.hasValidChecksum(owner) ? record.toString() : record + " (checksum mismatch)";
    }

    private void addDifference(Difference difference) {
        totalDifferences++;
        if (differences.size() == MAX_RECENT) {
            differences.removeFirst();
        }
        differences.addLast(difference);
        addAlarm("copies differ: " + difference.owner() + " incarnation " + difference.life() + " "
                + difference.space() + "/" + difference.key() + ": here " + difference.mine() + ", at "
                + difference.peer() + " " + difference.theirs() + ": " + difference.verdict());
    }

    private void addAlarm(String text) {
        if (alarms.size() < MAX_RECENT) {
            alarms.add(text);
        }
    }

    /** The alarms for the operator since the last call. */
    public List<String> drainAlarms() {
        List<String> drained = List.copyOf(alarms);
        alarms.clear();
        return drained;
    }

    /** The latest differences, earliest first. */
    public List<Difference> recentDifferences() {
        return List.copyOf(differences);
    }

    /** The number of differences since the start. */
    public long totalDifferences() {
        return totalDifferences;
    }

    /** The number of logs that were found to differ and were not found equal since. */
    public int countDifferingLogs() {
        differingLogs.removeIf(log -> log.incarnation() < store.newestIncarnation(log.owner())
                && store.appliedSequence(log.owner(), log.incarnation()).isEmpty());
        return differingLogs.size();
    }

    /** Whether a copy was discarded since it still differed after repair; decisions must not use copies until then. */
    public boolean hasDiscardedLogs() {
        discardedLogs.removeIf(log -> log.incarnation() < store.newestIncarnation(log.owner()));
        return !discardedLogs.isEmpty();
    }
}
