package brackenbridge.fleet.replica;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/**
 * One member's copy of all registers and counters, by owner and incarnation. It has no I/O, threads or timers: the
 * caller passes times and values. Not thread-safe. Times are milliseconds of the local monotonic clock.
 *
 * <p>Registers belong to an incarnation and are dropped as soon as a later one is known. Counters are grow-only, one
 * for each owner and incarnation (Shapiro, Preguica, Baquero, Zawirski: Conflict-free replicated data types, 2011), and
 * are kept after both have ended.
 *
 * <p>Each concern is a separate class on a shared {@link RecordTable}: {@link LocalWriter}, {@link SummaryMerger},
 * {@link LogMerger}, {@link LogReader}, {@link CopyRepair} and {@link RecordReader}.
 */
public final class RecordStore {
    /** The maximum number of owners. */
    public static final int MAX_OWNERS = 4096;
    /** The maximum number of records of one incarnation of an owner. */
    public static final int MAX_RECORDS = 200_000;
    /** The maximum number of ended incarnations of an owner whose counters are kept. */
    public static final int MAX_ENDED_INCARNATIONS = 16;

    /** The result of merging a chunk. */
    public enum MergeResult {
        /** The chunk contained new writes. */
        NEW,
        /** All of its writes were known. */
        KNOWN,
        /** Writes before the chunk are missing. */
        GAP,
        /** A checksum does not match, or a bound is exceeded. */
        REJECTED
    }

    private final RecordTable table;
    private final LocalOwner local;
    private final LocalWriter writer;
    private final SummaryMerger summaryMerger;
    private final LogMerger logMerger;
    private final LogReader logReader;
    private final CopyRepair copyRepair;
    private final RecordReader reader;

    /**
     * Creates an empty copy.
     *
     * @param member the name of this member
     * @param incarnation its incarnation
     * @param nonce a random number that identifies this process
     * @param tracksChanges whether changes are collected for {@link #drainChanges}
     */
    public RecordStore(String member, long incarnation, long nonce, boolean tracksChanges) {
        this(new RecordTable(tracksChanges), member, incarnation, nonce);
        local.addToTable();
    }

    private RecordStore(RecordTable table, String member, long incarnation, long nonce) {
        this(table, new LocalOwner(table, member, incarnation, nonce));
    }

    private RecordStore(RecordTable table, LocalOwner local) {
        this.table = table;
        this.local = local;
        writer = new LocalWriter(table, local);
        summaryMerger = new SummaryMerger(table, local, writer);
        logMerger = new LogMerger(table, local);
        logReader = new LogReader(table, local);
        copyRepair = new CopyRepair(table, local);
        reader = new RecordReader(table, local);
    }

    /** A deep copy, which does not track changes. */
    public RecordStore copy() {
        RecordTable other = table.copy();
        return new RecordStore(other, local.copy(other));
    }

    /** The name of this member. */
    public String localMember() {
        return local.name;
    }

    /** This member's incarnation. */
    public long incarnation() {
        return local.incarnation;
    }

    /** The random number that identifies this process. */
    public long nonce() {
        return local.nonce;
    }

    /** The names of all known owners, including this member. */
    public List<String> owners() {
        return table.names();
    }

    /** The alarms for the operator since the last call. */
    public List<String> drainAlarms() {
        return table.drainAlarms();
    }

    /** The changes since the last call. */
    List<RecordTable.Change> drainChanges() {
        return table.drainChanges();
    }

    // ---- local writes ----

    /**
     * Writes one of this member's registers.
     *
     * @return false if this incarnation is quarantined or has {@link #MAX_RECORDS} already
     * @throws IllegalArgumentException if the space does not contain registers
     */
    public boolean put(RecordSpace space, String key, byte[] value, double nowMs) {
        return writer.put(space, key, value, nowMs);
    }

    /**
     * Removes one of this member's registers and leaves a tombstone.
     *
     * @return false if there is none, or as for {@link #put}
     * @throws IllegalArgumentException if the space does not contain registers
     */
    public boolean remove(RecordSpace space, String key, double nowMs) {
        return writer.remove(space, key, nowMs);
    }

    /**
     * Adds to this incarnation's counter, which saturates at {@link Long#MAX_VALUE}.
     *
     * @return false as for {@link #put}
     * @throws IllegalArgumentException if the space does not contain counters, or the increment is negative
     */
    public boolean add(RecordSpace space, String key, long increment, double nowMs) {
        return writer.add(space, key, increment, nowMs);
    }

