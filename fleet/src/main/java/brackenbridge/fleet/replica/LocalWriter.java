package brackenbridge.fleet.replica;

import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.TreeSet;

/** Writes this member's registers and counters, and folds the counters of its ended incarnations. */
final class LocalWriter {
    private final RecordTable table;
    private final LocalOwner local;

    LocalWriter(RecordTable table, LocalOwner local) {
        this.table = table;
        this.local = local;
    }

    boolean put(RecordSpace space, String key, byte[] value, double nowMs) {
        space.requireKind(RecordSpace.Kind.REGISTER);
        return write(space, key, Objects.requireNonNull(value), 0, 0, nowMs);
    }

    boolean remove(RecordSpace space, String key, double nowMs) {
        space.requireKind(RecordSpace.Kind.REGISTER);
        ReplicatedRecord record = local.log().get(new RecordKey(space, key));
        return record != null && !record.removed() && write(space, key, null, 0, 0, nowMs);
    }

    boolean add(RecordSpace space, String key, long increment, double nowMs) {
        space.requireKind(RecordSpace.Kind.COUNTER);
        if (increment < 0) {
            throw new IllegalArgumentException("a counter can only grow, increment " + increment);
        }
        ReplicatedRecord record = local.log().get(new RecordKey(space, key));
        long count = record == null ? 0 : record.count();
        long foldedBelow = record == null ? 0 : record.foldedBelow();
        long sum = increment > Long.MAX_VALUE - count ? Long.MAX_VALUE : count + increment;
        return write(space, key, null, sum, foldedBelow, nowMs);
    }

    /** Appends a write to the log; false if this incarnation is quarantined or has the maximum number of records. */
    boolean write(RecordSpace space, String key, byte[] value, long count, long foldedBelow, double nowMs) {
        OwnerState owner = local.state();
        OwnerLog log = local.log();
        boolean full = log.size() >= RecordStore.MAX_RECORDS && log.get(new RecordKey(space, key)) == null;
        if (owner.quarantineReason != null || full) {
            return false;
        }
        RecordVersion version = new RecordVersion(local.incarnation, log.appliedSequence + 1);
        table.apply(owner, log, ReplicatedRecord.of(local.name, space, key, version, value, count, foldedBelow), nowMs);
        log.appliedSequence++;
        table.addChange(local.name, local.incarnation, null);
        return true;
    }

    int foldCounters(long endBefore, double nowMs) {
        if (endBefore > local.incarnation) {
            throw new IllegalArgumentException("only ended incarnations are folded");
        }
        OwnerState owner = local.state();
        TreeSet<RecordKey> keys = new TreeSet<>();
        for (OwnerLog log : owner.logs.headMap(endBefore).values()) {
            log.records().stream()
                    .filter(record -> record.space().kind() == RecordSpace.Kind.COUNTER)
                    .forEach(record -> keys.add(record.recordKey()));
        }
        int folded = 0;
        for (RecordKey key : keys) {
            ReplicatedRecord present = local.log().get(key);
            long count = present == null ? 0 : present.count();
            for (OwnerLog log : owner.logs.headMap(endBefore).values()) {
                ReplicatedRecord endedRecord = log.get(key);
                count += endedRecord == null ? 0 : endedRecord.count();
            }
            folded += write(key.space(), key.key(), null, count, endBefore, nowMs) ? 1 : 0;
        }
        return folded;
    }

    Map<Long, Long> endedIncarnations() {
        TreeMap<Long, Long> endedSequences = new TreeMap<>();
        local.state().logs.headMap(local.incarnation).forEach((incarnation, log) -> {
            if (log.size() > 0) {
                endedSequences.put(incarnation, log.appliedSequence);
            }
        });
        return endedSequences;
    }
}
