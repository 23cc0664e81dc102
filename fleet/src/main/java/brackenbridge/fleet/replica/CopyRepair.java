package brackenbridge.fleet.replica;

import java.util.List;

/** Provides digests and records of single logs for comparison with a peer's copies, and repairs copies that differ. */
final class CopyRepair {
    private final RecordTable table;
    private final LocalOwner local;

    CopyRepair(RecordTable table, LocalOwner local) {
        this.table = table;
        this.local = local;
    }

    long[] digests(String owner, long incarnation) {
        OwnerLog log = table.log(owner, incarnation);
        return log == null || log.snapshotEnd != 0 || log.appliedSequence == 0 ? null : log.digests();
    }

    List<Long> incarnations(String name) {
        OwnerState owner = table.find(name);
        return owner == null ? List.of() : List.copyOf(owner.logs.keySet());
    }

    List<ReplicatedRecord> recordsInRange(String owner, long incarnation, int range) {
        return records(owner, incarnation).stream()
                .filter(record -> record.recordKey().rangeIndex() == range)
                .sorted((first, second) -> first.recordKey().compareTo(second.recordKey()))
                .toList();
    }

    List<ReplicatedRecord> records(String owner, long incarnation) {
        OwnerLog log = table.log(owner, incarnation);
        return log == null ? List.of() : log.records();
    }

    ReplicatedRecord record(String owner, long incarnation, RecordKey key) {
        OwnerLog log = table.log(owner, incarnation);
        return log == null ? null : log.get(key);
    }

    void repair(String owner, long incarnation, RecordKey key, ReplicatedRecord replacement, double nowMs) {
        OwnerLog log = table.log(owner, incarnation);
        if (log == null || replacement != null && !replacement.hasValidChecksum(owner)) {
            return;
        }
        if (replacement == null) {
            log.drop(key);
        } else {
            log.replace(replacement, nowMs);
        }
        table.addChange(owner, incarnation, key);
    }

    void resolveConflict(String name, long incarnation, ReplicatedRecord ours, ReplicatedRecord theirs) {
        OwnerLog log = table.log(name, incarnation);
        if (log != null) {
            table.resolveConflict(table.find(name), log, ours, theirs);
        }
    }

    void discard(String name, long incarnation) {
        OwnerLog log = table.log(name, incarnation);
        if (log == null || local.isNamed(name) && incarnation == local.incarnation) {
            return;
        }
        log.records().forEach(record -> {
            log.drop(record.recordKey());
            table.addChange(name, incarnation, record.recordKey());
        });
        log.appliedSequence = 0;
        log.tombstoneFloor = 0;
        log.clearSnapshot();
        table.find(name).lastCompleteAtMs = Double.NEGATIVE_INFINITY;
        table.addChange(name, incarnation, null);
    }
}
