package brackenbridge.fleet.replica;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/** Creates the messages that describe the local logs: summaries, requests, and chunks of logs and snapshots. */
final class LogReader {
    /** The maximum age in a summary, in milliseconds; greater ages are reduced to it. */
    private static final double MAX_AGE_MS = 1e15;

    private final RecordTable table;
    private final LocalOwner local;

    LogReader(RecordTable table, LocalOwner local) {
        this.table = table;
        this.local = local;
    }

    List<ReplicationMessage.OwnerSummary> summaries(Iterable<String> names, double nowMs) {
        List<ReplicationMessage.OwnerSummary> summaries = new ArrayList<>();
        for (String name : names) {
            OwnerState owner = table.find(name);
            if (owner != null) {
                summaries.add(summarize(name, owner, nowMs));
            }
        }
        return summaries;
    }

    private ReplicationMessage.OwnerSummary summarize(String name, OwnerState owner, double nowMs) {
        OwnerLog log = owner.newestLog();
        long applied = log == null ? 0 : log.appliedSequence;
        boolean self = local.isNamed(name) && owner.incarnation == local.incarnation;
        double ageMs = self ? 0 : Math.min(MAX_AGE_MS, Math.max(0, nowMs - owner.lastHeartbeatAtMs));
        return new ReplicationMessage.OwnerSummary(
                name,
                owner.incarnation,
                owner.nonce,
                self ? local.heartbeat : owner.heartbeat,
                self ? applied : owner.announcedSequence,
                applied,
                (long) Math.ceil(ageMs),
                owner.quarantineReason != null);
    }

    List<ReplicationMessage.EndedLog> endedLogs() {
        List<ReplicationMessage.EndedLog> endedLogs = new ArrayList<>();
        table.ownersByName()
                .forEach((name, owner) -> owner.logs.headMap(owner.incarnation).forEach((incarnation, log) -> {
                    if (log.size() > 0) {
                        endedLogs.add(new ReplicationMessage.EndedLog(name, incarnation, log.appliedSequence));
                    }
                }));
        return endedLogs;
    }

    OptionalLong appliedSequence(String name, long incarnation) {
        OwnerState owner = table.find(name);
        OwnerLog log = table.log(name, incarnation);
        if (log != null) {
            return OptionalLong.of(log.appliedSequence);
        }
        boolean ended = owner != null && incarnation < owner.incarnation;
        return ended ? OptionalLong.empty() : OptionalLong.of(0);
    }

    ReplicationMessage.LogRequest createRequest(String name, long incarnation) {
        OwnerLog log = table.log(name, incarnation);
        return log == null
                ? new ReplicationMessage.LogRequest(name, incarnation, 0, 0, 0)
                : new ReplicationMessage.LogRequest(
                        name, incarnation, log.appliedSequence, log.snapshotCursor, log.snapshotEnd);
    }

    ReplicationMessage.LogChunk answer(ReplicationMessage.LogRequest request, int maxBytes) {
        OwnerState owner = table.find(request.owner());
        OwnerLog log = table.log(request.owner(), request.incarnation());
        if (log == null || log.appliedSequence <= request.appliedSequence()) {
            return null;
        }
        if (request.incarnation() < owner.incarnation || request.appliedSequence() >= log.tombstoneFloor) {
            return log.readChunk(request.appliedSequence(), log.appliedSequence, 0, owner.incarnation, maxBytes);
        }
        // A snapshot that another member began may be resumed. If tombstones after its end were forgotten since, the
        // requester is below the floor when it ends, and its next request starts another snapshot.
        boolean resumes = request.snapshotEnd() > request.appliedSequence()
                && request.snapshotEnd() <= log.appliedSequence
                && request.snapshotCursor() < request.snapshotEnd();
        return resumes
                ? log.readChunk(
                        request.snapshotCursor(),
                        request.snapshotEnd(),
                        request.snapshotEnd(),
                        owner.incarnation,
                        maxBytes)
                : log.readChunk(0, log.appliedSequence, log.appliedSequence, owner.incarnation, maxBytes);
    }

    ReplicationMessage.LogChunk readAfter(String name, long incarnation, long sequence, int maxBytes) {
        OwnerLog log = table.log(name, incarnation);
        return log == null || sequence >= log.appliedSequence || sequence < log.tombstoneFloor
                ? null
                : log.readChunk(sequence, log.appliedSequence, 0, table.find(name).incarnation, maxBytes);
    }
}
