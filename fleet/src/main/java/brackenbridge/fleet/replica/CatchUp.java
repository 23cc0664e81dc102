package brackenbridge.fleet.replica;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Tracks which logs are behind the positions that peers have reported, and decides from which peer to request the
 * missing writes and when. Holds one gap for each log that is behind, at most {@code 2 * MAX_OWNERS}. Not thread-safe.
 */
public final class CatchUp {
    /**
     * The log of one incarnation of an owner.
     *
     * @param owner the owner's name
     * @param incarnation the owner's incarnation
     */
    public record LogId(String owner, long incarnation) implements Comparable<LogId> {
        @Override
        public int compareTo(LogId other) {
            int byOwner = owner.compareTo(other.owner);
            return byOwner != 0 ? byOwner : Long.compare(incarnation, other.incarnation);
        }
    }

    /** The writes of one log that are missing here. */
    private static final class Gap {
        /** The greatest sequence number that a peer has reported. */
        long targetSequence;
        /** All writes up to this sequence number are applied here. */
        long appliedSequence;
        /** The peer to request from. */
        String source;
        /** The time since which writes up to {@link #lagTargetSequence} are missing, in milliseconds. */
        double behindSinceMs;
        /** The value of {@link #targetSequence} when the present lag began. */
        long lagTargetSequence;

        double nextRequestAtMs;
        /** The number of requests since the last progress. */
        int requests;
        /** The time at which a peer last reported the log, in milliseconds. */
        double lastReportedMs;
    }

    /** A log whose requests stay unanswered is forgotten if no peer reports it for this time, in milliseconds. */
    private static final double FORGET_AFTER_MS = 5000;
    /** The maximum number of logs in one request. */
    private static final int MAX_LOGS_PER_REQUEST = 64;
    /** Unanswered requests to one peer, after which another peer that reports the log replaces it. */
    private static final int MAX_REQUESTS_TO_SOURCE = 1;
    /** The backoff between requests grows up to this multiple of the first. */
    private static final int MAX_BACKOFF_FACTOR = 8;
    /** Unanswered requests after which a log that is no longer reported is forgotten. */
    private static final int MAX_REQUESTS_UNREPORTED = 2;

    private final ReplicationLimits limits;
    private final Map<LogId, Gap> gaps = new TreeMap<>();
    private boolean wasCaughtUp;

    /** Creates a tracker without any gaps. */
    public CatchUp(ReplicationLimits limits) {
        this.limits = limits;
    }

    /** A peer has reported the position of its copy of a log. */
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
        // The first peer that reported the target remains the source unless it did not answer.
        if (reported > gap.targetSequence || gap.requests > MAX_REQUESTS_TO_SOURCE) {
            gap.source = peer;
            gap.requests = 0;
        }
        gap.targetSequence = Math.max(gap.targetSequence, reported);
        gap.lastReportedMs = nowMs;
    }

    /** Drops the gaps of an owner's ended incarnations; peers report again what they keep of them. */
    public void dropEnded(String owner, long newest) {
        gaps.keySet().removeIf(log -> log.owner().equals(owner) && log.incarnation() < newest);
    }

    /** The local copy has reached this position; {@link Long#MAX_VALUE} if the log is not needed any more. */
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

    /** Logs to request now, by peer; each is requested again with a growing backoff until there is progress. */
    public Map<String, List<LogId>> dueRequests(double nowMs) {
        Map<String, List<LogId>> due = new LinkedHashMap<>();
        // Guards against waiting forever for a log that no reachable peer reports any more, since it was folded or its
        // only holder is unreachable.
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

    /** The number of missing writes; at least the number of missing records, since some writes were overwritten. */
    public long missingWrites() {
        return gaps.values().stream()
                .mapToLong(gap -> gap.targetSequence - gap.appliedSequence)
                .sum();
    }

    /**
     * Whether no gap is older than {@link ReplicationLimits#maxLagMs}. For the first time this requires that there are
     * no gaps at all.
     *
     * @param initialized whether enough peers have sent all their summaries
     */
    public boolean isCaughtUp(boolean initialized, double nowMs) {
        wasCaughtUp |= initialized && gaps.isEmpty();
        return wasCaughtUp && gaps.values().stream().allMatch(gap -> nowMs - gap.behindSinceMs <= limits.maxLagMs());
    }
}
