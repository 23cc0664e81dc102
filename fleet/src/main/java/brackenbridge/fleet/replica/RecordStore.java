package brackenbridge.fleet.replica;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/**
 * One member's copy of all own and counted records, by owner and incarnation. It knows no peers, sockets, threads or
 * disks: times and values in, values out. Not thread-safe: one thread at a time. Times are milliseconds of the local
 * monotonic clock.
 *
 * <p>Own records belong to an incarnation: those of an earlier one are gone as soon as a later one is heard of.
 * Counters are grow-only, one for each owner and incarnation (Shapiro, Preguica, Baquero, Zawirski: Conflict-free
 * replicated data types, 2011), and outlive both.
 *
 * <p>Each concern is a class of its own over one {@link RecordTable}: {@link LocalWriter}, {@link SummaryMerger},
 * {@link LogMerger}, {@link LogReader}, {@link CopyRepair} and {@link RecordReader}.
 */
public final class RecordStore {
    /** Owners that are held, at the most. */
    public static final int MAX_OWNERS = 4096;
    /** Records of one incarnation of an owner, at the most. */
    public static final int MAX_RECORDS = 200_000;
    /** Ended incarnations of an owner of which counters are kept, at the most. */
    public static final int MAX_ENDED_INCARNATIONS = 16;