    /**
     * Folds counters of this member's ended incarnations into the present one. The write of each key contains the
     * incarnations that it includes, so that a copy drops them in the step in which it applies the write: nothing is
     * counted twice in any copy at any time. Nothing is lost if no other copy has more writes of those incarnations
     * than this one.
     *
     * @param endBefore incarnations earlier than this are folded
     * @return the number of folded keys
     * @throws IllegalArgumentException if the present incarnation would be folded
     */
    public int foldCounters(long endBefore, double nowMs) {
        return writer.foldCounters(endBefore, nowMs);
    }

    /** This member's ended incarnations whose counters are kept, each with its position. */
    public Map<Long, Long> endedLocalIncarnations() {
        return writer.endedIncarnations();
    }

    /**
     * Forgets old tombstones, and those above the maximum number.
     *
     * @param retentionMs the age from which tombstones are old, in milliseconds
     */
    public void forgetTombstones(double nowMs, double retentionMs) {
        for (OwnerState owner : table.states()) {
            OwnerLog log = owner.newestLog();
            if (log != null) {
                log.forgetTombstones(nowMs, retentionMs)
                        .forEach(key -> table.addChange(log.owner, log.incarnation, key));
            }
        }
    }

    // ---- incarnations and heartbeats ----

    /** Marks the start of this process, which announces none of its writes before {@link #startAnnouncing}. */
    void startSilently(double nowMs) {
        local.startedAtMs = nowMs;
        local.announced = local.log().appliedSequence > 0;
    }

    /** Marks that peers may receive writes of this member from now on. */
    void startAnnouncing() {
        local.announced = true;
    }

    /** Advances the number of this member's heartbeat. */
    public void incrementHeartbeat() {
        local.heartbeat++;
    }

    /** Whether peers have reported this incarnation with this process's nonce. */
    public boolean isConfirmedByPeers() {
        return local.confirmed;
    }

    /** Summaries of these owners; unknown ones are left out. */
    public List<ReplicationMessage.OwnerSummary> summaries(Iterable<String> names, double nowMs) {
        return logReader.summaries(names, nowMs);
    }

    /** The positions of all ended incarnations whose counters are kept. */
    public List<ReplicationMessage.EndedLog> endedLogs() {
        return logReader.endedLogs();
    }

    /**
     * Merges a summary.
     *
     * @return whether it changed the state
     */
    public boolean merge(ReplicationMessage.OwnerSummary summary, double nowMs) {
        return summaryMerger.merge(summary, nowMs);
    }

    /** Why an owner's newest incarnation is quarantined; null if it is not. */
    public String quarantineReason(String name) {
        OwnerState owner = table.find(name);
        return owner == null ? null : owner.quarantineReason;
    }

    /** The newest known incarnation of this owner; 0 if none. */
    public long newestIncarnation(String name) {
        OwnerState owner = table.find(name);
        return owner == null ? 0 : owner.incarnation;
    }

    // ---- logs ----

    /** The position of a copy: all writes up to it are applied; empty if the incarnation has ended and none is kept. */
    public OptionalLong appliedSequence(String owner, long incarnation) {
        return logReader.appliedSequence(owner, incarnation);
    }

    /** Creates a request for the missing writes of this incarnation. */
    public ReplicationMessage.LogRequest createRequest(String owner, long incarnation) {
        return logReader.createRequest(owner, incarnation);
    }

    /**
     * Answers a request with a chunk of the log after the requester's position, or with a chunk of a snapshot if
     * tombstones after that position were forgotten.
     *
     * @param maxBytes the approximate maximum size of the chunk
     * @return null if there is nothing here that the requester lacks
     */
    public ReplicationMessage.LogChunk answer(ReplicationMessage.LogRequest request, int maxBytes) {
        return logReader.answer(request, maxBytes);
    }

    /**
     * Reads a chunk of the log after one write, for pushing.
     *
     * @param maxBytes the approximate maximum size of the chunk
     * @return null if there is nothing after the write, or tombstones after it were forgotten
     */
    public ReplicationMessage.LogChunk readAfter(String owner, long incarnation, long sequence, int maxBytes) {
        return logReader.readAfter(owner, incarnation, sequence, maxBytes);
    }

    /** Merges a chunk of a log or of a snapshot. */
    public MergeResult merge(ReplicationMessage.LogChunk chunk, double nowMs) {
        return logMerger.merge(chunk, nowMs);
    }

