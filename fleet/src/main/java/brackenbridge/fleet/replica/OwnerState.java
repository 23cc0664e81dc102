package brackenbridge.fleet.replica;

import java.util.TreeMap;

/**
 * What this member knows of one owner: its newest incarnation, how current the copy of it is, and the logs of it and of
 * ended incarnations whose counters are not folded yet. Mutable; guarded by whoever guards the {@link RecordStore}.
 */
final class OwnerState {
    /** The newest incarnation that was heard of; 0 if none. */
    long incarnation;
    /** Drawn by the owner's process; 0 if unknown. */
    long nonce;
    /** The last heartbeat of this incarnation. */
    long heartbeat;
    /** The sequence number that the owner had reached at that heartbeat. */
    long announcedSequence;
    /** When the owner gave that heartbeat, by the local clock in milliseconds. */
    double lastHeardAtMs = Double.NEGATIVE_INFINITY;
    /** The last heartbeat at which all that the owner had announced was here, in milliseconds. */
    double lastCompleteAtMs = Double.NEGATIVE_INFINITY;
    /** Why the newest incarnation is quarantined; null if it is not. */
    String quarantineReason;
    /** Logs by incarnation. */
    final TreeMap<Long, OwnerLog> logs = new TreeMap<>();

    OwnerState copy() {
        OwnerState copy = new OwnerState();
        copy.incarnation = incarnation;
        copy.nonce = nonce;
        copy.heartbeat = heartbeat;
        copy.announcedSequence = announcedSequence;
        copy.lastHeardAtMs = lastHeardAtMs;
        copy.lastCompleteAtMs = lastCompleteAtMs;
        copy.quarantineReason = quarantineReason;
        logs.forEach((of, log) -> copy.logs.put(of, log.copy()));
        return copy;
    }

    /** The log of the newest incarnation; null if nothing of it is here. */
    OwnerLog newestLog() {
        return logs.get(incarnation);
    }

    /** If all that was announced is here, the copy is as current as the last heartbeat. */
    void updateCompleteness() {
        OwnerLog log = newestLog();
        if ((log == null ? 0 : log.appliedSequence) >= announcedSequence) {
            lastCompleteAtMs = Math.max(lastCompleteAtMs, lastHeardAtMs);
        }
    }
}