    /** What became of a piece of a log. */
    public enum MergeResult {
        /** It was new. */
        NEW,
        /** All of it was known. */
        KNOWN,
        /** What lies before it is missing. */
        GAP,
        /** A checksum does not match, or it goes past a bound. */
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
     * An empty copy.
     *
     * @param member the name of this member
     * @param incarnation its incarnation
     * @param nonce drawn at random by this process
     * @param tracksChanges whether it remembers what has changed, for {@link #drainChanges}
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

    /** An independent copy, which tracks no changes. */
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

    /** Drawn at random by this process. */
    public long nonce() {
        return local.nonce;
    }

    /** Owners that are known, this member included. */
    public List<String> owners() {
        return table.names();
    }

    /** What was found that an operator should know, since the last call. */
    public List<String> drainAlarms() {
        return table.drainAlarms();
    }

    /** What has changed since the last call. */
    List<RecordTable.Change> drainChanges() {
        return table.drainChanges();
    }

    // ---- own writes ----

    /**
     * Writes a record of this member's own.
     *
     * @return false if this incarnation is quarantined or has {@link #MAX_RECORDS} already
     * @throws IllegalArgumentException if the space is not of own records
     */
    public boolean put(RecordSpace space, String key, byte[] value, double nowMs) {
        return writer.put(space, key, value, nowMs);
    }

    /**
     * Removes a record of this member's own; a tombstone stands for it.
     *
     * @return false if there is none, or as for {@link #put}
     * @throws IllegalArgumentException if the space is not of own records
     */
    public boolean remove(RecordSpace space, String key, double nowMs) {
        return writer.remove(space, key, nowMs);
    }

    /**
     * Adds to this incarnation's counter; it stays at {@link Long#MAX_VALUE} once it is there.
     *
     * @return false as for {@link #put}
     * @throws IllegalArgumentException if the space is not of counters, or the increment is negative
     */
    public boolean add(RecordSpace space, String key, long increment, double nowMs) {
        return writer.add(space, key, increment, nowMs);
    }

    /**
     * Folds counters of this member's ended incarnations into the present one. Each key's write says which incarnations
     * are within it, so whoever applies it drops those in the same step: nothing is counted twice at any copy at any
     * time. Nothing is lost either if no copy anywhere knows more of those incarnations than this one.
     *
     * @param below incarnations earlier than this
     * @return how many keys were folded
     * @throws IllegalArgumentException if the present incarnation would be folded
     */
    public int foldCounters(long endBefore, double nowMs) {
        return writer.foldCounters(endBefore, nowMs);
    }

    /** This member's ended incarnations of which counters are kept, each with its applied sequence number. */
    public Map<Long, Long> endedLocalIncarnations() {
        return writer.endedIncarnations();
    }

    /**
     * Forgets tombstones, those above the bound and old ones.
     *
     * @param afterMs older than this, in milliseconds
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

    /** This process begins now, and announces nothing that it writes until {@link #startAnnouncing}. */
    void startSilently(double nowMs) {
        local.startedAtMs = nowMs;
        local.announced = local.log().appliedSequence > 0;
    }

    /** From now on others may hear what is written here. */
    void startAnnouncing() {
        local.announced = true;
    }

    /** Counts a heartbeat of this member. */
    public void incrementHeartbeat() {
        local.heartbeat++;
    }

    /** Whether peers have named this incarnation with this process's nonce. */
    public boolean isConfirmedByPeers() {
        return local.confirmed;
    }

    /** The marks of these owners; unknown ones are left out. */
    public List<ReplicationMessage.OwnerSummary> summaries(Iterable<String> names, double nowMs) {
        return logReader.summaries(names, nowMs);
    }

    /** Ended incarnations of all owners of which counters are kept. */
    public List<ReplicationMessage.EndedLog> endedLogs() {
        return logReader.endedLogs();
    }

    /**
     * Merges a mark.
     *
     * @return whether it was news
     */
    public boolean merge(ReplicationMessage.OwnerSummary mark, double nowMs) {
        return summaryMerger.merge(mark, nowMs);
    }

    /** Why an owner's newest incarnation is quarantined; null if it is not. */
    public String quarantineReason(String name) {
        OwnerState owner = table.find(name);
        return owner == null ? null : owner.quarantineReason;
    }

    /** The newest incarnation of this owner that was heard of; 0 if none. */
    public long newestIncarnation(String name) {
        OwnerState owner = table.find(name);
        return owner == null ? 0 : owner.incarnation;
    }

    // ---- logs ----

    /** All writes up to this one are here; empty if the incarnation has ended and nothing of it is kept. */
    public OptionalLong appliedSequence(String owner, long incarnation) {
        return logReader.appliedSequence(owner, incarnation);
    }

    /** What to request to get on with this incarnation. */
    public ReplicationMessage.LogRequest createRequest(String owner, long incarnation) {
        return logReader.createRequest(owner, incarnation);
    }

    /**
     * A piece of what is requested: the log after what the other has; where tombstones after that are forgotten, a
     * piece of a snapshot.
     *
     * @param maxBytes about how many bytes
     * @return null if there is nothing here that the other lacks
     */
    public ReplicationMessage.LogChunk answer(ReplicationMessage.LogRequest request, int maxBytes) {
        return logReader.answer(request, maxBytes);
    }

    /**
     * The log after one write, whatever a certain peer has.
     *
     * @param maxBytes about how many bytes
     * @return null if there is nothing after it, or tombstones after it are forgotten
     */
    public ReplicationMessage.LogChunk readAfter(String owner, long incarnation, long sequence, int maxBytes) {
        return logReader.readAfter(owner, incarnation, sequence, maxBytes);
    }

    /** Merges a piece of a log or of a snapshot. */
    public MergeResult merge(ReplicationMessage.LogChunk chunk, double nowMs) {
        return logMerger.merge(chunk, nowMs);
    }

    /**
     * Puts back what a disk had of one incarnation; nothing of this member's present one.
     *
     * @param appliedSequence all up to this write are in it
     * @param tombstoneFloor tombstones up to this write may be forgotten
     */
    public void restore(
            String owner, long incarnation, long appliedSequence, long tombstoneFloor, List<ReplicatedRecord> records) {
        logMerger.restore(owner, incarnation, appliedSequence, tombstoneFloor, records);
    }

    /** How many records of this incarnation are here. */
    public int size(String owner, long incarnation) {
        OwnerLog log = table.log(owner, incarnation);
        return log == null ? 0 : log.size();
    }

    /** Tombstones of this incarnation up to this write may be forgotten. */
    public long tombstoneFloor(String owner, long incarnation) {
        OwnerLog log = table.log(owner, incarnation);
        return log == null ? 0 : log.tombstoneFloor;
    }

    // ---- digests and repair ----

    /** Digests of this copy by range; null if it has none of this incarnation, or a snapshot is under way. */
    public long[] digests(String owner, long incarnation) {
        return copyRepair.digests(owner, incarnation);
    }

    /** Incarnations of this owner of which something is here, earliest first. */
    public List<Long> incarnations(String owner) {
        return copyRepair.incarnations(owner);
    }

    /** Records of one incarnation in a range of keys, in the order of keys, tombstones among them. */
    public List<ReplicatedRecord> recordsInRange(String owner, long incarnation, int range) {
        return copyRepair.recordsInRange(owner, incarnation, range);
    }

    /** All records of one incarnation, tombstones among them, in the order of writes. */
    public List<ReplicatedRecord> records(String owner, long incarnation) {
        return copyRepair.records(owner, incarnation);
    }

    /** The last write of this key by this incarnation, a tombstone too; null if there is none. */
    public ReplicatedRecord record(String owner, long incarnation, RecordKey key) {
        return copyRepair.record(owner, incarnation, key);
    }

    /**
     * Replaces a copy that the rule found to be the wrong one.
     *
     * @param replacement the right one; null drops the copy; ignored if its checksum does not match
     */
    public void repair(String owner, long incarnation, RecordKey key, ReplicatedRecord replacement, double nowMs) {
        copyRepair.repair(owner, incarnation, key, replacement, nowMs);
    }

    /** Two contents of one write were found in a comparison. */
    void resolveConflict(String owner, long incarnation, ReplicatedRecord ours, ReplicatedRecord theirs) {
        copyRepair.resolveConflict(owner, incarnation, ours, theirs);
    }

    /** Discards a copy, so that all of it is fetched again; never this member's present incarnation. */
    public void discard(String owner, long incarnation) {
        copyRepair.discard(owner, incarnation);
    }

    // ---- reads ----

    /**
     * The sum over all owners and incarnations; it stays at {@link Long#MAX_VALUE} once it is there.
     *
     * @throws IllegalArgumentException if the space is not of counters
     */
    public long sum(RecordSpace space, String key) {
        return reader.sum(space, key);
    }

    /** All records of a space but for ended incarnations' and quarantined ones. */
    public List<Replica.ReadRecord> readAll(RecordSpace space, double nowMs) {
        return reader.readAll(space, nowMs);
    }

    /** One record of an owner's newest incarnation; null if there is none, or it is quarantined. */
    public Replica.ReadRecord read(String owner, RecordSpace space, String key, double nowMs) {
        return reader.read(owner, space, key, nowMs);
    }

    /** How long ago this owner gave its last heartbeat, in milliseconds; infinite if it never did. */
    public double heartbeatAgeMs(String owner, double nowMs) {
        return reader.heartbeatAgeMs(owner, nowMs);
    }

    /** The sequence number that the newest incarnation of this owner is said to have reached. */
    public long announcedSequence(String owner) {
        return reader.announcedSequence(owner);
    }

    /** How many records are here, of all owners. */
    public long size() {
        return reader.size();
    }

    /** Everything, for comparison. */
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
