package brackenbridge.fleet.replica;

import java.util.List;

/** Merges pieces of other owners' logs and snapshots that peers send or that were read from disk. */
final class LogMerger {
    private final RecordTable table;
    private final LocalOwner local;

    LogMerger(RecordTable table, LocalOwner local) {
        this.table = table;
        this.local = local;
    }

    RecordStore.MergeResult merge(ReplicationMessage.Chunk chunk, double nowMs) {
        OwnerState owner = table.findOrAdd(chunk.owner());
        if (owner == null) {
            return RecordStore.MergeResult.REJECTED;
        }
        for (ReplicatedRecord record : chunk.entries()) {
            if (!record.intact(chunk.owner())) {
                table.addAlarm("a peer sent a record of " + chunk.owner() + " that is not what it wrote: " + record);
                return RecordStore.MergeResult.REJECTED;
            }
        }
        boolean ofLocal = local.isNamed(chunk.owner());
        if (ofLocal && chunk.life() >= local.incarnation) {
            checkOwnLog(owner, chunk);
            return RecordStore.MergeResult.KNOWN;
        }
        if (!ofLocal) {
            table.advanceIncarnation(chunk.owner(), owner, chunk.newest());
        }
        OwnerLog log = owner.logs.computeIfAbsent(chunk.life(), of -> new OwnerLog(chunk.owner(), of));
        findConflicts(owner, log, chunk.entries());
        RecordStore.MergeResult result = log.size() + chunk.entries().size() > RecordStore.MAX_RECORDS
                ? RecordStore.MergeResult.REJECTED
                : append(owner, log, chunk, nowMs);
        owner.updateCompleteness();
        table.addChange(chunk.owner(), chunk.life(), null);
        table.removeObsoleteLogs(chunk.owner(), owner, log);
        return result;
    }

    /** This member alone writes its present incarnation: a peer that has more of it has it from another process. */
    private void checkOwnLog(OwnerState owner, ReplicationMessage.Chunk chunk) {
        if (chunk.life() != local.incarnation) {
            return;
        }
        findConflicts(owner, local.log(), chunk.entries());
        long written = local.log().appliedSequence;
        if (chunk.to() > written) {
            local.quarantine("a peer has write " + chunk.to() + " of this life, " + written + " were made");
        }
    }

    private RecordStore.MergeResult append(
            OwnerState owner, OwnerLog log, ReplicationMessage.Chunk chunk, double nowMs) {
        boolean ended = log.incarnation < owner.incarnation;
        return chunk.base() == 0 || ended
                ? appendLog(owner, log, chunk, nowMs)
                : appendSnapshot(owner, log, chunk, nowMs);
    }

    private RecordStore.MergeResult appendLog(
            OwnerState owner, OwnerLog log, ReplicationMessage.Chunk chunk, double nowMs) {
        if (chunk.from() > log.appliedSequence) {
            return RecordStore.MergeResult.GAP;
        }
        if (chunk.to() <= log.appliedSequence) {
            return RecordStore.MergeResult.KNOWN;
        }
        applyAfter(owner, log, log.appliedSequence, chunk.entries(), nowMs);
        log.appliedSequence = chunk.to();
        log.clearSnapshot();
        return RecordStore.MergeResult.NEW;
    }

    private RecordStore.MergeResult appendSnapshot(
            OwnerState owner, OwnerLog log, ReplicationMessage.Chunk chunk, double nowMs) {
        if (chunk.base() <= log.appliedSequence) {
            return RecordStore.MergeResult.KNOWN;
        }
        if (log.snapshotEnd != chunk.base()) {
            if (chunk.from() != 0) {
                return RecordStore.MergeResult.GAP;
            }
            log.snapshotEnd = chunk.base();
            log.snapshotCursor = 0;
        }
        if (chunk.from() > log.snapshotCursor) {
            return RecordStore.MergeResult.GAP;
        }
        if (chunk.to() <= log.snapshotCursor) {
            return RecordStore.MergeResult.KNOWN;
        }
        log.dropBetween(log.snapshotCursor, chunk.to(), chunk.entries())
                .forEach(key -> table.addChange(log.owner, log.incarnation, key));
        applyAfter(owner, log, log.snapshotCursor, chunk.entries(), nowMs);
        log.snapshotCursor = chunk.to();
        log.tombstoneFloor = Math.max(log.tombstoneFloor, chunk.floor());
        if (log.snapshotCursor >= log.snapshotEnd) {
            log.appliedSequence = log.snapshotEnd;
            log.clearSnapshot();
        }
        return RecordStore.MergeResult.NEW;
    }

    private void applyAfter(
            OwnerState owner, OwnerLog log, long sequence, List<ReplicatedRecord> records, double nowMs) {
        for (ReplicatedRecord record : records) {
            if (record.version().sequence() > sequence) {
                table.apply(owner, log, record, nowMs);
            }
        }
    }

    private void findConflicts(OwnerState owner, OwnerLog log, List<ReplicatedRecord> records) {
        for (ReplicatedRecord record : records) {
            ReplicatedRecord mine = log.at(record.version().sequence());
            if (mine != null && mine.sum() != record.sum() && mine.intact(log.owner)) {
                table.resolveConflict(owner, log, mine, record);
            }
        }
    }

    void restore(
            String name, long incarnation, long appliedSequence, long tombstoneFloor, List<ReplicatedRecord> records) {
        OwnerState owner = table.findOrAdd(name);
        if (owner == null || local.isNamed(name) && incarnation >= local.incarnation) {
            return;
        }
        table.advanceIncarnation(name, owner, incarnation);
        OwnerLog log = owner.logs.computeIfAbsent(incarnation, of -> new OwnerLog(name, of));
        records.forEach(record -> table.apply(owner, log, record, 0));
        log.appliedSequence = appliedSequence;
        log.tombstoneFloor = tombstoneFloor;
        table.removeObsoleteLogs(name, owner, log);
    }
}
