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
    private static final int MAX_RECENT = 256;

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
    private final Set<CatchUp.LogId> differingLogs = new TreeSet<>();
    private final Set<CatchUp.LogId> discardedLogs = new TreeSet<>();
    private final List<String> alarms = new ArrayList<>();
    private CatchUp.LogId nextLog = new CatchUp.LogId("", 0);
    private long totalDifferences;

    /** Of this copy. */
    public AntiEntropy(RecordStore store) {
        this.store = store;
    }

    /** The digests of the next logs to compare with this peer; all come in turn, the peer's own one each time. */
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

    /** Takes a peer's digests; answers with ranges where they differ. */
    public List<ReplicationMessage> onDigests(String peer, ReplicationMessage.LogDigests message) {
        List<ReplicationMessage> answers = new ArrayList<>();
        for (ReplicationMessage.LogDigest digest : message.digests()) {
            long[] ours = digestsIfAppliedTo(digest.owner(), digest.incarnation(), digest.appliedSequence());
            if (ours == null) {
                continue;
            }
            if (OwnerLog.combineDigests(ours) == digest.digest()) {
                onEqualDigests(peer, digest.owner(), digest.incarnation());
            } else {
                answers.add(rangeDigests(digest.owner(), digest.incarnation(), digest.appliedSequence(), ours));
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

    /** Only copies that are equally far are compared. */
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

    /** Takes a peer's digests by range; answers with the records of ranges that differ. */
    public List<ReplicationMessage> onRangeDigests(String peer, ReplicationMessage.RangeDigests message) {
        List<ReplicationMessage> answers = new ArrayList<>();
        long[] ours = digestsIfAppliedTo(message.owner(), message.incarnation(), message.appliedSequence());
        if (ours == null) {
            return answers;
        }
        boolean differ = false;
        for (int range = 0; range < ours.length; range++) {
            if (ours[range] != message.digests().get(range)) {
                differ = true;
                answers.addAll(
                        rangeRecords(message.owner(), message.incarnation(), message.appliedSequence(), range, true));
            }
        }
        if (differ) {
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
            addAlarm("the copy of " + owner + " in life " + incarnation + " still differs from its owner's after "
                    + MAX_MISMATCHES + " times: out of decision, fetched whole");
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

    /** Takes a peer's records of a range, and applies the rule; answers with those here if asked to. */
    public List<ReplicationMessage> onRangeRecords(String peer, ReplicationMessage.RangeRecords message, double nowMs) {
        if (store.appliedSequence(message.owner(), message.incarnation()).orElse(0) != message.appliedSequence()
                || store.digests(message.owner(), message.incarnation()) == null) {
            return List.of();
        }
        List<ReplicationMessage> answer = message.replyRequested() && message.lastPiece()
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
        return answer;
    }

    private void resolve(
            String peer, String owner, long incarnation, RecordKey key, ReplicatedRecord theirs, double nowMs) {
        ReplicatedRecord ours = store.record(owner, incarnation, key);
        boolean goneHere = ours == null || ours.removed();
        boolean goneThere = theirs == null || theirs.removed();
        if (goneHere && goneThere
                || ours != null
                        && theirs != null
                        && ours.checksum() == theirs.checksum()
                        && ours.hasValidChecksum(owner)
                        && theirs.hasValidChecksum(owner)) {
            return;
        }
        boolean ownLog = owner.equals(store.localMember()) && incarnation == store.incarnation();
        boolean present = incarnation == store.newestIncarnation(owner);
        Verdict verdict;
        if (ours != null && !ours.hasValidChecksum(owner)) {
            verdict = theirs != null && theirs.hasValidChecksum(owner) || !ownLog
                    ? Verdict.TOOK_THEIRS
                    : Verdict.KEPT_MINE;
        } else if (theirs != null && !theirs.hasValidChecksum(owner) || ownLog) {
            verdict = Verdict.KEPT_MINE;
        } else if (theirs == null) {
            verdict = peer.equals(owner) && present ? Verdict.TOOK_THEIRS : Verdict.KEPT_MINE;
        } else if (ours == null) {
            verdict = Verdict.TOOK_THEIRS;
        } else if (ours.version().equals(theirs.version())) {
            verdict = Verdict.TWO_WRITERS;
        } else {
            verdict = theirs.version().compareTo(ours.version()) > 0 ? Verdict.TOOK_THEIRS : Verdict.KEPT_MINE;
        }
        if (ownLog
                && ours != null
                && theirs != null
                && ours.hasValidChecksum(owner)
                && theirs.hasValidChecksum(owner)
                && ours.version().equals(theirs.version())) {
            verdict = Verdict.TWO_WRITERS;
        }
        addDifference(new Difference(
                nowMs,
                owner,
                incarnation,
                key.space(),
                key.key(),
                peer,
                describe(owner, ours),
                describe(owner, theirs),
                verdict));
        if (verdict == Verdict.TOOK_THEIRS) {
            store.repair(
                    owner, incarnation, key, theirs != null && !theirs.hasValidChecksum(owner) ? null : theirs, nowMs);
        } else if (verdict == Verdict.TWO_WRITERS) {
            store.resolveConflict(owner, incarnation, ours, theirs);
        }
    }

    private static String describe(String owner, ReplicatedRecord record) {
        return record == null
                ? "nothing"
                : record.hasValidChecksum(owner) ? record.toString() : record + " (not what was written)";
    }

    private void addDifference(Difference difference) {
        totalDifferences++;
        if (differences.size() == MAX_RECENT) {
            differences.removeFirst();
        }
        differences.addLast(difference);
        addAlarm("copies differ: " + difference.owner() + " life " + difference.life() + " " + difference.space() + "/"
                + difference.key() + ": here " + difference.mine() + ", at " + difference.peer() + " "
                + difference.theirs() + ": " + difference.verdict());
    }

    private void addAlarm(String text) {
        if (alarms.size() < MAX_RECENT) {
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
        return totalDifferences;
    }

    /** Logs that were found to differ and were not found equal since. */
    public int countDifferingLogs() {
        differingLogs.removeIf(log -> log.incarnation() < store.newestIncarnation(log.owner())
                && store.appliedSequence(log.owner(), log.incarnation()).isEmpty());
        return differingLogs.size();
    }

    /** Whether a copy here still differs after the rule: nobody acts on this member's copies. */
    public boolean hasDiscardedLogs() {
        discardedLogs.removeIf(log -> log.incarnation() < store.newestIncarnation(log.owner()));
        return !discardedLogs.isEmpty();
    }
}
