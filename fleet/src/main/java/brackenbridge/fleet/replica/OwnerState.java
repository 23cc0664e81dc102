package brackenbridge.fleet.replica;

import java.util.TreeMap;

/**
 * This member's state of one owner: the owner's newest incarnation, how current the copy is, and the logs of that
 * incarnation and of ended ones whose counters are not folded yet. Mutable; guarded by the lock that guards the
 * {@link RecordStore}.
 */
final class OwnerState {
    /** The newest known incarnation; 0 if none. */
    long incarnation;
    /** The random number that identifies the owner's process; 0 if unknown. */
    long nonce;
    /** The number of the last heartbeat of this incarnation. */
    long heartbeat;
    /** The owner's position in its log at that heartbeat. */
    long announcedSequence;
    /** When the owner sent that heartbeat, in milliseconds of the local clock. */
    double lastHeartbeatAtMs = Double.NEGATIVE_INFINITY;
    /** The time of the last heartbeat whose announced writes were all applied here, in milliseconds. */
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
        copy.lastHeartbeatAtMs = lastHeartbeatAtMs;
        copy.lastCompleteAtMs = lastCompleteAtMs;
        copy.quarantineReason = quarantineReason;
        logs.forEach((ofIncarnation, log) -> copy.logs.put(ofIncarnation, log.copy()));
        return copy;
    }

    /** The log of the newest incarnation; null if nothing of it is here. */
    OwnerLog newestLog() {
        return logs.get(incarnation);
    }

    /** Records that the copy is as current as the last heartbeat if all announced writes are applied. */
    void updateCompleteness() {
        OwnerLog log = newestLog();
        if ((log == null ? 0 : log.appliedSequence) >= announcedSequence) {
            lastCompleteAtMs = Math.max(lastCompleteAtMs, lastHeartbeatAtMs);
        }
    }
}
