package brackenbridge.fleet.replica;

import java.util.List;

/**
 * Merges summaries, in which peers report the newest incarnation of an owner and its position. A summary of this member
 * itself may show that another process has used its name; then this process either takes a later incarnation, as a SWIM
 * member refutes a suspicion (Das, Gupta, Motivala: SWIM, 2002), or is quarantined.
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

    /** Merges a summary; returns whether it changed the state. */
    boolean merge(ReplicationMessage.OwnerSummary summary, double nowMs) {
        if (local.isNamed(summary.owner())) {
            return mergeLocal(summary, nowMs);
        }
        OwnerState owner = table.findOrAdd(summary.owner());
        if (owner == null || summary.incarnation() < owner.incarnation) {
            return false;
        }
        boolean changed = table.advanceIncarnation(summary.owner(), owner, summary.incarnation());
        if (owner.nonce == 0) {
            owner.nonce = summary.nonce();
        } else if (summary.nonce() != 0 && summary.nonce() != owner.nonce) {
            changed |= table.quarantine(
                    summary.owner(),
                    owner,
                    "two processes write as " + summary.owner() + " in incarnation " + summary.incarnation() + ": "
                            + Long.toHexString(owner.nonce) + " and " + Long.toHexString(summary.nonce()));
        }
        if (summary.quarantined()) {
            changed |= table.quarantine(
                    summary.owner(), owner, "quarantined by another member in incarnation " + summary.incarnation());
        }
        return mergeHeartbeat(owner, summary, nowMs) | changed;
    }

    private static boolean mergeHeartbeat(OwnerState owner, ReplicationMessage.OwnerSummary summary, double nowMs) {
        if (summary.heartbeat() < owner.heartbeat) {
            return false;
        }
        boolean changed = summary.heartbeat() > owner.heartbeat;
        owner.heartbeat = summary.heartbeat();
        owner.announcedSequence = Math.max(owner.announcedSequence, summary.announcedSequence());
        owner.lastHeartbeatAtMs = Math.max(owner.lastHeartbeatAtMs, nowMs - summary.ageMs());
        owner.updateCompleteness();
        return changed;
    }

    /** Merges a peer's summary of this member itself. */
    private boolean mergeLocal(ReplicationMessage.OwnerSummary summary, double nowMs) {
        boolean sameIncarnation = summary.incarnation() == local.incarnation;
        if (sameIncarnation && (summary.nonce() == local.nonce || summary.nonce() == 0)) {
            local.confirmed = true;
            if (summary.quarantined()) {
                local.quarantine("quarantined by another member in incarnation " + local.incarnation);
            }
            return false;
        }
        if (summary.incarnation() < local.incarnation || summary.incarnation() == 0) {
            return false;
        }
        boolean nothingAnnounced = !local.announced || !local.confirmed && local.log().appliedSequence == 0;
        boolean otherProcessEnded = nowMs - summary.ageMs() < local.startedAtMs;
        if (nothingAnnounced || otherProcessEnded) {
            // Guards against an old disk and a wall clock that was set back: the other process is an earlier process of
            // this member, or nothing was announced in this incarnation yet.
            table.addAlarm("incarnation " + local.incarnation + " of " + local.name + " is not the newest, peers know "
                    + summary.incarnation() + ": taking the next one");
            startIncarnation(summary.incarnation() + 1, nowMs);
            return true;
        }
        return local.quarantine(
                sameIncarnation
                        ? "another process writes as " + local.name + " in incarnation " + local.incarnation
                        : "another process writes as " + local.name + " in the later incarnation "
                                + summary.incarnation());
    }

    /**
     * Starts a later incarnation and writes the records of this one again. Counters that peers may know remain in the
     * ended incarnation, so that none is counted twice.
     */
    private void startIncarnation(long next, double nowMs) {
        OwnerState owner = local.state();
        OwnerLog endedLog = owner.logs.remove(local.incarnation);
        List<ReplicatedRecord> written = endedLog.records();
        local.incarnation = next;
        local.confirmed = false;
        owner.incarnation = next;
        owner.quarantineReason = null;
        owner.logs.put(next, new OwnerLog(local.name, next));
        written.forEach(record -> table.addChange(local.name, endedLog.incarnation, record.recordKey()));
        if (local.announced) {
            endedLog.endIncarnation();
            owner.logs.put(endedLog.incarnation, endedLog);
            table.removeObsoleteLogs(local.name, owner, endedLog);
        }
        table.addChange(local.name, endedLog.incarnation, null);
        for (ReplicatedRecord record : written) {
            boolean register = record.space().kind() == RecordSpace.Kind.REGISTER;
            if (!record.removed() && (register || !local.announced)) {
                writer.write(record.space(), record.key(), record.value(), record.count(), record.foldedBelow(), nowMs);
            }
        }
        table.addChange(local.name, next, null);
    }
}
