package brackenbridge.fleet.replica;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Reads for callers in this process: records with their ages, and sums of counters. */
final class RecordReader {
    private final RecordTable table;
    private final LocalOwner local;

    RecordReader(RecordTable table, LocalOwner local) {
        this.table = table;
        this.local = local;
    }

    long sum(RecordSpace space, String key) {
        space.requireKind(RecordSpace.Kind.COUNTER);
        RecordKey recordKey = new RecordKey(space, key);
        long sum = 0;
        for (OwnerState owner : table.states()) {
            for (OwnerLog log : owner.logs.values()) {
                ReplicatedRecord record = log.get(recordKey);
                long count = record == null ? 0 : record.count();
                sum = count > Long.MAX_VALUE - sum ? Long.MAX_VALUE : sum + count;
            }
        }
        return sum;
    }

    List<Replica.ReadRecord> readAll(RecordSpace space, double nowMs) {
        List<Replica.ReadRecord> readable = new ArrayList<>();
        table.ownersByName().forEach((name, owner) -> {
            for (OwnerLog log : owner.logs.values()) {
                for (ReplicatedRecord record : log.records()) {
                    Replica.ReadRecord seen = record.space() == space ? read(name, owner, log, record, nowMs) : null;
                    if (seen != null) {
                        readable.add(seen);
                    }
                }
            }
        });
        return readable;
    }

    Replica.ReadRecord read(String name, RecordSpace space, String key, double nowMs) {
        OwnerState owner = table.find(name);
        OwnerLog log = owner == null ? null : owner.newestLog();
        ReplicatedRecord record = log == null ? null : log.get(new RecordKey(space, key));
        return record == null ? null : read(name, owner, log, record, nowMs);
    }

    private Replica.ReadRecord read(
            String name, OwnerState owner, OwnerLog log, ReplicatedRecord record, double nowMs) {
        boolean register = record.space().kind() == RecordSpace.Kind.REGISTER;
        boolean unreadable = owner.quarantineReason != null || log.incarnation < owner.incarnation;
        if (record.removed() || register && unreadable) {
            return null;
        }
        byte[] value = register ? record.value() : Long.toString(record.count()).getBytes(StandardCharsets.US_ASCII);
        double ageMs = local.isNamed(name) ? 0 : Math.max(0, nowMs - owner.lastCompleteAtMs);
        return new Replica.ReadRecord(name, record.key(), record.version(), value, ageMs);
    }

    double heartbeatAgeMs(String name, double nowMs) {
        OwnerState owner = table.find(name);
        if (local.isNamed(name)) {
            return 0;
        }
        return owner == null ? Double.POSITIVE_INFINITY : Math.max(0, nowMs - owner.lastHeartbeatAtMs);
    }

    long announcedSequence(String name) {
        OwnerState owner = table.find(name);
        if (local.isNamed(name)) {
            return local.log().appliedSequence;
        }
        return owner == null ? 0 : owner.announcedSequence;
    }

    long size() {
        return table.states().stream()
                .flatMap(owner -> owner.logs.values().stream())
                .mapToLong(OwnerLog::size)
                .sum();
    }
}
