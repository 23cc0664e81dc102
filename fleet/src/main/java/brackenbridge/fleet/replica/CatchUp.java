package brackenbridge.fleet.replica;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Catch-up: which logs are behind what peers have named, from which peer to request the rest, and when. Not
 * thread-safe.
 * Bounded: one gap for each log that is behind, {@code 2 * MAX_OWNERS} at the most.
 */
public final class CatchUp {
    /**
     * The log of one incarnation of an owner.
     *
     * @param owner whose
     * @param incarnation which of its incarnations
     */
    public record LogId(String owner, long incarnation) implements Comparable<LogId> {
        @Override
        public int compareTo(LogId other) {
            int byOwner = owner.compareTo(other.owner);
            return byOwner != 0 ? byOwner : Long.compare(incarnation, other.incarnation);
        }
    }

    private static final class Gap {
        /** The greatest sequence number that a peer has named. */
        long targetSequence;
        /** All up to this sequence number is here. */
        long appliedSequence;
        /** The peer to request from. */
        String source;
        /** Since when writes up to {@link #lagTargetSequence} are missing, in milliseconds. */
        double behindSinceMs;
        /** The target when the present lag began. */
        long lagTargetSequence;

        double nextRequestAtMs;
        /** Requests since the last progress. */
        int requests;
        /** When a peer last named it, in milliseconds. */
        double lastReportedMs;
    }

    /** A log that was requested in vain and that no peer has named for so long is forgotten; milliseconds. */
    private static final double FORGET_AFTER_MS = 5000;
    /** Logs in one request, at the most. */
    private static final int MAX_LOGS_PER_REQUEST = 64;
    /** Requests in vain from one peer, after which another that names the log takes its place. */
    private static final int MAX_REQUESTS_TO_SOURCE = 1;
    /** The pause between requests grows up to so many times the first. */
    private static final int MAX_BACKOFF_FACTOR = 8;
    /** Requests in vain after which a log that is not named any more is forgotten. */
    private static final int MAX_REQUESTS_UNREPORTED = 2;

    private final ReplicationLimits limits;
    private final Map<LogId, Gap> gaps = new TreeMap<>();
    private boolean wasCaughtUp;

    /** Nothing was named yet. */
    public CatchUp(ReplicationLimits limits) {
        this.limits = limits;
    }

    /** A peer has named the sequence number that its copy of a log has reached. */
    public void onPosition(String peer, LogId log, long reported, long applied, double nowMs) {
        if (reported <= applied) {
            return;
        }
        Gap gap = gaps.get(log);
        if (gap == null) {
            if (gaps.size() >= 2 * RecordStore.MAX_OWNERS) {
                return;
            }
            gap = new Gap();
            gap.behindSinceMs = nowMs;
            gap.lagTargetSequence = reported;
            gaps.put(log, gap);
        }
        gap.appliedSequence = applied;
        // The first who has all of it stays the one to ask, unless it did not answer.
        if (reported > gap.targetSequence || gap.requests > MAX_REQUESTS_TO_SOURCE) {
            gap.source = peer;
            gap.requests = 0;
        }
        gap.targetSequence = Math.max(gap.targetSequence, reported);
        gap.lastReportedMs = nowMs;
    }

    /** Incarnations of an owner before this one have ended: what peers keep of them is named anew. */
    public void dropEnded(String owner, long before) {
        gaps.keySet().removeIf(log -> log.owner().equals(owner) && log.incarnation() < before);
    }

    /** The copy here has reached this sequence number; {@link Long#MAX_VALUE} if it is not needed any more. */
    public void onProgress(LogId log, long applied, double nowMs) {
        Gap gap = gaps.get(log);
        if (gap == null) {
            return;
        }
        if (applied >= gap.targetSequence) {
            gaps.remove(log);
            return;
        }
        if (applied >= gap.lagTargetSequence) {
            gap.behindSinceMs = nowMs;
            gap.lagTargetSequence = gap.targetSequence;
        }
        gap.appliedSequence = applied;
        gap.requests = 0;
        gap.nextRequestAtMs = nowMs;
    }

    /** What to request now, by peer; each is requested again with a growing pause until there is progress. */
    public Map<String, List<LogId>> dueRequests(double nowMs) {
        Map<String, List<LogId>> due = new LinkedHashMap<>();
        // Guards against waiting for ever for what nobody in reach names any more: folded, or its only holder is gone.
        gaps.values()
                .removeIf(
                        gap -> gap.requests > MAX_REQUESTS_UNREPORTED && nowMs - gap.lastReportedMs > FORGET_AFTER_MS);
        gaps.forEach((log, gap) -> {
            if (gap.nextRequestAtMs <= nowMs) {
                List<LogId> requests = due.computeIfAbsent(gap.source, source -> new ArrayList<>());
                if (requests.size() < MAX_LOGS_PER_REQUEST) {
                    requests.add(log);
                    gap.requests++;
                    gap.nextRequestAtMs =
                            nowMs + limits.requestTimeoutMs() * Math.min(MAX_BACKOFF_FACTOR, gap.requests);
                }
            }
        });
        return due;
    }

    /** How many writes it is known to lack: at least as many as records, since some were written over. */
    public long missingWrites() {
        return gaps.values().stream()
                .mapToLong(gap -> gap.targetSequence - gap.appliedSequence)
                .sum();
    }

    /**
     * Whether all that was named is here, but for what was named within {@link ReplicationLimits#maxLagMs}; the first
     * time, without that.
     *
     * @param initialized whether enough peers have listed what they have
     */
    public boolean isCaughtUp(boolean initialized, double nowMs) {
        wasCaughtUp |= initialized && gaps.isEmpty();
        return wasCaughtUp && gaps.values().stream().allMatch(gap -> nowMs - gap.behindSinceMs <= limits.maxLagMs());
    }
}
