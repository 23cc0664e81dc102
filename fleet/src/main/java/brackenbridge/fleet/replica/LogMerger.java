package brackenbridge.fleet.replica;

import java.util.List;

/** Merges chunks of logs and snapshots that peers sent, and logs that were read from disk. */
final class LogMerger {
    private final RecordTable table;
    private final LocalOwner local;

    LogMerger(RecordTable table, LocalOwner local) {
        this.table = table;
        this.local = local;
    }

    RecordStore.MergeResult merge(ReplicationMessage.LogChunk chunk, double nowMs) {
        OwnerState owner = table.findOrAdd(chunk.owner());
        if (owner == null) {
            return RecordStore.MergeResult.REJECTED;
        }
        for (ReplicatedRecord record : chunk.records()) {
            if (!record.hasValidChecksum(chunk.owner())) {
                table.addAlarm("a peer sent a record of " + chunk.owner() + " with a checksum mismatch: " + record);
                return RecordStore.MergeResult.REJECTED;
            }
        }
        boolean ownedLocally = local.isNamed(chunk.owner());
        if (ownedLocally && chunk.incarnation() >= local.incarnation) {
            checkOwnLog(owner, chunk);
            return RecordStore.MergeResult.KNOWN;
        }
        if (!ownedLocally) {
            table.advanceIncarnation(chunk.owner(), owner, chunk.newestIncarnation());
        }
        OwnerLog log = owner.logs.computeIfAbsent(
                chunk.incarnation(), newIncarnation -> new OwnerLog(chunk.owner(), newIncarnation));
        findConflicts(owner, log, chunk.records());
        RecordStore.MergeResult result = log.size() + chunk.records().size() > RecordStore.MAX_RECORDS
                ? RecordStore.MergeResult.REJECTED
                : append(owner, log, chunk, nowMs);
        owner.updateCompleteness();
        table.addChange(chunk.owner(), chunk.incarnation(), null);
        table.removeObsoleteLogs(chunk.owner(), owner, log);
        return result;
    }

    /** Checks that no peer has writes of this member's present incarnation which another process must have made. */
    private void checkOwnLog(OwnerState owner, ReplicationMessage.LogChunk chunk) {
        if (chunk.incarnation() != local.incarnation) {
            return;
        }
        findConflicts(owner, local.log(), chunk.records());
        long ownSequence = local.log().appliedSequence;
        if (chunk.upToSequence() > ownSequence) {
            local.quarantine("a peer has write " + chunk.upToSequence() + " of this incarnation, which has made only "
                    + ownSequence);
        }
    }

    private RecordStore.MergeResult append(
            OwnerState owner, OwnerLog log, ReplicationMessage.LogChunk chunk, double nowMs) {
        boolean incarnationEnded = log.incarnation < owner.incarnation;
        return chunk.snapshotEnd() == 0 || incarnationEnded
                ? appendLog(owner, log, chunk, nowMs)
                : appendSnapshot(owner, log, chunk, nowMs);
    }

    private RecordStore.MergeResult appendLog(
            OwnerState owner, OwnerLog log, ReplicationMessage.LogChunk chunk, double nowMs) {
        if (chunk.afterSequence() > log.appliedSequence) {
            return RecordStore.MergeResult.GAP;
        }
        if (chunk.upToSequence() <= log.appliedSequence) {
            return RecordStore.MergeResult.KNOWN;
        }
        applyAfter(owner, log, log.appliedSequence, chunk.records(), nowMs);
        log.appliedSequence = chunk.upToSequence();
        log.clearSnapshot();
        return RecordStore.MergeResult.NEW;
    }

    private RecordStore.MergeResult appendSnapshot(
            OwnerState owner, OwnerLog log, ReplicationMessage.LogChunk chunk, double nowMs) {
        if (chunk.snapshotEnd() <= log.appliedSequence) {
            return RecordStore.MergeResult.KNOWN;
        }
        if (log.snapshotEnd != chunk.snapshotEnd()) {
            if (chunk.afterSequence() != 0) {
                return RecordStore.MergeResult.GAP;
            }
            log.snapshotEnd = chunk.snapshotEnd();
            log.snapshotCursor = 0;
        }
        if (chunk.afterSequence() > log.snapshotCursor) {
            return RecordStore.MergeResult.GAP;
        }
        if (chunk.upToSequence() <= log.snapshotCursor) {
            return RecordStore.MergeResult.KNOWN;
        }
        log.dropUnlisted(log.snapshotCursor, chunk.upToSequence(), chunk.records())
                .forEach(key -> table.addChange(log.owner, log.incarnation, key));
        applyAfter(owner, log, log.snapshotCursor, chunk.records(), nowMs);
        log.snapshotCursor = chunk.upToSequence();
        log.tombstoneFloor = Math.max(log.tombstoneFloor, chunk.tombstoneFloor());
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
            ReplicatedRecord ours = log.getBySequence(record.version().sequence());
            if (ours != null && ours.checksum() != record.checksum() && ours.hasValidChecksum(log.owner)) {
                table.resolveConflict(owner, log, ours, record);
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
        OwnerLog log = owner.logs.computeIfAbsent(incarnation, newIncarnation -> new OwnerLog(name, newIncarnation));
        records.forEach(record -> table.apply(owner, log, record, 0));
        log.appliedSequence = appliedSequence;
        log.tombstoneFloor = tombstoneFloor;
        table.removeObsoleteLogs(name, owner, log);
    }
}