    /**
     * Restores the log of one incarnation from disk; ignored for this member's present incarnation.
     *
     * @param appliedSequence all writes up to this one are applied
     * @param tombstoneFloor tombstones up to this write may be forgotten
     */
    public void restore(
            String owner, long incarnation, long appliedSequence, long tombstoneFloor, List<ReplicatedRecord> records) {
        logMerger.restore(owner, incarnation, appliedSequence, tombstoneFloor, records);
    }

    /** The number of records of this incarnation. */
    public int size(String owner, long incarnation) {
        OwnerLog log = table.log(owner, incarnation);
        return log == null ? 0 : log.size();
    }

    /** Tombstones of this incarnation up to this write may have been forgotten. */
    public long tombstoneFloor(String owner, long incarnation) {
        OwnerLog log = table.log(owner, incarnation);
        return log == null ? 0 : log.tombstoneFloor;
    }

    // ---- digests and repair ----

    /** Digests of a copy by range; null if there is no such copy, or a snapshot of it is in progress. */
    public long[] digests(String owner, long incarnation) {
        return copyRepair.digests(owner, incarnation);
    }

    /** The incarnations of this owner that have a log here, earliest first. */
    public List<Long> incarnations(String owner) {
        return copyRepair.incarnations(owner);
    }

    /** The records of one incarnation in a range of keys, including tombstones, in the order of keys. */
    public List<ReplicatedRecord> recordsInRange(String owner, long incarnation, int range) {
        return copyRepair.recordsInRange(owner, incarnation, range);
    }

    /** All records of one incarnation, including tombstones, in the order of writes. */
    public List<ReplicatedRecord> records(String owner, long incarnation) {
        return copyRepair.records(owner, incarnation);
    }

    /** The last write of a key by this incarnation, which may be a tombstone; null if there is none. */
    public ReplicatedRecord record(String owner, long incarnation, RecordKey key) {
        return copyRepair.record(owner, incarnation, key);
    }

    /**
     * Replaces a record whose copy was found to be wrong.
     *
     * @param replacement the correct record; null drops the record; ignored if its checksum does not match
     */
    public void repair(String owner, long incarnation, RecordKey key, ReplicatedRecord replacement, double nowMs) {
        copyRepair.repair(owner, incarnation, key, replacement, nowMs);
    }

    /** Resolves a conflict of two contents of one write. */
    void resolveConflict(String owner, long incarnation, ReplicatedRecord ours, ReplicatedRecord theirs) {
        copyRepair.resolveConflict(owner, incarnation, ours, theirs);
    }

    /** Discards a copy, so that it is fetched again; ignored for this member's present incarnation. */
    public void discard(String owner, long incarnation) {
        copyRepair.discard(owner, incarnation);
    }

    // ---- reads ----

    /**
     * The sum of a counter over all owners and incarnations, which saturates at {@link Long#MAX_VALUE}.
     *
     * @throws IllegalArgumentException if the space does not contain counters
     */
    public long sum(RecordSpace space, String key) {
        return reader.sum(space, key);
    }

    /** All records of a space except registers of ended or quarantined incarnations. */
    public List<Replica.ReadRecord> readAll(RecordSpace space, double nowMs) {
        return reader.readAll(space, nowMs);
    }

    /** One record of an owner's newest incarnation; null if there is none, or it is a quarantined register. */
    public Replica.ReadRecord read(String owner, RecordSpace space, String key, double nowMs) {
        return reader.read(owner, space, key, nowMs);
    }

    /** The time since this owner's last heartbeat, in milliseconds; infinite if there was none. */
    public double heartbeatAgeMs(String owner, double nowMs) {
        return reader.heartbeatAgeMs(owner, nowMs);
    }

    /** The announced position of this owner's newest incarnation. */
    public long announcedSequence(String owner) {
        return reader.announcedSequence(owner);
    }

    /** The number of records of all owners. */
    public long size() {
        return reader.size();
    }

    /** The complete state as text, for comparison. */
    @Override
    public String toString() {
        StringBuilder text = new StringBuilder(local.name).append(local.incarnation);
        table.ownersByName()
                .forEach((name, owner) -> text.append(' ')
                        .append(name)
                        .append(owner.incarnation)
                        .append(owner.quarantineReason == null ? "" : "!")
                        .append(owner.logs.values()));
        return text.toString();
    }
}
