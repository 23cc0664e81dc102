package brackenbridge.fleet.replica;

import java.util.List;

/**
 * Merges marks, by which peers say which incarnation of an owner is the newest and how far it has written. A mark of
 * this member itself may say that another process has used its name; then this one either takes a later incarnation, as
 * a SWIM member refutes a suspicion (Das, Gupta, Motivala: SWIM, 2002), or is quarantined.
 */
final class SummaryMerger {
    private final RecordTable table;
    private final LocalOwner local;
    private final LocalWriter writer;

    SummaryMerger(RecordTable table, LocalOwner local, LocalWriter writer) {
        this.table = table;
        this.local = local;
        this.writer = writer;
    }

    /** Merges a mark; true if it was news. */
    boolean merge(ReplicationMessage.OwnerSummary mark, double nowMs) {
        if (local.isNamed(mark.owner())) {
            return mergeOfLocal(mark, nowMs);
        }
        OwnerState owner = table.findOrAdd(mark.owner());
        if (owner == null || mark.incarnation() < owner.incarnation) {
            return false;
        }
        boolean news = table.advanceIncarnation(mark.owner(), owner, mark.incarnation());
        if (owner.nonce == 0) {
            owner.nonce = mark.nonce();
        } else if (mark.nonce() != 0 && mark.nonce() != owner.nonce) {
            news |= table.quarantine(
                    mark.owner(),
                    owner,
                    "two processes write as " + mark.owner() + " in life " + mark.incarnation() + ": "
                            + Long.toHexString(owner.nonce) + " and " + Long.toHexString(mark.nonce()));
        }
        if (mark.quarantined()) {
            news |= table.quarantine(mark.owner(), owner, "put aside by another member in life " + mark.incarnation());
        }
        return mergeHeartbeat(owner, mark, nowMs) | news;
    }

    private static boolean mergeHeartbeat(OwnerState owner, ReplicationMessage.OwnerSummary mark, double nowMs) {
        if (mark.heartbeat() < owner.heartbeat) {
            return false;
        }
        boolean news = mark.heartbeat() > owner.heartbeat;
        owner.heartbeat = mark.heartbeat();
        owner.announcedSequence = Math.max(owner.announcedSequence, mark.announcedSequence());
        owner.lastHeardAtMs = Math.max(owner.lastHeardAtMs, nowMs - mark.ageMs());
        owner.updateCompleteness();
        return news;
    }

    /** Merges what a peer knows of this member itself. */
    private boolean mergeOfLocal(ReplicationMessage.OwnerSummary mark, double nowMs) {
        boolean sameIncarnation = mark.incarnation() == local.incarnation;
        if (sameIncarnation && (mark.nonce() == local.nonce || mark.nonce() == 0)) {
            local.confirmed = true;
            if (mark.quarantined()) {
                local.quarantine("put aside by another member in life " + local.incarnation);
            }
            return false;
        }
        if (mark.incarnation() < local.incarnation || mark.incarnation() == 0) {
            return false;
        }
        boolean nothingAnnounced = !local.announced || !local.confirmed && local.log().appliedSequence == 0;
        boolean otherProcessEnded = nowMs - mark.ageMs() < local.startedAtMs;
        if (nothingAnnounced || otherProcessEnded) {
            // Guards against an old disk and a time of day that went back: the other process is this member's own
            // past, or nothing was announced in this incarnation yet.
            table.addAlarm("incarnation " + local.incarnation + " of " + local.name + " is not the latest, peers know "
                    + mark.incarnation() + ": takes the next");
            startIncarnation(mark.incarnation() + 1, nowMs);
            return true;
        }
        return local.quarantine(
                sameIncarnation
                        ? "another process writes as " + local.name + " in life " + local.incarnation
                        : "another process writes as " + local.name + " in a later life, " + mark.incarnation());
    }

    /**
     * Goes on in a later incarnation with all that was written in this one. Counts that others may know stay where they
     * are, as parts of an ended incarnation, so that none is counted twice.
     */
    private void startIncarnation(long next, double nowMs) {
        OwnerState owner = local.state();
        OwnerLog ended = owner.logs.remove(local.incarnation);
        List<ReplicatedRecord> written = ended.records();
        local.incarnation = next;
        local.confirmed = false;
        owner.incarnation = next;
        owner.quarantineReason = null;
        owner.logs.put(next, new OwnerLog(local.name, next));
        written.forEach(record -> table.addChange(local.name, ended.incarnation, record.recordKey()));
        if (local.announced) {
            ended.endIncarnation();
            owner.logs.put(ended.incarnation, ended);
            table.removeObsoleteLogs(local.name, owner, ended);
        }
        table.addChange(local.name, ended.incarnation, null);
        for (ReplicatedRecord record : written) {
            boolean register = record.space().kind() == RecordSpace.Kind.REGISTER;
            if (!record.removed() && (register || !local.announced)) {
                writer.write(record.space(), record.key(), record.value(), record.count(), record.foldedBelow(), nowMs);
            }
        }
        table.addChange(local.name, next, null);
    }
}
